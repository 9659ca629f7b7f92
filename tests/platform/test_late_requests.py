"""Requests that come late in a planned stop, while the gateway returns its grants."""

from __future__ import annotations

import random
import signal
import socket
import time
from collections.abc import AsyncIterator, Callable, Container, Sequence
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import Any

import anyio
import pytest
from attrs import evolve

from tests.platform.fleet import running_gateways
from tests.platform.kit import (
    Fault,
    Gateway,
    Length,
    ProcessRecord,
    RequestRecord,
    Style,
    configuration,
    connect,
    listener_may_be_closed,
    read_runs,
    settings,
    use_connection,
)
from tests.platform.soak import _run
from tests.platform.soak._run import SoakRun, no_next_request

pytestmark = pytest.mark.anyio

READY_TIMEOUT = 15.0
"""Seconds within which a gateway must start and draw its first grant, or must exit."""

SLOW_AFTER = 2.2
"""Seconds from SIGTERM until the path to the store becomes slow, so that returning a
grant takes some 0.3 s.
"""

LATE_FROM = 2.65
LATE_UNTIL = 3.05
LATE_INTERVAL = 0.02
"""Seconds between late requests, which are sent from `LATE_FROM` until `LATE_UNTIL`
seconds after SIGTERM.

An idle gateway returns its grants from 2.6 s on and keeps the tokens until the store
answers.
"""

UNLIMITED = "free"
"""A workspace without a limit: its requests need no grant."""

EVENT_PAUSE = 0.02
"""Seconds before each event of an answer."""

LONG_EVENTS = 60
"""Number of events of a late stream, which takes 1.2 s; returning grants takes less."""


@pytest.fixture
def anyio_backend() -> str:
    """Run on asyncio, as the gateways do."""
    return "asyncio"


@asynccontextmanager
async def one_gateway(folder: Path, **fields: object) -> AsyncIterator[SoakRun]:
    """Run one gateway with the stand-in of the platform; kill both at the end.

    Args:
        folder: Holds the settings file and the log.
        fields: Fields that differ in the configuration of all routes.
    """
    rules = configuration()
    for route in rules["routes"]:
        route.update(fields)
    rules["tenants"].append({"name": UNLIMITED, "api-keys": [f"key-{UNLIMITED}"]})
    async with running_gateways(folder, 1, rules) as soak:
        yield soak


async def send_request(
    soak: SoakRun,
    name: str,
    events: int,
    workspace: str = "vast",
    time_limit: float = 0.0,
) -> RequestRecord:
    """Send one request and return its record; with 0 events it is a booking."""
    length = Length(events, EVENT_PAUSE)
    request = RequestRecord(name, 0, Style.NEW, length, workspace, 20 if events else 0)
    request.time_limit = time_limit
    await use_connection(
        soak.gateways[0], request, no_next_request, random.Random(0), lambda: True
    )
    return request


async def wait_until_served(soak: SoakRun) -> None:
    """Send requests until one is served; the gateway then has a grant.

    Raises:
        TimeoutError: None was served within `READY_TIMEOUT`.
    """
    with anyio.fail_after(READY_TIMEOUT):
        for number in range(1000):
            first = await send_request(soak, f"first-{number}", 1)
            if first.whole and first.status == 200:
                return
            await anyio.sleep(0.1)


async def send_late_requests(
    soak: SoakRun, sigterm_at: float, events: int, workspace: str
) -> list[RequestRecord]:
    """Send late requests, each on its own connection, until the process exits."""
    requests: list[RequestRecord] = []

    async def send_late(number: int) -> None:
        requests.append(await send_request(soak, f"late-{number}", events, workspace))

    process = soak.gateways[0].process
    async with anyio.create_task_group() as tasks:
        for number in range(round((LATE_UNTIL - LATE_FROM) / LATE_INTERVAL)):
            due = sigterm_at + LATE_FROM + number * LATE_INTERVAL
            await anyio.sleep(max(0.0, due - time.monotonic()))
            if process is None or process.poll() is not None:
                break
            tasks.start_soon(send_late, number)
    return requests


def met_closed_listener(request: RequestRecord, process: ProcessRecord) -> bool:
    """Return whether a connection was refused at a time when this is allowed.

    `listener_may_be_closed` describes these times.
    """
    return request.fault == Fault.REFUSED and listener_may_be_closed(request, process)


