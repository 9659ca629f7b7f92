"""Runs these tests on a virtual clock, unless a module replaces the fixture."""

from tests.virtual import anyio_backend

__all__ = ["anyio_backend"]
