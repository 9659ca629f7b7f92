"""Tests of the fleet document."""
