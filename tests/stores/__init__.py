"""Tests of the platform clients."""
