"""All tests here run on a virtual clock."""

from tests.virtual import anyio_backend

__all__ = ["anyio_backend"]
