"""Answers to callers when backend servers misbehave, over real sockets."""

from __future__ import annotations

import anyio
import pytest
from anyio.abc import SocketStream

from ebonyhold.misc import free_port
from tests.forwarding.kit import (
    Script,
    Server,
    UnlimitedHold,
    answer,
    chunk,
    event,
    request,
    rig,
    stream_head,
    value,
)

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    """Use a real clock, since sockets do not work with a virtual one."""
    return "asyncio"


async def good(server: Server, stream: SocketStream, head: str) -> None:
    """Answer correctly."""
    await stream.send(answer(head))


async def fails(server: Server, stream: SocketStream, head: str) -> None:
    """Answer with a server error."""
    await stream.send(answer(head, b"no", "500 Internal Server Error"))


async def declines(server: Server, stream: SocketStream, head: str) -> None:
    """Refuse a request for lack of capacity, and state that it did not run."""
    full = "503 Service Unavailable"
    await stream.send(answer(head, b"", full, "X-Ebonyhold-Not-Executed: 1\r\n"))


async def moved(server: Server, stream: SocketStream, head: str) -> None:
    """Refuse a request because another server has the address now."""
    await stream.send(answer(head, b"", "421 Misdirected Request"))


async def resets(server: Server, stream: SocketStream, head: str) -> None:
    """Close the connection without an answer."""
    await stream.aclose()


async def truncates(server: Server, stream: SocketStream, head: str) -> None:
    """Close the connection in the middle of the body."""
    await stream.send(answer(head, b"0123456789")[:-4])
    await stream.aclose()


async def sends_garbage(server: Server, stream: SocketStream, head: str) -> None:
    """Send bytes that are not HTTP."""
    await stream.send(b"\x00\x01 what\r\n\r\n")


async def unstamped(server: Server, stream: SocketStream, head: str) -> None:
    """Answer with success but without the response stamp."""
    whole = answer(head).replace(b"X-Ebonyhold-Response-Stamp: proof\r\n", b"")
    await stream.send(whole)


async def silent(server: Server, stream: SocketStream, head: str) -> None:
    """Send nothing."""
    await anyio.sleep(5)


async def stray_first(server: Server, stream: SocketStream, head: str) -> None:
    """Send an answer to another request first, and then the right one."""
    other = answer(head, b"not yours").replace(b"r1", b"r0", 1)
    await stream.send(other + answer(head))


async def unframed(server: Server, stream: SocketStream, head: str) -> None:
    """Answer without a content length; the close of the connection ends the body."""
    await stream.send(answer(head, b"ok").replace(b"Content-Length: 2\r\n", b""))
    await stream.aclose()


BAD_ONCE = [
    # script of one server (the other is good), status of a safe and an unsafe request
    (good, 200, 200),
    (fails, 200, 500),
    (declines, 200, 200),
    (moved, 200, 200),
    (resets, 200, 502),
    (truncates, 200, 502),
    (sends_garbage, 200, 502),
    (unstamped, 200, 502),
    (silent, 200, 504),
    (stray_first, 200, 200),
    (unframed, 200, 200),
]


@pytest.mark.parametrize(("script", "safe", "unsafe"), BAD_ONCE)
@pytest.mark.parametrize("path", ["safe", "short"])
async def test_one_bad_server(
    script: Script, safe: int, unsafe: int, path: str
) -> None:
    """One of two servers misbehaves.

    A request that may be repeated is answered by the other server. Any other request
    is sent to it only if the first server states that it did not run the request.
    """
    bad, fine = Server("bad", script), Server("fine", good)
    async with rig(bad, fine) as router:
        router.forwarder.backends.entries["fine"].in_flight = 3
        got = await router.ask(request(f"/{path}/x"))
    expected = safe if path == "safe" else unsafe
    assert got.startswith(f"HTTP/1.1 {expected} ".encode()), got
    ran = len(fine.requests)
    assert ran == int(expected == 200 and script not in (good, stray_first, unframed))


async def test_declined_request_gets_retry_after() -> None:
    """A request is refused with Retry-After if the only server declines it."""
    async with rig(Server("bad", declines)) as router:
        got = await router.ask(request("/unsafe/x"))
    assert got.startswith(b"HTTP/1.1 503 ")
    assert b"retry-after: 0.2" in got.lower()


async def test_no_retry_without_budget() -> None:
    """Without retry budget, the error answer of the first server is passed on."""
    bad, fine = Server("bad", fails), Server("fine", good)
    async with rig(bad, fine, extra_retries=0.0) as router:
        router.forwarder.backends.entries["fine"].in_flight = 3
        got = await router.ask(request("/safe/x"))
    assert got.startswith(b"HTTP/1.1 500 ")
    assert not fine.requests


async def test_an_unreachable_server_costs_no_attempt() -> None:
    """A server refuses connections because its VM is gone.

    Nothing was sent, so even a request that must not be repeated may go to another
    server.
    """
    gone, fine = Server("gone", good, port=free_port()), Server("fine", good)
    async with rig(fine) as router:
        router.forwarder.backends.update(gone.backend())
        router.forwarder.backends.entries["fine"].in_flight = 3
        got = await router.ask(request("/unsafe/x", "POST", b"book"))
    assert got.startswith(b"HTTP/1.1 200 ")
    assert fine.bodies == [b"book"]


