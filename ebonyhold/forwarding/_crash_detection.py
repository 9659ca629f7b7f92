"""Detects that a server crashed while it had requests."""

from __future__ import annotations

import logging

import anyio
from attrs import define, field, frozen

from ebonyhold.exceptions import BackendLostError
from ebonyhold.forwarding._backends import BackendEntry, BackendTable
from ebonyhold.forwarding._channel import ConnectRefusedError
from ebonyhold.forwarding._exchange import Exchange
from ebonyhold.forwarding._pool import ChannelPool
from ebonyhold.forwarding._types import BackendState
from ebonyhold.types import RequestDigest, RequestId

log = logging.getLogger(__name__)


@frozen(eq=False)
class LostRequest:
    """A request whose connection to a server broke."""

    request: RequestId
    digest: RequestDigest


@define(eq=False)
class CrashDetector:
    """Checks servers whose connections broke during requests.

    A connection may also break because the server drops it. Only if the server refuses
    a new connection right afterwards has its process ended.

    Attributes:
        pool: The connections to servers.
        backends: The known servers.
        unchecked: The lost requests of each server that is being checked.
    """

    pool: ChannelPool
    backends: BackendTable
    unchecked: dict[BackendEntry, list[LostRequest]] = field(factory=dict)

    def lost(self, exchange: Exchange, entry: BackendEntry) -> None:
        """Record that the connection broke during a request, and check the server.

        A server that is draining or no longer listed is expected to end.
        """
        ready = entry.backend.state is BackendState.READY
        if not ready or not self.backends.is_current(entry):
            return
        lost = LostRequest(exchange.caller.request_id, exchange.digest)
        if entry in self.unchecked:
            self.unchecked[entry].append(lost)
            return
        self.unchecked[entry] = [lost]
        self.pool.tasks.start_soon(self.check, entry)

    async def check(self, entry: BackendEntry) -> None:
        """Connect to a server; if it refuses, log its lost requests."""
        backend = entry.backend
        refused = False
        try:
            channel = await self.pool.connect(backend.name, backend.address)
        except BackendLostError as error:
            refused = isinstance(error, ConnectRefusedError)
        else:
            channel.keep_unused(anyio.current_time())
            await self.pool.put(backend.name, channel)
        finally:
            lost = self.unchecked.pop(entry)
        if refused:
            for item in lost:
                self.record_crash(entry, item)

    def record_crash(self, entry: BackendEntry, lost: LostRequest) -> None:
        """Log a request that was in flight at a server when the server crashed."""
        fields = {"request": lost.request, "content": lost.digest}
        log.warning(
            "request lost in a crash", extra={**fields, "backend": entry.backend.name}
        )
