"""Late requests of a planned stop end by their own time, whatever else goes wrong."""

from __future__ import annotations

import io
import signal
import socket
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import anyio
import pytest

from tests.platform.fleet import CONTACT_TIME, running_gateways, wait_until_ready
from tests.platform.kit import (
    Length,
    LinkGrid,
    LinkMode,
    RequestRecord,
    Style,
    configuration,
    connect,
    read_runs,
)
from tests.platform.soak import _run
from tests.platform.soak._run import SoakRun
from tests.platform.test_late_requests import (
    LONG_EVENTS,
    LONGER_THAN_GRACE,
    SENT_AFTER,
    UNDER_WAY_FROM,
    UNLIMITED,
    anyio_backend,
    late_request,
    one_gateway,
    pressed_settings,
    send_request,
    send_together,
    wait_until_served,
)
from tests.platform.test_server_memory import PROMPT, rules

pytestmark = pytest.mark.anyio
__all__ = ["anyio_backend"]

ENGINES = ("i-0", "i-1", "i-2")

TIME_LIMIT = 2.0
"""Seconds that the caller of a late request waits; 3.9 s are left until the cut."""

TOLERANCE = 0.3
"""Seconds after its time limit by which a request must have ended."""

Trouble = Callable[[SoakRun], Awaitable[None]]


async def write_all(soak: SoakRun, table: str, value: object) -> None:
    """Write a row of one of the stand-in's tables for each engine."""
    await soak.post_writes({"rows": {f"{table}//{name}": value for name in ENGINES}})


async def none(soak: SoakRun) -> None:
    """Let all be well."""


async def silent(soak: SoakRun) -> None:
    """Let all engines be silent."""
    await write_all(soak, "test-silent", time.monotonic() + 30.0)


async def silent_first(soak: SoakRun) -> None:
    """Let two engines of three be silent, so that requests are hedged."""
    rows = {f"test-silent//{name}": time.monotonic() + 30.0 for name in ENGINES[:2]}
    await soak.post_writes({"rows": rows})


async def declining(soak: SoakRun) -> None:
    """Let all engines turn requests away."""
    await write_all(soak, "test-rest", "5")


async def no_places(soak: SoakRun) -> None:
    """Let each engine run one request at once, and be brittle."""
    await write_all(soak, "test-places", "1")
    await write_all(soak, "test-brittle", "1")


async def broken_off(soak: SoakRun) -> None:
    """Let the answers of all engines end with their connections."""
    await write_all(soak, "test-framing", "close")


async def store_silent(soak: SoakRun) -> None:
    """Let nothing pass on the way to the store."""
    soak.proxies[0].mode = "silent"


async def store_slow(soak: SoakRun) -> None:
    """Let the store answer slowly."""
    soak.proxies[0].mode = "slow"


async def route_removed(soak: SoakRun) -> None:
    """Remove all routes."""
    rules = configuration()
    await soak.write("op//config", {**rules, "version": 2, "routes": []})


async def timeout_changed(soak: SoakRun) -> None:
    """Give all routes a timeout of 0.5 s."""
    rules = configuration()
    routes = [{**route, "timeout-ms": 500} for route in rules["routes"]]
    await soak.write("op//config", {**rules, "version": 2, "routes": routes})


async def reloaded(soak: SoakRun) -> None:
    """Send SIGHUP."""
    soak.gateways[0].send(signal.SIGHUP)


async def stopped_again(soak: SoakRun) -> None:
    """Send another SIGTERM."""
    soak.gateways[0].send(signal.SIGTERM)


