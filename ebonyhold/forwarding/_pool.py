"""Connections to backend servers that are kept for further requests."""

from __future__ import annotations

from collections.abc import Callable

import anyio
from attrs import define, field

from ebonyhold.forwarding._channel import (
    CONNECT_TIMEOUT,
    Channel,
    ConnectTimeoutError,
    open_channel,
)
from ebonyhold.tasks import TaskStarter
from ebonyhold.types import BackendName, Seconds

SWEEP: Seconds = 1.0
"""How often connections that are too old or ended are closed."""

MOST_UNUSED = 16
"""Unused connections kept for each server; servers bound them over all routers."""


@define(eq=False)
class ChannelPool:
    """Keeps unused connections by server.

    Attributes:
        tasks: Where the reading tasks of connections run.
        connected: Is told of each new connection to a server whether it was made in
            time.
        connect_timeout: The longest wait for a new connection.
        unused: The connections of each server, the last used one at the end.
        opened: Connections opened so far.
    """

    tasks: TaskStarter
    connected: Callable[[BackendName, bool], None] = lambda name, made: None
    connect_timeout: Seconds = CONNECT_TIMEOUT
    unused: dict[BackendName, list[Channel]] = field(factory=dict)
    opened: int = 0

    async def get(self, name: BackendName, address: tuple[str, int]) -> Channel:
        """Return a connection to a server, kept or new.

        Raises:
            BackendLostError: It cannot be reached.
        """
        kept = self.take(name, address)
        if kept is not None:
            return kept
        self.opened += 1
        try:
            channel = await open_channel(address, self.tasks, self.connect_timeout)
        except ConnectTimeoutError:
            self.connected(name, False)
            raise
        self.connected(name, True)
        return channel

    def take(self, name: BackendName, address: tuple[str, int]) -> Channel | None:
        """Return a kept connection to an address that can still be used.

        The server's entry may have named another address while a request held the
        connection; whoever has the old one now is not the server.
        """
        now = anyio.current_time()
        channels = self.unused.get(name, [])
        while channels:
            channel = channels.pop()
            sound = channel.is_quiet() and now < channel.usable_until
            if sound and channel.address == address:
                return channel
            self.tasks.start_soon(channel.close)
        return None

    async def put(self, name: BackendName, channel: Channel) -> None:
        """Keep a connection for further requests."""
        channels = self.unused.setdefault(name, [])
        if len(channels) >= MOST_UNUSED:
            await channel.close()
            return
        channels.append(channel)

    async def sweep(self) -> None:
        """Close connections that are too old or ended, for ever."""
        while True:
            await anyio.sleep(SWEEP)
            # Requests take and put connections while one is being closed, so the
            # lists are changed first, without a wait between.  A connection still
            # listed would be taken meanwhile, and its removal would fail and end
            # whatever runs the sweep.
            for channel in self.remove_unusable(anyio.current_time()):
                await channel.close()

    def remove_unusable(self, now: Seconds) -> list[Channel]:
        """Remove and return the connections that are too old or ended."""
        removed: list[Channel] = []
        for name, channels in list(self.unused.items()):
            kept: list[Channel] = []
            for channel in channels:
                usable = channel.is_quiet() and now < channel.usable_until
                (kept if usable else removed).append(channel)
            if kept:
                self.unused[name] = kept
            else:
                del self.unused[name]
        return removed
