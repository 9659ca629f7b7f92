"""Check that gateways keep to what engines state: that they leave, or want rest."""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence

from attrs import frozen

from tests.platform.kit import ProcessRecord, find_process
from tests.platform.soak._checks import InjectedFault

DRAIN_TIME = 2.0
"""Seconds after an answer that states leaving, from which on the gateway that passed it
on must send nothing to the engine."""

REST_MARGIN = 0.5
"""Seconds after an engine has asked for rest in which more requests may arrive."""

MAX_IN_REST = 2
"""Maximum number of requests from a gateway in the remaining rest."""


@frozen
class Arrival:
    """A request that arrived at an engine.

    Attributes:
        vm: The VM of the gateway that sent it.
        engine: The engine.
        at: When it arrived, by the monotonic clock in seconds.
        answered_at: When its answer was complete; 0 if it had none or was turned away.
        turned_away: Whether the engine turned it away.
    """

    vm: int
    engine: str
    at: float
    answered_at: float = 0.0
    turned_away: bool = False


@frozen
class Statement:
    """What all answers of an engine state for some time.

    Attributes:
        engine: The engine.
        stated_at: When it began, by the monotonic clock in seconds.
        ended_at: When it ended; an engine that leaves restarts then.
        rest: The rest that it asks for, in seconds; None if it states that it leaves.
    """

    engine: str
    stated_at: float
    ended_at: float
    rest: float | None = None


@frozen
class StatementEvidence:
    """The records that are checked.

    Attributes:
        arrivals: All requests that arrived at engines, in order.
        statements: What engines stated.
        crashes: When engines crashed, by the engine.
        processes: All processes of all VMs.
        faults: The injected faults.
    """

    arrivals: Sequence[Arrival]
    statements: Sequence[Statement]
    crashes: Mapping[str, Sequence[float]]
    processes: Sequence[ProcessRecord]
    faults: Sequence[InjectedFault]

    def is_excused(self, told: Arrival, later: Arrival) -> bool:
        """Return whether a gateway or an engine restarted between two arrivals.

        A pause of the gateway counts as well.
        """
        process = find_process(self.processes, told.vm, told.at)
        restarted = process is not find_process(self.processes, later.vm, later.at)
        crashed = any(
            told.at <= at <= later.at for at in self.crashes.get(told.engine, ())
        )
        paused = any(
            fault.paused and fault.overlaps(told.vm, told.at, later.at)
            for fault in self.faults
        )
        return restarted or crashed or paused

    def told(self, statement: Statement) -> Iterator[Arrival]:
        """Yield the requests whose answers told a gateway of a statement."""
        rests = statement.rest is not None
        for arrival in self.arrivals:
            answered = arrival.turned_away if rests else arrival.answered_at > 0
            in_time = statement.stated_at <= arrival.at <= statement.ended_at
            if answered and in_time and arrival.engine == statement.engine:
                yield arrival

    def after(self, told: Arrival, start: float, end: float) -> list[Arrival]:
        """Return what the engine got from a gateway in a period after it was told."""
        return [
            later
            for later in self.arrivals
            if (later.vm, later.engine) == (told.vm, told.engine)
            and start < later.at < end
            and not self.is_excused(told, later)
        ]


def check_leaving(evidence: StatementEvidence) -> Iterator[str]:
    """Check that leaving engines get nothing from gateways that were told."""
    for statement in evidence.statements:
        if statement.rest is not None:
            continue
        for told in evidence.told(statement):
            start, end = told.answered_at + DRAIN_TIME, statement.ended_at
            for later in evidence.after(told, start, end):
                seconds = later.at - told.answered_at
                yield f"{told.engine} leaves, and got a request {seconds:.2f} s later"


def check_rest(evidence: StatementEvidence) -> Iterator[str]:
    """Check that engines get few requests in a rest that they asked for."""
    for statement in evidence.statements:
        if statement.rest is None:
            continue
        for told in evidence.told(statement):
            start, end = told.at + REST_MARGIN, told.at + statement.rest
            count = len(evidence.after(told, start, end))
            if count > MAX_IN_REST:
                yield f"{told.engine} rests, and got {count} requests from a gateway"


def count_told(evidence: StatementEvidence, resting: bool) -> int:
    """Return how many answers told a gateway that an engine leaves, or rests."""
    return sum(
        len(list(evidence.told(statement)))
        for statement in evidence.statements
        if (statement.rest is not None) is resting
    )
