"""HTTP calls over real connections: answers, and whether a failed call was sent."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager, nullcontext, suppress
from threading import Thread

import anyio
import pytest
from anyio.abc import ByteStream, SocketAttribute

from ebonyhold.exceptions import BackendLostError
from ebonyhold.forwarding import (
    AnswerBounds,
    AnswerTooLargeError,
    CallNotSentError,
    HttpCalls,
    Outbound,
)
from ebonyhold.platform import StoreClient

pytestmark = pytest.mark.anyio
Behaviour = Callable[[ByteStream], Awaitable[None]]

REQUEST = Outbound(b"POST", b"/rows", [], b"{}", True)
OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


@pytest.fixture
def anyio_backend() -> str:
    """Use a real clock, since sockets do not work with a virtual one."""
    return "asyncio"


@asynccontextmanager
async def calling(
    serve: Behaviour, bounds: AnswerBounds | None = None
) -> AsyncIterator[HttpCalls]:
    """Yield an HttpCalls to a loopback server that handles connections by ``serve``."""
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(SocketAttribute.local_port)
    calls = HttpCalls(("127.0.0.1", port), bounds=bounds or AnswerBounds())
    async with listener, anyio.create_task_group() as tasks:
        calls.start(tasks)
        tasks.start_soon(listener.serve, serve)
        yield calls
        tasks.cancel_scope.cancel()


async def answer_all(stream: ByteStream) -> None:
    async for _ in stream:
        await stream.send(OK)


async def close_unanswered(stream: ByteStream) -> None:
    await stream.receive()
    await stream.aclose()


async def cut_short(stream: ByteStream) -> None:
    await stream.receive()
    await stream.send(OK[:-1])
    await stream.aclose()


async def send_garbage(stream: ByteStream) -> None:
    await stream.receive()
    await stream.send(b"no answer at all\r\n\r\n")


async def never_answer(stream: ByteStream) -> None:
    await anyio.sleep(60)


@pytest.mark.parametrize(
    "serve", [close_unanswered, cut_short, send_garbage, never_answer]
)
async def test_sent_call_is_never_reported_as_not_sent(serve: Behaviour) -> None:
    """A call without a complete answer may have had an effect, so it counts as sent."""
    async with calling(serve) as calls:
        with pytest.raises(BackendLostError) as caught:
            await calls.call(REQUEST, 0.1)
        assert not isinstance(caught.value, CallNotSentError)


async def test_no_connection_means_not_sent() -> None:
    """A call raises CallNotSentError if the connection is refused."""
    async with calling(answer_all) as calls:
        pass
    async with anyio.create_task_group() as tasks:
        calls.start(tasks)
        with pytest.raises(CallNotSentError):
            await calls.call(REQUEST, 1.0)


async def test_connection_is_reused() -> None:
    """Calls in sequence use one connection."""
    async with calling(answer_all) as calls:
        for _ in range(3):
            answer = await calls.call(REQUEST, 1.0)
            assert (answer.head.status, answer.body) == (200, b"ok")
        assert calls.pool is not None
        assert calls.pool.opened == 1


async def test_late_answer_is_not_used_for_the_next_call() -> None:
    """The late answer to a call that timed out is not returned by the next call."""
    received: list[bytes] = []

    async def answer_the_first_late(stream: ByteStream) -> None:
        received.append(await stream.receive())
        await anyio.sleep(0.15)
        with suppress(anyio.BrokenResourceError):
            await stream.send(OK.replace(b"ok", b"no") if len(received) == 1 else OK)

    async with calling(answer_the_first_late) as calls:
        with pytest.raises(BackendLostError):
            await calls.call(REQUEST, 0.05)
        answer = await calls.call(REQUEST, 1.0)
        assert answer.body == b"ok"


@pytest.fixture
def slow_server() -> Iterator[int]:
    """Run a server in a thread that answers after 0.1 s; yield its port."""
    with socket.create_server(("127.0.0.1", 0)) as listening:

        def serve() -> None:
            stream, _ = listening.accept()
            with stream:
                stream.recv(65_536)
                time.sleep(0.1)
                stream.sendall(OK)
                time.sleep(0.5)

        thread = Thread(target=serve, daemon=True)
        thread.start()
        yield listening.getsockname()[1]
        thread.join()


async def test_answer_that_arrives_while_this_process_is_paused_is_used(
    slow_server: int,
) -> None:
    """Guards against giving up calls whose answers only have to be read."""
    calls = HttpCalls(("127.0.0.1", slow_server))
    async with anyio.create_task_group() as tasks:
        calls.start(tasks)
        asyncio.get_running_loop().call_later(0.03, time.sleep, 0.4)
        assert (await calls.call(REQUEST, 0.2)).body == b"ok"
        tasks.cancel_scope.cancel()


async def test_call_that_is_not_answered_ends_soon_after_a_pause() -> None:
    """Guards against waiting for a silent peer once more after a pause."""
    async with calling(never_answer) as calls:
        asyncio.get_running_loop().call_later(0.03, time.sleep, 0.3)
        began = anyio.current_time()
        with pytest.raises(BackendLostError):
            await calls.call(REQUEST, 0.1)
        assert anyio.current_time() - began < 0.6


async def test_large_answer() -> None:
    """Guards against a size limit below the largest regular answer.

    Ten versions of a large configuration are one answer of 2 MB. With a lower limit, a
    router's requests for these changes would fail each time, and it would keep an old
    configuration.
    """
    body = b"x" * 2_000_000

    async def answer_at_length(stream: ByteStream) -> None:
        await stream.receive()
        await stream.send(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body))
        await stream.send(body)

    bounds = StoreClient(("127.0.0.1", 1)).calls.bounds
    async with calling(answer_at_length, bounds) as calls:
        answer = await calls.call(REQUEST, 5.0)
        assert answer.body == body
    assert (bounds.calls, bounds.held) == (0, 0)


GROWN = [
    # calls under way, bytes held of all, bytes of this one, what is raised
    (1, 100, 100, None),
    (1, 101, 101, AnswerTooLargeError),
    (4, 200, 100, None),
    (4, 201, 51, BackendLostError),
    (4, 201, 50, None),
    (40, 4000, 5, None),
    (40, 4000, 6, BackendLostError),
]


@pytest.mark.parametrize(("calls", "held", "size", "error"), GROWN)
def test_large_answers_give_way_to_small_ones(
    calls: int, held: int, size: int, error: type[Exception] | None
) -> None:
    """Guards against small answers that are given up while large ones are held."""
    bounds = AnswerBounds(each=100, together=200, calls=calls, held=held)
    with pytest.raises(error) if error else nullcontext():
        bounds.check(size)
