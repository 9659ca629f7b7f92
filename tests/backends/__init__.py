"""Tests of `ebonyhold.backends`."""
