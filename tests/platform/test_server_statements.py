"""What servers state about themselves in their answers, with real gateway processes."""

from __future__ import annotations

import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import anyio
import pytest

from tests.platform.fleet import (
    CONTACT_TIME,
    GATEWAYS,
    booking,
    calling,
    gateways,
    wait_until_ready,
)
from tests.platform.soak._run import SoakRun

pytestmark = pytest.mark.anyio

DRAIN_TIME = 2.0
"""Seconds after a gateway's first answer that states leaving, from which on the server
must get no request from it."""

REST_MARGIN = 0.5
"""Seconds after a server has asked a gateway for rest in which more may arrive."""

MAX_IN_REST = 2
"""Maximum number of requests from a gateway during the remaining rest."""

REFUSAL_TIME = 0.5
"""Seconds within which a request that no server may get must be refused."""

SAMPLE_TIME = 4.0
"""Seconds in which a gateway that chooses at random uses each of three servers."""

ENGINES = ("i-0", "i-1", "i-2")


@pytest.fixture
def anyio_backend() -> str:
    """Run on asyncio, as the gateways do."""
    return "asyncio"


async def state(soak: SoakRun, table: str, value: str | None, *engines: str) -> None:
    """Make engines state something in all answers from now on; None ends it."""
    for engine in engines:
        await soak.write(f"test-{table}//{engine}", value)


async def lose_store(soak: SoakRun) -> None:
    """Cut all gateways off from the store."""
    for proxy in soak.proxies:
        proxy.mode = "silent"


async def regain_store(soak: SoakRun) -> None:
    """End the cut."""
    for proxy in soak.proxies:
        proxy.mode = "open"


def arrivals(records: dict[str, Any], engine: str, gateway: int) -> list[float]:
    """Return when calls of a gateway began to run at an engine, in order."""
    name = f"call-{gateway}-"
    return sorted(
        run[4] for run in records["runs"] if run[7] == engine and name in run[0]
    )


def late_arrivals(
    records: dict[str, Any], engine: str, stated_at: float
) -> Iterator[float]:
    """Yield the times of requests later than `DRAIN_TIME` after a gateway was told."""
    for gateway in range(GATEWAYS):
        times = [at for at in arrivals(records, engine, gateway) if at >= stated_at]
        yield from (at for at in times if at > times[0] + DRAIN_TIME)


def in_rest(records: dict[str, Any], engine: str, rest: float) -> int:
    """Return the most requests of a gateway during a rest that it was asked for."""
    most = 0
    for gateway in range(GATEWAYS):
        name = f"call-{gateway}-"
        times = [
            at
            for request, server, at in records["declined"]
            if server == engine and request.startswith(name)
        ]
        for asked_at in times:
            start, end = asked_at + REST_MARGIN, asked_at + rest
            most = max(most, sum(start < at < end for at in times))
    return most


@pytest.mark.parametrize("store_lost", [True, False], ids=["store away", "in touch"])
async def test_leaving_server_gets_no_more_requests(
    tmp_path: Path, store_lost: bool
) -> None:
    """A router must not forget an answer's statement for an entry that lacks it."""
    async with gateways(tmp_path) as soak, calling(soak) as answers:
        if store_lost:
            await lose_store(soak)
        await state(soak, "leaving", "1", "i-0")
        stated_at = time.monotonic()
        await anyio.sleep(DRAIN_TIME + 3.0)
        await regain_store(soak)
        await anyio.sleep(3.0)
        records = await soak.engine_records()
    assert [
        at for gateway in range(GATEWAYS) for at in arrivals(records, "i-0", gateway)
    ]
    assert list(late_arrivals(records, "i-0", stated_at)) == []
    assert {status for _, status in answers} == {200}