def was_answered(request: RequestRecord, runs: Container[str]) -> bool:
    """Return whether a request got its whole answer, or was refused and did not run."""
    if request.status == 200:
        return request.whole
    return request.status in (429, 503) and request.request_id not in runs


@pytest.mark.parametrize(
    ("events", "workspace"),
    [(LONG_EVENTS, "vast"), (LONG_EVENTS, UNLIMITED), (0, "vast")],
    ids=["prepaid stream", "free stream", "booking"],
)
async def test_late_request_during_a_stop_is_answered(
    tmp_path: Path, events: int, workspace: str
) -> None:
    """A late request must get an answer or a refusal while the process is running.

    New connections come even late in a stop: the platform uses all VMs of a domain once
    fewer than half are in rotation.  A gateway that checks for open requests only once,
    before it returns its grants, cuts the requests that come in the meantime.  One that
    closes its listener first refuses their connections instead.
    """
    async with one_gateway(tmp_path) as soak:
        await wait_until_served(soak)
        soak.gateways[0].send(signal.SIGTERM)
        sigterm_at = time.monotonic()
        await anyio.sleep(SLOW_AFTER)
        soak.proxies[0].mode = "slow"
        requests = await send_late_requests(soak, sigterm_at, events, workspace)
        process = soak.current_process(soak.gateways[0])
        with anyio.fail_after(READY_TIMEOUT):
            await process.ended.wait()
        runs = read_runs(await soak.engine_records())
    assert len(requests) > 1
    unanswered = [
        request
        for request in requests
        if not (was_answered(request, runs) or met_closed_listener(request, process))
    ]
    assert unanswered == []
    assert any(was_answered(request, runs) for request in requests)


USUAL_EVENTS = 10
"""Number of events of the streams before a stop."""

UNDER_WAY_FROM = 2.3
"""Seconds from SIGTERM until a long stream begins, so that the gateway is not idle."""

SENT_AFTER = 3.2
"""Seconds from SIGTERM until a late stream is sent; 3.9 s are left until it is cut."""

TIME_LIMIT = 3.0
"""Seconds that the caller of a late stream waits, less than are left."""


@pytest.mark.parametrize(
    ("kind", "events", "time_limit", "taken"),
    [
        ("streaming", USUAL_EVENTS, TIME_LIMIT, True),
        ("streaming", 9 * USUAL_EVENTS, TIME_LIMIT, True),
        ("streaming", USUAL_EVENTS, 0.0, False),
        ("streaming", 9 * USUAL_EVENTS, 0.0, False),
        ("streaming", 24 * USUAL_EVENTS, 0.0, False),
        ("safe", USUAL_EVENTS, 0.0, True),
        ("safe", 9 * USUAL_EVENTS, 0.0, True),
        ("safe", 24 * USUAL_EVENTS, 0.0, False),
    ],
    ids=[
        "usual",
        "larger",
        "usual, no limit",
        "larger, no limit",
        "too large",
        "safe, usual",
        "safe, larger",
        "safe, too large",
    ],
)
async def test_late_request_that_states_a_large_size(
    tmp_path: Path, kind: str, events: int, time_limit: float, taken: bool
) -> None:
    """Guards against giving up a request that is larger than those before the stop."""
    async with one_gateway(tmp_path, kind=kind) as soak:
        await wait_until_served(soak)
        async with anyio.create_task_group() as before:
            for number in range(30):
                name = f"before-{number}"
                before.start_soon(send_request, soak, name, USUAL_EVENTS, UNLIMITED)
        soak.gateways[0].send(signal.SIGTERM)
        async with anyio.create_task_group() as tasks:
            await anyio.sleep(UNDER_WAY_FROM)
            tasks.start_soon(send_request, soak, "under-way", LONG_EVENTS, UNLIMITED)
            await anyio.sleep(SENT_AFTER - UNDER_WAY_FROM)
            late = await send_request(
                soak, "late", events, UNLIMITED, time_limit=time_limit
            )
        runs = read_runs(await soak.engine_records())
    assert (late.status, late.whole) == (200 if taken else 503, True)
    assert (late.request_id in runs) is taken


LONGER_THAN_GRACE = {"timeout-ms": 12_000}
"""A timeout of routes that says nothing about when a late request ends."""

BODY = b"abc"
"""The body of each request that is sent together with others."""

LATE_TIME = 4.3
"""Seconds that a late request takes, when 3.9 s are left; those before took 0.2 s."""


