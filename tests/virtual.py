"""A fixture that runs tests on a virtual clock, so that waiting takes no time."""

from __future__ import annotations

from typing import Any

import pytest
import trio.testing


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, Any]]:
    """Run on trio with a clock that advances at once whenever all tasks wait."""
    return "trio", {"clock": trio.testing.MockClock(autojump_threshold=0)}
