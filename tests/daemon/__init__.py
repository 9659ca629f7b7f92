"""Tests of the daemon."""
