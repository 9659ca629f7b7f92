"""A clock that jumps: tests that wait take no time."""

from __future__ import annotations

from typing import Any

import pytest
import trio.testing


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, Any]]:
    """Run on trio with a clock that jumps ahead whenever all tasks wait."""
    return "trio", {"clock": trio.testing.MockClock(autojump_threshold=0)}
