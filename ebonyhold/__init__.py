"""Routers that admit requests against prepaid token budgets, and their tools."""

from ebonyhold.version import __version__

__all__ = ["__version__"]
