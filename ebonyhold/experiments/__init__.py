"""Placeholder docstring of the experiments package."""
