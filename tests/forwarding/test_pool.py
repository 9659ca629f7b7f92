"""Connections to servers that are kept, while many of them end at once."""

from __future__ import annotations

import random
from collections.abc import Callable
from contextlib import suppress

import anyio
import anyio.lowlevel
import pytest
from anyio.abc import SocketAttribute, SocketStream
from attrs import define, evolve, field

from ebonyhold.exceptions import BackendLostError
from ebonyhold.forwarding import BackendTable, ChannelPool, _pool
from ebonyhold.forwarding._attempt import Attempt
from ebonyhold.forwarding._channel import Channel
from ebonyhold.forwarding._exchange import AttemptEnd
from ebonyhold.forwarding._inbox import MOST_WAITING
from ebonyhold.platform import PlatformDialect
from tests.forwarding.kit import GONE, LOOPBACK, Server
from tests.forwarding.test_attempts import good

pytestmark = pytest.mark.anyio

USERS = 6
"""Requests that take and put connections at a time."""

ENDS = 12
"""How often a server ends all its connections in one play."""


@pytest.fixture
def anyio_backend() -> str:
    """Sockets have no virtual clock."""
    return "asyncio"


@define(eq=False)
class Endings:
    """A server that ends all its connections at the same moment.

    Attributes:
        streams: The connections that are open.
    """

    streams: set[SocketStream] = field(factory=set)

    async def serve(self, stream: SocketStream) -> None:
        """Keep a connection until either side ends it."""
        self.streams.add(stream)
        try:
            async with stream:
                await stream.receive()
        except GONE:
            self.streams.discard(stream)

    async def end_all(self) -> None:
        """End every connection."""
        async with anyio.create_task_group() as tasks:
            for stream in list(self.streams):
                tasks.start_soon(stream.aclose)


async def use(pool: ChannelPool, port: int, luck: random.Random) -> None:
    """Take and put connections as requests do, for ever."""
    while True:
        channel = await pool.get("i-1", (LOOPBACK, port))
        await anyio.sleep(luck.choice((0, 0, 0.001, 0.003)))
        if channel.is_quiet():
            channel.usable_until = anyio.current_time() + luck.choice((0.002, 9.0))
            await pool.put("i-1", channel)
        else:
            await channel.close()
        await anyio.sleep(luck.choice((0, 0.001, 0.004)))


