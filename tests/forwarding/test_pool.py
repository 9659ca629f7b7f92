"""Pooled connections to servers that end, move or fail during their use."""

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
from ebonyhold.forwarding import BackendTable, ChannelPool, Paths, StreamVersions, _pool
from ebonyhold.forwarding._attempt import Attempt
from ebonyhold.forwarding._channel import Channel
from ebonyhold.forwarding._exchange import AttemptEnd
from ebonyhold.platform import PlatformDialect
from tests.forwarding.kit import GONE, LOOPBACK, Server
from tests.forwarding.test_attempts import good

pytestmark = pytest.mark.anyio

USERS = 6
"""Number of tasks that take and return connections."""

CLOSES = 12
"""How often the server closes all its connections in one test."""

CONNECT_TIME = 5.0
"""Seconds to connect: a pause of the process is no failure of its connections."""


@pytest.fixture
def anyio_backend() -> str:
    """Use a real clock, since sockets do not work with a virtual one."""
    return "asyncio"


@define(eq=False)
class ClosingServer:
    """A server that closes all its connections at the same moment.

    Attributes:
        streams: The open connections.
    """

    streams: set[SocketStream] = field(factory=set)

    async def serve(self, stream: SocketStream) -> None:
        """Keep a connection open until bytes arrive or either side closes it."""
        self.streams.add(stream)
        try:
            async with stream:
                await stream.receive()
        except GONE:
            self.streams.discard(stream)

    async def close_all(self) -> None:
        """Close all open connections, and return when all are closed."""
        async with anyio.create_task_group() as tasks:
            for stream in list(self.streams):
                tasks.start_soon(stream.aclose)


async def use(pool: ChannelPool, port: int, rng: random.Random) -> None:
    """Take connections from the pool and return them, until cancelled."""
    while True:
        channel = await pool.get("i-1", (LOOPBACK, port))
        await anyio.sleep(rng.choice((0, 0, 0.001, 0.003)))
        if channel.is_idle():
            channel.usable_until = anyio.current_time() + rng.choice((0.002, 9.0))
            await pool.put("i-1", channel)
        else:
            await channel.close()
        await anyio.sleep(rng.choice((0, 0.001, 0.004)))


@pytest.mark.parametrize("seed", range(4))
async def test_sweep_survives_connections_that_end_together(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a sweep that fails when several pooled connections end at once.

    While the sweep awaits the close of one unused connection, a request can take
    another one that the sweep is to remove. If the sweep then fails with
    "list.remove(x): x not in list", it ends the router's process with all its requests.
    """
    monkeypatch.setattr(_pool, "SWEEP_INTERVAL", 0.001)
    rng = random.Random(seed)
    server = ClosingServer()
    async with anyio.create_task_group() as tasks:
        listener = await anyio.create_tcp_listener(local_host=LOOPBACK)
        port = listener.extra(SocketAttribute.local_port)
        tasks.start_soon(listener.serve, server.serve)
        pool = ChannelPool(tasks, connect_timeout=CONNECT_TIME)
        tasks.start_soon(pool.sweep)
        async with anyio.create_task_group() as users:
            for _ in range(USERS):
                users.start_soon(use, pool, port, random.Random(rng.random()))
            for _ in range(CLOSES):
                await anyio.sleep(rng.uniform(0.005, 0.03))
                await server.close_all()
            users.cancel_scope.cancel()
        # asyncio fails if a connection arrives while its listener is being cancelled.
        await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()
    assert pool.opened > CLOSES


async def test_swept_connection_cannot_be_taken(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The sweep removes a connection from the pool before it closes it."""
    monkeypatch.setattr(_pool, "SWEEP_INTERVAL", 0.001)
    server = ClosingServer()
    async with anyio.create_task_group() as tasks:
        listener = await anyio.create_tcp_listener(local_host=LOOPBACK)
        port = listener.extra(SocketAttribute.local_port)
        tasks.start_soon(listener.serve, server.serve)
        pool = ChannelPool(tasks)
        channels = [await pool.get("i-1", (LOOPBACK, port)) for _ in range(4)]
        pooled: list[int] = []
        done = anyio.Event()
        close = Channel.close

        async def watched(channel: Channel) -> None:
            pooled.append(len(pool.unused.get("i-1", ())))
            await close(channel)
            if len(pooled) == len(channels):
                done.set()

        monkeypatch.setattr(Channel, "close", watched)
        for channel in channels:
            await pool.put("i-1", channel)
        tasks.start_soon(pool.sweep)
        with anyio.fail_after(1.0):
            await done.wait()
        tasks.cancel_scope.cancel()
    assert pooled == [0] * len(channels)


async def test_moved_server_is_reached_at_its_new_address() -> None:
    """Guards against sending a request to a server's former address.

    A connection may be in the pool while the address of its server changes. The former
    address may then belong to an engine of another service.
    """
    async with anyio.create_task_group() as tasks:
        pool = ChannelPool(tasks)
        ports: list[int] = []
        for _ in range(2):
            listener = await anyio.create_tcp_listener(local_host=LOOPBACK)
            tasks.start_soon(listener.serve, ClosingServer().serve)
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


async def test_close_ends_a_reader_with_a_full_buffer() -> None:
    """Guards against a reading task that never ends.

    A request is abandoned while its server sends more than the buffer holds. A task
    that then waits for the buffer to be read would leak its buffer.
    """

    async def send_forever(stream: SocketStream) -> None:
        with suppress(*GONE):
            while True:
                await stream.send(bytes(65_536))

    async with anyio.create_task_group() as tasks:
        listener = await anyio.create_tcp_listener(local_host=LOOPBACK)
        tasks.start_soon(listener.serve, send_forever)
        port = listener.extra(SocketAttribute.local_port)
        with anyio.fail_after(2.0):
            async with anyio.create_task_group() as reading:
                channel = await ChannelPool(reading).get("i-1", (LOOPBACK, port))
                await anyio.sleep(0.1)
                assert not channel.inbox.room()
                await channel.close()
        tasks.cancel_scope.cancel()


@define(eq=False)
class UnreachablePool:
    """A pool whose connections always fail, right after a call of `meanwhile`.

    Attributes:
        meanwhile: Called before a connection fails.
    """

    meanwhile: Callable[[], None]

    async def get(self, name: str, address: tuple[str, int]) -> Channel:
        await anyio.lowlevel.checkpoint()
        self.meanwhile()
        raise BackendLostError(f"no connection to {name} at {address}")


@pytest.mark.parametrize("after", ["restarted", "gone", "unchanged"])
async def test_failure_counts_only_against_the_current_entry(after: str) -> None:
    """Guards against counting a failed connection against a restarted server.

    A server restarts or is removed while a request still connects to it. If the failure
    were counted, it would eject the healthy restarted server, or leave a record of the
    removed server that is never deleted.
    """
    table = BackendTable()
    old = Server("i-1", good).backend()
    table.update(old)

    def meanwhile() -> None:
        if after == "restarted":
            table.update(evolve(old, started_at=2))
        if after == "gone":
            table.remove("i-1", 0.0, False)

    attempt = Attempt(
        None,  # type: ignore[arg-type]
        table.entries["i-1"],
        Paths(UnreachablePool(meanwhile)),  # type: ignore[arg-type]
        table,
        PlatformDialect(),
        StreamVersions(table),
    )
    result = await attempt.run()
    assert result.end is AttemptEnd.NOT_SENT
    assert bool(table.ejector.records) is (after == "unchanged")
    table.remove("i-1", 0.0, False)
    assert not table.ejector.records
