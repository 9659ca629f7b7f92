"""What the rules excuse around a planned stop."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from attrs import frozen

from tests.platform.kit._callers import MISSED_BY, Style, Try
from tests.platform.kit._processes import Life
from tests.platform.kit._world import GRACE

DOOR_MARGIN = 0.4
"""Seconds before a process's end from which its door may be closed."""

LOSS_SLACK = 0.2
"""Seconds in which a request and the end of its connection may cross, by the rules."""

LATE_AFTER = 3.0
"""A request that is sent later than so many seconds after the signal is never cut,
and one that is sent sooner and ends in a moment is served."""

LAST_PART = 1 / 6
"""The part of the grace in which what still runs may be cut."""


@frozen
class Seen:
    """A run, as its engine saw it."""

    began_at: float
    ended_at: float
    sent: int


def read_runs(witness: Mapping[str, Any]) -> dict[str, list[Seen]]:
    """Return the runs of each request, from what the witness tells."""
    runs: dict[str, list[Seen]] = {}
    for request, _, _, _, began, ended, sent in witness["runs"]:
        runs.setdefault(request, []).append(Seen(began, ended, sent))
    return runs


def was_endless(one: Try, life: Life, runs: Sequence[Seen]) -> bool:
    """Tell whether a request could not end in the grace, and may be cut at its end."""
    if not life.asked_at or not one.sent_at:
        return False
    if one.sent_at > life.asked_at + LATE_AFTER:
        return False
    last = life.asked_at + GRACE * (1 - LAST_PART)
    return any(not run.ended_at or run.ended_at >= last for run in runs)


def was_crossing(one: Try) -> bool:
    """Tell whether a request met an answer on its way after which none can come.

    It said that it is the last, or it was cut, which is judged by itself.
    What was sent at once with the request before it was there when that answer began.
    """
    if one.behind_cut:
        return True
    if not one.closing_at or not one.sent_at:
        return False
    if one.ended_at - one.sent_at <= LOSS_SLACK:
        return True
    crossed = one.sent_at > one.closing_at - MISSED_BY
    return one.style is not Style.PIPELINED and crossed


def at_the_end(one: Try, life: Life) -> bool:
    """Tell whether a connection failed where no process can be asked to answer."""
    if not life.listening_at or one.ended_at < life.listening_at:
        return True
    return bool(life.exited_at) and one.ended_at > life.exited_at - DOOR_MARGIN
