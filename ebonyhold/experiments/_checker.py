"""A checker of the promises, from the records of everybody but the routers."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from enum import Enum

from attrs import frozen

from ebonyhold.experiments._evidence import (
    CallerOutcome,
    CallerRecord,
    Evidence,
    Index,
    Owner,
    Run,
    build_index,
    trace_of,
)
from ebonyhold.standins import Answer, EngineRecord, ServiceRecord
from ebonyhold.types import RequestId, WorkspaceName


class Promise(Enum):
    """What must always hold."""

    BUDGET = "no workspace spends more than it prepaid"
    BILL = "each request is billed exactly once"
    ANSWER = "a caller receives the whole answer to its own request, and only that"
    NOT_RUN = "what was refused as not run did not run"
    AT_MOST_ONCE = "a call that may not be repeated runs at most once"
    LEAVING = "a backend server that is leaving receives no new work"
    GRACEFUL = "a planned stop cuts no request"
    CONFIGURATION = "an accepted configuration is in force soon and never reverts"


@frozen
class Broken:
    """One promise that was broken, and where to look.

    Attributes:
        promise: Which one.
        message: What the records say.
        workspace: Whose request, or whose budget; may be empty.
        request: Which request; may be empty.
        trace: A trace identifier of it; may be empty.
    """

    promise: Promise
    message: str
    workspace: WorkspaceName = ""
    request: RequestId = ""
    trace: str = ""

    def __str__(self) -> str:
        """Return one line for people."""
        names = ("workspace", "request", "trace")
        places = [f"{name} {getattr(self, name)}" for name in names]
        shown = [place for place in places if not place.endswith(" ")]
        return f"{self.promise.name}: {self.message} ({', '.join(shown)})"


Judge = Callable[[Evidence, Index], Iterator[Broken]]
JUDGES: dict[str, Judge] = {}


def judge(name: str) -> Callable[[Judge], Judge]:
    """Register what looks for one kind of breach."""

    def register(function: Judge) -> Judge:
        JUDGES[name] = function
        return function

    return register


def check(evidence: Evidence) -> list[Broken]:
    """Judge all promises; an empty list means that all were kept."""
    index = build_index(evidence)
    return [broken for one in JUDGES.values() for broken in one(evidence, index)]


def broken_for(
    index: Index, promise: Promise, message: str, owner: Owner | None, trace: str = ""
) -> Broken:
    """Make a finding about a request."""
    workspace = owner.workspace if owner else ""
    request = owner.request if owner else ""
    place = trace or index.trace_of_owner(owner)
    return Broken(promise, message, workspace, request, place)


def has_run(record: EngineRecord) -> bool:
    """Tell whether an engine spent anything on an attempt."""
    return record.prompt_tokens > 0


def engine_runs(evidence: Evidence) -> tuple[Run, ...]:
    """Return the attempts on which engines spent something."""
    return tuple(record for record in evidence.engines if has_run(record))


def bookings(evidence: Evidence) -> tuple[Run, ...]:
    """Return the calls of plain services that had an effect."""
    return tuple(record for record in evidence.services if is_booking(record))


def is_booking(record: ServiceRecord) -> bool:
    """Tell whether a call has an effect, and was not answered from an earlier run."""
    return record.method == "POST" and not record.replayed


def arrival_of(record: Run) -> float:
    """Return when work reached a backend server, in seconds since the epoch."""
    return record.arrived_at if isinstance(record, EngineRecord) else record.at


@judge("whole answers")
def judge_answers(evidence: Evidence, index: Index) -> Iterator[Broken]:
    """Compare each answer with the one that is due."""
    for caller in evidence.callers:
        is_right = caller.received == caller.expected or is_longer(index, caller)
        is_start = caller.expected.startswith(caller.received)
        owner = Owner(caller.workspace, caller.request)
        if caller.outcome is CallerOutcome.WHOLE and not is_right:
            text = "an answer was marked whole and is not the one that is due"
            yield broken_for(index, Promise.ANSWER, text, owner, caller.trace)
        elif not is_right and not is_start:
            text = "a part of an answer is not from the one that is due"
            yield broken_for(index, Promise.ANSWER, text, owner, caller.trace)


def is_longer(index: Index, caller: CallerRecord) -> bool:
    """Tell whether an answer is longer only because its engine ran beyond the bound.

    The engine's own record says how long the answer was that it gave.
    """
    if not caller.received.startswith(caller.expected):
        return False
    return any(
        caller.received == Answer(record.digest).first(record.completion_tokens)
        for record in index.by_trace.get(caller.trace, ())
    )


@judge("refusals")
def judge_not_run(evidence: Evidence, index: Index) -> Iterator[Broken]:
    """Look for runs of tries that were refused as not run."""
    for record in (*engine_runs(evidence), *evidence.services):
        trace = trace_of(record.traceparent)
        caller = index.callers_by_trace.get(trace)
        if caller is None or caller.outcome is not CallerOutcome.NOT_RUN:
            continue
        owner = Owner(caller.workspace, caller.request)
        text = f"refused as not run, but {record.backend} ran {record.attempt}"
        yield broken_for(index, Promise.NOT_RUN, text, owner, trace)


@judge("bookings")
def judge_bookings(evidence: Evidence, index: Index) -> Iterator[Broken]:
    """Count the runs of each booking."""
    runs: Counter[Owner] = Counter()
    for record in filter(is_booking, evidence.services):
        owner = index.owner_of(record)
        # Without an owner the body stands for the request: experiments give
        # each booking a body of its own.
        runs[owner or Owner("", record.key or record.body_digest)] += 1
    for owner, count in runs.items():
        if count > 1:
            text = f"a booking ran {count} times"
            yield broken_for(index, Promise.AT_MOST_ONCE, text, owner)


@judge("leaving servers")
def judge_leaving(evidence: Evidence, index: Index) -> Iterator[Broken]:
    """Look for work that reached a server after its stop was known."""
    records: tuple[Run, ...] = (*evidence.engines, *evidence.services)
    for stop in evidence.stops:
        for record in records:
            at = arrival_of(record)
            if record.backend == stop.backend and stop.forbids(at):
                late = at - stop.starts_at
                text = f"{stop.backend} got {record.attempt} {late:.1f} s into its stop"
                owner = index.owner_of(record)
                trace = trace_of(record.traceparent)
                yield broken_for(index, Promise.LEAVING, text, owner, trace)


@judge("planned stops")
def judge_graceful(evidence: Evidence, index: Index) -> Iterator[Broken]:
    """Look for callers that were cut while their server was being stopped."""
    for stop in evidence.stops:
        for record in evidence.engines:
            trace = trace_of(record.traceparent)
            caller = index.callers_by_trace.get(trace)
            if record.backend != stop.backend or caller is None:
                continue
            is_cut = caller.outcome is CallerOutcome.CUT
            if is_cut and stop.covers(record.arrived_at, caller.ended_at):
                text = f"cut during the planned stop of {stop.backend}"
                owner = Owner(caller.workspace, caller.request)
                yield broken_for(index, Promise.GRACEFUL, text, owner, trace)


@judge("configuration")
def judge_configuration(evidence: Evidence, index: Index) -> Iterator[Broken]:
    """Look for versions that come late or go back."""
    by_router: dict[str, list[tuple[float, int]]] = defaultdict(list)
    for sighting in evidence.sightings:
        by_router[sighting.router].append((sighting.at, sighting.version))
    for router, seen in by_router.items():
        latest = 0
        for at, version in sorted(seen):
            due = version_due(evidence, at)
            if version < latest:
                text = f"{router} went back from version {latest} to {version}"
                yield Broken(Promise.CONFIGURATION, text)
            elif version < due:
                text = f"{router} still has version {version}, {due} is due"
                yield Broken(Promise.CONFIGURATION, text)
            latest = max(latest, version)


def version_due(evidence: Evidence, at: float) -> int:
    """Return the least version that must be in force at a time."""
    due = at - evidence.force_within
    versions = [one.version for one in evidence.accepted if one.accepted_at <= due]
    return max(versions, default=0)
