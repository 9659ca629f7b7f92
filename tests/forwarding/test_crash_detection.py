"""Detection of servers that crashed while they had requests, over real sockets."""

from __future__ import annotations

import logging

import anyio
import pytest
from anyio.abc import SocketStream
from attrs import evolve

from ebonyhold.coordination import RequestLoss, ServerRun
from ebonyhold.forwarding._digest import request_digest
from tests.forwarding.kit import (
    Rig,
    Script,
    Server,
    UnlimitedHold,
    answer,
    request,
    rig,
)

pytestmark = pytest.mark.anyio

SETTLE_TIME = 0.3
"""Seconds after a crash within which its losses are recorded."""


@pytest.fixture
def anyio_backend() -> str:
    """Use a real clock, since sockets do not work with a virtual one."""
    return "asyncio"


async def crashes(server: Server, stream: SocketStream, head: str) -> None:
    """End the server before it answers."""
    await server.crash()
    await stream.aclose()


async def drops(server: Server, stream: SocketStream, head: str) -> None:
    """Close the connection without an answer, and go on accepting others."""
    await stream.aclose()


@pytest.mark.parametrize(("script", "count"), [(crashes, 1), (drops, 0)])
async def test_only_a_server_that_refuses_connections_has_crashed(
    script: Script, count: int, caplog: pytest.LogCaptureFixture
) -> None:
    """A server that dropped a connection must not be taken for one that crashed."""
    caplog.set_level(logging.WARNING)
    async with rig(Server("s", script)) as fleet:
        await fleet.ask(request("/unsafe/x", "POST", b"body"))
        await anyio.sleep(SETTLE_TIME)
    lost = [line for line in caplog.records if line.msg == "request lost in a crash"]
    assert len(lost) == count


async def test_connections_that_break_together_are_checked_once() -> None:
    """A crash with many requests in flight must not cause a connection for each."""
    both = anyio.Event()
    arrived = 0

    async def crashes_with_two(server: Server, stream: SocketStream, head: str) -> None:
        nonlocal arrived
        arrived += 1
        if arrived == 2:
            both.set()
        await both.wait()
        await crashes(server, stream, head)

    async with (
        rig(Server("s", crashes_with_two)) as fleet,
        anyio.create_task_group() as tasks,
    ):
        for _ in range(2):
            tasks.start_soon(fleet.ask, request("/unsafe/x", "POST", b"body"))
        await both.wait()
        await anyio.sleep(SETTLE_TIME)
        assert fleet.forwarder.paths.pool.opened == 3


async def serves(server: Server, stream: SocketStream, head: str) -> None:
    """Answer correctly."""
    await stream.send(answer(head))


@pytest.mark.parametrize("idle", [False, True])
async def test_servers_of_one_rack_accuse_no_request(idle: bool) -> None:
    """Requests at servers that end together, time and again, must not be rejected."""
    released = anyio.Event()

    async def waits(server: Server, stream: SocketStream, head: str) -> None:
        if "/idle" in head:
            await serves(server, stream, head)
            await released.wait()
        else:
            await released.wait()
            await crashes(server, stream, head)
        await server.crash()
        await stream.aclose()

    servers = [Server("a", waits), Server("b", waits)]
    async with rig(*servers) as fleet, anyio.create_task_group() as tasks:
        entries = fleet.forwarder.backends.entries
        for server in servers:
            other = entries["a" if server.name == "b" else "b"]
            other.in_flight += 9
            if idle and server.name == "b":
                await fleet.ask(request("/unsafe/idle", "POST", b"body"))
            else:
                tasks.start_soon(fleet.ask, request("/unsafe/x", "POST", b"body"))
            await anyio.sleep(0.1)
            other.in_flight -= 9
        released.set()
        await anyio.sleep(SETTLE_TIME)
        records = fleet.forwarder.crashes.records
        found = list(records.losses)
        assert found
        assert not any(loss.alone for loss in found)
        assert {loss.depth for loss in found} == {1}
        # The same happens to two further racks.
        for depth in (2, 3):
            for loss in found:
                run = ServerRun(f"{loss.run.server}-{depth}", 1)
                records.add(evolve(loss, run=run, depth=depth, at=loss.at + depth))
        assert records.depth(DIGEST) == 3
        assert records.rejected == frozenset()


DIGEST = request_digest("acme", b"POST", "h.example", b"/unsafe/x", b"body")
CRASHER = request("/unsafe/x", "POST", b"body")


def add_losses(fleet: Rig, count: int) -> None:
    """Record successive losses of the request that `DIGEST` identifies."""
    for number in range(count):
        run = ServerRun(f"gone-{number}", 1)
        fleet.forwarder.crashes.records.add(RequestLoss(DIGEST, run, number + 1))


