"""Answers that servers send late, where the answer to the next request is expected."""

from __future__ import annotations

from contextlib import AbstractAsyncContextManager

import anyio
import pytest
from anyio.abc import SocketStream
from attrs import evolve

from ebonyhold.forwarding import AnswerFacts, AnswerHead, BackendEntry, Channel
from ebonyhold.forwarding._relaying import RelayedRequest
from tests.forwarding.kit import (
    Rig,
    Script,
    Server,
    UnlimitedHold,
    answer,
    request,
    rig,
    stray,
)
from tests.forwarding.test_attempts import good, numbers, whole_stream
from tests.forwarding.test_relaying import Partitioned, partitioned

pytestmark = pytest.mark.anyio

COUNTS = "X-Ebonyhold-Token-Counts: 100,40\r\n"

WORK = 0.02
"""Seconds that a server works on a request after it has sent the late rejection."""


@pytest.fixture
def anyio_backend() -> str:
    """Use a real clock, since sockets do not work with a virtual one."""
    return "asyncio"


def late(rejection: bytes, then: Script = good) -> Script:
    """Return a script that sends a late rejection, and then runs the request."""

    async def script(server: Server, stream: SocketStream, head: str) -> None:
        await stream.send(rejection)
        await anyio.sleep(WORK)
        await then(server, stream, head)

    return script


def router_of(running: Rig | Partitioned) -> Rig:
    """Return the router that callers ask."""
    return running if isinstance(running, Rig) else running.router


def run(
    way: str, *servers: Server, hold: UnlimitedHold | None = None
) -> AbstractAsyncContextManager[Rig | Partitioned]:
    """Run a router that sends to servers itself, or by way of another one."""
    return (
        rig(*servers, hold=hold)
        if way == "direct"
        else partitioned(*servers, hold=hold)
    )


REJECTIONS = [
    stray(),
    stray(status="429 Too Many Requests"),
    stray(status="400 Bad Request"),
    stray(status="421 Misdirected Request"),
    stray() + stray(status="421 Misdirected Request"),
]


@pytest.mark.parametrize("rejection", REJECTIONS, ids=range(len(REJECTIONS)))
@pytest.mark.parametrize("path", ["unsafe", "safe", "once", "stream"])
@pytest.mark.parametrize("way", ["direct", "relay"])
async def test_late_rejection_of_another_request_repeats_none(
    way: str, path: str, rejection: bytes
) -> None:
    """Guards against a request that runs twice, or is refused or free though it ran."""
    then = good if path in ("unsafe", "safe") else whole_stream
    first, second = Server("first", late(rejection, then)), Server("second", then)
    hold = UnlimitedHold()
    async with run(way, first, second, hold=hold) as running:
        router = router_of(running)
        router.forwarder.backends.entries["second"].in_flight = 9
        got = await router.ask(request(f"/{path}/x", extra=COUNTS))
        entries = router.forwarder.backends.entries
        assert not entries["first"].moved
        assert entries["first"].full_until == 0.0
    assert got.startswith(b"HTTP/1.1 200 "), got
    assert (len(first.requests), len(second.requests)) == (1, 0)
    assert hold.charges[0][1] > 0
    if then is whole_stream:
        assert numbers(got) == [1, 2, 3, 4]


UNNAMED = [
    # whether the connection has carried a request, path, status, sent to the second
    (False, "unsafe", 200, 1),
    (False, "safe", 200, 1),
    (True, "unsafe", 502, 0),
    (True, "safe", 200, 1),
]


