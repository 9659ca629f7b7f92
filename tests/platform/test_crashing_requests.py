"""Requests that crash the engines that run them, sent to real gateway processes."""

from __future__ import annotations

import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import anyio
import httpx
import pytest

from tests.platform.kit import Gateway, configuration
from tests.platform.soak._run import PROGRAM, SoakRun
from tests.platform.test_late_requests import start_platform

pytestmark = pytest.mark.anyio

GATEWAYS = 3

CONTACT_TIME = 3.0
"""Seconds within which the platform expects routers to learn from each other."""

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


@asynccontextmanager
async def gateways(folder: Path) -> AsyncIterator[SoakRun]:
    """Run gateways that know each other, with a stand-in of the platform."""
    soak = SoakRun(0, 0.0, folder, PROGRAM)
    platform = start_platform(soak.base)
    try:
        await soak.write("op//config", configuration())
        async with anyio.create_task_group() as tasks:
            soak.tasks = tasks
            for number in range(GATEWAYS):
                soak.add_gateway(number)
            await wait_until_ready(soak)
            yield soak
            tasks.cancel_scope.cancel()
    finally:
        for gateway in soak.gateways:
            gateway.send(signal.SIGKILL)
            if gateway.process is not None:
                gateway.process.wait()
        platform.kill()
        platform.wait()


async def wait_until_ready(soak: SoakRun) -> None:
    """Wait until each gateway answers a booking."""
    with anyio.fail_after(20.0):
        for gateway in soak.gateways:
            number = 0
            while await book(gateway, f"first-{gateway.number}-{number}") != 200:
                number += 1
                await anyio.sleep(0.1)


async def book(gateway: Gateway, request: str, query: str = "sound=1") -> int:
    """Send a booking, and return the status of its answer; 0 if there is none."""
    headers = {
        "host": "book.example",
        "x-ebonyhold-request-id": request,
        "x-ebonyhold-key": "key-vast",
        "x-ebonyhold-deadline-milliseconds": "2500",
    }
    url = f"http://{gateway.address}:{gateway.port}/book/x?{query}"
    async with httpx.AsyncClient() as client:
        try:
            answer = await client.post(url, headers=headers, content=b"same content")
        except httpx.TransportError:
            return 0
    return answer.status_code


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
