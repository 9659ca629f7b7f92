"""Answers to callers whose requests cannot be served, over real sockets."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable
from contextlib import nullcontext
from threading import Timer

import anyio
import pytest
from anyio.abc import SocketStream

from ebonyhold.exceptions import BudgetExhaustedError, BudgetUnreachableError
from ebonyhold.forwarding import (
    CallerConnection,
    CallerLimits,
    CallerListener,
    RequestHead,
)
from ebonyhold.forwarding._caller import ReadFault, ReadFaultError
from ebonyhold.forwarding._sockets import reset_on_close
from tests.forwarding.kit import (
    LOOPBACK,
    Server,
    UnlimitedHold,
    chunk,
    event,
    read_all,
    request,
    rig,
    stream_head,
)
from tests.forwarding.test_attempts import good, numbers, silent, whole_stream

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    """Use a real clock, since sockets do not work with a virtual one."""
    return "asyncio"


TWO_LENGTHS = request("/safe/x", extra="Transfer-Encoding: chunked\r\n", body=b"x")
LONG_HEAD = request("/safe/x", extra=f"A: {'a' * 3000}\r\n")

HUGE = "9" * 400
"""A number beyond the range of a float, short enough for the limit of a head."""

REFUSALS = [
    (request("/none/x"), 404),
    (request("/safe/x").replace(b"h.example", b"other.example"), 404),
    (request("/safe/x").replace(b": k1", b": nobody"), 401),
    (request("/open/x").replace(b": k1", b": nobody"), 200),
    (TWO_LENGTHS, 400),
    (b"what is this\r\n\r\n", 400),
    (LONG_HEAD, 431),
    (request("/unsafe/x", "POST", b"b" * 100_001), 413),
    (request("/safe/x", extra="X-Ebonyhold-Deadline-Milliseconds: x\r\n"), 400),
    (b"GET /safe/x HTTP/1.1\r\nHost: h.exa", 408),
    (request("/safe/x", extra=f"X-Ebonyhold-Deadline-Milliseconds: {HUGE}\r\n"), 400),
]


@pytest.mark.parametrize(("sent", "status"), REFUSALS)
async def test_refusals(sent: bytes, status: int) -> None:
    """Invalid, unauthorized and slow requests are refused with the right status."""
    async with rig(Server("one", good)) as router:
        got = await router.ask(sent)
    assert got.startswith(f"HTTP/1.1 {status} ".encode()), got


class RefusedHold(UnlimitedHold):
    """A hold that is refused."""

    def __init__(self, error: Exception) -> None:
        super().__init__()
        self.error = error

    async def hold(self, amount: int, request: str) -> None:
        """Raise the given error."""
        raise self.error


@pytest.mark.parametrize(
    ("error", "status"),
    [(BudgetExhaustedError("x"), 402), (BudgetUnreachableError("x"), 429)],
)
async def test_no_tokens(error: Exception, status: int) -> None:
    """A request without enough tokens is refused and not sent to a server."""
    server = Server("one", good)
    async with rig(server, hold=RefusedHold(error)) as router:
        counts = "X-Ebonyhold-Token-Counts: 100,40\r\n"
        got = await router.ask(request("/safe/x", extra=counts))
    assert got.startswith(f"HTTP/1.1 {status} ".encode())
    assert (b"retry-after" in got.lower()) == (status == 429)
    assert not server.requests


async def test_refusal_at_the_route_timeout() -> None:
    """A request without an answer is refused at the timeout of its route."""
    async with rig(Server("one", silent)) as router:
        before = anyio.current_time()
        got = await router.ask(request("/short/x"))
        assert anyio.current_time() - before < 1.0
    assert got.startswith(b"HTTP/1.1 504 ")


async def test_two_requests_on_one_connection() -> None:
    """Two requests sent at once on a connection are both answered."""
    async with rig(Server("one", good)) as router:
        first = request("/safe/x", close=False)
        got = await router.ask(first + request("/safe/y"))
    assert got.count(b"HTTP/1.1 200 ") == 2


async def test_draining_ends_connections_with_their_next_answer() -> None:
    """A shutdown starts while a caller keeps its connection open.

    The next request is still answered, and that answer announces the close. So no
    request is sent on a connection that is being closed.
    """
    async with rig(Server("one", good)) as router:
        stream = await anyio.connect_tcp("127.0.0.1", router.port)
        await stream.send(request("/safe/x", close=False))
        assert b"200" in await stream.receive()
        router.listener.start_draining()
        await stream.send(request("/safe/x", close=False))
        got = b""
        with pytest.raises(anyio.EndOfStream):
            while True:
                got += await stream.receive()
        assert b"connection: close" in got.lower()


async def test_pipelined_requests_are_answered_while_draining() -> None:
    """Guards against dropping pipelined requests during a shutdown.

    If the answer to the first of three requests announces the close, the others get no
    answer. Closing with unread bytes also resets the connection, which can discard the
    first answer.
    """
    async with rig(Server("one", good)) as router:
        router.listener.start_draining()
        one = request("/safe/x", close=False)
        got = await router.ask(one + one + one)
    assert got.count(b"HTTP/1.1 200 ") == 3
    assert got.lower().count(b"connection: close") == 1


async def test_last_answer_survives_further_sending() -> None:
    """A caller continues to send after the request whose answer closes the connection.

    Closing a connection with unread bytes would reset it and discard the answer.
    """
    async with rig(Server("one", good)) as router:
        router.listener.start_draining()
        async with await anyio.connect_tcp("127.0.0.1", router.port) as stream:
            await stream.send(request("/safe/x", close=False))
            got = await stream.receive()
            with anyio.move_on_after(0.05):
                while True:
                    await stream.send(b"x" * 1000)
            with pytest.raises(anyio.EndOfStream):
                got += await stream.receive()
    assert got.endswith(b"ok")


async def test_refusal_of_a_large_body_names_its_request() -> None:
    """The refusal of a request with too large a body contains its identifier."""
    async with rig(Server("one", good)) as router:
        whole = request("/safe/x", "POST", b"b" * 100_001)
        got = await router.ask(whole)
    assert b" 413 " in got and b"x-ebonyhold-request-id: r1" in got.lower()


async def test_close_idle() -> None:
    """close_idle closes a connection that has no current request."""
    async with rig(Server("one", good)) as router:
        stream = await anyio.connect_tcp("127.0.0.1", router.port)
        await stream.send(request("/safe/x", close=False))
        await stream.receive()
        await anyio.sleep(0.05)
        router.listener.close_idle()
        with pytest.raises(anyio.EndOfStream):
            await stream.receive()


POST = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n12"

PAUSED = [
    # how many bytes arrive before a pause; the others arrive while it lasts
    pytest.param(0, id="between requests"),
    pytest.param(20, id="in a head"),
    pytest.param(len(POST) - 1, id="in a body"),
]


@pytest.mark.parametrize("before", PAUSED)
async def test_request_that_arrives_while_this_process_is_paused_is_read(
    before: int,
) -> None:
    """Guards against closing connections of callers whose bytes are only unread."""
    limits = CallerLimits(head_timeout=0.2, idle_timeout=0.2)
    with socket.create_server((LOOPBACK, 0)) as listening:
        stream = await anyio.connect_tcp(LOOPBACK, listening.getsockname()[1])
        caller, _ = listening.accept()
    connection = CallerConnection(stream, limits)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(connection.inbox.fill)
        with caller:
            caller.sendall(POST[:before])
            rest = Timer(0.1, caller.sendall, [POST[before:]])
            rest.start()
            asyncio.get_running_loop().call_later(0.05, time.sleep, 0.4)
            await connection.await_first_byte()
            head, body = await connection.read_whole()
        assert (head.method, body) == (b"POST", b"12")
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize("before", PAUSED)
async def test_caller_that_sends_nothing_is_given_up_soon_after_a_pause(
    before: int,
) -> None:
    """Guards against waiting for silent callers once more after a pause."""
    limits = CallerLimits(head_timeout=0.2, idle_timeout=0.2)
    with socket.create_server((LOOPBACK, 0)) as listening:
        stream = await anyio.connect_tcp(LOOPBACK, listening.getsockname()[1])
        caller, _ = listening.accept()
    connection, began = CallerConnection(stream, limits), anyio.current_time()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(connection.inbox.fill)
        with caller:
            caller.sendall(POST[:before])
            asyncio.get_running_loop().call_later(0.05, time.sleep, 0.4)
            with pytest.raises(ReadFaultError) as caught:
                await connection.await_first_byte()
                await connection.read_whole()
        assert caught.value.fault is (ReadFault.SLOW if before else ReadFault.IDLE)
        assert anyio.current_time() - began < 0.7
        tasks.cancel_scope.cancel()


async def test_late_request_is_answered_before_exit() -> None:
    """Guards against cutting off a request that arrives late in a shutdown.

    A request can arrive on a new connection while the grants are being returned. If the
    process checks for current requests only before that, it exits during this request.
    """
    served = []

    async def serve(
        connection: CallerConnection, head: RequestHead, body: bytes
    ) -> None:
        served.append(head.target)
        await anyio.sleep(0.1)
        await connection.answer(200, [], b"whole")

    listener = CallerListener(serve, CallerLimits)
    async with anyio.create_task_group() as tasks:
        port = free_port()
        tasks.start_soon(listener.run, ("127.0.0.1", port), tasks)
        await anyio.sleep(0.05)
        stream = await anyio.connect_tcp("127.0.0.1", port)
        await anyio.sleep(0.05)
        listener.start_draining()
        await stream.send(request("/safe/x", close=False))
        await anyio.sleep(0.02)
        listener.stop_accepting()
        listener.close_idle()
        await anyio.sleep(0.02)
        with pytest.raises(OSError):
            await anyio.connect_tcp("127.0.0.1", port)
        with anyio.fail_after(2.0):
            await listener.until_empty()
        assert b"whole" in await stream.receive()
        tasks.cancel_scope.cancel()
    assert served == [b"/safe/x"]


@pytest.mark.parametrize(
    ("at_once", "held_back"),
    [(True, False), (False, False), (False, True)],
    ids=["one piece", "two pieces", "held back"],
)
async def test_waiting_for_a_turn_does_not_make_a_request_late(
    at_once: bool, held_back: bool
) -> None:
    """Guards against a queueing time of a pipelined request that is measured too short.

    The queueing time starts when the request arrives, not when the answer to the
    previous request has ended.
    """
    waits: list[float] = []

    async def serve(
        connection: CallerConnection, head: RequestHead, body: bytes
    ) -> None:
        waits.append(anyio.current_time() - connection.received_at)
        with connection.inbox.held_back() if held_back else nullcontext():
            await anyio.sleep(0.3)
        await connection.answer(200, [], b"whole")

    listener = CallerListener(serve, CallerLimits)
    one = request("/safe/x", close=False)
    async with anyio.create_task_group() as tasks:
        port = free_port()
        tasks.start_soon(listener.run, ("127.0.0.1", port), tasks)
        await anyio.sleep(0.05)
        async with await anyio.connect_tcp("127.0.0.1", port) as stream:
            await stream.send(one + one if at_once else one)
            await anyio.sleep(0.1)
            if not at_once:
                await stream.send(one)
            await anyio.sleep(0.4)
        tasks.cancel_scope.cancel()
    first, second = waits
    assert first < 0.1
    assert second > (0.25 if at_once else 0.15)


def free_port() -> int:
    """Return an unused port."""
    with socket.create_server(("127.0.0.1", 0)) as taken:
        port: int = taken.getsockname()[1]
    return port


async def never_ends(server: Server, stream: SocketStream, head: str) -> None:
    """Begin a stream, and go on for long."""
    await stream.send(stream_head(head) + chunk(event(1)))
    await anyio.sleep(30.0)


async def end_sending(stream: SocketStream) -> None:
    """Close one side of a connection."""
    await stream.send_eof()


async def close(stream: SocketStream) -> None:
    """Close a connection."""
    await stream.aclose()


async def reset(stream: SocketStream) -> None:
    """Reset a connection."""
    reset_on_close(stream)
    await stream.aclose()


@pytest.mark.parametrize("leave", [end_sending, close, reset])
async def test_caller_that_leaves_with_an_unread_request_is_noticed(
    leave: Callable[[SocketStream], Awaitable[None]],
) -> None:
    """Guards against running a stream on for a caller that has left."""
    async with rig(Server("one", never_ends)) as router:
        caller = await anyio.connect_tcp(LOOPBACK, router.port)
        await caller.send(request("/once/x", close=False))
        assert b"id: 1" in await caller.receive()
        await caller.send(request("/safe/x", close=False))
        await anyio.sleep(0.05)
        await leave(caller)
        await anyio.sleep(0.2)
        assert router.ended == [("once", "left")]


async def test_request_behind_a_stream_is_answered_in_its_turn() -> None:
    """Guards against a request that stays unread after the stream before it."""

    async def late_stream(server: Server, stream: SocketStream, head: str) -> None:
        if "/safe/" in head:
            await good(server, stream, head)
            return
        await anyio.sleep(0.1)
        await whole_stream(server, stream, head)

    async with rig(Server("one", late_stream)) as router:
        router.listener.start_draining()
        caller = await anyio.connect_tcp(LOOPBACK, router.port)
        await caller.send(request("/once/x", close=False))
        await anyio.sleep(0.03)
        await caller.send(request("/safe/x", close=False))
        got = await read_all(caller)
    assert numbers(got) == [1, 2, 3, 4]
    assert got.endswith(b"ok")
    assert got.lower().count(b"connection: close") == 1
