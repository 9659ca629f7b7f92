"""Clients of backend servers over real sockets, with faults in the connection."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream, TaskGroup
from anyio.streams.stapled import MultiListener
from attrs import define, field

from ebonyhold.backends import (
    EngineCall,
    EngineClient,
    RefusedError,
    ServiceCall,
    ServiceClient,
    StreamCheck,
    Timeouts,
    UnreachableError,
    make_client,
)
from ebonyhold.document import Backend, BackendKind
from ebonyhold.exceptions import BackendError
from tests.backends.kit import TOKENS, closing, opening, token

pytestmark = pytest.mark.anyio
QUICK = Timeouts(connect=0.5, headers=0.4, stall=0.4, close=0.4)
EVENTS = b"".join([opening(), *map(token, range(TOKENS)), *closing()])
HEAD = "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nContent-Length: {length}\r\n\r\n"


@pytest.fixture
def anyio_backend() -> str:
    """Use the real clock, because sockets do not work with a virtual clock."""
    return "asyncio"


DISCONNECTED = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError)
Script = Callable[["Server", SocketStream, str], Awaitable[None]]


@define
class Server:
    """A server that runs a script for each request.

    Attributes:
        script: Answers one request, or fails to.
        connections: Number of connections accepted.
        requests: For each request its connection's number, from 1, and its attempt.
        listener: Accepts its connections, once it listens.
    """

    script: Script
    connections: int = 0
    requests: list[tuple[int, str]] = field(factory=list)
    listener: MultiListener[SocketStream] | None = None

    async def run(self, tasks: TaskGroup) -> None:
        """Accept connections until `crash` is called, and serve each in a task."""
        assert self.listener is not None
        try:
            await self.listener.serve(self.serve, tasks)
        except* anyio.ClosedResourceError:
            self.listener = None

    async def crash(self) -> None:
        """Refuse all further connections."""
        assert self.listener is not None
        await self.listener.aclose()

    async def serve(self, stream: SocketStream) -> None:
        """Run the script for each request on a connection until it is closed."""
        self.connections += 1
        number = self.connections
        async with stream:
            try:
                while True:
                    attempt = await read_attempt(stream)
                    self.requests.append((number, attempt))
                    await self.script(self, stream, attempt)
            except DISCONNECTED:
                return


async def read_attempt(stream: SocketStream) -> str:
    """Read one request and return the identifier of its attempt."""
    data = b""
    while b"\r\n\r\n" not in data:
        data += await stream.receive()
    head, _, body = data.partition(b"\r\n\r\n")
    named = {
        name.strip().lower(): value.strip()
        for name, _, value in (line.partition(b":") for line in head.split(b"\r\n"))
    }
    while len(body) < int(named.get(b"content-length", b"0")):
        body += await stream.receive()
    return named[b"x-attempt-id"].decode()


def answer(attempt: str, body: bytes) -> bytes:
    """Return a complete HTTP response."""
    return HEAD.format(attempt=attempt, length=len(body)).encode() + body


async def complete(server: Server, stream: SocketStream, attempt: str) -> None:
    await stream.send(answer(attempt, EVENTS))


async def reset(server: Server, stream: SocketStream, attempt: str) -> None:
    await stream.aclose()


async def truncated(server: Server, stream: SocketStream, attempt: str) -> None:
    await stream.send(answer(attempt, EVENTS)[: len(EVENTS) // 2])
    await stream.aclose()


async def mismatched(server: Server, stream: SocketStream, attempt: str) -> None:
    await stream.send(answer("another", EVENTS))


async def silent(server: Server, stream: SocketStream, attempt: str) -> None:
    await anyio.sleep(2)


async def trickled(server: Server, stream: SocketStream, attempt: str) -> None:
    """Send the response a byte at a time, each within the read timeout."""
    for byte in answer(attempt, EVENTS):
        await stream.send(bytes([byte]))
        await anyio.sleep(0.05)


async def garbage(server: Server, stream: SocketStream, attempt: str) -> None:
    await stream.send(b"\x16\x03\x01 what is this\r\n\r\n")


async def long_header(server: Server, stream: SocketStream, attempt: str) -> None:
    await stream.send(b"HTTP/1.1 200 OK\r\nX-Long: " + b"x" * 300_000 + b"\r\n\r\n")


async def busy(server: Server, stream: SocketStream, attempt: str) -> None:
    await stream.send(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")


@asynccontextmanager
async def serving(script: Script) -> AsyncIterator[tuple[Server, Backend]]:
    """Run a scripted server; yield the server and its entry in the document."""
    server = Server(script)
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(SocketAttribute.local_port)
    async with listener, anyio.create_task_group() as tasks:
        server.listener = listener
        tasks.start_soon(server.run, tasks)
        yield server, Backend("e", BackendKind.ENGINE, f"127.0.0.1:{port}", "d")
        tasks.cancel_scope.cancel()


async def ask(client: EngineClient, backend: Backend, attempt: str) -> bytes:
    """Return the bytes of one streamed answer."""
    pieces: list[bytes] = []
    call = EngineCall(attempt, b"{}", stream=True)
    await client.stream(backend, call, StreamCheck(), pieces.append)
    return b"".join(pieces)


FAULTS: list[Script] = [
    reset,
    truncated,
    mismatched,
    silent,
    trickled,
    garbage,
    long_header,
]


@pytest.mark.parametrize("script", FAULTS, ids=lambda script: script.__name__)
async def test_engine_faults(script: Script) -> None:
    async with serving(script) as (_, backend), make_client(QUICK) as http:
        with pytest.raises(BackendError) as caught:
            await ask(EngineClient(http, QUICK), backend, "a-1")
    assert caught.value.ran is True


@pytest.mark.parametrize("script", FAULTS, ids=lambda script: script.__name__)
async def test_service_faults(script: Script) -> None:
    async with serving(script) as (_, backend), make_client(QUICK) as http:
        call = ServiceCall("a-1", "POST", "/bookings", timeout=0.4)
        with pytest.raises(BackendError) as caught:
            await ServiceClient(http).call(backend, call)
    assert caught.value.ran is True


async def test_an_attempt_without_a_connection_did_not_run() -> None:
    async with serving(complete) as (_, backend):
        pass
    async with make_client(QUICK) as http:
        with pytest.raises(UnreachableError) as caught:
            await ask(EngineClient(http, QUICK), backend, "a-1")
        with pytest.raises(UnreachableError):
            await ServiceClient(http).call(backend, ServiceCall("a", "GET", "/"))
    assert caught.value.ran is False


async def test_a_busy_engine_did_not_run_the_attempt() -> None:
    async with serving(busy) as (_, backend), make_client(QUICK) as http:
        with pytest.raises(RefusedError) as caught:
            await ask(EngineClient(http, QUICK), backend, "a-1")
    assert (caught.value.ran, caught.value.permanent) == (False, False)


async def test_a_connection_is_reused_after_a_complete_answer() -> None:
    async with serving(complete) as (server, backend), make_client(QUICK) as http:
        client = EngineClient(http, QUICK)
        for attempt in ("a-1", "a-2"):
            assert (await ask(client, backend, attempt)).endswith(b"[DONE]\n\n")
    assert server.requests == [(1, "a-1"), (1, "a-2")]


@pytest.mark.parametrize("left", ["caller gone", "stalled", "other attempt"])
async def test_an_unread_answer_is_never_read_by_the_next(left: str) -> None:
    """An attempt ends before its answer was read completely.

    The next attempt must use a new connection; on the old one it could read the
    remainder of the first answer as its own.
    """

    async def script(server: Server, stream: SocketStream, attempt: str) -> None:
        if attempt == "a-2":
            await complete(server, stream, attempt)
        elif left == "other attempt":
            await mismatched(server, stream, attempt)
        else:
            whole = answer(attempt, EVENTS)
            await stream.send(whole[: len(whole) - 20])
            await anyio.sleep(1.0)
            await stream.send(whole[len(whole) - 20 :])

    async with serving(script) as (server, backend), make_client(QUICK) as http:
        client = EngineClient(http, QUICK)
        if left == "caller gone":
            with anyio.move_on_after(0.1):
                await ask(client, backend, "a-1")
        else:
            with pytest.raises(BackendError):
                await ask(client, backend, "a-1")
        assert (await ask(client, backend, "a-2")).count(b"id: 0\n") == 1
    assert server.requests == [(1, "a-1"), (2, "a-2")]


@pytest.mark.parametrize("crashes", [False, True])
async def test_an_answer_without_a_length_is_whole_if_its_server_runs_on(
    crashes: bool,
) -> None:
    """An answer that a crash has ended must not be taken for a complete one."""

    async def script(server: Server, stream: SocketStream, attempt: str) -> None:
        whole = answer(attempt, b"0123456789")
        await stream.send(whole.replace(b"Content-Length: 10\r\n", b""))
        if crashes:
            await server.crash()
        await stream.aclose()

    call = ServiceCall("a-1", "GET", "/")
    async with serving(script) as (_, backend), make_client(QUICK) as http:
        if crashes:
            with pytest.raises(BackendError) as caught:
                await ServiceClient(http).call(backend, call)
            assert caught.value.ran is True
        else:
            found = await ServiceClient(http).call(backend, call)
            assert found.body == b"0123456789"
