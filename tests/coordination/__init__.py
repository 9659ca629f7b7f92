"""Tests of the coordination parts."""
