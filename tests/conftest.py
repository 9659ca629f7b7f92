"""What holds for all tests."""

from __future__ import annotations

import gc

import pytest

NEVER = 1_000_000
"""Number of smaller collections of garbage after which a full one is due."""


@pytest.fixture(scope="module", autouse=True)
def full_collections_between_modules() -> None:
    """Collect all garbage now and not during tests.

    A full collection of the test process stops its event loop for longer than some
    limits of the code under test, such as the time for a connection.
    """
    young, middle, _ = gc.get_threshold()
    gc.set_threshold(young, middle, NEVER)
    gc.collect()
