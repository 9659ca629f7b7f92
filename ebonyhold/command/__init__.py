"""Placeholder docstring of the command package."""
