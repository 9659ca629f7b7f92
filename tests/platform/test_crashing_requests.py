"""Requests that crash the engines that run them, sent to real gateway processes."""

from __future__ import annotations

import random
from collections import Counter
from pathlib import Path

import anyio
import pytest

from tests.platform.fleet import (
    CONTACT_TIME,
    GATEWAYS,
    book,
    gateways,
    running_gateways,
    wait_until_ready,
)
from tests.platform.kit import configuration
from tests.platform.soak._run import SoakRun

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


CRASHING = 8
"""Number of requests that crash engines at the same time."""

FLEET = 5
"""Number of gateways that get them."""

ENGINES = "a" * 12
"""The failure domains of the engines."""

CALLERS = 2
"""Number of callers of proper requests at each gateway."""

CRASHES_FOR = 12.0
"""Seconds for which the requests are repeated."""


async def repeat_crashing(soak: SoakRun, number: int, pause: float, query: str) -> None:
    """Send a request that crashes engines to random gateways until cancelled."""
    rng = random.Random(number)
    await anyio.sleep(number * pause)
    count = 0
    while True:
        count += 1
        gateway = rng.choice(soak.gateways)
        await book(gateway, f"crash-{number}-{count}", query, f"/book/crash-{number}")
        await anyio.sleep(0.3)


async def call_properly(
    soak: SoakRun, gateway: int, caller: int, statuses: Counter[int]
) -> None:
    """Send proper requests, each once more if it fails, until cancelled."""
    count = 0
    while True:
        count += 1
        name = f"{gateway}-{caller}-{count}"
        for attempt in range(2):
            asked = soak.gateways[(gateway + attempt) % FLEET]
            request, path = f"call-{name}-{attempt}", f"/book/{name}"
            status = await book(asked, request, "sound=1&pause=0.15", path)
            if status in (200, 400):
                break
        statuses[status] += 1
        await anyio.sleep(0.1)


@pytest.mark.parametrize(
    ("pause", "query"),
    [(0.15, "crash=1"), (0.05, "crash=1"), (0.05, "crash=1&queued=1")],
    ids=["overlapping", "together", "queued behind each other"],
)
async def test_several_requests_that_crash_servers_are_told_apart(
    tmp_path: Path, pause: float, query: str
) -> None:
    """Requests that crash servers at the same time must not excuse each other."""
    statuses: Counter[int] = Counter()
    async with running_gateways(tmp_path, FLEET, configuration(), ENGINES) as soak:
        await wait_until_ready(soak)
        await anyio.sleep(2.0)
        async with anyio.create_task_group() as tasks:
            for gateway in range(FLEET):
                for caller in range(CALLERS):
                    tasks.start_soon(call_properly, soak, gateway, caller, statuses)
            for number in range(CRASHING):
                tasks.start_soon(repeat_crashing, soak, number, pause, query)
            await anyio.sleep(CRASHES_FOR)
            tasks.cancel_scope.cancel()
        records = await soak.engine_records()
    late: Counter[str] = Counter()
    for number in range(CRASHING):
        target = f"/book/crash-{number}?{query}"
        runs = sorted(run[4] for run in records["runs"] if run[1] == target)
        queued = sorted(at for name, at in records["queued"] if name == target)
        # A request that waits behind others is in the crash of the engine, too.
        sent = queued if "queued" in query else runs
        assert len(sent) >= 3
        late[target] = sum(began > sent[2] + CONTACT_TIME for began in sent)
    assert max(late.values()) <= MAX_LATE_RUNS, late
    assert not statuses[400]