@pytest.mark.parametrize("events", [10, 0], ids=["stream", "booking"])
@pytest.mark.parametrize(
    ("trouble", "workspace", "at"),
    [
        (silent, UNLIMITED, SENT_AFTER - 0.1),
        (silent, UNLIMITED, SENT_AFTER + 0.5),
        (silent_first, UNLIMITED, SENT_AFTER - 0.1),
        (declining, UNLIMITED, SENT_AFTER - 0.3),
        (no_places, UNLIMITED, SENT_AFTER - 0.5),
        (broken_off, UNLIMITED, SENT_AFTER - 0.1),
        (store_silent, "vast", 0.0),
        (store_slow, "vast", 0.0),
        (route_removed, UNLIMITED, SENT_AFTER + 0.3),
        (timeout_changed, UNLIMITED, SENT_AFTER + 0.3),
        (reloaded, UNLIMITED, SENT_AFTER + 0.3),
        (stopped_again, UNLIMITED, SENT_AFTER + 0.3),
        (stopped_again, UNLIMITED, SENT_AFTER - 0.3),
    ],
    ids=[
        "silent",
        "silent later",
        "hedged",
        "declined",
        "no places",
        "unframed",
        "store silent",
        "store slow",
        "route removed",
        "timeout changed",
        "SIGHUP",
        "SIGTERM",
        "SIGTERM before",
    ],
)
async def test_late_request_ends_by_its_own_time_only(
    tmp_path: Path, trouble: Trouble, workspace: str, at: float, events: int
) -> None:
    """Guards against a late request that is cut before its time, or not answered."""
    late = late_request("late", events, time_limit=TIME_LIMIT)
    late.length = Length(events, 1.2 / max(events, 1))
    late.workspace = workspace
    async with one_gateway(tmp_path, **LONGER_THAN_GRACE) as soak:
        await wait_until_served(soak)
        soak.gateways[0].send(signal.SIGTERM)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(after, at, trouble, soak)
            await anyio.sleep(UNDER_WAY_FROM)
            for number in range(4):
                name = f"under-way-{number}"
                tasks.start_soon(send_request, soak, name, 3 * LONG_EVENTS, UNLIMITED)
            await anyio.sleep(SENT_AFTER - UNDER_WAY_FROM)
            await send_together(soak, [late])
        process = soak.current_process(soak.gateways[0])
        with anyio.fail_after(15.0):
            await process.ended.wait()
        runs = read_runs(await soak.engine_records())
    took = late.ended_at - late.sent_at
    assert took < TIME_LIMIT + TOLERANCE
    assert late.whole or took > TIME_LIMIT - 0.05
    assert late.status != 503 or late.request_id not in runs
    assert process.code == 0


async def after(seconds: float, trouble: Trouble, soak: SoakRun) -> None:
    """Begin a trouble after some seconds."""
    await anyio.sleep(seconds)
    await trouble(soak)


GATEWAYS = 3

RELAYED = 6
"""Number of requests that a partitioned gateway sends by way of the two others."""


@asynccontextmanager
async def partitioned_gateway(folder: Path, **fields: object) -> AsyncIterator[SoakRun]:
    """Run gateways, the first of which reaches no engine.

    Args:
        folder: Holds the settings files and logs.
        fields: Fields that differ in the configuration of all routes.
    """
    links = LinkGrid(GATEWAYS, len(ENGINES))
    rules = configuration()
    for route in rules["routes"]:
        route.update({**LONGER_THAN_GRACE, **fields})
    rules["tenants"].append({"name": UNLIMITED, "api-keys": [f"key-{UNLIMITED}"]})
    async with running_gateways(folder, GATEWAYS, rules, "aaa", links) as soak:
        await wait_until_ready(soak)
        await links.cut(LinkMode.RESET, [0])
        await anyio.sleep(CONTACT_TIME)
        yield soak


@pytest.mark.parametrize(
    ("length", "sent_at"),
    [
        (Length(0, 1.5), -0.3),
        (Length(0, 1.5), 0.3),
        (Length(0, 1.5), SENT_AFTER),
        (Length(50, 0.06), -0.3),
        (Length(150, 0.06), -0.3),
        (Length(150, 0.06), 0.3),
    ],
    ids=[
        "bookings before",
        "bookings after",
        "late bookings",
        "streams",
        "streams longer than the stop",
        "streams after",
    ],
)
async def test_relayed_requests_outlast_the_stop_of_the_relay(
    tmp_path: Path, length: Length, sent_at: float
) -> None:
    """Guards against losing what a gateway passes on for another when it stops."""
    requests = [
        RequestRecord(f"relayed-{number}", 0, Style.NEW, length, UNLIMITED, 0)
        for number in range(RELAYED)
    ]
    async with partitioned_gateway(tmp_path) as soak:
        async with anyio.create_task_group() as tasks:
            if sent_at > 0:
                soak.gateways[1].send(signal.SIGTERM)
            await anyio.sleep(max(0.0, sent_at))
            for request in requests:
                tasks.start_soon(send_together, soak, [request])
            await anyio.sleep(max(0.0, -sent_at))
            if sent_at < 0:
                soak.gateways[1].send(signal.SIGTERM)
        relay_log = soak.gateways[1].log.read_text()
    got = [(one.status, one.whole, len(one.events)) for one in requests]
    assert got == [(200, True, length.events)] * RELAYED
    assert sent_at > 0 or '"request relayed"' in relay_log


@pytest.mark.parametrize(
    ("time_limit", "status"), [(TIME_LIMIT, 200), (0.0, 503)], ids=["bounded", "long"]
)
async def test_late_stream_at_a_partitioned_gateway_that_stops(
    tmp_path: Path, time_limit: float, status: int
) -> None:
    """Guards against taking a late stream that another gateway is to pass on."""
    late = late_request("late", 10, time_limit=time_limit)
    late.length = Length(10, 0.12)
    async with partitioned_gateway(tmp_path) as soak:
        soak.gateways[0].send(signal.SIGTERM)
        async with anyio.create_task_group() as tasks:
            await anyio.sleep(UNDER_WAY_FROM)
            tasks.start_soon(send_request, soak, "under-way", LONG_EVENTS, UNLIMITED)
            await anyio.sleep(SENT_AFTER - UNDER_WAY_FROM)
            await send_together(soak, [late])
        runs = read_runs(await soak.engine_records())
    assert (late.status, late.whole) == (status, True)
    assert (late.request_id in runs) is (status == 200)


