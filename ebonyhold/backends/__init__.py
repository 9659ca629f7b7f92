"""Placeholder docstring of the backends package."""
