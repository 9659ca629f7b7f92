"""Runs the tests of this folder on a virtual clock, unless a file overrides it."""

from tests.virtual import anyio_backend

__all__ = ["anyio_backend"]
