"""Servers that are cold, with real gateway processes."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

import anyio
import pytest

from tests.platform.fleet import GATEWAYS, book, gateways, most_within
from tests.platform.kit import configuration
from tests.platform.soak._run import SoakRun

pytestmark = pytest.mark.anyio

COLD_RATE = 4.0
"""Requests per second that a cold engine tolerates."""

COLD_TIME = 6.0
"""Seconds for which an engine is cold."""

HEARD_AFTER = 2.0
"""Seconds after which gateways must know that a running engine has become cold."""

CALLERS = 3
"""Number of callers at each gateway."""

CALL_PAUSE = 0.02
"""Seconds between two bookings of one caller."""


@pytest.fixture
def anyio_backend() -> str:
    """Run on asyncio, as the gateways do."""
    return "asyncio"


def cold_rules() -> dict[str, Any]:
    """Return the usual configuration, with engines that tolerate little while cold."""
    rules = configuration()
    for service in rules["services"]:
        service.update({"cold-start-s": COLD_TIME, "cold-per-s": COLD_RATE})
    return rules


def allowed(rate: float) -> float:
    """Return the requests that a cold server may get in a second, by the rule."""
    return 1.5 * rate + 5


async def call(soak: SoakRun, gateway: int, caller: int) -> None:
    """Send bookings to one gateway until cancelled."""
    number = 0
    while True:
        number += 1
        await book(soak.gateways[gateway], f"call-{gateway}-{caller}-{number}")
        await anyio.sleep(CALL_PAUSE)


async def make_cold(soak: SoakRun, *engines: str) -> None:
    """Make engines cold for `COLD_TIME` from now on."""
    for engine in engines:
        await soak.write(f"test-cold//{engine}", time.monotonic() + COLD_TIME)


async def become_cold(soak: SoakRun) -> float:
    """Make one engine cold; return from when on all gateways must know it."""
    await make_cold(soak, "i-0")
    return time.monotonic() + HEARD_AFTER


async def return_cold(soak: SoakRun) -> float:
    """Evacuate a domain and take it back; return from when on it is cold."""
    await soak.write("op//evacuate/a", {})
    await anyio.sleep(5.0)
    # Entries of the list of servers state only later that their servers are cold.
    await soak.write("op//evacuate/a", None, delete=True)
    return time.monotonic()


@pytest.mark.parametrize("begin", [become_cold, return_cold])
async def test_cold_server_gets_few_requests(tmp_path: Path, begin: Any) -> None:
    """Routers must not all use a server that cannot take much yet, nor none of them."""
    async with (
        gateways(tmp_path, "abb", cold_rules()) as soak,
        anyio.create_task_group() as tasks,
    ):
        for gateway in range(GATEWAYS):
            for caller in range(CALLERS):
                tasks.start_soon(call, soak, gateway, caller)
        await anyio.sleep(1.0)
        cold_from = await begin(soak)
        await anyio.sleep(COLD_TIME + 4.0)
        records = await soak.engine_records()
        tasks.cancel_scope.cancel()
    times = sorted(run[4] for run in records["runs"] if run[7] == "i-0")
    cold = [at for at in times if cold_from <= at < cold_from + COLD_TIME - HEARD_AFTER]
    warm = [at for at in times if at > cold_from + COLD_TIME + 1.0]
    assert most_within(1.0, cold) <= allowed(COLD_RATE)
    assert cold
    # Without a limit there are more requests than the engine tolerates while cold.
    assert most_within(1.0, warm) > allowed(COLD_RATE)
