"""HTTP calls over real connections: answers, and whether a failed call was sent."""

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
    """Use a real clock, since sockets do not work with a virtual one."""
    return "asyncio"


@asynccontextmanager
async def calling(conduct: Conduct) -> AsyncIterator[HttpCalls]:
    """Yield calls to a loopback server with the given behaviour."""
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


async def send_garbage(stream: ByteStream) -> None:
    await stream.receive()
    await stream.send(b"no answer at all\r\n\r\n")


async def never_answer(stream: ByteStream) -> None:
    await anyio.sleep(60)


@pytest.mark.parametrize(
    "conduct", [close_unanswered, cut_short, send_garbage, never_answer]
)
async def test_sent_call_is_never_reported_as_not_sent(conduct: Conduct) -> None:
    """A call whose answer is lost may have had an effect."""
    async with calling(conduct) as calls:
        with pytest.raises(BackendLostError) as caught:
            await calls.call(REQUEST, 0.1)
        assert not isinstance(caught.value, CallNotSentError)


async def test_no_connection_means_not_sent() -> None:
    """A call without a connection raises CallNotSentError."""
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
    """A call times out, and its answer arrives while the next call is waiting."""
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


async def test_large_answer() -> None:
    """Guards against a size limit below the largest regular answer.

    Ten versions of a large configuration come in one answer of 2 MB. With a lower
    limit, the reader requested the same changes again and again, and kept an old
    configuration until the history that it needed was gone.
    """
    body = b"x" * 2_000_000

    async def answer_at_length(stream: ByteStream) -> None:
        await stream.receive()
        await stream.send(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body))
        await stream.send(body)

    async with calling(answer_at_length) as calls:
        answer = await calls.call(REQUEST, 5.0)
        assert answer.body == body
