"""What a router knows of one backend server."""

from __future__ import annotations

import math
from collections.abc import Iterable

from attrs import define, field

from ebonyhold.backends._messages import CacheAction, CacheEvent, LoadReport
from ebonyhold.coordination import Candidate, InProgress, PrefixIndex
from ebonyhold.document import Backend, BackendKind
from ebonyhold.types import AttemptId, RequestId, Seconds

FIRST_WINDOW = 0.25
"""The part of a server's slots that a router begins with."""

PROBING = 0.5
"""The part by which a window grows with each report before a queue was seen."""

SHRINK = 0.7
"""What a report of a queue leaves of a window."""

GROWTH = 0.2
"""What a router's window grows by with each report that shows no queue."""


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
        window: The most requests that this router keeps there.
        probing: Whether the window still grows fast, having met no bound.
        boot: Its boot identifier, as last heard.
    """

    backend: Backend
    distance: Seconds = 0.0
    report: LoadReport = field(factory=LoadReport)
    reported_at: Seconds = -math.inf
    own_at_report: int = 0
    running: dict[AttemptId, InProgress] = field(factory=dict)
    reserved: int = 0
    window: float = field(init=False)
    probing: bool = True
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
        return max(0, min(self.backend.slots - self.load, int(self.window) - self.own))

    def __attrs_post_init__(self) -> None:
        """Start with a part of an engine; plain services report no load."""
        slots = float(self.backend.slots)
        engine = self.backend.kind is BackendKind.ENGINE
        self.window = max(1.0, slots * FIRST_WINDOW) if engine else slots

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
        self.adapt()
        self.reported_at = now
        self.own_at_report = min(self.own, report.running + report.queued)
        self.boot = report.boot

    def adapt(self) -> None:
        """Fit this router's window to what the report says.

        Several routers that see the same free slots would all fill them, and
        the requests would wait in the server, out of reach of any router's
        order or deadline.  So each router bounds its own requests there: it
        shrinks the bound when the server reports a queue, leaves it while the
        server is full, and grows it slowly while there are free slots.  Routers
        that share a server end up with fair parts of it, as TCP's do of a link,
        without a word between them.
        """
        queued, running = self.report.queued, self.report.running
        if queued:
            self.window = max(1.0, self.window * SHRINK)
            self.probing = False
        elif running + 1 < self.backend.slots and self.own + 1 >= self.window:
            growth = self.window * PROBING if self.probing else GROWTH
            self.window = min(float(self.backend.slots), self.window + growth)

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