async def stop_with_late_requests(
    soak: SoakRun, late: Sequence[RequestRecord]
) -> Container[str]:
    """Stop a gateway under usual load, send late requests on one connection.

    The requests are sent at once, `SENT_AFTER` seconds after SIGTERM. Requests that
    are alike, but short, come before SIGTERM.

    Returns:
        The identifiers of the requests that ran.
    """
    await stop_after_usual(soak, late[0])
    async with anyio.create_task_group() as tasks:
        await anyio.sleep(UNDER_WAY_FROM)
        tasks.start_soon(send_request, soak, "under-way", LONG_EVENTS, UNLIMITED)
        await anyio.sleep(SENT_AFTER - UNDER_WAY_FROM)
        await send_together(soak, late)
    return read_runs(await soak.engine_records())


async def stop_after_usual(soak: SoakRun, late: RequestRecord) -> None:
    """Send usual requests of the kind of a later one, and stop the gateway."""
    await wait_until_served(soak)
    usual = Length(late.length.events and USUAL_EVENTS, EVENT_PAUSE)
    async with anyio.create_task_group() as before:
        for number in range(30):
            request = evolve(late, request_id=f"before-{number}", length=usual)
            before.start_soon(send_together, soak, [request])
    soak.gateways[0].send(signal.SIGTERM)


async def send_together(soak: SoakRun, requests: Sequence[RequestRecord]) -> None:
    """Send requests in one write on a new connection, and read their answers."""
    connection = await connect(soak.gateways[0], requests[0])
    assert connection is not None
    async with connection.stream:
        await connection.send(b"".join(one.head(BODY) + BODY for one in requests))
        for request in requests:
            connection.record_sent(request)
        for request in requests:
            await connection.read(request)


def late_request(
    name: str, events: int, sized: bool = False, time_limit: float = 0.0
) -> RequestRecord:
    """Return a request that takes `LATE_TIME`; with 0 events it is a booking."""
    length = Length(events, LATE_TIME / max(events, 1))
    request = RequestRecord(name, 0, Style.NEW, length, UNLIMITED, 20 if sized else 0)
    request.time_limit = time_limit
    return request


@pytest.mark.parametrize(
    ("events", "sized", "resumable"),
    [
        (USUAL_EVENTS, False, True),
        (USUAL_EVENTS, False, False),
        (USUAL_EVENTS, True, True),
        (LONG_EVENTS, False, True),
        (0, False, True),
    ],
    ids=["slow", "once at most", "slow, sized", "long", "booking"],
)
async def test_late_request_is_not_passed_on_and_cut(
    tmp_path: Path, events: int, sized: bool, resumable: bool
) -> None:
    """Guards against running a late request that the stop cuts."""
    fields = {"resume-streams": resumable, **LONGER_THAN_GRACE}
    late = late_request("late", events, sized)
    async with one_gateway(tmp_path, **fields) as soak:
        runs = await stop_with_late_requests(soak, [late])
    assert (late.status, late.whole, late.request_id in runs) == (503, True, False)


async def test_late_request_whose_own_time_ends_before_the_stop_is_taken(
    tmp_path: Path,
) -> None:
    """Guards against refusing a late stream that the stop cannot cut."""
    late = late_request("late", USUAL_EVENTS, time_limit=2.0)
    late.length = Length(USUAL_EVENTS, EVENT_PAUSE)
    async with one_gateway(tmp_path, **LONGER_THAN_GRACE) as soak:
        await stop_with_late_requests(soak, [late])
    assert (late.status, late.whole) == (200, True)


async def test_request_queued_behind_a_late_stream_is_answered(tmp_path: Path) -> None:
    """Guards against closing a connection on a request behind a stream that is cut."""
    late = [late_request("late", USUAL_EVENTS), late_request("behind", 1)]
    late[1].length = Length(1, EVENT_PAUSE)
    async with one_gateway(tmp_path, **LONGER_THAN_GRACE) as soak:
        await stop_with_late_requests(soak, late)
    assert [request.whole for request in late] == [True, True]


PAUSE = 0.8
"""Seconds for which a gateway stands still; its SIGTERM comes at the beginning."""