@pytest.mark.parametrize(("used", "path", "status", "sent"), UNNAMED)
async def test_rejection_without_a_name_proves_nothing_on_a_used_connection(
    used: bool, path: str, status: int, sent: int
) -> None:
    """Guards against a request that runs twice, since it may be an earlier one's."""

    async def unnamed(server: Server, stream: SocketStream, head: str) -> None:
        if used and len(server.requests) == 1:
            await stream.send(answer(head))
        else:
            await stream.send(stray("") + answer(head))

    first, second = Server("first", unnamed), Server("second", good)
    async with rig(first, second) as router:
        router.forwarder.backends.entries["second"].in_flight = 9
        if used:
            await router.ask(request("/unsafe/x"))
        got = await router.ask(request(f"/{path}/x"))
    assert got.startswith(f"HTTP/1.1 {status} ".encode()), got
    assert (len(first.requests), len(second.requests)) == (1 + used, sent)


async def test_late_rejection_passed_on_by_an_earlier_build_repeats_none(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a request that runs twice while old and new routers run."""

    async def take_any(
        relayed: RelayedRequest, entry: BackendEntry, channel: Channel
    ) -> tuple[AnswerHead, AnswerFacts]:
        head = await channel.read_head()
        facts = relayed.relay.dialect.read_answer(head.status, head.headers)
        return head, evolve(facts, not_run=False)

    monkeypatch.setattr(RelayedRequest, "read_answer", take_any)
    first, second = Server("first", late(stray())), Server("second", good)
    async with partitioned(first, second) as cut:
        cut.router.forwarder.backends.entries["second"].in_flight = 9
        with anyio.fail_after(1.0):
            got = await cut.router.ask(request("/unsafe/x"))
    assert got.startswith(b"HTTP/1.1 502 "), got
    assert (len(first.requests), len(second.requests)) == (1, 0)


STATEMENTS = ["Retry-After: 9", "Server-Limit: 1"]


@pytest.mark.parametrize("statement", STATEMENTS)
@pytest.mark.parametrize("way", ["direct", "relay"])
async def test_late_answer_states_no_limit_or_rest(way: str, statement: str) -> None:
    """Guards against a sound server that gets no requests for a limit that is over."""
    end = b"\r\n\r\n"
    script = late(stray().replace(end, f"\r\n{statement}".encode() + end))
    async with run(way, Server("only", script)) as running:
        for _ in range(2):
            got = await router_of(running).ask(request("/unsafe/x"))
            assert got.startswith(b"HTTP/1.1 200 "), got
        tables = [router_of(running).forwarder.backends]
        if isinstance(running, Partitioned):
            tables.append(running.relay.backends)
        for table in tables:
            assert not table.ended_limits.ended


@pytest.mark.parametrize("path", ["safe", "stream"])
@pytest.mark.parametrize("way", ["direct", "relay"])
async def test_late_answer_that_stops_midway_holds_no_request(
    way: str, path: str
) -> None:
    """Guards against requests that wait for the rest of it until their deadline."""
    part = stray().replace(b"Content-Length: 0", b"Content-Length: 9") + b"part"

    async def stops(server: Server, stream: SocketStream, head: str) -> None:
        await stream.send(part)
        await anyio.sleep(3.0)

    sound = good if path == "safe" else whole_stream
    first, second = Server("first", stops), Server("second", sound)
    async with run(way, first, second) as running:
        router = router_of(running)
        router.forwarder.backends.entries["second"].in_flight = 9
        with anyio.fail_after(1.9):
            got = await router.ask(request(f"/{path}/x"))
    assert got.startswith(b"HTTP/1.1 200 "), got


async def test_answer_behind_a_late_one_that_pauses_is_passed_on() -> None:
    """Guards against losing one's place in a late answer when its server pauses."""
    late_answer = answer("X-Ebonyhold-Request-Id: r0", b"late")

    async def pauses(server: Server, stream: SocketStream, head: str) -> None:
        await stream.send(late_answer[:-2])
        await anyio.sleep(0.7)
        await stream.send(late_answer[-2:] + answer(head))

    first = Server("first", pauses)
    async with rig(first) as router:
        got = await router.ask(request("/safe/x"))
    assert got.startswith(b"HTTP/1.1 200 "), got
    assert got.endswith(b"ok")
    assert len(first.requests) == 1
