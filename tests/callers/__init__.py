"""Tests of the HTTP interface for callers."""
