"""Rules on what a planned stop may do to requests, as the platform sets them."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from attrs import frozen

from tests.platform.kit._callers import CROSSING_TOLERANCE, RequestRecord, Style
from tests.platform.kit._processes import ProcessRecord
from tests.platform.kit._world import GRACE

LISTENER_MARGIN = 0.4
"""Seconds before a process's exit in which its listener may already be closed."""

CROSSING_WINDOW = 0.2
"""Seconds in which a request and the close of its connection may cross."""

LATE_AFTER = 3.0
"""Seconds after SIGTERM.  A request sent later must not be cut; a short one sent sooner
must be served.
"""

LAST_FRACTION = 1 / 6
"""Last fraction of the grace, in which requests that still run may be cut."""


@frozen
class EngineRun:
    """A run of a request at an engine, with times of the monotonic clock.

    Attributes:
        started_at: When the run started.
        ended_at: When it ended; 0 if it had not.
        sent: Events that the engine sent.
    """

    started_at: float
    ended_at: float
    sent: int


def read_runs(records: Mapping[str, Any]) -> dict[str, list[EngineRun]]:
    """Return the runs of each request, by its id, from the stand-in's records."""
    runs: dict[str, list[EngineRun]] = {}
    for request_id, _, _, _, began, ended, sent in records["runs"]:
        runs.setdefault(request_id, []).append(EngineRun(began, ended, sent))
    return runs


def outlasts_grace(
    request: RequestRecord, process: ProcessRecord, runs: Sequence[EngineRun]
) -> bool:
    """Return whether a request may be cut as it runs into the last part of the grace.

    A request sent later than `LATE_AFTER` may not be cut.
    """
    if not process.sigterm_at or not request.sent_at:
        return False
    if request.sent_at > process.sigterm_at + LATE_AFTER:
        return False
    last_part_at = process.sigterm_at + GRACE * (1 - LAST_FRACTION)
    return any(not run.ended_at or run.ended_at >= last_part_at for run in runs)


def crossed_last_answer(request: RequestRecord) -> bool:
    """Return whether a request crossed an answer that no other could follow.

    Such an answer was cut, which is checked apart, or has `Connection: close`.  A
    pipelined request does not count as crossing the latter: it was sent together with
    the earlier request, so the gateway had it before that answer began.
    """
    if request.behind_cut:
        return True
    if not request.closing_at or not request.sent_at:
        return False
    if request.ended_at - request.sent_at <= CROSSING_WINDOW:
        return True
    crossed = request.sent_at > request.closing_at - CROSSING_TOLERANCE
    return request.style is not Style.PIPELINED and crossed


def listener_may_be_closed(request: RequestRecord, process: ProcessRecord) -> bool:
    """Return whether a connection failed when the listener was allowed to be closed.

    That is before the process first listened, and in the last `LISTENER_MARGIN` seconds
    before its exit.
    """
    if not process.listening_at or request.ended_at < process.listening_at:
        return True
    return (
        bool(process.exited_at)
        and request.ended_at > process.exited_at - LISTENER_MARGIN
    )
