"""Check the records of callers and engines beside silences for violations."""

from __future__ import annotations

import math
from collections.abc import Iterator, Mapping, Sequence
from itertools import combinations
from typing import Any

from attrs import define, field, frozen

from tests.platform.kit import (
    EngineRun,
    ProcessRecord,
    RequestRecord,
    find_process,
    outlasts_grace,
)
from tests.platform.soak._checks import InjectedFault

PATHS = {
    "resumable": "/chat/a",
    "single": "/once/a",
    "safe": "/safe/book/a",
    "unsafe": "/book/a",
}
"""The path of each kind of request; single is a stream that may not be resumed."""

RUN_ONCE = ("single", "unsafe")

ROUTE_TIMEOUT = 8.0
"""The shortest time limit of any version of the routes, in seconds."""

DEADLINE_TOLERANCE = 0.1

PATIENCE = 2.0
"""Seconds without an event after which most callers leave a stream."""

DARK_TIME = 3.0
"""Seconds of silence from which on an engine counts as dark: nobody waits for it."""

MAX_OVERLAP = 0.4
"""Seconds from the start of a later run until one of the two has ended."""

RETRY_RATIO, EXTRA_RETRIES, WINDOW = 0.2, 50, 10.0
"""The retry budget in the settings of the kit: per request, besides, and its window."""

SURE_SHARE = 0.5
"""The part of a gateway's share of the budget that it must be able to use."""

CRASH_NOTICE = 0.3
"""Maximum seconds from the order to end an engine until it ends."""


@define(eq=False)
class SilenceRequest(RequestRecord):
    """A request with its kind.

    Attributes:
        kind: One of `PATHS`.
        left: Whether the caller left for want of an event.
        finished: Whether the answer ended, or the caller left.
    """

    kind: str = "resumable"
    left: bool = False
    finished: bool = False

    @property
    def name(self) -> str:
        """What names it in findings."""
        return f"{self.kind} {self.request_id}:"

    @property
    def target(self) -> str:
        """The request's target, with the answer that the engine is to give."""
        script = f"?events={self.length.events}&pause={self.length.pause}&sound=1"
        return PATHS[self.kind] + script


@frozen
class SilenceEngineRun(EngineRun):
    """A run with its engine's name."""

    engine: str


@frozen
class Silence:
    """A time in which an engine sent nothing."""

    engine: str
    began_at: float
    until: float


@frozen
class Evidence:
    """The records of a run.

    Attributes:
        requests: The callers' records.
        runs: The engines' runs of each request, by its id, in the order of their start.
        silences: The silences.
        ends: The engines that were ended, with the time of the order.
        processes: All processes of the gateways.
        faults: The pauses of gateways.
    """

    requests: Sequence[SilenceRequest]
    runs: Mapping[str, list[SilenceEngineRun]]
    silences: Sequence[Silence] = field(factory=list)
    ends: Sequence[tuple[str, float]] = field(factory=list)
    processes: Sequence[ProcessRecord] = field(factory=list)
    faults: Sequence[InjectedFault] = field(factory=list)

    def runs_of(self, request: RequestRecord) -> list[SilenceEngineRun]:
        """Return the runs of a request."""
        return self.runs.get(request.request_id, [])

    def was_ended(self, run: SilenceEngineRun) -> bool:
        """Return whether the engine ended during a run."""
        return any(
            run.engine == engine
            and run.started_at <= at + CRASH_NOTICE
            and (not run.ended_at or run.ended_at >= at)
            for engine, at in self.ends
        )

    def was_paused(self, request: RequestRecord) -> bool:
        """Return whether the request's gateway was paused meanwhile."""
        span = (request.vm, request.started_at, request.ended_at)
        return any(fault.overlaps(*span) for fault in self.faults)

    def goes_on_at(self, engine: str, at: float) -> float:
        """Return the time from which on an engine sends something again."""
        ends = [
            silence.until
            for silence in self.silences
            if silence.engine == engine and silence.began_at <= at < silence.until
        ]
        return max(ends, default=at)


def read_silence_runs(records: Mapping[str, Any]) -> dict[str, list[SilenceEngineRun]]:
    """Return the runs of each request, by its id, from the stand-in's records."""
    runs: dict[str, list[SilenceEngineRun]] = {}
    for request_id, _, _, _, began, ended, sent, engine in records["runs"]:
        run = SilenceEngineRun(began, ended, sent, engine)
        runs.setdefault(request_id, []).append(run)
    return runs


