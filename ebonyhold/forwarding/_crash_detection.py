"""Detects that a server crashed, and rejects requests that crash servers."""

from __future__ import annotations

import logging
import time
from collections.abc import Mapping

import anyio
from attrs import define, field, frozen

from ebonyhold.coordination import (
    REJECT_AFTER,
    CrashRecords,
    PartRecords,
    RequestLoss,
)
from ebonyhold.forwarding._backends import BackendTable
from ebonyhold.forwarding._entry import BackendEntry
from ebonyhold.forwarding._exchange import AttemptLoss, Exchange
from ebonyhold.forwarding._paths import Paths
from ebonyhold.types import BackendName, PartDigest, Seconds

log = logging.getLogger(__name__)

COINCIDENCE: Seconds = 0.1
"""Servers that end within this time of each other end by a common cause, such as the
failure of a rack."""

KEPT_ENDS: Seconds = 1.0
"""Time for which it is kept that a server has ended.

Requests of one crash that are noticed to be lost within this time have the time of the
first of them.
"""


@frozen
class Suspicion:
    """What is known of the crashes in which a request and its parts were.

    Attributes:
        depth: The greatest depth of the request's losses; 0 if it was in no crash.
        parts: The same of each part of its prompt that was in a crash.
    """

    depth: int = 0
    parts: Mapping[PartDigest, int] = field(factory=dict)

    @property
    def exists(self) -> bool:
        """Whether the request may crash a server."""
        return self.depth > 0 or bool(self.parts)


@frozen(eq=False)
class UncheckedLoss:
    """A loss at a server for which it is not known yet whether the server crashed.

    Attributes:
        exchange: The lost request.
        loss: The loss.
        earlier: The earlier losses of this exchange.
        known: What was known of the request when it was sent.
    """

    exchange: Exchange
    loss: AttemptLoss
    earlier: tuple[AttemptLoss, ...]
    known: Suspicion


