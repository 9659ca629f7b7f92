"""The state that this router keeps for one backend server."""

from __future__ import annotations

import math
from collections.abc import Iterator
from contextlib import contextmanager

import anyio
from attrs import define, field

from ebonyhold.coordination import (
    PlaceWindow,
    SendingLimit,
    ServerEvidence,
    ServerRun,
)
from ebonyhold.forwarding._types import Backend, BackendState, CallerRequest
from ebonyhold.forwarding._work import RequestWork, ServerWork
from ebonyhold.types import Seconds

LONG_PAUSE: Seconds = 0.5
"""Time without a byte of any answer after which a server counts as heard anew.

Only a time in which it has requests counts.
"""


@define(eq=False)
class BackendEntry:
    """One run of a backend server and the state that this router keeps for it.

    Attributes:
        backend: The server's entry in the server list.
        listed: Whether this run of the server is listed now. Results of attempts at a
            run that is not must not be recorded for the server's next run.
        in_flight: Number of this router's requests that it is processing.
        busy_since: Since when it has had such requests without a break; infinite if it
            has none.
        heard_at: When it last sent something to this router.
        heard_since: Since when it has sent something without a long pause.
        newest_answered: When the latest request was sent of those that it has begun to
            answer.
        work: Estimated load of those requests.
        evidence: What this router has recently observed of it, where load is shared.
        suspects: Number of those requests that may crash the server.
        full_until: Until when it counts as full, after it declined a request.
        moved: Whether an answer stated that another server has its address.
        limit: Its limit on requests from all routers together, and how much of it this
            router has used; None if its last answer stated no limit.
        leaving: Whether an answer of this run of the server stated that it leaves.
        rest_until: Until when it wants no requests from this router.
        brittle: Whether its last answer stated that it is brittle; None before one in a
            time in which its service is.
        window: How many requests this router has in flight there, at most, while it is
            brittle; None if it was not asked for.
        probed_in: The last time slot in which this router sent a request without a
            share of its places.
        cold_until: Until when the server counts as cold.
        cold_limit: How much of its limit while cold this router has used; None if
            it was not cold when it was last considered.
        ended_at: When its process was seen to have ended, while the list shows the run
            still; None if it was not, or the list has confirmed the run since.
        end_seen_at: When that was seen last, since it may have ended again.
        inherited_at: When it was read in this router's first list, which may show a run
            that had ended before; None if it was listed later, or confirmed since.
        confirmed_at: When its report was last asked for that stated the start of this
            run, so that each connection opened by then leads to it.
        is_replaced: Whether a report has stated the start of a later run.
        states_no_start: Whether its report does not tell which run it is.
        drop_at: When to remove it from the table, if its list entry is missing after an
            outage of the store, or when to forget a run that is not listed any more;
            None otherwise.
    """

    backend: Backend
    listed: bool = True
    in_flight: int = 0
    busy_since: Seconds = math.inf
    heard_at: Seconds = -math.inf
    heard_since: Seconds = -math.inf
    newest_answered: Seconds = -math.inf
    work: ServerWork = field(factory=ServerWork)
    evidence: ServerEvidence = field(factory=ServerEvidence)
    suspects: int = 0
    full_until: Seconds = 0.0
    moved: bool = False
    limit: SendingLimit | None = None
    leaving: bool = False
    rest_until: Seconds = 0.0
    brittle: bool | None = None
    window: PlaceWindow | None = None
    probed_in: int | None = None
    cold_until: Seconds = 0.0
    cold_limit: SendingLimit | None = None
    ended_at: Seconds | None = None
    end_seen_at: Seconds = 0.0
    inherited_at: Seconds | None = None
    confirmed_at: Seconds = -math.inf
    is_replaced: bool = False
    states_no_start: bool = False
    drop_at: Seconds | None = None

    @contextmanager
    def working(self, request: CallerRequest) -> Iterator[RequestWork]:
        """Count a request of this router as load of the server while it is there."""
        now = anyio.current_time()
        if not self.in_flight:
            self.busy_since = now
        self.in_flight += 1
        work = self.work.begin(request, now)
        try:
            yield work
        finally:
            self.in_flight -= 1
            if not self.in_flight:
                self.busy_since = math.inf
            work.end()

    def record_heard(self, now: Seconds) -> None:
        """Record that the server has sent something to this router.

        While it has no requests it has nothing to send, which is no pause.
        """
        if now - max(self.heard_at, self.busy_since) > LONG_PAUSE:
            self.heard_since = now
        self.heard_at = now

    def confirm(self, until: Seconds) -> None:
        """Forget what was in doubt at a time, as the list has shown this run since."""
        if self.ended_at is not None and self.end_seen_at <= until:
            self.ended_at = None
            # Its report and its entry then state different starts of one run.
            self.states_no_start |= self.is_replaced
            self.is_replaced = False
        if self.inherited_at is not None and self.inherited_at <= until:
            self.inherited_at = None

    @property
    def run(self) -> ServerRun:
        """The run of the server's process."""
        return ServerRun(self.backend.name, self.backend.started_at)

    @property
    def is_expected_to_end(self) -> bool:
        """Whether the end of the server's process would be no crash."""
        draining = self.backend.state is not BackendState.READY
        return self.leaving or draining or not self.listed


def fields_of(backend: Backend) -> dict[str, object]:
    """Return the log fields that describe a server."""
    return {
        "backend": backend.name,
        "service": backend.service,
        "state": backend.state.value,
        "domain": backend.domain,
        "version": backend.version,
    }
