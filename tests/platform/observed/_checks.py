"""Check the records of one seed against the rules for crashes and statements."""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence

from attrs import frozen

from tests.platform.kit import ProcessRecord, RequestRecord
from tests.platform.observed._statements import (
    Arrival,
    Statement,
    StatementEvidence,
    check_leaving,
    check_rest,
    count_told,
)
from tests.platform.soak._checks import InjectedFault, check_answer
from tests.platform.standin import CRASH_DELAY

CONTACT_TIME = 3.0
"""Seconds without a disturbance after which the rules hold."""

MAX_LATE_RUNS = 3
"""Maximum number of runs of a request later than CONTACT_TIME after its third crash."""

WINDOW = 4.0
"""Seconds over which the requests at an engine with a limit are counted."""


@frozen
class ObservedRun:
    """A run of a request at an engine.

    Attributes:
        target: The request's target.
        engine: The engine.
        started_at: When the run started, by the monotonic clock in seconds.
    """

    target: str
    engine: str
    started_at: float


@frozen
class NamedLimit:
    """A limit that an engine named for some time.

    Attributes:
        engine: The engine.
        limit: Requests per second.
        named_at: When it was named first, by the monotonic clock in seconds.
        ended_at: When it was named last.
    """

    engine: str
    limit: float
    named_at: float
    ended_at: float

    @property
    def allowed(self) -> float:
        """The requests that the engine may get in WINDOW."""
        return 1.5 * self.limit * WINDOW + 5


@frozen
class ObservedEvidence:
    """The records of one seed.

    Attributes:
        requests: The callers' records of requests that crash nothing.
        runs: All runs at all engines.
        crashing: The targets of the requests that crash engines.
        limits: The limits that engines named.
        processes: All processes of all VMs.
        faults: The injected faults.
        arrivals: The callers' requests that arrived at engines, in order.
        statements: What engines stated of leaving and rest.
    """

    requests: Sequence[RequestRecord]
    runs: Sequence[ObservedRun]
    crashing: Sequence[str]
    limits: Sequence[NamedLimit]
    processes: Sequence[ProcessRecord]
    faults: Sequence[InjectedFault]
    arrivals: Sequence[Arrival] = ()
    statements: Sequence[Statement] = ()

    @property
    def stated(self) -> StatementEvidence:
        """The records of what engines stated."""
        return StatementEvidence(
            self.arrivals,
            self.statements,
            {run.engine: self.crashes(run.engine) for run in self.runs},
            self.processes,
            self.faults,
        )

    def crashes(self, engine: str) -> list[float]:
        """Return when an engine crashed."""
        return [
            run.started_at + CRASH_DELAY
            for run in self.runs
            if run.engine == engine and run.target in self.crashing
        ]

    def disturbances(self) -> Iterator[tuple[float, float]]:
        """Iterate over the periods in which gateways or their paths were disturbed."""
        for fault in self.faults:
            yield fault.started_at, fault.ended_at
        for process in self.processes:
            exited_at = process.exited_at or float("inf")
            yield process.started_at, process.listening_at or exited_at
            if process.sigterm_at or process.exited_at:
                yield process.sigterm_at or process.exited_at, exited_at

    def is_calm(self, start: float, end: float) -> bool:
        """Return whether nothing was disturbed in a period and just before it."""
        return all(
            began > end or ended < start - CONTACT_TIME
            for began, ended in self.disturbances()
        )


def check(evidence: ObservedEvidence) -> list[str]:
    """Return a line for each violation."""
    return [
        *check_crashing(evidence),
        *check_proper(evidence.requests),
        *check_events(evidence.requests),
        *check_limits(evidence),
        *check_leaving(evidence.stated),
        *check_rest(evidence.stated),
    ]


def check_crashing(evidence: ObservedEvidence) -> Iterator[str]:
    """Check that requests that crashed three engines reach few more."""
    for target in evidence.crashing:
        starts = sorted(r.started_at for r in evidence.runs if r.target == target)
        if len(starts) <= 3:
            continue
        bound = starts[2] + CRASH_DELAY + CONTACT_TIME
        late = [at for at in starts if at > bound and evidence.is_calm(at, at)]
        if len(late) > MAX_LATE_RUNS:
            yield f"{target} reached engines {len(late)} times after its third crash"


def check_proper(requests: Sequence[RequestRecord]) -> Iterator[str]:
    """Check that no proper request is rejected for crashes."""
    for request in requests:
        if request.status == 400:
            yield f"{request.request_id} crashes nothing and was rejected"


def check_events(requests: Sequence[RequestRecord]) -> Iterator[str]:
    """Check that streams have their events in order, and complete ones have all."""
    for request in requests:
        # How often it ran is another check's matter.
        yield from check_answer(request, runs=0)


def check_limits(evidence: ObservedEvidence) -> Iterator[str]:
    """Check that engines with a limit get no more requests than it allows."""
    for named in evidence.limits:
        most = max(window_counts(evidence, named), default=0)
        if most > named.allowed:
            yield f"{named.engine} got {most} requests, {named.allowed} allowed"


def window_counts(evidence: ObservedEvidence, named: NamedLimit) -> Iterator[int]:
    """Iterate over the requests that an engine got in each window of a limit.

    Left out are windows in which a gateway was disturbed or the engine crashed.
    """
    crashes = evidence.crashes(named.engine)
    times = sorted(
        run.started_at for run in evidence.runs if run.engine == named.engine
    )
    for start in times:
        end = start + WINDOW
        in_force = named.named_at + CONTACT_TIME <= start and end <= named.ended_at
        restarted = any(start - CONTACT_TIME <= at <= end for at in crashes)
        if in_force and not restarted and evidence.is_calm(start, end):
            yield sum(start <= at < end for at in times)


def summarize(evidence: ObservedEvidence) -> Mapping[str, int]:
    """Return counts that show what a run covered."""
    return {
        "requests": len(evidence.requests),
        "crashes": sum(run.target in evidence.crashing for run in evidence.runs),
        "windows": sum(
            len(list(window_counts(evidence, named))) for named in evidence.limits
        ),
        "calm": sum(
            evidence.is_calm(r.started_at, r.started_at) for r in evidence.runs
        ),
        "told of leaving": count_told(evidence.stated, resting=False),
        "told of rest": count_told(evidence.stated, resting=True),
    }
