"""Servers that name a limit in their answers, over real sockets."""

from __future__ import annotations

import time

import anyio
import pytest
from anyio.abc import SocketStream

from ebonyhold.coordination import EndedLimit, LimitShares, ServerRun
from ebonyhold.forwarding._refusals import RETRY_SPREAD
from ebonyhold.platform import PlatformDialect
from tests.forwarding.kit import (
    Rig,
    Script,
    Server,
    answer,
    chunk,
    event,
    request,
    rig,
    stream_head,
)

pytestmark = pytest.mark.anyio

FULL = "X-Ebonyhold-Not-Executed: 1\r\n"


@pytest.fixture
def anyio_backend() -> str:
    """Use a real clock, since sockets do not work with a virtual one."""
    return "asyncio"


def naming(limit: str, status: str = "200 OK", extra: str = "") -> Script:
    """Return a script of answers that name a limit."""

    async def script(server: Server, stream: SocketStream, head: str) -> None:
        field = f"Server-Limit: {limit}\r\n" if limit else ""
        await stream.send(answer(head, b"ok", status, field + extra))

    return script


async def streams(server: Server, stream: SocketStream, head: str) -> None:
    """Name a limit in the head of a stream."""
    named = stream_head(head).replace(b"\r\n\r\n", b"\r\nServer-Limit: 2.5\r\n\r\n")
    await stream.send(named + chunk(event(1)) + chunk(b""))


def known_limit(fleet: Rig, name: str) -> float | None:
    """Return the limit that a router knows of a server."""
    limit = fleet.forwarder.backends.entries[name].limit
    return None if limit is None else limit.limit


@pytest.mark.parametrize(
    ("script", "path", "limit"),
    [
        (naming("2.5"), "/unsafe/x", 2.5),
        (naming("2.5", "404 Not Found"), "/unsafe/x", 2.5),
        (naming("2.5", "500 Internal Server Error"), "/unsafe/x", 2.5),
        (naming("2.5", "503 Service Unavailable", FULL), "/unsafe/x", 2.5),
        (naming("2.5", "421 Misdirected Request"), "/unsafe/x", None),
        (streams, "/stream/x", 2.5),
    ],
    ids=["success", "error", "failure", "declined", "of another server", "stream"],
)
async def test_every_answer_of_a_server_may_name_its_limit(
    script: Script, path: str, limit: float | None
) -> None:
    """A limit in any kind of answer must be noticed."""
    async with rig(Server("s", script)) as fleet:
        await fleet.ask(request(path, "POST", b"body"))
        assert known_limit(fleet, "s") == limit


@pytest.mark.parametrize(
    ("value", "limit"),
    [
        (b"2.3", 2.3),
        (b" 7 ", 7.0),
        (b"0", 0.0),
        (b"999999999", 999_999_999.0),
        (b"", None),
        (b"-1", None),
        (b"nan", None),
        (b"inf", None),
        (b"1e400", None),
        (b"9" * 5000, None),
        (b"2,3", None),
        (b"\xff", None),
    ],
)
def test_unusable_limits_are_ignored(value: bytes, limit: float | None) -> None:
    """A value that is no decimal number must not fail a request."""
    facts = PlatformDialect().read_answer(200, [(b"server-limit", value)])
    assert facts.request_limit == limit


async def test_requests_beyond_a_limit_go_to_other_servers() -> None:
    """A prompt whose server has a limit must be read by another server."""
    limited, other = Server("a", naming("1")), Server("b", naming(""))
    parts = "X-Ebonyhold-Prompt-Prefix: 5c1e:800,91bd:10\r\n"
    async with rig(limited, other) as fleet:
        fleet.forwarder.backends.entries["b"].work.unread = 10_000_000
        for number in range(6):
            got = await fleet.ask(request(f"/safe/{number}", extra=parts))
            assert got.startswith(b"HTTP/1.1 200 ")
    assert (len(limited.requests), len(other.requests)) == (1, 5)


async def test_retries_count_against_a_limit() -> None:
    """A retry must not reach a server whose limit is used up."""
    failing = Server("a", naming("", "500 Internal Server Error"))
    limited = Server("b", naming("1"))
    async with rig(failing, limited) as fleet:
        entries = fleet.forwarder.backends.entries
        fleet.forwarder.backends.set_limit(entries["b"], 1.0, anyio.current_time())
        got = await fleet.ask(request("/safe/x"))
        assert got.startswith(b"HTTP/1.1 500 ")
        assert not limited.requests
        await anyio.sleep(1.1)
        entries["b"].in_flight = 9
        got = await fleet.ask(request("/safe/x"))
        assert got.startswith(b"HTTP/1.1 200 ")
        got = await fleet.ask(request("/safe/x"))
        assert got.startswith(b"HTTP/1.1 500 ")
    assert len(limited.requests) == 1


async def test_refusal_says_when_a_limit_allows_the_next_request() -> None:
    """Where all servers are at their limits, the caller must learn when to return."""
    async with rig(Server("s", naming("2"))) as fleet:
        await fleet.ask(request("/unsafe/x", "POST", b"body"))
        started_at = time.monotonic()
        got = await fleet.ask(request("/unsafe/x", "POST", b"body"))
        assert time.monotonic() - started_at < 0.2
        head = got.decode().lower()
        wait = float(head.partition("retry-after: ")[2].partition("\r\n")[0])
        assert head.startswith("http/1.1 503 ")
        assert "servers_limited" in head
        assert 0.2 < wait <= 0.5 * (1 + RETRY_SPREAD)
        await anyio.sleep(wait)
        got = await fleet.ask(request("/unsafe/x", "POST", b"body"))
    assert got.startswith(b"HTTP/1.1 200 ")


async def test_a_limit_ends_with_the_first_answer_without_it() -> None:
    """A limit must not outlast the answers that name it."""
    server = Server("s", naming("100"))
    async with rig(server) as fleet:
        await fleet.ask(request("/unsafe/x", "POST", b"body"))
        server.script = naming("")
        await anyio.sleep(0.1)
        await fleet.ask(request("/unsafe/x", "POST", b"body"))
        assert known_limit(fleet, "s") is None
        assert list(fleet.forwarder.backends.ended_limits.ended) == [ServerRun("s", 1)]


@pytest.mark.parametrize(
    ("started_at", "later", "ends"),
    [(1, 5.0, True), (1, -5.0, False), (2, 5.0, False)],
    ids=["newer", "older", "of another run"],
)
async def test_the_end_of_a_limit_that_another_router_saw(
    started_at: int, later: float, ends: bool
) -> None:
    """A router that sends nothing to a server must learn that its limit has ended."""
    async with rig(Server("s", naming("2"))) as fleet:
        fleet.forwarder.backends.shares = LimitShares("vm-1", lambda: 1)
        got = await fleet.ask(request("/unsafe/x", "POST", b"body"))
        assert got.startswith(b"HTTP/1.1 200 "), got
        assert known_limit(fleet, "s") is not None
        ended = EndedLimit(ServerRun("s", started_at), time.time() + later)
        fleet.forwarder.backends.end_limit(ended)
        assert (known_limit(fleet, "s") is None) is ends
