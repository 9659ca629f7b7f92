"""Whole calls over real connections: what was sent, and what may have had effect."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress

import anyio
import pytest
from anyio.abc import ByteStream, SocketAttribute

from ebonyhold.exceptions import BackendLostError
from ebonyhold.forwarding import CallNotSentError, HttpCalls, Outbound

pytestmark = pytest.mark.anyio
Conduct = Callable[[ByteStream], Awaitable[None]]

REQUEST = Outbound(b"POST", b"/rows", [], b"{}", True)
OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


@pytest.fixture
def anyio_backend() -> str:
    """Sockets need a real clock."""
    return "asyncio"


@asynccontextmanager
async def calling(conduct: Conduct) -> AsyncIterator[HttpCalls]:
    """Yield calls to a server on loopback that behaves as told."""
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(SocketAttribute.local_port)
    calls = HttpCalls(("127.0.0.1", port))
    async with listener, anyio.create_task_group() as tasks:
        calls.start(tasks)
        tasks.start_soon(listener.serve, conduct)
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


async def talk_nonsense(stream: ByteStream) -> None:
    await stream.receive()
    await stream.send(b"no answer at all\r\n\r\n")


async def say_nothing(stream: ByteStream) -> None:
    await anyio.sleep(60)


@pytest.mark.parametrize(
    "conduct", [close_unanswered, cut_short, talk_nonsense, say_nothing]
)
async def test_a_call_that_was_sent_is_never_told_as_not_sent(conduct: Conduct) -> None:
    """The answer is lost after the call arrived; it may have had its effect."""
    async with calling(conduct) as calls:
        with pytest.raises(BackendLostError) as caught:
            await calls.call(REQUEST, 0.1)
        assert not isinstance(caught.value, CallNotSentError)


async def test_no_connection_means_not_sent() -> None:
    async with calling(answer_all) as calls:
        pass
    async with anyio.create_task_group() as tasks:
        calls.start(tasks)
        with pytest.raises(CallNotSentError):
            await calls.call(REQUEST, 1.0)


async def test_a_connection_is_used_again() -> None:
    async with calling(answer_all) as calls:
        for _ in range(3):
            answer = await calls.call(REQUEST, 1.0)
            assert (answer.head.status, answer.body) == (200, b"ok")
        assert calls.pool is not None
        assert calls.pool.opened == 1


async def test_a_late_answer_is_not_taken_for_the_next_calls_own() -> None:
    """A call runs into its timeout, and its answer comes while the next one waits."""
    seen: list[bytes] = []

    async def answer_the_first_late(stream: ByteStream) -> None:
        seen.append(await stream.receive())
        await anyio.sleep(0.15)
        with suppress(anyio.BrokenResourceError):
            await stream.send(OK.replace(b"ok", b"no") if len(seen) == 1 else OK)

    async with calling(answer_the_first_late) as calls:
        with pytest.raises(BackendLostError):
            await calls.call(REQUEST, 0.05)
        answer = await calls.call(REQUEST, 1.0)
        assert answer.body == b"ok"


async def test_an_answer_may_be_large() -> None:
    """Ten versions of a large configuration come within one answer of 2 MB.

    A reader that gave up on it asked again from the same place, and kept an old
    configuration in force until its history was lost.
    """
    body = b"x" * 2_000_000

    async def answer_at_length(stream: ByteStream) -> None:
        await stream.receive()
        await stream.send(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body))
        await stream.send(body)

    async with calling(answer_at_length) as calls:
        answer = await calls.call(REQUEST, 5.0)
        assert answer.body == body
