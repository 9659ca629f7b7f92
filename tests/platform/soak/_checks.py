"""Check the records of a soak run for violations."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from attrs import field, frozen

from tests.platform.kit import (
    CROSSING_WINDOW,
    EVENT_TOKENS,
    GRACE,
    WORKSPACES,
    EngineRun,
    Fault,
    ProcessRecord,
    RequestRecord,
    crossed_last_answer,
    find_process,
    outlasts_grace,
)
from tests.platform.standin import has_fault

RECOVERY_TIME = 4.0
"""Seconds after the end of all faults; of the requests that end later, at least one
must be served.
"""

FAULT_FREE_TIME = 3.0
"""A request lost in a stop is a violation only if its VM had no injected fault from
this many seconds before the request or the SIGTERM, whichever came first, until the
loss.
"""

TIME_LIMIT = 5.0
"""Time limit in seconds that callers send with each request."""

SIGTERM_CODE = -15
"""Exit code of a process that SIGTERM killed."""


@frozen
class InjectedFault:
    """An injected fault of a VM or of its path to the store.

    Attributes:
        vm: The VM's number.
        started_at: When the fault began, by the monotonic clock in seconds.
        ended_at: When the fault ended.
        paused: Whether the fault paused the process.
    """

    vm: int
    started_at: float
    ended_at: float
    paused: bool = False

    def overlaps(self, vm: int, began: float, ended: float) -> bool:
        """Return whether the fault affected a VM at any time between two given ones."""
        return self.vm == vm and self.started_at <= ended and self.ended_at >= began


@frozen
class Evidence:
    """The records of one seed.

    Attributes:
        requests: The callers' records.
        runs: The engines' runs of each request, by its id.
        processes: All processes of all VMs.
        faults: The injected faults.
        faults_ended_at: When the injection of faults ended.
    """

    requests: Sequence[RequestRecord]
    runs: Mapping[str, list[EngineRun]]
    processes: Sequence[ProcessRecord]
    faults: Sequence[InjectedFault] = field(factory=list)
    faults_ended_at: float = 0.0


def check(evidence: Evidence) -> list[str]:
    """Return the violations of one seed."""
    violations: list[str] = []
    for request in evidence.requests:
        runs = evidence.runs.get(request.request_id, [])
        violations += check_answer(request, len(runs))
        violations += check_stop(request, runs, evidence)
    for process in evidence.processes:
        violations += check_exit(process, evidence.faults)
    violations += check_spending(evidence.requests, evidence.runs)
    late = [
        request
        for request in evidence.requests
        if request.ended_at > evidence.faults_ended_at + RECOVERY_TIME
    ]
    if not any(
        request.status == 200 and request.workspace == "vast" for request in late
    ):
        violations.append(f"nothing served after the troubles: {len(late)} asked")
    return violations


def check_spending(
    requests: Sequence[RequestRecord], runs: Mapping[str, Sequence[EngineRun]]
) -> list[str]:
    """Return a violation for each workspace that used more than its prepaid tokens."""
    spent = dict.fromkeys(WORKSPACES, 0)
    for request in requests:
        if runs.get(request.request_id) and request.length.events:
            tokens = request.prompt + EVENT_TOKENS * len(request.events)
            spent[request.workspace] += tokens
    return [
        f"{name} spent {tokens} of {WORKSPACES[name]}"
        for name, tokens in spent.items()
        if tokens > WORKSPACES[name]
    ]


def check_answer(request: RequestRecord, runs: int) -> list[str]:
    """Return the violations in one answer, given how often its request ran."""
    name, expected = request.request_id, request.length.events
    violations = []
    if request.status in (429, 503) and runs:
        violations.append(f"{name} was refused as not run, and ran")
    if not expected and runs > 1:
        violations.append(f"{name} must not be repeated, and ran {runs} times")
    if request.status and not request.id_matches:
        violations.append(f"{name} got the answer to another request")
    if request.status == 200 and expected:
        wanted = list(range(1, len(request.events) + 1))
        if request.events != wanted:
            violations.append(f"{name} got events {request.events}")
        if request.whole and len(request.events) != expected:
            violations.append(f"{name} ended early: {request.events}")
    return violations


def check_exit(process: ProcessRecord, faults: Sequence[InjectedFault]) -> list[str]:
    """Return the violations in a process's exit; none if it still runs."""
    name = f"vm-{process.vm}"
    if not process.exited_at:
        return []
    if not process.sigterm_at:
        if process.killed:
            return []
        return [f"{name} ended unasked with code {process.code}"]
    duration = process.exited_at - process.sigterm_at
    if process.killed:
        pauses = [fault for fault in faults if fault.paused]
        span = (process.vm, process.sigterm_at, process.exited_at)
        late = duration >= GRACE and not any(pause.overlaps(*span) for pause in pauses)
        return [f"{name} lived {duration:.2f} s after SIGTERM"] if late else []
    # Before its first log line, the program has no signal handler installed.
    before_first_line = process.code == SIGTERM_CODE and not process.logged
    if process.code == 0 or before_first_line:
        return []
    return [f"{name} ended with code {process.code}, {duration:.2f} s after SIGTERM"]


def check_stop(
    request: RequestRecord, runs: Sequence[EngineRun], evidence: Evidence
) -> list[str]:
    """Return the violation if a planned stop lost a request and no fault excuses it."""
    process = find_process(evidence.processes, request.vm, request.connected_at)
    if (
        process is None
        or process.killed
        or not 0 < process.sigterm_at <= request.ended_at
    ):
        return []
    if not request.sent_at or request.fault not in (Fault.ENDED, Fault.RESET):
        return []
    if (
        has_fault(request.request_id)
        or request.ended_at - request.sent_at >= TIME_LIMIT
    ):
        return []
    since = min(request.sent_at, process.sigterm_at) - FAULT_FREE_TIME
    if any(
        fault.overlaps(request.vm, since, request.ended_at) for fault in evidence.faults
    ):
        return []
    moments = (
        request.sent_at,
        request.ended_at,
        process.exited_at or process.sigterm_at,
    )
    sent, ended, gone = (moment - process.sigterm_at for moment in moments)
    times = f"sent {sent:.2f}, ended {ended:.2f}, exit {gone:.2f} s after SIGTERM"
    if runs:
        cut = not outlasts_grace(request, process, runs)
        return (
            [f"{request.request_id} ran and was cut by a stop: {times}"] if cut else []
        )
    # Closing a connection resets it if received bytes are unread.  So before an orderly
    # close, the gateway had read the whole request.
    read = (
        request.fault == Fault.ENDED
        and request.ended_at - request.sent_at > CROSSING_WINDOW
    )
    if read and not crossed_last_answer(request):
        return [f"{request.request_id} was read and not answered at a stop: {times}"]
    return []
