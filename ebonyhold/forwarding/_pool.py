"""A pool of connections to backend servers."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from functools import partial

import anyio
from attrs import define, field

from ebonyhold.exceptions import BackendLostError
from ebonyhold.forwarding._channel import (
    CONNECT_TIMEOUT,
    Channel,
    ConnectRefusedError,
    ConnectTimeoutError,
    open_channel,
)
from ebonyhold.forwarding._flow_control import BufferAccount
from ebonyhold.forwarding._inbox import Traffic
from ebonyhold.tasks import TaskStarter
from ebonyhold.types import BackendName, Seconds

SWEEP_INTERVAL: Seconds = 1.0
"""Time between two sweeps that close expired and ended connections."""

MAX_UNUSED = 16
"""Maximum number of unused connections kept per server.

Servers limit the number of connections from all routers together.
"""


class ConnectOutcome(Enum):
    """How an attempt to connect to a server ended.

    Attributes:
        MADE: The connection was made.
        REFUSED: No process listens at the address, or a device on the path refuses.
        TIMED_OUT: It was neither made nor refused in time.
        FAILED: Another error, such as an unreachable network.
    """

    MADE = "made"
    REFUSED = "refused"
    TIMED_OUT = "timed_out"
    FAILED = "failed"


def outcome_of(error: BackendLostError) -> ConnectOutcome:
    """Return how an attempt ended for which `open_channel` has raised an error."""
    if isinstance(error, ConnectTimeoutError):
        return ConnectOutcome.TIMED_OUT
    refused = isinstance(error, ConnectRefusedError)
    return ConnectOutcome.REFUSED if refused else ConnectOutcome.FAILED


@define(eq=False)
class ChannelPool:
    """Keeps unused connections, by server.

    Attributes:
        tasks: Starts the tasks that read connections.
        on_connect: Called with the server's name and the outcome of each attempt to
            open a connection.
        connect_timeout: Maximum time to wait for a new connection.
        unused: The unused connections of each server, the most recently used one last.
        opened: Number of attempts to open a connection so far.
        traffic: Counts the bytes received from the servers.
        account: Bounds what is buffered of answers.
        on_unused_end: Called with the name of a server that has ended an unused
            connection before its time.
    """

    tasks: TaskStarter
    on_connect: Callable[[BackendName, ConnectOutcome], None] = lambda name, how: None
    connect_timeout: Seconds = CONNECT_TIMEOUT
    unused: dict[BackendName, list[Channel]] = field(factory=dict)
    opened: int = 0
    traffic: Traffic = field(factory=Traffic)
    account: BufferAccount = field(factory=BufferAccount)
    on_unused_end: Callable[[BackendName], None] = lambda name: None

    async def get(self, name: BackendName, address: tuple[str, int]) -> Channel:
        """Return a pooled or new connection to a server.

        Raises:
            BackendLostError: The server cannot be reached.
        """
        kept = self.take(name, address)
        return kept if kept is not None else await self.connect(name, address)

    async def connect(self, name: BackendName, address: tuple[str, int]) -> Channel:
        """Return a new connection to a server.

        Raises:
            BackendLostError: The server cannot be reached; see `open_channel`.
        """
        self.opened += 1
        try:
            channel = await open_channel(address, self.tasks, self.connect_timeout)
        except BackendLostError as error:
            self.on_connect(name, outcome_of(error))
            raise
        channel.inbox.traffic = self.traffic
        channel.bound(self.account)
        self.on_connect(name, ConnectOutcome.MADE)
        return channel

    def take(self, name: BackendName, address: tuple[str, int]) -> Channel | None:
        """Remove and return a usable pooled connection to an address, or None.

        Unusable connections found on the way are closed, and so are those to another
        address: the server's address may have changed while a request used the
        connection, and another server may now have the old address.
        """
        now = anyio.current_time()
        channels = self.unused.get(name, [])
        while channels:
            channel = channels.pop()
            usable = channel.is_idle() and now < channel.usable_until
            if usable and channel.address == address:
                channel.inbox.on_end = None
                return channel
            self.tasks.start_soon(channel.close)
        return None

    def has_unused(self, name: BackendName, address: tuple[str, int]) -> bool:
        """Return whether `take` would find a usable pooled connection."""
        now = anyio.current_time()
        return any(
            channel.is_idle()
            and now < channel.usable_until
            and channel.address == address
            for channel in self.unused.get(name, ())
        )

    async def put(self, name: BackendName, channel: Channel) -> None:
        """Add a connection to the pool, or close it if MAX_UNUSED are pooled."""
        channels = self.unused.setdefault(name, [])
        if len(channels) >= MAX_UNUSED:
            await channel.close()
            return
        channels.append(channel)
        channel.inbox.on_end = partial(self.unused_ended, name, channel)

    def unused_ended(self, name: BackendName, channel: Channel) -> None:
        """Report the end of an unused connection, unless this router has closed it."""
        if not channel.closed and anyio.current_time() < channel.usable_until:
            self.on_unused_end(name)

    def ended_between(self, start: Seconds, end: Seconds) -> list[BackendName]:
        """Return the servers that ended unused connections in a period."""
        return [
            name
            for name, channels in self.unused.items()
            if any(start <= channel.inbox.ended_at <= end for channel in channels)
        ]

    def has_lost_unused(self, name: BackendName, since: Seconds) -> bool:
        """Return whether a server has ended an unused connection before its time."""
        return any(
            since <= channel.inbox.ended_at < channel.usable_until
            for channel in self.unused.get(name, [])
        )

    def open_unused(self, name: BackendName) -> list[Channel]:
        """Return the unused connections to a server that have not ended."""
        return [channel for channel in self.unused.get(name, ()) if channel.is_open]

    def drop_unused(self) -> None:
        """Close all unused connections, since they carry nothing any more."""
        for channels in self.unused.values():
            for channel in channels:
                self.tasks.start_soon(channel.close)
        self.unused.clear()

    async def sweep(self) -> None:
        """Close expired and ended connections periodically; never return."""
        while True:
            await anyio.sleep(SWEEP_INTERVAL)
            # Requests use the pool while a connection is being closed here. The
            # connections are therefore removed from the pool first, without awaiting.
            # Otherwise a request could take one of them, and removing it later would
            # raise an error and end this task.
            for channel in self.remove_unusable(anyio.current_time()):
                await channel.close()

    def remove_unusable(self, now: Seconds) -> list[Channel]:
        """Remove and return the connections that have expired or ended."""
        removed: list[Channel] = []
        for name, channels in list(self.unused.items()):
            kept: list[Channel] = []
            for channel in channels:
                usable = channel.is_idle() and now < channel.usable_until
                (kept if usable else removed).append(channel)
            if kept:
                self.unused[name] = kept
            else:
                del self.unused[name]
        return removed
