"""What the rules excuse around a planned stop."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from attrs import frozen

from tests.platform.kit._callers import CROSSING_TOLERANCE, RequestRecord, Style
from tests.platform.kit._processes import ProcessRecord
from tests.platform.kit._world import GRACE

LISTENER_MARGIN = 0.4
"""Seconds before a process's end from which its door may be closed."""

CROSSING_WINDOW = 0.2
"""Seconds in which a request and the end of its connection may cross, by the rules."""

LATE_AFTER = 3.0
"""A request that is sent later than so many seconds after the signal is never cut,
and one that is sent sooner and ends in a moment is served."""

LAST_FRACTION = 1 / 6
"""The part of the grace in which what still runs may be cut."""


@frozen
class EngineRun:
    """A run, as its engine saw it."""

    started_at: float
    ended_at: float
    sent: int


def read_runs(records: Mapping[str, Any]) -> dict[str, list[EngineRun]]:
    """Return the runs of each request, from what the witness tells."""
    runs: dict[str, list[EngineRun]] = {}
    for request_id, _, _, _, began, ended, sent in records["runs"]:
        runs.setdefault(request_id, []).append(EngineRun(began, ended, sent))
    return runs


def outlasts_grace(
    request: RequestRecord, process: ProcessRecord, runs: Sequence[EngineRun]
) -> bool:
    """Tell whether a request could not end in the grace, and may be cut at its end."""
    if not process.sigterm_at or not request.sent_at:
        return False
    if request.sent_at > process.sigterm_at + LATE_AFTER:
        return False
    last_part_at = process.sigterm_at + GRACE * (1 - LAST_FRACTION)
    return any(not run.ended_at or run.ended_at >= last_part_at for run in runs)


def crossed_last_answer(request: RequestRecord) -> bool:
    """Tell whether a request met an answer on its way after which none can come.

    It said that it is the last, or it was cut, which is judged by itself.
    What was sent at once with the request before it was there when that answer began.
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
    """Tell whether a connection failed where no process can be asked to answer."""
    if not process.listening_at or request.ended_at < process.listening_at:
        return True
    return (
        bool(process.exited_at)
        and request.ended_at > process.exited_at - LISTENER_MARGIN
    )
