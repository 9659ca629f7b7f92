"""Driving the real coordination parts along the edges of a model's graph.

A model says in a few lines what the parts do in many; were the two to drift
apart, the check would prove something about a protocol that nobody runs.  So for
each edge the parts are called on a table in memory, and what the table and the
memory of the routers then say must be the model's next state.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Generic, Protocol, TypeVar

from attrs import define, field, frozen

from ebonyhold.coordination import (
    Absent,
    Check,
    Observed,
    Put,
    Row,
    Transaction,
    observe_row,
)
from ebonyhold.models._checking import Model, Transition, transitions
from ebonyhold.types import Json

State = TypeVar("State")
Concrete = TypeVar("Concrete")
T = TypeVar("T")


class ReplayError(AssertionError):
    """The parts did something else than the model."""


@frozen
class MemoryTable:
    """A table that can be copied by keeping it: every commit makes a new one."""

    rows: dict[str, Row] = field(factory=dict)

    def commit(self, transaction: Transaction) -> MemoryTable | None:
        """Return the table afterwards, or None when a check fails."""
        if not all(self.holds(check) for check in transaction.checks):
            return None
        rows = dict(self.rows)
        for write in transaction.writes:
            if isinstance(write, Put):
                rows[write.key] = self.written(write.key, write.value)
            else:
                rows.pop(write.key, None)
        return MemoryTable(rows)

    def must_commit(self, transaction: Transaction | None) -> MemoryTable:
        """Commit what the model says takes effect.

        Raises:
            ReplayError: There is nothing to commit, or a check fails.
        """
        after = None if transaction is None else self.commit(transaction)
        if after is None:
            raise ReplayError(f"no effect: {transaction}")
        return after

    def written(self, key: str, value: Json) -> Row:
        """Return a row as it is after one more write."""
        old = self.rows.get(key)
        return Row(key, 1 if old is None else old.version + 1, value)

    def holds(self, check: Check) -> bool:
        """Say whether one check holds."""
        row = self.rows.get(check.key)
        if isinstance(check, Absent):
            return row is None
        return row is not None and row.version == check.version

    def seen(self, key: str, as_type: type[T]) -> Observed[T]:
        """Return a row as one reader sees it now."""
        return observe_row(key, self.rows.get(key), as_type)

    def value(self, key: str, as_type: type[T]) -> T | None:
        """Return what a row holds, or None."""
        return self.seen(key, as_type).value


class Adapter(Protocol[Concrete]):
    """Carries out a model's steps with the real parts.

    Each concrete state is a frozen value, so that several edges can begin at it.
    """

    def initial(self) -> Concrete:
        """Return the concrete state that the model begins in."""
        ...

    def step(self, concrete: Concrete, edge: Transition[Any]) -> Concrete:
        """Carry out what one edge says.

        Raises:
            ReplayError: The parts refuse what the model does.
        """
        ...

    def observe(self, concrete: Concrete) -> object:
        """Return what can be compared of a concrete state."""
        ...

    def expect(self, state: Any) -> object:
        """Return the same of a state of the model."""
        ...


@frozen
class ReplayReport:
    """How far a replay went."""

    states: int
    edges: int


def replay(
    model: Model[Any], adapter: Adapter[Any], limit: int = 1_000_000
) -> ReplayReport:
    """Drive the parts along every edge of a model's graph.

    Args:
        model: The model.
        adapter: Carries out its steps.
        limit: After how many states to stop.

    Raises:
        ReplayError: The parts and the model disagree.
    """
    reached = {model.initial: adapter.initial()}
    edges = 0
    for edge in transitions(model, limit):
        after = adapter.step(reached[edge.before], edge)
        found, wanted = adapter.observe(after), adapter.expect(edge.after)
        if found != wanted:
            raise ReplayError(
                f"{edge.before} -- {edge.label}: the parts say {found}, "
                f"the model says {wanted}"
            )
        if edge.new:
            reached[edge.after] = after
        edges += 1
    return ReplayReport(len(reached), edges)


Action = Callable[[Any, Any, int], Any]


@define
class Actions(Generic[Concrete]):
    """What an adapter does for each label, whose first word names a router.

    Attributes:
        names: The routers' names, in order.
        by_verb: The actions by the label without that name.
    """

    names: str = "AB"
    by_verb: dict[str, Action] = field(factory=dict)

    def on(self, *verbs: str) -> Callable[[Action], Action]:
        """Register a function of adapter, concrete state and router."""

        def register(action: Action) -> Action:
            for verb in verbs:
                self.by_verb[verb] = action
            return action

        return register

    def run(self, adapter: object, concrete: Concrete, label: str) -> Concrete:
        """Find and run the action for a label; without one nothing changes.

        Raises:
            ReplayError: No action is registered.
        """
        place, verb = self.parse(label)
        for known, action in self.by_verb.items():
            if verb.startswith(known):
                after: Concrete = action(adapter, concrete, place)
                return after
        raise ReplayError(f"no action for {label!r}")

    def parse(self, label: str) -> tuple[int, str]:
        """Split a label into the router and what it does."""
        if label[0] in self.names and label[1:2] in ("'", " "):
            return self.names.index(label[0]), label[1:].removeprefix("'s").strip()
        return 0, label


def nothing(adapter: object, concrete: Concrete, place: int) -> Concrete:
    """Carry out a step that touches neither the table nor a router's memory."""
    return concrete
