"""Placeholder docstring of the standins package."""