async def test_own_retries_do_not_reach_a_fourth_server() -> None:
    """The retries of one attempt must not take a request to server after server."""
    servers = [Server(f"s{number}", crashes) for number in range(6)]
    async with rig(*servers) as fleet:
        got = await fleet.ask(request("/often/x"))
        await anyio.sleep(SETTLE_TIME)
        again = await fleet.ask(request("/often/x"))
    assert sum(len(server.requests) for server in servers) == 3
    assert got.startswith(b"HTTP/1.1 502 ")
    assert again.startswith(b"HTTP/1.1 400 ")


async def test_rejected_request_holds_nothing_and_is_not_invited_again() -> None:
    """A request that is known to crash servers must be answered at once, for good."""
    server, hold = Server("s", serves), UnlimitedHold()
    counts = "X-Ebonyhold-Token-Counts: 100,40\r\n"
    async with rig(server, hold=hold) as fleet:
        add_losses(fleet, 3)
        got = await fleet.ask(request("/unsafe/x", "POST", b"body", counts))
        other = await fleet.ask(request("/unsafe/x", "POST", b"other", counts))
    assert got.startswith(b"HTTP/1.1 400 ")
    assert b"crashes_servers" in got
    assert b"retry-after" not in got.lower()
    assert other.startswith(b"HTTP/1.1 200 ")
    assert len(server.requests) == len(hold.charges) == 1


async def test_an_answer_acquits_a_request() -> None:
    """A proper request that was in two crashes must not be rejected after a third."""
    server = Server("s", serves)
    async with rig(server) as fleet:
        add_losses(fleet, 2)
        await fleet.ask(CRASHER)
        add_losses(fleet, 1)
        assert fleet.forwarder.crashes.records.rejected == frozenset()
        got = await fleet.ask(CRASHER)
    assert got.startswith(b"HTTP/1.1 200 ")


async def test_requests_lost_together_go_to_different_servers() -> None:
    """Requests that were in one crash must not meet at the next server as well."""
    both = anyio.Event()

    async def crashes_with_two(server: Server, stream: SocketStream, head: str) -> None:
        if len(server.requests) == 2:
            both.set()
        await both.wait()
        await crashes(server, stream, head)

    async def holds(server: Server, stream: SocketStream, head: str) -> None:
        await anyio.sleep(0.3)
        await serves(server, stream, head)

    servers = [Server("a", crashes_with_two), Server("b", holds), Server("c", holds)]
    parts = "X-Ebonyhold-Prompt-Prefix: 5c1e:800,91bd:10\r\n"
    async with rig(*servers) as fleet, anyio.create_task_group() as tasks:
        entries = fleet.forwarder.backends.entries
        entries["b"].work.unread = entries["c"].work.unread = 10_000_000
        for path in ("/safe/x", "/safe/y"):
            tasks.start_soon(fleet.ask, request(path, extra=parts))
        await both.wait()
        entries["b"].work.unread = 0
    assert [len(server.requests) for server in servers] == [2, 1, 1]


@pytest.mark.parametrize(
    ("extra", "same"),
    [
        ("X-Ebonyhold-Request-Id: r2\r\nLast-Event-Id: 4\r\n", True),
        ("X-Ebonyhold-Deadline-Milliseconds: 900\r\n", True),
        ("", False),
    ],
)
async def test_a_repeat_has_the_digest_of_the_first(extra: str, same: bool) -> None:
    """A repeat with a new identifier, or that resumes a stream, must be recognised."""
    server = Server("s", serves)
    body = b"body" if same else b"other body"
    async with rig(server) as fleet:
        add_losses(fleet, 3)
        got = await fleet.ask(request("/unsafe/x", "POST", body, extra))
    assert got.startswith(b"HTTP/1.1 400 ") is same


def test_digests_of_different_requests_differ() -> None:
    """A caller must not get the digest of another request by moving the borders."""
    parts = [
        ("acme", b"GET", "h", b"/a", b"bc"),
        ("acme", b"GET", "h", b"/ab", b"c"),
        ("acme", b"GET", "h/", b"a", b"bc"),
        ("acm", b"eGET", "h", b"/a", b"bc"),
        ("", b"GET", "h", b"/a", b"bc"),
        ("acme", b"GET", "h", b"/a", b""),
    ]
    assert len({request_digest(*each) for each in parts}) == len(parts)


@pytest.mark.parametrize(("listed", "runs"), [(True, [2]), (False, [])])
async def test_crash_counts_though_the_list_shows_the_next_run_late(
    listed: bool, runs: list[int]
) -> None:
    """Guards against crashes of a server that is back before the list shows it."""

    async def crashes_at_next_run(
        server: Server, stream: SocketStream, head: str
    ) -> None:
        backends = fleet.forwarder.backends
        if listed:
            backends.update(evolve(backends.entries["s"].backend, started_at=2))
        else:
            backends.remove("s", anyio.current_time(), False)
        await crashes(server, stream, head)

    async with rig(Server("s", crashes_at_next_run)) as fleet:
        await fleet.ask(request("/unsafe/x", "POST", b"body"))
        await anyio.sleep(SETTLE_TIME)
        losses = fleet.forwarder.crashes.records.losses
        assert [loss.run.started_at for loss in losses] == runs
