"""A router fleet for prepaid token budgets, and the coordination parts inside it."""

from ebonyhold.version import __version__

__all__ = ["__version__"]
