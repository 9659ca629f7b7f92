"""Tests of the interface to backend servers."""
