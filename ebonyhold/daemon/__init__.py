"""Placeholder docstring of the daemon package."""
