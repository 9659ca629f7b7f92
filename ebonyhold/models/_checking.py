"""Explicit-state checking of small protocol models.

A model is a function from a state to its labelled successors, and invariants on
states.  minicheck explores it breadth first, so the traces found are shortest.
Each family of models keeps its guards apart: built without one of them, the
checker must find a counterexample, which shows that the check is not vacuous
and why the guard is there.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import Any, Generic, TypeVar

import minicheck
from attrs import frozen

State = TypeVar("State")

MAX_STATES = 2_000_000

Successors = Iterable[tuple[str, State]]


@frozen
class Model(Generic[State]):
    """One protocol with bounds.

    Attributes:
        name: The protocol.
        initial: Where it begins.
        successors: The labelled states that may follow one.
        invariants: What must hold in every reachable state, by name.
    """

    name: str
    initial: State
    successors: Callable[[State], Successors[State]]
    invariants: Mapping[str, Callable[[State], bool]]


@frozen
class Step(Generic[State]):
    """One step of a trace: what happened, and the state after it."""

    label: str
    state: State


@frozen
class Trace(Generic[State]):
    """A shortest way to a state that breaks an invariant."""

    invariant: str
    steps: tuple[Step[State], ...]

    @property
    def labels(self) -> tuple[str, ...]:
        """Return what happens, in order."""
        return tuple(step.label for step in self.steps)


@frozen
class Result(Generic[State]):
    """What a check came to.

    Attributes:
        states: How many states were reached.
        exhaustive: Whether those were all.
        broken: A trace for each broken invariant.
    """

    states: int
    exhaustive: bool
    broken: tuple[Trace[State], ...]

    @property
    def holds(self) -> bool:
        """Say whether all invariants hold in all reachable states."""
        return self.exhaustive and not self.broken


def check(model: Model[Any], max_states: int = MAX_STATES) -> Result[Any]:
    """Explore a model and look for states that break its invariants."""
    report = minicheck.check_safety(as_protocol(model), max_states=max_states)
    broken = tuple(
        as_trace(name, found["counterexample"])
        for name, found in report["properties"].items()
        if found["holds"] is False
    )
    return Result(report["reachable_states"], report["exhaustive"], broken)


def as_protocol(model: Model[Any]) -> minicheck.Protocol:
    """Return the model in the form that minicheck takes: a state of one field."""

    def transitions(fields: tuple[Any]) -> list[tuple[str, tuple[Any]]]:
        return [(label, (state,)) for label, state in model.successors(fields[0])]

    invariants = {
        name: lambda fields, holds=holds: holds(fields["state"])
        for name, holds in model.invariants.items()
    }
    return minicheck.Protocol(
        name=model.name,
        candidate=False,
        fields=("state",),
        initial=(model.initial,),
        transitions=transitions,
        invariants=invariants,
    )


def as_trace(invariant: str, found: list[dict[str, Any]]) -> Trace[Any]:
    """Return a counterexample of minicheck without its initial state."""
    steps = tuple(Step(step["label"], step["state"]["state"]) for step in found[1:])
    return Trace(invariant, steps)


@frozen
class Transition(Generic[State]):
    """One edge of a model's graph."""

    before: State
    label: str
    after: State
    new: bool


def transitions(model: Model[State], limit: int) -> Iterator[Transition[State]]:
    """Visit the edges of a model's graph breadth first.

    Each edge comes after one that led to its first state, so that whoever
    follows can carry something along.

    Args:
        model: The model.
        limit: After how many states to expand no more.
    """
    seen = {model.initial}
    waiting = deque([model.initial])
    expanded = 0
    while waiting and expanded < limit:
        before = waiting.popleft()
        expanded += 1
        for label, after in model.successors(before):
            new = after not in seen
            if new:
                seen.add(after)
                waiting.append(after)
            yield Transition(before, label, after, new)


@frozen
class Guard:
    """One part of a protocol that can be left out.

    Attributes:
        name: Which part.
        why: What goes wrong without it, in a sentence.
        breaks: The invariant that is broken then.
    """

    name: str
    why: str
    breaks: str


Build = Callable[[str, bool], Model[Any]]


@frozen
class Family:
    """A protocol's model with its guards and bounds.

    Attributes:
        name: The protocol.
        title: What it is about.
        guards: What can be left out.
        build: Makes the model without one guard, or with all of them for an
            empty name, and with small or deep bounds.
    """

    name: str
    title: str
    guards: tuple[Guard, ...]
    build: Build


FAMILIES: dict[str, Family] = {}


def family(
    name: str, title: str, guards: tuple[Guard, ...]
) -> Callable[[Build], Build]:
    """Register the function that builds a protocol's model."""

    def register(build: Build) -> Build:
        FAMILIES[name] = Family(name, title, guards, build)
        return build

    return register


T = TypeVar("T")


def replaced(values: tuple[T, ...], place: int, value: T) -> tuple[T, ...]:
    """Return a tuple with one value replaced."""
    return (*values[:place], value, *values[place + 1 :])
