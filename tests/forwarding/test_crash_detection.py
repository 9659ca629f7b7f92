"""Detection of servers that crashed while they had requests, over real sockets."""

from __future__ import annotations

import logging

import anyio
import pytest
from anyio.abc import SocketStream

from tests.forwarding.kit import Script, Server, request, rig

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    """Use a real clock, since sockets do not work with a virtual one."""
    return "asyncio"


async def crashes(server: Server, stream: SocketStream, head: str) -> None:
    """End the server before it answers."""
    await server.crash()
    await stream.aclose()


async def drops(server: Server, stream: SocketStream, head: str) -> None:
    """Close the connection without an answer, and go on accepting others."""
    await stream.aclose()


@pytest.mark.parametrize(("script", "count"), [(crashes, 1), (drops, 0)])
async def test_only_a_server_that_refuses_connections_has_crashed(
    script: Script, count: int, caplog: pytest.LogCaptureFixture
) -> None:
    """A server that dropped a connection must not be taken for one that crashed."""
    caplog.set_level(logging.WARNING)
    async with rig(Server("s", script)) as fleet:
        await fleet.ask(request("/unsafe/x", "POST", b"body"))
        await anyio.sleep(0.1)
    lost = [line for line in caplog.records if line.msg == "request lost in a crash"]
    assert len(lost) == count


async def test_connections_that_break_together_are_checked_once() -> None:
    """A crash with many requests in flight must not cause a connection for each."""
    both = anyio.Event()
    arrived = 0

    async def crashes_with_two(server: Server, stream: SocketStream, head: str) -> None:
        nonlocal arrived
        arrived += 1
        if arrived == 2:
            both.set()
        await both.wait()
        await crashes(server, stream, head)

    async with (
        rig(Server("s", crashes_with_two)) as fleet,
        anyio.create_task_group() as tasks,
    ):
        for _ in range(2):
            tasks.start_soon(fleet.ask, request("/unsafe/x", "POST", b"body"))
        await both.wait()
        await anyio.sleep(0.1)
        assert fleet.forwarder.pool.opened == 3