@define(eq=False)
class CrashDetector:
    """Checks servers whose connections broke, and records requests lost in crashes.

    A connection may also break because the server drops it. Only if the server refuses
    a new connection right afterwards has its process ended. If others end at the same
    time, the cause may be a common one.

    Attributes:
        paths: The ways to the servers.
        backends: The known servers.
        records: The losses known to all routers.
        parts: The losses of parts of prompts known to all routers.
        unchecked: The lost requests of each server that is being checked.
        ended: When servers have ended, by the monotonic clock.
    """

    paths: Paths
    backends: BackendTable
    records: CrashRecords = field(factory=CrashRecords)
    parts: PartRecords = field(factory=PartRecords)
    unchecked: dict[BackendEntry, list[UncheckedLoss]] = field(factory=dict)
    ended: dict[BackendName, Seconds] = field(factory=dict)

    def is_rejected(self, exchange: Exchange) -> bool:
        """Return whether a request is rejected because it crashes servers.

        One with few crashes, which a part explains that it does not have, is not.
        """
        if self.parts.groups and self.parts.is_rejected(exchange.parts):
            return True
        if not self.records.rejected:
            return False
        return self.records.is_responsible(exchange.digest, self.parts.explained)

    def suspicion(self, exchange: Exchange) -> Suspicion:
        """Return what is known of the crashes of a request and its parts."""
        depth = self.records.depth(exchange.digest) if self.records.losses else 0
        if not self.parts.losses:
            return Suspicion(depth)
        depths = {part: self.parts.depth(part) for part in exchange.parts}
        return Suspicion(depth, {part: each for part, each in depths.items() if each})

    def may_retry(self, exchange: Exchange) -> bool:
        """Return whether a request may be sent again, also before all is checked."""
        return len(exchange.losses) < REJECT_AFTER

    def answered(self, exchange: Exchange, written: bool) -> None:
        """Record that a server has answered a request completely.

        Args:
            exchange: The request.
            written: Whether it has written an answer on the prompt.
        """
        if self.records.losses:
            self.records.retract(exchange.digest, time.time())
        if self.parts.losses and written:
            for part in exchange.parts:
                self.parts.retract(part, time.time())

    def lost(self, exchange: Exchange, entry: BackendEntry, known: Suspicion) -> None:
        """Record that the connection broke during a request, and check the server.

        A server that is draining or no longer listed is expected to end.  If the list
        shows its next run by now, the request was at that one: the connections to the
        earlier run had ended before it started.
        """
        entry = self.listed_run(entry)
        unchecked = UncheckedLoss(
            exchange,
            AttemptLoss(entry.backend.name),
            tuple(exchange.losses),
            known,
        )
        exchange.losses.append(unchecked.loss)
        if entry.is_expected_to_end:
            return
        if entry in self.unchecked:
            self.unchecked[entry].append(unchecked)
            return
        self.unchecked[entry] = [unchecked]
        self.paths.pool.tasks.start_soon(self.check, entry)

    def listed_run(self, entry: BackendEntry) -> BackendEntry:
        """Return a server's run that is listed now; the given one if none is."""
        if entry.listed:
            return entry
        return self.backends.entries.get(entry.backend.name, entry)

    async def check(self, entry: BackendEntry) -> None:
        """Record the losses at a server if it has crashed, and no other with it."""
        at = anyio.current_time()
        others: set[BackendName] = set()
        try:
            crashed = await self.paths.has_ended(entry.backend)
            if crashed:
                self.backends.record_end(entry, at)
                self.forget_ends(at - KEPT_ENDS)
                at = self.ended.setdefault(entry.backend.name, at)
                await anyio.sleep(COINCIDENCE)
                others = await self.ended_with(entry, at)
                crashed = await self.paths.confirm_ended(entry.backend)
        finally:
            losses = self.unchecked.pop(entry)
        if crashed:
            for unchecked in losses:
                self.record_crash(entry, unchecked, others)

    async def ended_with(self, entry: BackendEntry, at: Seconds) -> set[BackendName]:
        """Return the other servers that ended within COINCIDENCE of a server.

        Servers that have only ended unused connections are asked first.
        """
        for name in self.paths.pool.ended_between(at - COINCIDENCE, at + COINCIDENCE):
            other = self.backends.entries.get(name)
            if other is None or name in self.ended:
                continue
            if await self.paths.has_ended(other.backend):
                self.ended[name] = at
        return {
            name
            for name, end in self.ended.items()
            if name != entry.backend.name and abs(end - at) <= COINCIDENCE
        }

    def forget_ends(self, before: Seconds) -> None:
        """Forget the servers that ended before a time."""
        self.ended = {name: end for name, end in self.ended.items() if end >= before}

    def record_crash(
        self, entry: BackendEntry, unchecked: UncheckedLoss, others: set[BackendName]
    ) -> None:
        """Record and log that a request was at a server when the server crashed.

        Of the other servers that crashed at the same time, those that had the same
        request before or after do not count: the request may have crashed each.
        """
        exchange, backend = unchecked.exchange, entry.backend
        unrelated = others.difference(lost.server for lost in exchange.losses)
        self.record_loss(entry, unchecked, alone=not unrelated)
        log.warning(
            "request lost in a crash",
            extra={
                "request": exchange.caller.request_id,
                "content": exchange.digest,
                "parts": {
                    part: digest
                    for (part, _), digest in zip(
                        exchange.caller.prompt_parts, exchange.parts, strict=False
                    )
                },
                "backend": backend.name,
                "depth": unchecked.loss.depth,
                "rejected": self.is_rejected(exchange),
                "ended_with": sorted(others),
            },
        )

    def record_loss(
        self, entry: BackendEntry, unchecked: UncheckedLoss, alone: bool
    ) -> None:
        """Record the loss of a request that may be the cause of a crash.

        So may each part of its prompt that other requests have.
        """
        loss = unchecked.loss
        earlier = (other.depth for other in unchecked.earlier)
        loss.depth = 1 + max(unchecked.known.depth, *earlier, 0)
        digest, now = unchecked.exchange.digest, time.time()
        self.records.add(RequestLoss(digest, entry.run, loss.depth, now, alone))
        for part in unchecked.exchange.parts:
            depth = max(loss.depth, 1 + unchecked.known.parts.get(part, 0))
            self.parts.add(RequestLoss(part, entry.run, depth, now, alone, digest))
