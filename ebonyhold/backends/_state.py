"""The state that a router keeps for one backend server."""

from __future__ import annotations

import math
from collections.abc import Iterable

from attrs import define, field

from ebonyhold.backends._messages import CacheAction, CacheEvent, LoadReport
from ebonyhold.coordination import Candidate, InProgress, PrefixIndex
from ebonyhold.document import Backend, BackendKind
from ebonyhold.types import AttemptId, RequestId, Seconds

INITIAL_WINDOW = 0.25
"""The initial window, as a fraction of an engine's slots; at least 1 request."""

PROBING_GROWTH = 0.5
"""Growth per load report, as a fraction of the window, until one reports a queue."""

WINDOW_SHRINK = 0.7
"""Factor by which a window is multiplied when a load report contains a queue."""

WINDOW_GROWTH = 0.2
"""Growth of a window per load report without a queue, in requests.

It applies after the first report that contained a queue, `PROBING_GROWTH` before it.
"""


@define
class BackendState:
    """One backend server and this router's requests to it.

    Attributes:
        backend: The server's entry in the document.
        distance: Estimated one-way delay to the server, in seconds.
        report: The latest load report.
        reported_at: When `report` arrived, in seconds; -inf before the first report.
        own_at_report: Number of this router's requests at the server when `report`
            arrived, limited to the number of requests in the report.
        running: This router's requests at the server, by attempt.
        reserved: Number of this router's requests that were assigned to the server
            and not sent yet.
        prefixes: The prompt prefixes that the server's cache is assumed to hold.
        window: The maximum number of this router's requests at the server, rounded
            down when applied.
        probing: Whether the window still grows by `PROBING_GROWTH`, because the server
            has not reported a queue yet.
        boot: The boot identifier in the latest load report.
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
    def own_requests(self) -> int:
        """The number of this router's requests that are at the server or reserved."""
        return len(self.running) + self.reserved

    @property
    def load(self) -> int:
        """The estimated number of requests at the server, of all routers.

        Other routers' requests are counted as of the latest report, this router's
        requests as of now.
        """
        total = self.report.running + self.report.queued
        return max(0, total - self.own_at_report) + self.own_requests

    @property
    def free_slots(self) -> int:
        """The number of further requests that the slots and the window allow."""
        return max(
            0, min(self.backend.slots - self.load, int(self.window) - self.own_requests)
        )

    def __attrs_post_init__(self) -> None:
        """Set the initial window; for a plain service it is the number of its slots."""
        slots = float(self.backend.slots)
        engine = self.backend.kind is BackendKind.ENGINE
        self.window = max(1.0, slots * INITIAL_WINDOW) if engine else slots

    def record_report(self, report: LoadReport, now: Seconds) -> bool:
        """Store a load report and adjust the window, unless the report is outdated.

        A report is outdated if it has the boot identifier of the latest report and a
        smaller sequence number.  A new boot identifier means that the server restarted,
        so its prefix index is cleared.

        Returns:
            Whether the report was used.
        """
        restarted = report.boot != self.report.boot
        if not restarted and report.sequence < self.report.sequence:
            return False
        if restarted:
            self.prefixes.clear()
        self.report = report
        self.adjust_window()
        self.reported_at = now
        self.own_at_report = min(self.own_requests, report.running + report.queued)
        self.boot = report.boot
        return True

    def adjust_window(self) -> None:
        """Adjust this router's window to the latest report.

        Several routers that read the same number of free slots would all fill them,
        and the requests would wait in the server's queue, where no router can apply
        its priorities or deadlines.  So each router limits its own requests.  The
        window shrinks when the server reports a queue.  It grows when the server has
        at least two free slots and this router has nearly used the window; otherwise
        it stays.  As in TCP congestion control, routers that share a server converge
        to fair shares without communicating.
        """
        queued, running = self.report.queued, self.report.running
        if queued:
            self.window = max(1.0, self.window * WINDOW_SHRINK)
            self.probing = False
        elif running + 1 < self.backend.slots and self.own_requests + 1 >= self.window:
            growth = self.window * PROBING_GROWTH if self.probing else WINDOW_GROWTH
            self.window = min(float(self.backend.slots), self.window + growth)

    def apply_events(self, events: Iterable[CacheEvent]) -> None:
        """Apply cache events in order to the prefix index; skip any applied before."""
        for event in sorted(events, key=lambda item: item.sequence):
            if event.sequence <= self.prefixes.sequence:
                continue
            self.prefixes.sequence = event.sequence
            if event.action is CacheAction.STORED:
                self.prefixes.stored(event.prefix)
            else:
                self.prefixes.removed(event.prefix)

    def candidate(self, hashes: tuple[str, ...]) -> Candidate:
        """Return this server's data for the choice policy.

        Args:
            hashes: The hashes of the prompt's prefixes; empty if none are known.
        """
        return Candidate(
            self.backend.name,
            self.backend.slots,
            reported=self.report.running + self.report.queued,
            own_at_report=self.own_at_report,
            own=self.own_requests,
            reuse=self.prefixes.reuse(hashes) if hashes else 0,
            distance=self.distance,
            token_rate=self.report.token_rate,
        )

    def started(self, attempt: AttemptId, request: RequestId, at: Seconds) -> None:
        """Add an attempt that is sent to the server; `at` is the time in seconds."""
        self.running[attempt] = InProgress(request, self.backend.name, at)

    def ended(self, attempt: AttemptId) -> None:
        """Remove an attempt that has ended."""
        self.running.pop(attempt, None)
