"""The way of a request to a server: a connection of this router, or another router."""

from __future__ import annotations

import anyio
from attrs import define, field

from ebonyhold.exceptions import BackendLostError
from ebonyhold.forwarding._channel import ConnectRefusedError, ConnectTimeoutError
from ebonyhold.forwarding._pool import ChannelPool
from ebonyhold.forwarding._reach import Reach, Reachability
from ebonyhold.forwarding._relay import NoPathError, Path, RelayAddress, Relays
from ebonyhold.forwarding._types import Backend
from ebonyhold.types import Seconds

COINCIDENCE: Seconds = 0.1
"""Connections to a server that end within this time of each other end together."""

END_CHECK_TIME: Seconds = 0.75
"""Time in which a silent server may be connected to again, to prove that it runs on.

With the last attempt it is less than what callers wait for an event of a stream.
"""


@define(eq=False)
class Paths:
    """Opens the ways to servers.

    Attributes:
        pool: This router's connections to servers.
        reach: Whether they work.
        relays: The routers that reach servers while this one does not; None if requests
            are never sent by way of another router.
    """

    pool: ChannelPool
    reach: Reachability = field(factory=Reachability)
    relays: Relays | None = None

    @property
    def uses_relays(self) -> bool:
        """Whether requests are sent by way of other routers now."""
        return self.reach.state is Reach.PARTITIONED and self.relays is not None

    def goes_by_relay(self, backend: Backend) -> bool:
        """Return whether a request to a server would go by way of another router.

        Connections that were open before a partition may still work.
        """
        if not self.uses_relays:
            return False
        return self.reach.silent or not self.pool.has_unused(
            backend.name, backend.address
        )

    async def open(self, backend: Backend) -> Path:
        """Return a way to a server; the caller gives it back with `put`, or closes it.

        Raises:
            NoPathError: No server can be reached now, as far as this router knows.
            BackendLostError: This server cannot be reached.
        """
        if self.reach.is_connected:
            return Path(await self.pool.get(backend.name, backend.address))
        if not self.reach.silent:
            kept = self.pool.take(backend.name, backend.address)
            if kept is not None:
                return Path(kept)
        if self.relays is None or not self.uses_relays:
            raise NoPathError("no server can be reached")
        return await self.relays.open()

    async def put(self, backend: Backend, path: Path) -> None:
        """Keep the connection of a path for another request."""
        if path.relay is not None and self.relays is not None:
            await self.relays.put(path)
        else:
            await self.pool.put(backend.name, path.channel)

    def avoid(self, relay: RelayAddress) -> None:
        """Use other relays for a while, because this one sends no requests."""
        if self.relays is not None:
            self.relays.avoid(relay)

    def use_last(self, relay: RelayAddress) -> None:
        """Use a relay after the others for a while, as its connection broke off."""
        if self.relays is not None:
            self.relays.use_last(relay)

    async def runs_on(self, backend: Backend) -> bool:
        """Return whether a server that has closed a connection proves to run on.

        It does if it accepts a new one, which is kept, and has not ended unused ones
        with the closed one: then its process may have been restarted. If it accepts
        only after a silence, an older connection that is still open has to show that it
        was not.
        """
        if self.relays is not None and self.uses_relays:
            return await self.relays.is_reached(backend.name)
        closed_at, is_late = anyio.current_time(), False
        older = self.pool.open_unused(backend.name)
        while True:
            try:
                await self.connect(backend)
                break
            except ConnectTimeoutError:
                is_late = True
                in_time = anyio.current_time() < closed_at + END_CHECK_TIME
                if not (in_time and any(one.is_open for one in older)):
                    return False
            except BackendLostError:
                return False
        lost = self.pool.has_lost_unused(backend.name, closed_at - COINCIDENCE)
        return not lost and (not is_late or any(one.is_open for one in older))

    async def accepts(self, backend: Backend) -> bool:
        """Return whether a server accepts or refuses a connection in time; keep it."""
        try:
            await self.connect(backend)
        except BackendLostError as error:
            return isinstance(error, ConnectRefusedError)
        return True

    async def connect(self, backend: Backend) -> None:
        """Open a connection to a server, and keep it for a request.

        Raises:
            BackendLostError: The server cannot be reached.
        """
        channel = await self.pool.connect(backend.name, backend.address)
        channel.keep_unused(anyio.current_time())
        await self.pool.put(backend.name, channel)

    async def has_ended(self, backend: Backend) -> bool:
        """Return whether a server refuses connections; keep one that it accepts.

        While this router is partitioned, its own failure to connect tells nothing.
        """
        if self.relays is not None and self.uses_relays:
            return await self.relays.has_ended(backend.name)
        try:
            await self.connect(backend)
        except BackendLostError as error:
            return isinstance(error, ConnectRefusedError)
        return False

    async def confirm_ended(self, backend: Backend) -> bool:
        """Return whether a server that refused a connection has ended.

        If this router turns out to be partitioned, other routers are asked. If nobody
        reaches any server, the refusal stands: all of them may have ended.
        """
        await self.reach.settle()
        if self.relays is not None and self.uses_relays:
            return await self.relays.has_ended(backend.name)
        return self.reach.state is not Reach.ISOLATED
