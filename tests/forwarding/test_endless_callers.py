"""Callers that send bytes without end on many connections, over real sockets."""

from __future__ import annotations

import socket
from contextlib import suppress

import anyio
import pytest
from anyio.abc import SocketStream

from tests.forwarding.kit import (
    GONE,
    LOOPBACK,
    Rig,
    Server,
    answer,
    chunk,
    request,
    rig,
)
from tests.forwarding.test_attempts import good
from tests.forwarding.test_endless_answers import (
    AT_ONCE,
    INTERIM,
    MAX_DELAY,
    PIECE,
    measured_delay,
)

pytestmark = pytest.mark.anyio

CALLERS = 32

MAX_SENT = 8_000_000
"""Bytes that a caller who is not read may send; the systems hold most of them."""

HEAD = b"POST /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Ebonyhold-Key: k1\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"

ENDLESS = {
    # begin, what is repeated, whether it is refused at once
    "no protocol": (b"", b"\x00\x01 what", True),
    "answers": (b"", INTERIM, True),
    "one field": (HEAD + b"A: ", b"a", True),
    "fields": (HEAD, b"A: b\r\n", True),
    "empty lines": (b"", b"\r\n", True),
    "length": (HEAD + b"Content-Length: 999999999999\r\n\r\n", b"x", True),
    "chunks": (CHUNKED, chunk(b"x" * 1000), True),
    "tiny chunks": (CHUNKED, chunk(b"x"), False),
    "chunk extensions": (CHUNKED, b"1;" + b"a" * 8000 + b"\r\nx\r\n", True),
    "trailers": (CHUNKED + b"0\r\n", b"A: b\r\n", True),
}


@pytest.fixture
def anyio_backend() -> str:
    """Use a real clock, since sockets do not work with a virtual one."""
    return "asyncio"


async def send_without_end(router: Rig, begin: bytes, unit: bytes) -> None:
    """Send until the router closes the connection."""
    piece = unit * (PIECE // len(unit))
    with suppress(*GONE):
        async with await anyio.connect_tcp(LOOPBACK, router.port) as stream:
            await stream.send(begin)
            while True:
                await stream.send(piece)


@pytest.mark.parametrize("sent", ENDLESS)
async def test_callers_that_send_without_end_delay_no_others(sent: str) -> None:
    """Guards against a router that stands still for what some callers send."""
    begin, unit, at_once = ENDLESS[sent]
    got, taken = b"", AT_ONCE
    async with rig(Server("fine", good)) as router, measured_delay() as delay:
        with anyio.move_on_after(AT_ONCE) as scope:
            async with anyio.create_task_group() as tasks:
                for _ in range(CALLERS):
                    tasks.start_soon(send_without_end, router, begin, unit)
                await anyio.sleep(0.2)
                began = anyio.current_time()
                got = await router.ask(request("/safe/x"))
                taken = anyio.current_time() - began
        assert scope.cancelled_caught is not at_once
    assert got.startswith(b"HTTP/1.1 200 ")
    assert taken < AT_ONCE
    assert delay.longest < MAX_DELAY


async def test_bytes_behind_a_request_fill_no_memory() -> None:
    """Guards against a router that ends while callers send on as it works for them."""

    async def slow(server: Server, stream: SocketStream, head: str) -> None:
        await anyio.sleep(AT_ONCE)
        await stream.send(answer(head))

    async with rig(Server("slow", slow)) as router:
        with socket.create_connection((LOOPBACK, router.port)) as stream:
            stream.setblocking(False)
            stream.send(request("/safe/x", close=False))
            sent = 0
            for _ in range(20):
                with suppress(BlockingIOError):
                    while True:
                        sent += stream.send(bytes(PIECE))
                await anyio.sleep(0.01)
    assert sent < MAX_SENT
