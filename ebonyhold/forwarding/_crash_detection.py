"""Detects that a server crashed, and rejects requests that crash servers."""

from __future__ import annotations

import logging
import time

import anyio
from attrs import define, field, frozen

from ebonyhold.coordination import (
    REJECT_AFTER,
    CrashRecords,
    RequestLoss,
)
from ebonyhold.exceptions import BackendLostError
from ebonyhold.forwarding._backends import BackendEntry, BackendTable
from ebonyhold.forwarding._channel import ConnectRefusedError
from ebonyhold.forwarding._exchange import AttemptLoss, Exchange
from ebonyhold.forwarding._pool import ChannelPool
from ebonyhold.forwarding._types import BackendState

log = logging.getLogger(__name__)


@frozen(eq=False)
class UncheckedLoss:
    """A loss at a server for which it is not known yet whether the server crashed.

    Attributes:
        exchange: The lost request.
        loss: The loss.
        earlier: The earlier losses of this exchange.
        known_depth: The depth of the request's losses that were known when it was sent.
    """

    exchange: Exchange
    loss: AttemptLoss
    earlier: tuple[AttemptLoss, ...]
    known_depth: int


@define(eq=False)
class CrashDetector:
    """Checks servers whose connections broke, and records requests lost in crashes.

    A connection may also break because the server drops it. Only if the server refuses
    a new connection right afterwards has its process ended.

    Attributes:
        pool: The connections to servers.
        backends: The known servers.
        records: The losses known to all routers.
        unchecked: The lost requests of each server that is being checked.
    """

    pool: ChannelPool
    backends: BackendTable
    records: CrashRecords = field(factory=CrashRecords)
    unchecked: dict[BackendEntry, list[UncheckedLoss]] = field(factory=dict)

    def is_rejected(self, exchange: Exchange) -> bool:
        """Return whether a request is rejected because it crashes servers."""
        rejected = self.records.rejected
        return bool(rejected) and exchange.digest in rejected

    def depth(self, exchange: Exchange) -> int:
        """Return the depth of a request's losses; 0 if it was in no crash."""
        return self.records.depth(exchange.digest) if self.records.losses else 0

    def may_retry(self, exchange: Exchange) -> bool:
        """Return whether a request may be sent again, also before all is checked."""
        return len(exchange.losses) < REJECT_AFTER

    def answered(self, exchange: Exchange) -> None:
        """Record that a server has answered a request completely."""
        if self.records.losses:
            self.records.retract(exchange.digest)

    def lost(self, exchange: Exchange, entry: BackendEntry, known_depth: int) -> None:
        """Record that the connection broke during a request, and check the server.

        A server that is draining or no longer listed is expected to end.
        """
        unchecked = UncheckedLoss(
            exchange, AttemptLoss(), tuple(exchange.losses), known_depth
        )
        exchange.losses.append(unchecked.loss)
        ready = entry.backend.state is BackendState.READY
        if not ready or not self.backends.is_current(entry):
            return
        if entry in self.unchecked:
            self.unchecked[entry].append(unchecked)
            return
        self.unchecked[entry] = [unchecked]
        self.pool.tasks.start_soon(self.check, entry)

    async def check(self, entry: BackendEntry) -> None:
        """Connect to a server; if it refuses, record the losses there."""
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
            losses = self.unchecked.pop(entry)
        if refused:
            for unchecked in losses:
                self.record_crash(entry, unchecked)

    def record_crash(self, entry: BackendEntry, unchecked: UncheckedLoss) -> None:
        """Record and log that a request was at a server when the server crashed."""
        loss = unchecked.loss
        earlier = (other.depth for other in unchecked.earlier)
        loss.depth = 1 + max(unchecked.known_depth, *earlier, 0)
        exchange, backend = unchecked.exchange, entry.backend
        self.records.add(
            RequestLoss(exchange.digest, entry.run, loss.depth, time.time())
        )
        log.warning(
            "request lost in a crash",
            extra={
                "request": exchange.caller.request_id,
                "content": exchange.digest,
                "backend": backend.name,
                "depth": loss.depth,
                "rejected": self.is_rejected(exchange),
            },
        )
