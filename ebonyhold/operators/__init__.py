"""Placeholder docstring of the operators package."""