PEERS_PORT = 2
"""Offset of the port for other gateways from the one for callers."""

PEERS = 200
"""Number of connections that other gateways of a large fleet keep to one of them."""

LAST_LINE = b'"listener closed"'
"""What a gateway logs some milliseconds before it closes the port for the others."""


async def until_logged(log: Path, text: bytes) -> None:
    """Wait until a process has logged a text since this call."""
    with log.open("rb") as lines, anyio.fail_after(15.0):
        lines.seek(0, io.SEEK_END)
        while text not in lines.read():  # noqa: ASYNC110 - another process writes it
            await anyio.sleep(0.001)


@pytest.mark.parametrize(
    ("length", "fields"),
    [
        (Length(0, 0.02), {}),
        (Length(0, 0.02), {"kind": "safe", "max-attempts": 2}),
        (Length(5, 0.02), {}),
    ],
    ids=["booking", "safe", "stream"],
)
async def test_request_that_meets_the_end_of_a_relay_is_passed_on_by_another(
    tmp_path: Path, length: Length, fields: dict[str, object]
) -> None:
    """Guards against an error for a request that a relay never sent as it ended."""
    requests = [
        RequestRecord(f"relayed-{number}", 0, Style.NEW, length, UNLIMITED, 0)
        for number in range(4 * RELAYED)
    ]
    async with partitioned_gateway(tmp_path, **fields) as soak:
        relay = soak.gateways[1]
        others = (relay.address, relay.port + PEERS_PORT)
        peers = [socket.create_connection(others) for _ in range(PEERS)]
        connections = [await connect(soak.gateways[0], one) for one in requests]
        for number in range(RELAYED):
            await send_request(soak, f"before-{number}", 1, UNLIMITED)
        relay.send(signal.SIGTERM)
        await until_logged(relay.log, LAST_LINE)
        async with anyio.create_task_group() as tasks:
            for connection, request in zip(connections, requests, strict=True):
                assert connection is not None
                await connection.send_request(request)
                tasks.start_soon(connection.read, request)
        for peer in peers:
            peer.close()
        runs = read_runs(await soak.engine_records())
    got = [(one.status, one.whole, one.request_id in runs) for one in requests]
    assert got == [(200, True, True)] * len(requests)


def memory_rules() -> dict[str, Any]:
    """Return a configuration with engines whose memory is stated."""
    found = rules()
    for route in found["routes"]:
        route.update(LONGER_THAN_GRACE)
    found["tenants"].append({"name": UNLIMITED, "api-keys": [f"key-{UNLIMITED}"]})
    return found


FILLING = 20
"""Number of streams that are sent before, more than the engines have memory for."""

COUNTED_AFTER = 6.0
"""Seconds after which a gateway lends memory, as it has counted the others."""

WAITED_FOR = Length(200, 0.06)
"""A stream of 12 s, with 1,000 tokens."""

MEMORY_WAIT = 3.0
"""Seconds for which a request may wait for memory: a quarter of its time."""


@pytest.mark.parametrize(
    "sent_at", [-0.2, 1.0, SENT_AFTER], ids=["before", "stopping", "late"]
)
async def test_request_without_memory_is_refused_during_a_stop(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, sent_at: float
) -> None:
    """Guards against keeping a request that waits for memory until the stop cuts it."""
    monkeypatch.setattr(_run, "settings", pressed_settings)
    late = RequestRecord("late", 0, Style.NEW, WAITED_FOR, UNLIMITED, PROMPT)
    late.time_limit = 0.0 if sent_at < SENT_AFTER else TIME_LIMIT
    async with running_gateways(tmp_path, 1, memory_rules()) as soak:
        await wait_until_served(soak)
        await anyio.sleep(COUNTED_AFTER)
        async with anyio.create_task_group() as tasks:
            for number in range(FILLING):
                name = f"filling-{number}"
                one = RequestRecord(name, 0, Style.NEW, WAITED_FOR, UNLIMITED, PROMPT)
                tasks.start_soon(send_together, soak, [one])
            await anyio.sleep(1.5)
            tasks.start_soon(after, max(0.0, -sent_at), stopped_again, soak)
            await anyio.sleep(max(0.0, sent_at))
            await send_together(soak, [late])
        runs = read_runs(await soak.engine_records())
    assert (late.status, late.whole, late.request_id in runs) == (503, True, False)
    assert late.ended_at - late.sent_at < MEMORY_WAIT
