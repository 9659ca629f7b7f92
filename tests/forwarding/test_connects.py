"""The outcomes of attempts to connect to servers, as the pool reports them."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Iterator
from contextlib import suppress

import anyio
import pytest

from ebonyhold.exceptions import BackendLostError
from ebonyhold.forwarding import ChannelPool, ConnectOutcome
from ebonyhold.forwarding._channel import CONNECT_TIMEOUT
from tests.forwarding.kit import LOOPBACK

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    """Use a real clock, since sockets do not work with a virtual one."""
    return "asyncio"


@pytest.fixture
def listening() -> Iterator[socket.socket]:
    """Listen on a loopback port without accepting connections."""
    with socket.create_server((LOOPBACK, 0), backlog=0) as found:
        yield found


async def outcomes(port: int, timeout: float = CONNECT_TIMEOUT) -> list[ConnectOutcome]:
    """Return what a pool reports of one attempt to connect to a port."""
    reported: list[ConnectOutcome] = []
    async with anyio.create_task_group() as tasks:
        pool = ChannelPool(
            tasks, lambda name, how: reported.append(how), connect_timeout=timeout
        )
        with suppress(BackendLostError):
            channel = await pool.connect("i-1", (LOOPBACK, port))
            await channel.close()
        tasks.cancel_scope.cancel()
    return reported


async def test_made_connection_is_reported(listening: socket.socket) -> None:
    assert await outcomes(listening.getsockname()[1]) == [ConnectOutcome.MADE]


async def test_refused_connection_is_reported(listening: socket.socket) -> None:
    """Refused connects must not be missing in what tells a cut from a calm time."""
    port = listening.getsockname()[1]
    listening.close()
    assert await outcomes(port) == [ConnectOutcome.REFUSED]


async def test_silent_connect_is_reported(listening: socket.socket) -> None:
    with socket.create_connection(listening.getsockname()):
        found = await outcomes(listening.getsockname()[1])
    assert found == [ConnectOutcome.TIMED_OUT]


@pytest.mark.parametrize("pause", [0.2, 0.3, 0.4])
@pytest.mark.parametrize("timeout", [0.1, 0.25])
async def test_connect_while_this_process_is_paused_is_no_silence(
    pause: float, timeout: float
) -> None:
    """Guards against servers that count as silent because of a pause of this router."""
    with socket.create_server((LOOPBACK, 0)) as listening:
        asyncio.get_running_loop().call_soon(time.sleep, pause)
        found = await outcomes(listening.getsockname()[1], timeout)
    assert found == [ConnectOutcome.MADE]


async def test_connect_during_a_pause_a_little_longer_than_its_limit_is_made() -> None:
    """Guards against sound servers that count as out of reach after such a pause."""
    with socket.create_server((LOOPBACK, 0)) as listening:
        asyncio.get_running_loop().call_soon(time.sleep, 0.27)
        found = await outcomes(listening.getsockname()[1])
    assert found == [ConnectOutcome.MADE]


async def test_silent_connect_ends_near_its_limit(listening: socket.socket) -> None:
    """Guards against requests that wait at a server without power for longer."""
    with socket.create_connection(listening.getsockname()):
        began_at = time.monotonic()
        found = await outcomes(listening.getsockname()[1])
    assert found == [ConnectOutcome.TIMED_OUT]
    assert time.monotonic() - began_at < 2 * CONNECT_TIMEOUT
