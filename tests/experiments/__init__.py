"""Tests of the experiments."""
