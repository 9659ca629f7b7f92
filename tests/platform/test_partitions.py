"""Gateways that are cut off from all servers, with real gateway processes."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from pathlib import Path

import anyio
import pytest
from attrs import define, field

from tests.platform.fleet import (
    CONTACT_TIME,
    booking,
    running_gateways,
    wait_until_ready,
)
from tests.platform.kit import LinkGrid, LinkMode, configuration
from tests.platform.soak._run import SoakRun

pytestmark = pytest.mark.anyio

GATEWAYS = 5

ENGINES = "a" * 10

CUT_TIME = 7.0
"""Seconds from the begin of a cut to its end."""

CALLERS = 2
"""Number of callers of each gateway."""

CALL_PAUSE = 0.08
"""Seconds from an answer to the caller's next request."""

REFUSAL_TIME = 0.5
"""Seconds within which a request that no server may get must be refused."""

MIN_SERVED = 2 / 3
"""Share of the requests at cut gateways that must be served, as a part of the share at
the others: the platform's bound."""

PARTITIONED = [
    pytest.param(LinkMode.RESET, [0, 1], id="reset"),
    pytest.param(LinkMode.SILENT, [0, 1], id="silent"),
    pytest.param(LinkMode.REFUSE, [0, 1], id="refused"),
    pytest.param(LinkMode.SILENT, [0], id="silent-one"),
    pytest.param(LinkMode.RESET, [0, 1, 2], id="reset-most"),
    pytest.param(LinkMode.SILENT, [0, 1, 2], id="silent-most"),
]


@pytest.fixture
def anyio_backend() -> str:
    """Run on asyncio, as the gateways do."""
    return "asyncio"


@define
class Try:
    """One request, which is not repeated.

    Attributes:
        gateway: The gateway that it was sent to.
        sent_at: When it was sent.
        status: The status of the answer; 0 if there was none.
        retry_after: The Retry-After field of the answer.
        taken: The time until the answer, in seconds.
    """

    gateway: int
    sent_at: float = field(factory=time.monotonic)
    status: int = 0
    retry_after: str = ""
    taken: float = 0.0


@asynccontextmanager
async def linked_gateways(folder: Path) -> AsyncIterator[tuple[SoakRun, LinkGrid]]:
    """Run gateways with links to the engines that can be cut."""
    links = LinkGrid(GATEWAYS, len(ENGINES))
    rules = configuration()
    async with running_gateways(folder, GATEWAYS, rules, ENGINES, links) as soak:
        await wait_until_ready(soak)
        yield soak, links


@asynccontextmanager
async def trying(soak: SoakRun) -> AsyncIterator[list[Try]]:
    """Send requests to all gateways; yield those that were answered."""
    tries: list[Try] = []

    async def call(gateway: int, caller: int) -> None:
        number = 0
        while True:
            number += 1
            one = Try(gateway)
            name = f"try-{gateway}-{caller}-{number}"
            answer = await booking(soak.gateways[gateway], name, "sound=1&pause=0.03")
            one.status, one.retry_after = answer
            one.taken = time.monotonic() - one.sent_at
            tries.append(one)
            await anyio.sleep(CALL_PAUSE)

    async with anyio.create_task_group() as tasks:
        for gateway in range(GATEWAYS):
            for caller in range(CALLERS):
                tasks.start_soon(call, gateway, caller)
        yield tries
        tasks.cancel_scope.cancel()


def served(tries: Sequence[Try]) -> float:
    """Return the share of the requests that were served."""
    return sum(one.status == 200 for one in tries) / len(tries)


def failed(tries: Sequence[Try]) -> list[Try]:
    """Return the requests that were not served."""
    return [one for one in tries if one.status != 200]


@pytest.mark.parametrize(("mode", "cut"), PARTITIONED)
async def test_requests_at_a_partitioned_router_are_served(
    tmp_path: Path, mode: LinkMode, cut: list[int]
) -> None:
    """A router that reaches no server must not fail requests that others can serve."""
    async with linked_gateways(tmp_path) as (soak, links), trying(soak) as tries:
        await anyio.sleep(1.5)
        before = list(tries)
        began_at = time.monotonic()
        await links.cut(mode, cut)
        await anyio.sleep(CUT_TIME)
        ended_at = time.monotonic()
        await links.cut(LinkMode.OPEN, cut)
        await anyio.sleep(CONTACT_TIME + 1.0)
    within = [
        one for one in tries if began_at + CONTACT_TIME < one.sent_at < ended_at - 0.1
    ]
    at_cut = [one for one in within if one.gateway in cut]
    elsewhere = [one for one in within if one.gateway not in cut]
    later = [one for one in tries if one.sent_at > ended_at + CONTACT_TIME]
    assert failed(before) == failed(elsewhere) == failed(later) == []
    assert served(at_cut) >= MIN_SERVED * served(elsewhere)
    assert len(failed(at_cut)) <= 10 + len(within) / 50
    assert len({one.gateway for one in later}) == GATEWAYS


@pytest.mark.parametrize("mode", [LinkMode.RESET, LinkMode.SILENT])
async def test_requests_are_refused_at_once_when_all_routers_are_partitioned(
    tmp_path: Path, mode: LinkMode
) -> None:
    """A request that no router can serve must not wait, nor loop between routers."""
    everywhere = range(GATEWAYS)
    async with linked_gateways(tmp_path) as (soak, links):
        async with trying(soak) as tries:
            await anyio.sleep(1.5)
            began_at = time.monotonic()
            await links.cut(mode, everywhere)
            await anyio.sleep(CUT_TIME)
            ended_at = time.monotonic()
            await links.cut(LinkMode.OPEN, everywhere)
            await anyio.sleep(CONTACT_TIME + 1.0)
        records = await soak.engine_records()
    within = [
        one
        for one in tries
        if began_at + CONTACT_TIME < one.sent_at < ended_at - REFUSAL_TIME
    ]
    later = [one for one in tries if one.sent_at > ended_at + CONTACT_TIME]
    assert [one for one in within if one.status != 503] == []
    assert max(one.taken for one in within) < REFUSAL_TIME
    assert all(0 < float(one.retry_after) <= 2 for one in within)
    assert failed(later) == []
    runs = [run[0] for run in records["runs"]]
    assert len(runs) == len(set(runs))


async def test_pause_of_a_second_fails_no_request(tmp_path: Path) -> None:
    """A server that is silent for a second and goes on must not lose its requests."""
    async with linked_gateways(tmp_path) as (soak, links):
        async with trying(soak) as tries:
            await anyio.sleep(1.0)
            for engine in range(4):
                await links.pause_engine(engine, 1.1)
        records = await soak.engine_records()
    assert failed(tries) == []
    runs = [run[0] for run in records["runs"]]
    assert len(runs) == len(set(runs))
