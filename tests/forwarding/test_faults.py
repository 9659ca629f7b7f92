"""An internal error on one caller's connection does not affect the others."""

from __future__ import annotations

import anyio
import pytest
from attrs import define, field

from ebonyhold.forwarding import (
    CallerConnection,
    CallerLimits,
    CallerListener,
    Guard,
    RequestHead,
)
from ebonyhold.forwarding._inbox import Inbox
from ebonyhold.misc import free_port
from ebonyhold.tasks import Run
from tests.forwarding.kit import LOOPBACK, read_all, request, until_open

pytestmark = pytest.mark.anyio


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
