"""Tests of the interface to callers."""