def lost(request: SilenceRequest, evidence: Evidence) -> bool:
    """Return whether an answer was ended before its time, although its engine ran on.

    An engine that ends is an excuse if the request came to it first, or if it had
    already sent an event.
    """
    runs = evidence.runs_of(request)
    if not request.finished or request.left or not runs:
        return False
    if request.whole and request.status in (200, 429, 503):
        return False
    if request.ended_at - request.sent_at >= ROUTE_TIMEOUT - DEADLINE_TOLERANCE:
        return False
    used = [run for run in runs if run is runs[0] or run.sent]
    if any(evidence.was_ended(run) for run in used) or evidence.was_paused(request):
        return False
    process = find_process(evidence.processes, request.vm, request.connected_at)
    return process is None or not outlasts_grace(request, process, runs)


def check(evidence: Evidence) -> list[str]:
    """Return the violations of a run."""
    violations: list[str] = []
    for request in evidence.requests:
        found = [*check_answer(request, evidence), *check_runs(request, evidence)]
        violations += [f"{request.name} {text}" for text in found]
    violations += check_budget(evidence)
    return violations


def check_answer(request: SilenceRequest, evidence: Evidence) -> Iterator[str]:
    """Yield what is wrong with an answer."""
    runs = evidence.runs_of(request)
    if lost(request, evidence):
        took = request.ended_at - request.sent_at
        count = f"{len(request.events)} of {request.length.events} events"
        ran = [(run.engine, round(run.started_at - request.sent_at, 2)) for run in runs]
        end = f"{request.status} {request.fault}, {count}, after {took:.2f} s"
        yield f"was lost: {end}, runs {ran}"
    if request.status in (429, 503) and runs:
        yield "was refused as not run, and ran"
    if request.status and not request.id_matches:
        yield "got the answer to another request"
    if request.events != list(range(1, len(request.events) + 1)):
        yield f"got events {request.events}"
    expected = request.length.events
    if request.status == 200 and request.whole and len(request.events) != expected:
        yield f"ended early: {request.events}"


def check_runs(request: SilenceRequest, evidence: Evidence) -> Iterator[str]:
    """Yield what is wrong with the runs of a request."""
    runs = evidence.runs_of(request)
    if request.kind in RUN_ONCE and len(runs) > 1:
        yield f"must not be repeated, and ran {len(runs)} times"
    if evidence.was_paused(request):
        return
    for earlier, later in combinations(runs, 2):
        limit = evidence.goes_on_at(later.engine, later.started_at) + MAX_OVERLAP
        until = min(run.ended_at or math.inf for run in (earlier, later))
        if until > limit:
            excess = until - limit + MAX_OVERLAP
            yield f"ran twice at once for {excess:.2f} s"
    stayed = request.left and len(runs) == 1 and met_dark(request, evidence)
    if stayed and has_retries(request, evidence):
        yield f"was not taken from {runs[0].engine}, which is dark"


def met_dark(request: SilenceRequest, evidence: Evidence) -> bool:
    """Return whether a resumable stream's first engine was dark during its run."""
    runs = evidence.runs_of(request)
    return request.kind == "resumable" and any(
        silence.engine == runs[0].engine
        and silence.until - silence.began_at > DARK_TIME
        and runs[0].started_at < silence.until - PATIENCE
        and not 0 < runs[0].ended_at < silence.began_at
        for silence in evidence.silences
        if runs
    )


def arrivals(evidence: Evidence, vm: int | None = None) -> tuple[list[float], ...]:
    """Return the times of the first arrivals of requests at engines, and of the others.

    Args:
        evidence: The records.
        vm: The gateway whose requests count; None for all.
    """
    first: list[float] = []
    further: list[float] = []
    for request in evidence.requests:
        if vm in (None, request.vm) and (runs := evidence.runs_of(request)):
            first.append(runs[0].started_at)
            further += [run.started_at for run in runs[1:]]
    return first, sorted(further)


def in_window(times: Sequence[float], end: float) -> int:
    """Return the number of times in the window of the budget that ends at a time."""
    return sum(end - WINDOW < at <= end for at in times)


def has_retries(request: SilenceRequest, evidence: Evidence) -> bool:
    """Return whether the gateway has used no more than a part of its budget."""
    first, further = arrivals(evidence, request.vm)
    vms = {one.vm for one in evidence.requests}
    earned = RETRY_RATIO * in_window(first, request.ended_at)
    used = in_window(further, request.ended_at)
    return used < SURE_SHARE * (earned + EXTRA_RETRIES / len(vms))


def check_budget(evidence: Evidence) -> Iterator[str]:
    """Yield a text if all gateways together have used more than the retry budget."""
    first, further = arrivals(evidence)
    for at in further:
        allowed = RETRY_RATIO * in_window(first, at) + EXTRA_RETRIES
        if in_window(further, at) > allowed:
            yield f"{in_window(further, at)} retries in a window, {allowed:.0f} allowed"
            return
