"""Tests of the money."""