async def test_restarted_server_is_used_again(tmp_path: Path) -> None:
    """A leaving run of a server must not hide its next run under the same name."""
    async with gateways(tmp_path) as soak, calling(soak):
        await state(soak, "leaving", "1", "i-0")
        await anyio.sleep(DRAIN_TIME)
        before = await soak.engine_records()
        await state(soak, "leaving", None, "i-0")
        await soak.write("test-restart//i-0", 1)
        restarted_at = time.monotonic()
        await anyio.sleep(CONTACT_TIME + 1.0)
        records = await soak.engine_records()
    told = [max(arrivals(before, "i-0", gateway)) for gateway in range(GATEWAYS)]
    assert max(told) < restarted_at - 1.0
    for gateway in range(GATEWAYS):
        assert max(arrivals(records, "i-0", gateway)) > restarted_at


async def test_requests_are_refused_at_once_when_all_servers_leave(
    tmp_path: Path,
) -> None:
    """A request must neither reach a leaving server nor wait for its deadline."""
    async with gateways(tmp_path) as soak:
        await state(soak, "leaving", "1", *ENGINES)
        async with calling(soak):
            await anyio.sleep(1.0)
        asked_at = time.monotonic()
        answers = [await booking(gateway, "late") for gateway in soak.gateways]
        taken = time.monotonic() - asked_at
        records = await soak.engine_records()
    assert [status for status, _ in answers] == [503] * GATEWAYS
    assert all(0 < float(wait) <= 2 for _, wait in answers)
    assert taken < REFUSAL_TIME * GATEWAYS
    assert not [run for run in records["runs"] if run[0] == "late"]


@pytest.mark.parametrize("rest", ["3", "1.5"])
async def test_resting_server_gets_no_requests_until_its_rest_has_ended(
    tmp_path: Path, rest: str
) -> None:
    """A router must not come back before the time that a server has named."""
    async with gateways(tmp_path) as soak, calling(soak) as answers:
        await state(soak, "rest", rest, "i-0")
        await anyio.sleep(2.5 * float(rest))
        await state(soak, "rest", None, "i-0")
        ended_at = time.monotonic()
        await anyio.sleep(1.1 * float(rest) + SAMPLE_TIME)
        records = await soak.engine_records()
    assert in_rest(records, "i-0", float(rest)) <= MAX_IN_REST
    for gateway in range(GATEWAYS):
        assert max(arrivals(records, "i-0", gateway)) > ended_at
    statuses = [status for _, status in answers]
    assert set(statuses) <= {200, 503}
    assert statuses.count(503) <= len(records["declined"])


@pytest.mark.parametrize("rest", ["", "abc", "-1", "1e9"])
async def test_unusable_rest_hides_no_server(tmp_path: Path, rest: str) -> None:
    """A value that names no time must neither fail requests nor hide the server."""
    async with gateways(tmp_path) as soak, calling(soak) as answers:
        await state(soak, "rest", rest, "i-0")
        await anyio.sleep(1.0)
        await state(soak, "rest", None, "i-0")
        ended_at = time.monotonic()
        await anyio.sleep(SAMPLE_TIME)
        records = await soak.engine_records()
    for gateway in range(GATEWAYS):
        assert max(arrivals(records, "i-0", gateway)) > ended_at
    assert {status for _, status in answers} <= {200, 503}
    assert {status for at, status in answers if at > ended_at + 0.5} == {200}


async def test_callers_hear_when_to_return_when_all_servers_rest(
    tmp_path: Path,
) -> None:
    """Requests must be refused at once, and not all callers told the same time."""
    rest = 3.0
    async with gateways(tmp_path) as soak:
        await state(soak, "rest", f"{rest:g}", *ENGINES)
        async with calling(soak) as answers:
            await anyio.sleep(2 * rest)
            asked = soak.gateways[0]
            started_at = time.monotonic()
            refusals = [await booking(asked, f"asked-{n}") for n in range(20)]
            taken = time.monotonic() - started_at
        records = await soak.engine_records()
        await state(soak, "rest", None, *ENGINES)
        await anyio.sleep(1.5 * rest)
        await wait_until_ready(soak)
    assert {status for _, status in answers} == {503}
    waits = [float(wait) for status, wait in refusals if status == 503]
    assert len(waits) == 20
    assert all(0 < wait <= 2 for wait in waits)
    assert len(set(waits)) > 10
    assert taken < 20 * REFUSAL_TIME / 2
    assert max(in_rest(records, engine, rest) for engine in ENGINES) <= MAX_IN_REST
