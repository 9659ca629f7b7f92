"""Requests that crash the engines that run them, sent to real gateway processes."""

from __future__ import annotations

from pathlib import Path

import anyio
import pytest

from tests.platform.fleet import CONTACT_TIME, GATEWAYS, book, gateways

pytestmark = pytest.mark.anyio

MAX_LATE_RUNS = 3
"""Number of runs that the platform allows after the third crash and `CONTACT_TIME`."""

REPEATS = 22
"""Number of times that a caller repeats a request that crashes engines."""

REPEAT_PAUSE = 0.4
"""Seconds between two repeats."""


@pytest.fixture
def anyio_backend() -> str:
    """Run on asyncio, as the gateways do."""
    return "asyncio"


async def test_request_that_crashed_three_servers_reaches_few_more(
    tmp_path: Path,
) -> None:
    """A repeated request must not go on crashing servers by way of other routers."""
    statuses = []
    async with gateways(tmp_path) as soak:
        for number in range(REPEATS):
            gateway = soak.gateways[number % GATEWAYS]
            statuses.append(await book(gateway, f"crash-{number}", "crash=1"))
            await anyio.sleep(REPEAT_PAUSE)
        records = await soak.engine_records()
    runs = sorted(run[4] for run in records["runs"] if run[1] == "/book/x?crash=1")
    late = [started for started in runs if started > runs[2] + CONTACT_TIME]
    assert len(runs) >= 3
    assert len(late) <= MAX_LATE_RUNS
    # The platform's callers do not repeat a request after this status.
    assert statuses[-GATEWAYS:] == [400] * GATEWAYS
