"""Servers that name a limit in their answers, with real gateway processes."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import anyio
import pytest

from tests.platform.fleet import (
    CONTACT_TIME,
    GATEWAYS,
    book,
    booking,
    gateways,
    most_within,
)
from tests.platform.soak._run import SoakRun

pytestmark = pytest.mark.anyio

WINDOW = 4.0
"""Seconds over which the platform counts the requests at a server with a limit."""

CALL_PAUSE = 0.1
"""Seconds between two bookings of one caller."""

CALLERS = 2
"""Number of callers at each gateway."""


@pytest.fixture
def anyio_backend() -> str:
    """Run on asyncio, as the gateways do."""
    return "asyncio"


def allowed(limit: float) -> float:
    """Return the requests that a server may get in `WINDOW`, by the platform's rule."""
    return 1.5 * limit * WINDOW + 5


async def call(soak: SoakRun, gateway: int, caller: int) -> None:
    """Send bookings to one gateway until cancelled."""
    number = 0
    while True:
        number += 1
        await book(soak.gateways[gateway], f"call-{gateway}-{caller}-{number}")
        await anyio.sleep(CALL_PAUSE)


async def name_limits(soak: SoakRun, limits: dict[str, str | None]) -> None:
    """Make engines name limits; None ends one."""
    for engine, limit in limits.items():
        await soak.write(f"test-limits//{engine}", limit)


def arrivals(records: dict[str, Any], engine: str) -> list[float]:
    """Return when requests arrived at an engine, in order."""
    return sorted(run[4] for run in records["runs"] if run[7] == engine)


async def test_all_routers_together_keep_to_a_limit(tmp_path: Path) -> None:
    """Routers must not each use a server's whole limit, nor outlive its end."""
    limit = 1.5
    async with gateways(tmp_path) as soak, anyio.create_task_group() as tasks:
        for gateway in range(GATEWAYS):
            for caller in range(CALLERS):
                tasks.start_soon(call, soak, gateway, caller)
        await anyio.sleep(1.0)
        await name_limits(soak, {"i-0": str(limit)})
        named_at = anyio.current_time()
        await anyio.sleep(10.0)
        await name_limits(soak, {"i-0": None})
        ended_at = anyio.current_time()
        await anyio.sleep(9.0)
        records = await soak.engine_records()
        tasks.cancel_scope.cancel()
    times = arrivals(records, "i-0")
    limited = [time for time in times if named_at + CONTACT_TIME <= time < ended_at]
    assert most_within(WINDOW, limited) <= allowed(limit)
    assert len(limited) >= limit * (ended_at - named_at - CONTACT_TIME) / 2
    last = [time for time in times if time >= ended_at + 5.0]
    others = [time for time in arrivals(records, "i-1") if time >= ended_at + 5.0]
    assert len(last) > len(others) / 2


async def test_callers_hear_when_all_servers_are_at_their_limits(
    tmp_path: Path,
) -> None:
    """Without a server that may take it, a request is refused at once, with a time."""
    limit = 1.0
    answers = []
    async with gateways(tmp_path) as soak, anyio.create_task_group() as tasks:
        await name_limits(soak, {f"i-{n}": str(limit) for n in range(3)})
        for gateway in range(GATEWAYS):
            tasks.start_soon(call, soak, gateway, 0)
        named_at = anyio.current_time()
        await anyio.sleep(CONTACT_TIME)
        for number in range(30):
            started_at = anyio.current_time()
            asked = soak.gateways[number % GATEWAYS]
            status, wait = await booking(asked, f"asked-{number}")
            answers.append((status, wait, anyio.current_time() - started_at))
            await anyio.sleep(0.1)
        await anyio.sleep(WINDOW)
        records = await soak.engine_records()
        tasks.cancel_scope.cancel()
    refused = [(wait, taken) for status, wait, taken in answers if status == 503]
    assert {status for status, _, _ in answers} <= {200, 503}
    assert refused
    assert all(0 < float(wait) <= 2 for wait, _ in refused)
    assert max(taken for _, taken in refused) < 0.5
    for engine in ("i-0", "i-1", "i-2"):
        times = arrivals(records, engine)
        late = [time for time in times if time >= named_at + CONTACT_TIME]
        assert most_within(WINDOW, late) <= allowed(limit)
