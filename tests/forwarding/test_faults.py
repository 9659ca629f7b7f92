"""An internal error on one caller's connection does not affect the others."""

from __future__ import annotations

import errno
import socket
from collections.abc import Awaitable, Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import anyio
import pytest
from anyio.abc import SocketStream, TaskGroup
from attrs import define, field

from ebonyhold.forwarding import (
    CallerConnection,
    CallerLimits,
    CallerListener,
    Guard,
    RequestHead,
)
from ebonyhold.forwarding._accept import accept_all
from ebonyhold.forwarding._channel import Channel
from ebonyhold.forwarding._flow_control import BufferAccount
from ebonyhold.forwarding._inbox import Inbox, Traffic
from ebonyhold.forwarding._sockets import LINGER_NONE
from ebonyhold.misc import free_port
from ebonyhold.tasks import Run
from tests.forwarding.kit import LOOPBACK, read_all, request, until_open

pytestmark = pytest.mark.anyio

RESETS = 20
"""How often a connection is reset in one test."""


@pytest.fixture
def anyio_backend() -> str:
    """Use a real clock, since sockets do not work with a virtual one."""
    return "asyncio"


@define(eq=False)
class Faults:
    """Answers some requests, and raises unexpected errors for others.

    Attributes:
        caught: The errors that the guard has caught.
        go: Set when the waiting requests may be answered.
    """

    caught: list[Exception] = field(factory=list)
    go: anyio.Event = field(factory=anyio.Event)

    async def serve(
        self, connection: CallerConnection, head: RequestHead, body: bytes
    ) -> None:
        """Wait, fail, or fail after the head of an answer, according to the target."""
        del body
        if head.target == b"/wait":
            await self.go.wait()
        if head.target == b"/fail":
            raise ValueError("list.remove(x): x not in list")
        if head.target == b"/part":
            part = connection.head(200, [(b"content-length", b"9")])
            await connection.stream.send(part)
            raise KeyError("gone")
        await connection.answer(200, [], b"ok")

    async def guard(self, run: Run) -> bool:
        """Catch errors as the router does; return whether there were none."""
        before = len(self.caught)
        try:
            await run()
        except* (ValueError, KeyError) as group:
            self.caught += [e for e in group.exceptions if isinstance(e, Exception)]
        return len(self.caught) == before


@pytest.mark.parametrize(
    ("target", "answers"),
    [
        ("/fail", [b"HTTP/1.1 500 ", b"internal_fault", b"connection: close"]),
        ("/part", [b"HTTP/1.1 200 "]),
    ],
)
async def test_a_fault_ends_its_own_connection_only(
    target: str, answers: list[bytes]
) -> None:
    """Guards against an internal error that ends all connections of a router.

    Without the guard, the error of one connection's task would end the task group of
    the process. The request may have run, so its answer must not state that it has not.
    """
    faults = Faults()
    guard: Guard = faults.guard
    port = free_port()
    async with anyio.create_task_group() as tasks:
        listener = CallerListener(faults.serve, CallerLimits, guard)
        tasks.start_soon(listener.run, (LOOPBACK, port), tasks)
        await until_open(port)
        async with (
            await anyio.connect_tcp(LOOPBACK, port) as other,
            await anyio.connect_tcp(LOOPBACK, port) as faulty,
        ):
            await other.send(request("/wait", close=True))
            await faulty.send(request(target, close=False))
            got = await read_all(faulty)
            faults.go.set()
            assert (await read_all(other)).startswith(b"HTTP/1.1 200 ")
        tasks.cancel_scope.cancel()
    assert all(part in got for part in answers), got
    assert len(faults.caught) == 1


def connect_and_reset(port: int) -> None:
    """Connect, and reset the connection while the router's event loop is blocked."""
    with socket.create_connection((LOOPBACK, port)) as leaving:
        leaving.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)


def connect_and_fail(monkeypatch: pytest.MonkeyPatch) -> None:
    """Make the next connection fail for a reason that is not foreseen."""

    async def fail(connection: socket.socket) -> SocketStream:
        monkeypatch.undo()
        raise KeyError(connection.fileno())

    monkeypatch.setattr(SocketStream, "from_socket", fail)


