"""Tests of `ebonyhold.models`."""
