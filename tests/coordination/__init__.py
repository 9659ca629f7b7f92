"""Tests of the coordination package."""
