"""What a router knows of one backend server."""

from __future__ import annotations

import math
from collections.abc import Iterable

from attrs import define, field

from ebonyhold.backends._messages import CacheAction, CacheEvent, LoadReport
from ebonyhold.coordination import Candidate, InProgress, PrefixIndex
from ebonyhold.document import Backend
from ebonyhold.types import AttemptId, RequestId, Seconds

QUEUE_SHARE = 0.5
"""Requests that may queue in a server, as a part of its slots.

A short queue keeps its batch full between the router's decisions; a long one
would take the order of service away from the router's fair queues.
"""


@define
class BackendState:
    """One backend server, as seen from here.

    Attributes:
        backend: Its part of the document.
        distance: One-way delay to it, in seconds, as estimated.
        report: Its last load report.
        reported_at: When that came; -inf before the first.
        own_at_report: What this router had there at that time.
        running: This router's requests there, by attempt.
        prefixes: The prompt prefixes it is believed to hold.
        boot: Its boot identifier, as last heard.
    """

    backend: Backend
    distance: Seconds = 0.0
    report: LoadReport = field(factory=LoadReport)
    reported_at: Seconds = -math.inf
    own_at_report: int = 0
    running: dict[AttemptId, InProgress] = field(factory=dict)
    reserved: int = 0
    prefixes: PrefixIndex = field(factory=PrefixIndex)
    boot: str = ""

    @property
    def own(self) -> int:
        """This router's requests there, chosen ones included."""
        return len(self.running) + self.reserved

    @property
    def load(self) -> int:
        """Requests there, by its report and what this router did since."""
        total = self.report.running + self.report.queued
        return max(0, total - self.own_at_report) + self.own

    @property
    def room(self) -> int:
        """Requests that may still be sent there."""
        most = self.backend.slots + max(1, int(self.backend.slots * QUEUE_SHARE))
        return max(0, most - self.load)

    def heard(self, report: LoadReport, now: Seconds) -> None:
        """Take in a load report; an older one than the last is ignored.

        A late duplicate would show as load that jumps back; the sequence number
        within one boot tells it apart.
        """
        restarted = report.boot != self.report.boot
        if not restarted and report.sequence < self.report.sequence:
            return
        if restarted:
            self.prefixes.clear()
        self.report = report
        self.reported_at = now
        self.own_at_report = min(self.own, report.running + report.queued)
        self.boot = report.boot

    def learn(self, events: Iterable[CacheEvent]) -> None:
        """Take in cache events; those that were seen before change nothing."""
        for event in sorted(events, key=lambda item: item.sequence):
            if event.sequence <= self.prefixes.sequence:
                continue
            self.prefixes.sequence = event.sequence
            if event.action is CacheAction.STORED:
                self.prefixes.stored(event.prefix)
            else:
                self.prefixes.removed(event.prefix)

    def candidate(self, hashes: tuple[str, ...]) -> Candidate:
        """Return what the choice policy needs to know."""
        return Candidate(
            self.backend.name,
            self.backend.slots,
            reported=self.report.running + self.report.queued,
            own_at_report=self.own_at_report,
            own=self.own,
            reuse=self.prefixes.reuse(hashes) if hashes else 0,
            distance=self.distance,
            token_rate=self.report.token_rate,
        )

    def started(self, attempt: AttemptId, request: RequestId, at: Seconds) -> None:
        """Note a dispatch."""
        self.running[attempt] = InProgress(request, self.backend.name, at)

    def ended(self, attempt: AttemptId) -> None:
        """Note that an attempt is over."""
        self.running.pop(attempt, None)