@pytest.mark.parametrize("seed", range(4))
async def test_connections_that_end_together_end_no_sweep(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Several kept connections of a server end at once, under traffic.

    Users saw a router's process end, with every request and stream in it, just
    after a server or the links to it came back.  The sweep had a list of the unused
    connections, and closed one after the other; while it waited for a close, a
    request took a later one of them, and the sweep then removed what was not there
    any more.  Evidence: "list.remove(x): x not in list" from the sweep, as here.
    """
    monkeypatch.setattr(_pool, "SWEEP", 0.001)
    luck = random.Random(seed)
    server = Endings()
    async with anyio.create_task_group() as tasks:
        listener = await anyio.create_tcp_listener(local_host=LOOPBACK)
        port = listener.extra(SocketAttribute.local_port)
        tasks.start_soon(listener.serve, server.serve)
        pool = ChannelPool(tasks)
        tasks.start_soon(pool.sweep)
        async with anyio.create_task_group() as users:
            for _ in range(USERS):
                users.start_soon(use, pool, port, random.Random(luck.random()))
            for _ in range(ENDS):
                await anyio.sleep(luck.uniform(0.005, 0.03))
                await server.end_all()
            users.cancel_scope.cancel()
        # asyncio trips over a connection that arrives as its listener is cancelled.
        await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()
    assert pool.opened > ENDS


async def test_no_connection_is_both_taken_and_swept(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """What the sweep closes is not in the list while it closes it."""
    monkeypatch.setattr(_pool, "SWEEP", 0.001)
    server = Endings()
    async with anyio.create_task_group() as tasks:
        listener = await anyio.create_tcp_listener(local_host=LOOPBACK)
        port = listener.extra(SocketAttribute.local_port)
        tasks.start_soon(listener.serve, server.serve)
        pool = ChannelPool(tasks)
        channels = [await pool.get("i-1", (LOOPBACK, port)) for _ in range(4)]
        seen: list[int] = []
        done = anyio.Event()
        close = Channel.close

        async def watched(channel: Channel) -> None:
            seen.append(len(pool.unused.get("i-1", ())))
            await close(channel)
            if len(seen) == len(channels):
                done.set()

        monkeypatch.setattr(Channel, "close", watched)
        for channel in channels:
            await pool.put("i-1", channel)
        tasks.start_soon(pool.sweep)
        with anyio.fail_after(1.0):
            await done.wait()
        tasks.cancel_scope.cancel()
    assert seen == [0] * len(channels)


async def test_a_server_that_moved_is_reached_where_it_is_now() -> None:
    """A server's entry names another address while a request to it is under way.

    The connection was kept under the server's name, and the next request for it went
    to whoever has the old address, which may be an engine of another service.
    """
    async with anyio.create_task_group() as tasks:
        pool = ChannelPool(tasks)
        ports: list[int] = []
        for _ in range(2):
            listener = await anyio.create_tcp_listener(local_host=LOOPBACK)
            tasks.start_soon(listener.serve, Endings().serve)
            ports.append(listener.extra(SocketAttribute.local_port))
        old, new = ports
        channel = await pool.get("i-1", (LOOPBACK, old))
        channel.usable_until = anyio.current_time() + 9.0
        await pool.put("i-1", channel)
        moved = await pool.get("i-1", (LOOPBACK, new))
        assert moved.stream.extra(SocketAttribute.remote_port) == new
        await anyio.sleep(0.01)
        assert channel.closed
        tasks.cancel_scope.cancel()


async def test_a_connection_with_much_unread_ends_when_it_is_closed() -> None:
    """A server sends more than is kept for a slow reader, and its request is given up.

    The task that reads the connection waited for a reader that never came, for ever,
    with all that it had read: each such request cost a quarter of a megabyte.
    """

    async def pour(stream: SocketStream) -> None:
        with suppress(*GONE):
            while True:
                await stream.send(bytes(65_536))

    async with anyio.create_task_group() as tasks:
        listener = await anyio.create_tcp_listener(local_host=LOOPBACK)
        tasks.start_soon(listener.serve, pour)
        port = listener.extra(SocketAttribute.local_port)
        with anyio.fail_after(2.0):
            async with anyio.create_task_group() as reading:
                channel = await ChannelPool(reading).get("i-1", (LOOPBACK, port))
                await anyio.sleep(0.1)
                assert len(channel.inbox.waiting) > MOST_WAITING
                await channel.close()
        tasks.cancel_scope.cancel()


@define(eq=False)
class UnreachablePool:
    """Connections to a server that ends, and lives again, while one is made.

    Attributes:
        meanwhile: What happens before the connection fails.
    """

    meanwhile: Callable[[], None]

    async def get(self, name: str, address: tuple[str, int]) -> Channel:
        await anyio.lowlevel.checkpoint()
        self.meanwhile()
        raise BackendLostError(f"no connection to {name} at {address}")


@pytest.mark.parametrize("after", ["another life", "gone", "the same life"])
async def test_a_failure_counts_against_the_life_that_failed(after: str) -> None:
    """A server ends and starts again while a request still tries to reach it.

    The failed connection to its old life kept requests from the new one, which was
    sound, or was remembered for ever of a server that was gone.
    """
    table = BackendTable()
    old = Server("i-1", good).backend()
    table.update(old)

    def meanwhile() -> None:
        if after == "another life":
            table.update(evolve(old, started_at=2))
        if after == "gone":
            table.remove("i-1", 0.0, False)

    attempt = Attempt(
        None,  # type: ignore[arg-type]
        table.entries["i-1"],
        UnreachablePool(meanwhile),  # type: ignore[arg-type]
        table,
        PlatformDialect(),
    )
    result = await attempt.run()
    assert result.end is AttemptEnd.NOT_SENT
    assert bool(table.ejector.records) is (after == "the same life")
    table.remove("i-1", 0.0, False)
    assert not table.ejector.records
