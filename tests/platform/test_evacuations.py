"""Failure domains that the operator evacuates, with real gateway processes."""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import anyio
import pytest

from tests.platform.fleet import (
    GATEWAYS,
    booking,
    calling,
    gateways,
    wait_until_ready,
)
from tests.platform.soak._run import SoakRun

pytestmark = pytest.mark.anyio

EVACUATION_TIME = 5.0
"""Seconds after which no request may reach a server of an evacuated domain."""

REFUSAL_TIME = 0.5
"""Seconds within which a request that no server may get must be refused."""


@pytest.fixture
def anyio_backend() -> str:
    """Run on asyncio, as the gateways do."""
    return "asyncio"


async def evacuate(soak: SoakRun, domain: str) -> float:
    """Request the evacuation of a domain; return when it was acknowledged."""
    await soak.write(f"op//evacuate/{domain}", {})
    return time.monotonic()


async def take_back(soak: SoakRun, domain: str) -> float:
    """End the evacuation of a domain; return when that was acknowledged."""
    await soak.write(f"op//evacuate/{domain}", None, delete=True)
    return time.monotonic()


def arrivals(records: dict[str, Any], *engines: str) -> list[float]:
    """Return when requests arrived at some engines, in order."""
    return sorted(run[4] for run in records["runs"] if run[7] in engines)


async def test_evacuated_servers_get_no_requests_until_taken_back(
    tmp_path: Path,
) -> None:
    """A router must not ignore an evacuation, nor its end."""
    async with gateways(tmp_path, "aab") as soak, calling(soak) as answers:
        await anyio.sleep(1.0)
        began_at = await evacuate(soak, "a")
        await anyio.sleep(EVACUATION_TIME + 3.0)
        ended_at = await take_back(soak, "a")
        await anyio.sleep(EVACUATION_TIME)
        records = await soak.engine_records()
    times = arrivals(records, "i-0", "i-1")
    assert [at for at in times if at < began_at]
    assert not [at for at in times if began_at + EVACUATION_TIME < at < ended_at]
    assert [at for at in times if at > ended_at]
    assert {status for _, status in answers} == {200}


async def cut_all(soak: SoakRun, mode: str) -> None:
    """Set the mode of all gateways' paths to the store."""
    for proxy in soak.proxies:
        proxy.mode = mode


async def restart_gateway(soak: SoakRun) -> None:
    """Kill one gateway, and start it again."""
    soak.replace(soak.gateways[0])


async def slow_store(soak: SoakRun) -> None:
    """Delay all calls to the store."""
    await cut_all(soak, "slow")


async def lost_store(soak: SoakRun) -> None:
    """Hold back all calls to the store for a while."""
    await cut_all(soak, "silent")
    await anyio.sleep(2.0)
    await cut_all(soak, "open")


@pytest.mark.parametrize("disturb", [slow_store, lost_store, restart_gateway])
async def test_evacuation_is_heard_in_spite_of_disturbances(
    tmp_path: Path, disturb: Callable[[SoakRun], Any]
) -> None:
    """A router that was cut off, or starts late, must not miss an evacuation."""
    async with gateways(tmp_path, "aab") as soak, calling(soak):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(disturb, soak)
            await anyio.sleep(0.2)
            await evacuate(soak, "a")
        await anyio.sleep(EVACUATION_TIME)
        await wait_until_ready(soak)
        heard_at = time.monotonic()
        await anyio.sleep(2.0)
        records = await soak.engine_records()
    assert not [at for at in arrivals(records, "i-0", "i-1") if at > heard_at]
    assert [at for at in arrivals(records, "i-2") if at > heard_at]


async def test_requests_are_refused_at_once_without_another_domain(
    tmp_path: Path,
) -> None:
    """A request must neither reach an evacuated server nor wait for its deadline."""
    async with gateways(tmp_path) as soak:
        began_at = await evacuate(soak, "a")
        await anyio.sleep(EVACUATION_TIME)
        asked_at = time.monotonic()
        answers = [await booking(gateway, "late") for gateway in soak.gateways]
        taken = time.monotonic() - asked_at
        await take_back(soak, "a")
        await wait_until_ready(soak)
        records = await soak.engine_records()
    late = [run for run in records["runs"] if run[0] == "late"]
    assert [status for status, _ in answers] == [503] * GATEWAYS
    assert all(float(wait) > 0 for _, wait in answers)
    assert taken < REFUSAL_TIME * GATEWAYS
    assert asked_at - began_at >= EVACUATION_TIME
    assert not late