async def test_caller_disconnect_cancels_the_attempt() -> None:
    """A caller closes its connection while a server works on its request.

    The router then closes its connection to the server, which ends the work there too.
    """
    server = Server("slow", silent)
    async with rig(server) as router:
        stream = await anyio.connect_tcp("127.0.0.1", router.port)
        await stream.send(request("/unsafe/x"))
        await anyio.sleep(0.2)
        assert server.requests
        await stream.aclose()
        await anyio.sleep(0.2)
        entry = router.forwarder.backends.entries["slow"]
        assert entry.in_flight == 0
    assert router.ended == [("unsafe", "left")]


async def test_connections_are_reused() -> None:
    """Requests in sequence use one connection to the server."""
    server = Server("one", good)
    async with rig(server) as router:
        for _ in range(3):
            await router.ask(request("/safe/x"))
    assert server.connections == 1


async def test_an_early_answer_to_a_large_body() -> None:
    """A server answers before it has read a long body.

    The rest of the body is still sent. Otherwise the server would read the next request
    on the connection as a part of this body.
    """

    async def serve(server: Server, stream: SocketStream, head: str) -> None:
        await stream.send(answer(head, b"enough", "413 Content Too Large"))

    server = Server("early", serve)
    async with rig(server) as router:
        got = await router.ask(request("/unsafe/x", "POST", b"b" * 90_000))
    assert got.startswith(b"HTTP/1.1 413 ") and got.endswith(b"enough")
    assert server.bodies == [b"b" * 90_000]


async def whole_stream(server: Server, stream: SocketStream, head: str) -> None:
    """Stream the events up to number 4, starting after the last event ID if given."""
    first = int(value(head, "last-event-id") or 0) + 1
    await stream.send(stream_head(head))
    for number in range(first, 5):
        await stream.send(chunk(event(number)))
    await stream.send(chunk(b""))


async def broken_stream(server: Server, stream: SocketStream, head: str) -> None:
    """Close the connection in the middle of the third event."""
    await stream.send(stream_head(head))
    await stream.send(chunk(event(1)) + chunk(event(2)) + chunk(event(3)[:6]))
    await stream.aclose()


def numbers(got: bytes) -> list[int]:
    """Return the numbers of the events in an answer."""
    return [int(line[4:]) for line in got.split(b"\n") if line.startswith(b"id: ")]


async def test_broken_stream_resumes_at_another_server() -> None:
    """An engine crashes in the middle of an event.

    Another engine resumes the stream after the last complete event, in the same answer.
    """
    bad, fine = Server("bad", broken_stream), Server("fine", whole_stream)
    hold = UnlimitedHold()
    async with rig(bad, fine, hold=hold) as router:
        router.forwarder.backends.entries["fine"].in_flight = 9
        counts = "X-Ebonyhold-Token-Counts: 100,40\r\n"
        got = await router.ask(request("/stream/x", extra=counts))
    assert numbers(got) == [1, 2, 3, 4]
    assert got.endswith(b"0\r\n\r\n")
    assert value(fine.requests[0], "last-event-id") == "2"
    assert hold.charges == [(140, 120)]


async def test_a_stream_that_cannot_resume_is_cut() -> None:
    """The server of a stream fails, and the route does not allow resuming.

    The caller's answer has no regular end, which shows that the rest is missing.
    """
    bad, fine = Server("bad", broken_stream), Server("fine", whole_stream)
    async with rig(bad, fine) as router:
        router.forwarder.backends.entries["fine"].in_flight = 9
        got = await router.ask(request("/once/x"))
    assert numbers(got)[:2] == [1, 2]
    assert not got.endswith(b"0\r\n\r\n")
    assert not fine.requests


async def test_dispatch_headers() -> None:
    """The server gets the router's own fields; the caller cannot set them itself."""
    server = Server("one", good)
    forged = "X-Ebonyhold-Tenant: other\r\nX-Ebonyhold-Hold: 1\r\nKv-From: x\r\n"
    async with rig(server) as router:
        await router.ask(
            request(
                "/safe/x?q=1",
                extra=f"{forged}X-Ebonyhold-Deadline-Milliseconds: 900\r\nA: b\r\n",
            )
        )
    head = server.requests[0]
    assert head.startswith("GET /safe/x?q=1 HTTP/1.1")
    assert value(head, "x-ebonyhold-expect-instance") == "one"
    assert value(head, "x-ebonyhold-tenant") == "acme"
    assert value(head, "x-ebonyhold-request-priority") == "3"
    assert 850 <= int(value(head, "x-ebonyhold-deadline-milliseconds")) <= 900
    assert value(head, "a") == "b"
    for name in ("x-ebonyhold-key", "x-ebonyhold-hold", "kv-from"):
        assert not value(head, name)


HUGE = "9" * 5000
"""A number with more digits than Python converts."""


async def huge_keep_alive(server: Server, stream: SocketStream, head: str) -> None:
    """Send a keep-alive timeout that is out of range."""
    await stream.send(answer(head, extra=f"Keep-Alive: timeout={HUGE}\r\n"))


async def huge_event_id(server: Server, stream: SocketStream, head: str) -> None:
    """Send an event ID that is out of range."""
    await stream.send(stream_head(head))
    await stream.send(chunk(f"id: {HUGE}\ndata: t\n\n".encode()) + chunk(b""))


@pytest.mark.parametrize(
    ("script", "path"), [(huge_keep_alive, "safe"), (huge_event_id, "stream")]
)
async def test_number_out_of_range_is_ignored(script: Script, path: str) -> None:
    """Guards against a router that exits because of a number in a server's answer.

    Python refuses to convert a number of this length, and an unhandled error would end
    the task group of the process.
    """
    async with rig(Server("odd", script)) as router:
        for _ in range(2):
            got = await router.ask(request(f"/{path}/x"))
            assert got.startswith(b"HTTP/1.1 200 "), got
