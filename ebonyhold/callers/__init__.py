"""Placeholder docstring of the callers package."""