async def test_signal_that_is_handled_late_counts_from_its_arrival(
    tmp_path: Path,
) -> None:
    """Guards against taking a late stream as one of the first stage after a pause."""
    late = late_request("late", USUAL_EVENTS)
    async with one_gateway(tmp_path, **LONGER_THAN_GRACE) as soak:
        await wait_until_served(soak)
        soak.gateways[0].send(signal.SIGSTOP)
        await anyio.sleep(0.02)
        soak.gateways[0].send(signal.SIGTERM)
        async with anyio.create_task_group() as tasks:
            await anyio.sleep(PAUSE)
            soak.gateways[0].send(signal.SIGCONT)
            await anyio.sleep(UNDER_WAY_FROM - PAUSE)
            tasks.start_soon(send_request, soak, "under-way", LONG_EVENTS, UNLIMITED)
            await anyio.sleep(SENT_AFTER - UNDER_WAY_FROM)
            await send_together(soak, [late])
        runs = read_runs(await soak.engine_records())
    assert (late.status, late.whole, late.request_id in runs) == (503, True, False)


SLOW_READ = 0.02
"""Seconds between two reads of a caller that reads slowly."""

READ_TIMEOUT = 15.0
"""Seconds that such a caller waits for more of an answer."""

READING_TIME = 6.0
"""Seconds that such a caller takes to read an answer, when 3.9 s are left."""


def pressed_settings(*arguments: Any) -> str:
    """Return the usual settings, with bounds on what is buffered for callers."""
    return 'contracts = ["pressure"]\n' + settings(*arguments)


def read_slowly(gateway: Gateway, request: bytes, pace: float) -> tuple[bytes, bytes]:
    """Send a request, and read at a pace; return the answer's head and body.

    Args:
        gateway: The gateway.
        request: The encoded request.
        pace: How many bytes to read in a second.
    """
    received = b""
    with socket.socket() as caller:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
        caller.settimeout(READ_TIMEOUT)
        caller.connect((gateway.address, gateway.port))
        caller.sendall(request)
        with suppress(ConnectionResetError):
            while part := caller.recv(round(pace * SLOW_READ)):
                received += part
                time.sleep(SLOW_READ)
    head, _, body = received.partition(b"\r\n\r\n")
    return head, body


@pytest.mark.parametrize("size", [200_000, 1_000_000], ids=["200 kB", "1 MB"])
@pytest.mark.parametrize("make", [settings, pressed_settings], ids=["free", "bounded"])
async def test_late_answer_reaches_a_caller_that_reads_slowly(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, make: Callable[..., str], size: int
) -> None:
    """Guards against cutting a safe answer that is ready as its caller reads slowly."""
    monkeypatch.setattr(_run, "settings", make)
    late = late_request("late", 0)
    late.length = Length(0, EVENT_PAUSE)
    body = bytes(size)
    async with one_gateway(tmp_path, kind="safe", **LONGER_THAN_GRACE) as soak:
        await stop_after_usual(soak, late)
        async with anyio.create_task_group() as tasks:
            await anyio.sleep(UNDER_WAY_FROM)
            tasks.start_soon(send_request, soak, "under-way", LONG_EVENTS, UNLIMITED)
            await anyio.sleep(SENT_AFTER - UNDER_WAY_FROM)
            head, got = await anyio.to_thread.run_sync(
                read_slowly,
                soak.gateways[0],
                late.head(body) + body,
                size / READING_TIME,
            )
    assert head.startswith(b"HTTP/1.1 200 ")
    assert len(got) == size


@pytest.mark.parametrize(
    ("sent_at", "lasts", "behind"),
    [(2.2, 5.2, 0.0), (2.8, 4.6, 0.0), (2.2, 4.2, 1.5)],
    ids=["stopping", "unaware", "queued"],
)
async def test_slow_booking_of_an_unaware_caller_ends_without_doubt(
    tmp_path: Path, sent_at: float, lasts: float, behind: float
) -> None:
    """Guards against status 504 for a booking that ran, as the router stops."""
    first = late_request("first", 0)
    first.length = Length(0, behind)
    late = late_request("late", 0)
    late.length = Length(0, lasts)
    async with one_gateway(tmp_path, **LONGER_THAN_GRACE) as soak:
        await stop_after_usual(soak, late)
        async with anyio.create_task_group() as tasks:
            await anyio.sleep(sent_at - 0.3)
            tasks.start_soon(send_request, soak, "under-way", LONG_EVENTS, UNLIMITED)
            await anyio.sleep(0.3)
            await send_together(soak, [first, late] if behind else [late])
        runs = read_runs(await soak.engine_records())
    assert late.whole
    assert (late.status, late.request_id in runs) in ((200, True), (503, False))