@pytest.mark.parametrize(
    ("resets", "unforeseen", "caught"),
    [(1, False, 0), (5, False, 0), (0, True, 1)],
    ids=["one reset", "several resets", "unforeseen"],
)
async def test_a_fault_before_a_connection_is_served_ends_it_alone(
    resets: int, unforeseen: bool, caught: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a caller that connects and resets, and so ends the process."""
    faults = Faults()
    port = free_port()
    async with anyio.create_task_group() as tasks:
        listener = CallerListener(faults.serve, CallerLimits, faults.guard)
        tasks.start_soon(listener.run, (LOOPBACK, port), tasks)
        await until_open(port)
        async with await anyio.connect_tcp(LOOPBACK, port) as other:
            await other.send(request("/wait", close=True))
            await anyio.sleep(0.05)
            for _ in range(resets):
                connect_and_reset(port)
            if unforeseen:
                connect_and_fail(monkeypatch)
                async with await anyio.connect_tcp(LOOPBACK, port) as leaving:
                    assert await read_all(leaving) == b""
            await anyio.sleep(0.05)
            faults.go.set()
            assert (await read_all(other)).startswith(b"HTTP/1.1 200 ")
        with anyio.fail_after(1.0):
            await listener.until_empty()
        tasks.cancel_scope.cancel()
    assert len(faults.caught) == caught


async def bound_channel(stream: SocketStream, tasks: TaskGroup) -> None:
    """Bound what is buffered of answers on a connection to a server."""
    Channel(stream, tasks, (LOOPBACK, 1)).bound(BufferAccount())


async def reset_caller(stream: SocketStream, tasks: TaskGroup) -> None:
    """Reset a caller's connection, as for an answer that is incomplete."""
    del tasks
    await CallerConnection(stream, CallerLimits(), Traffic()).reset()


@pytest.mark.parametrize("use", [bound_channel, reset_caller])
async def test_use_of_a_connection_that_was_reset_is_no_fault(
    use: Callable[[SocketStream, TaskGroup], Awaitable[None]],
) -> None:
    """Guards against a socket option of a closed socket that fails a request."""
    with socket.create_server((LOOPBACK, 0)) as listening:
        async with anyio.create_task_group() as tasks:
            stream = await anyio.connect_tcp(*listening.getsockname())
            peer, _ = listening.accept()
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
            peer.close()
            with pytest.raises(anyio.BrokenResourceError):
                await stream.receive()
            await use(stream, tasks)
            await stream.aclose()


async def test_reset_of_a_caller_has_no_end_of_stream_before_it() -> None:
    """Guards against an answer to HTTP/1.0 that was cut off and looks complete."""

    def read_to_end(peer: socket.socket) -> bytes | None:
        try:
            return peer.recv(1)
        except ConnectionResetError:
            return None

    for _ in range(RESETS):
        with socket.create_server((LOOPBACK, 0)) as listening:
            stream = await anyio.connect_tcp(*listening.getsockname())
            peer, _ = listening.accept()
            connection = CallerConnection(stream, CallerLimits(), Traffic())
            with peer, ThreadPoolExecutor(1) as reader:
                received = reader.submit(read_to_end, peer)
                await anyio.sleep(0.01)
                await connection.reset()
                assert received.result() is None


class Listening:
    """A listening socket with one faulty connection in its queue."""

    def __init__(self, fault: int) -> None:
        self.left: list[OSError | socket.socket] = [
            OSError(fault, "accept"),
            socket.socket(),
            BlockingIOError(),
        ]

    def accept(self) -> tuple[socket.socket, None]:
        found = self.left.pop(0)
        if isinstance(found, OSError):
            raise found
        return found, None


@pytest.mark.parametrize(
    ("fault", "accepted"),
    [
        (errno.ECONNABORTED, 1),
        (errno.EHOSTUNREACH, 1),
        (errno.EPERM, 1),
        (errno.EPROTO, 1),
        (errno.EMFILE, None),
    ],
)
def test_a_fault_of_a_queued_connection_does_not_close_the_listener(
    fault: int, accepted: int | None
) -> None:
    """Guards against one caller's network error that closes the port for all."""
    queue: Any = Listening(fault)
    if accepted is None:
        with pytest.raises(OSError, match="accept"):
            list(accept_all(queue))
        return
    found = list(accept_all(queue))
    assert len(found) == accepted
    for connection in found:
        connection.close()


class FailingStream:
    """A connection that raises an unexpected error."""

    async def receive(self, max_bytes: int) -> bytes:
        raise RuntimeError(f"odd after {max_bytes}")


async def test_a_reader_does_not_wait_for_a_reading_task_that_failed() -> None:
    """A task that reads the socket fails, and wakes the task that waits for bytes.

    Otherwise the request of the waiting task would hang until its deadline.
    """
    inbox = Inbox(FailingStream())  # type: ignore[arg-type]
    with pytest.raises(RuntimeError, match="odd"):
        await inbox.fill()
    with anyio.fail_after(1.0):
        assert await inbox.take(1) == b""
    assert inbox.ended and inbox.broken
