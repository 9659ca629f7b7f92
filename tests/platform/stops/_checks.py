"""Check the records of a case for violations of the guarantees."""

from __future__ import annotations

from collections.abc import Sequence

from tests.platform.kit import (
    CROSSING_WINDOW,
    GRACE,
    LATE_AFTER,
    EngineRun,
    Fault,
    ProcessRecord,
    RequestRecord,
    crossed_last_answer,
    find_process,
    listener_may_be_closed,
    outlasts_grace,
)
from tests.platform.stops._cases import Case, Disturbance
from tests.platform.stops._findings import Evidence, Guarantee, Violation
from tests.platform.stops._money import check_money

CLOSE_AFTER = 0.2
"""Seconds after SIGTERM from which each answer must have `Connection: close`."""

QUICK_TIME = 0.1
"""Maximum seconds that an engine takes for a booking that counts as short."""

IDLE_EXIT_TIME = 4.0
"""Seconds after SIGTERM within which an idle process must exit."""

SIGTERM_CODE = -15
"""Exit code of a process that SIGTERM killed."""

NOT_RUN_STATUSES = (429, 503)
"""Statuses with which a gateway refuses a request that did not run."""


def check(case: Case, evidence: Evidence) -> list[Violation]:
    """Return the violations of a case."""
    violations: list[Violation] = []
    for exited in evidence.processes:
        violations += check_exit(exited, case)
    for request in evidence.requests:
        moment = request.connected_at or request.ended_at
        process = find_process(evidence.processes, request.vm, moment)
        if process is None:
            # No process of the VM was running, so no rule applies.
            continue
        faults = check_request(
            request, process, evidence.runs.get(request.request_id, [])
        )
        if case.disturbance is not Disturbance.STARTING:
            faults += check_served(request, process)
        times = describe_times(request, process)
        violations += [
            Violation(fault.guarantee, f"{request.request_id} {fault.text} ({times})")
            for fault in faults
        ]
    return violations + check_money(evidence, case)


def describe_times(request: RequestRecord, process: ProcessRecord) -> str:
    """Return the times of a request's events, in seconds after SIGTERM.

    Without SIGTERM they are counted from the start of the process.
    """
    origin = process.sigterm_at or process.started_at
    moments = {
        "asked": request.started_at,
        "connected": request.connected_at,
        "sent": request.sent_at,
        "head": request.head_at,
        "ended": request.ended_at,
        "exit": process.exited_at,
    }
    parts = [f"{name} {at - origin:.2f}" for name, at in moments.items() if at]
    return (
        f"{request.style.name.lower()} {request.length.events} events, "
        f"{', '.join(parts)}"
    )


def check_exit(process: ProcessRecord, case: Case) -> list[Violation]:
    """Return the violations in a process's exit."""
    duration = process.exited_at - process.sigterm_at
    name = f"vm-{process.vm}"
    if not process.sigterm_at:
        return [
            Violation(Guarantee.EXIT, f"{name} ended unasked with code {process.code}")
        ]
    # Before its first log line, the program has no signal handler installed.
    before_first_line = process.code == SIGTERM_CODE and not process.logged
    faults = []
    if process.code != 0 and not before_first_line:
        faults.append(
            f"{name} ended with code {process.code}, {duration:.2f} s after SIGTERM"
        )
    if duration > GRACE:
        faults.append(f"{name} lived {duration:.2f} s after SIGTERM")
    if (process.idle or not case.callers) and duration > IDLE_EXIT_TIME:
        faults.append(f"{name} took {duration:.2f} s to end with nothing open")
    return [Violation(Guarantee.EXIT, fault) for fault in faults]


def check_request(
    request: RequestRecord, process: ProcessRecord, runs: Sequence[EngineRun]
) -> list[Violation]:
    """Return the violations in the outcome of one request."""
    if not request.status:
        return check_unanswered(request, process, runs)
    faults = check_answer(request, process, runs)
    if request.fault:
        if not outlasts_grace(request, process, runs):
            faults.append(
                f"was cut ({request.fault}) after {len(request.events)} events"
            )
    elif request.status == 200 and len(request.events) != request.length.events:
        faults.append(f"ended early: {request.events}")
    return [Violation(Guarantee.ANSWER, fault) for fault in faults]


def check_answer(
    request: RequestRecord, process: ProcessRecord, runs: Sequence[EngineRun]
) -> list[str]:
    """Return the faults of an answer, which may be incomplete."""
    faults = []
    if not request.id_matches:
        faults.append("got the answer to another request")
    if request.status in NOT_RUN_STATUSES:
        if runs:
            faults.append(f"was refused as not run ({request.status}), and ran")
        if not request.retry_after:
            faults.append(f"got {request.status} without Retry-After")
    elif request.status != 200 and (request.sent_at or request.status != 408):
        faults.append(f"got {request.status}")
    if request.events != list(range(1, len(request.events) + 1)):
        faults.append(f"got events {request.events}")
    if len(runs) > 1:
        faults.append(f"ran {len(runs)} times")
    stopping = 0 < process.sigterm_at <= request.head_at - CLOSE_AFTER
    # An answer that is cut, or that another one follows, need not have `close`.
    if stopping and request.whole and not request.close and not request.followed:
        faults.append("was not told to close")
    return faults


def check_served(request: RequestRecord, process: ProcessRecord) -> list[Violation]:
    """Return the violation if a short booking sent soon after SIGTERM was refused.

    Such a request needs no prepaid tokens and no long run, so there is time for it.  A
    process that refused all requests would pass the other checks.
    """
    quick = not request.length.events and request.length.pause <= QUICK_TIME
    early = 0 < process.sigterm_at <= request.sent_at <= process.sigterm_at + LATE_AFTER
    if quick and early and request.status in NOT_RUN_STATUSES:
        return [
            Violation(
                Guarantee.SERVED, f"was refused ({request.status}) with time left"
            )
        ]
    return []


def check_unanswered(
    request: RequestRecord, process: ProcessRecord, runs: Sequence[EngineRun]
) -> list[Violation]:
    """Return the violations in a request whose connection failed without an answer."""
    if not request.fault:
        return []
    if runs:
        cut = not outlasts_grace(request, process, runs)
        return [Violation(Guarantee.ANSWER, "ran and was not answered")] if cut else []
    if crossed_last_answer(request):
        return []
    # Closing a connection resets it if received bytes are unread.  So before an orderly
    # close, the gateway had read the whole request, unless it was still in transit.
    read = request.fault == Fault.ENDED and request.sent_at > 0
    if read and request.ended_at - request.sent_at > CROSSING_WINDOW:
        return [Violation(Guarantee.ANSWER, "was read and not answered")]
    if listener_may_be_closed(request, process):
        return []
    return [Violation(Guarantee.CONNECT, f"met a closed door: {request.fault}")]
