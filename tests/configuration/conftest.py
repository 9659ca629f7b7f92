"""Runs the tests of this folder on trio with a virtual clock."""

from __future__ import annotations

from typing import Any

import pytest
from trio.testing import MockClock


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, Any]]:
    return "trio", {"clock": MockClock(autojump_threshold=0)}
