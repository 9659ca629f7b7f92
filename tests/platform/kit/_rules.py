"""The platform's rules on which requests a planned stop may leave unanswered."""

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
"""Seconds after a request in which the close of its connection may cross it."""

LATE_AFTER = 3.0
"""Seconds after SIGTERM: a request sent later must not be cut, and a short one that was
sent earlier must be served.
"""

LAST_FRACTION = 1 / 6
"""Fraction of the grace, at its end, in which requests that still run may be cut."""


@frozen
class EngineRun:
    """A run of a request at an engine, with times of the monotonic clock in seconds.

    Attributes:
        started_at: When the run started.
        ended_at: When the run ended; 0 if it had not.
        sent: Number of events that the engine sent.
    """

    started_at: float
    ended_at: float
    sent: int


def read_runs(records: Mapping[str, Any]) -> dict[str, list[EngineRun]]:
    """Return the runs of each request, by its id, from the stand-in's records."""
    runs: dict[str, list[EngineRun]] = {}
    for request_id, _, _, _, began, ended, sent, _ in records["runs"]:
        runs.setdefault(request_id, []).append(EngineRun(began, ended, sent))
    return runs


def outlasts_grace(
    request: RequestRecord, process: ProcessRecord, runs: Sequence[EngineRun]
) -> bool:
    """Return whether a request may be cut because it ran into the end of the grace.

    A request sent more than `LATE_AFTER` seconds after SIGTERM may not be cut.
    """
    if not process.sigterm_at or not request.sent_at:
        return False
    if request.sent_at > process.sigterm_at + LATE_AFTER:
        return False
    last_part_at = process.sigterm_at + GRACE * (1 - LAST_FRACTION)
    return any(not run.ended_at or run.ended_at >= last_part_at for run in runs)


def crossed_last_answer(request: RequestRecord) -> bool:
    """Return whether a request crossed the last answer on its connection.

    The last answer was cut, which another check reports, or had `Connection: close`.
    In the second case the request crossed it if the connection closed within
    `CROSSING_WINDOW` after the request, or if the request was not sent before that
    answer.  The latter does not apply to pipelined requests: the gateway has them
    before that answer begins.
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
    """Return whether a connection failed while the listener was allowed to be closed.

    This is allowed before the process first listens, and in the last `LISTENER_MARGIN`
    seconds before it exits.
    """
    if not process.listening_at or request.ended_at < process.listening_at:
        return True
    return (
        bool(process.exited_at)
        and request.ended_at > process.exited_at - LISTENER_MARGIN
    )
