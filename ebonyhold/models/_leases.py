"""Model: orders to an engine, given under a lease with a fencing number.

Time is not modelled: a holder's belief may end at any moment, and others may take
the lease once it has; a pause is that nothing happens in between.  What this
covers is the holder that is paused between its check and its send.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from ebonyhold.models._checking import Guard, Model, family, replaced

FREE = ""
NAMES = "AB"


class LeaseState(NamedTuple):
    """The lease row, two routers, and one engine.

    Attributes:
        holder: Whom the row names.
        fencing: The row's fencing number.
        believed: For each router, the number it believes to hold, 0 for none.
        doubt: For each router, the number it asked for without an answer.
        ready: For each router, the number of the order it is about to send.
        sent: Orders under way, by their numbers, in order.
        applied: The number of the order that the engine carries out.
        highest: The largest number that the engine has seen.
        orders: How many orders may still be prepared.
    """

    holder: str = FREE
    fencing: int = 0
    believed: tuple[int, ...] = (0, 0)
    doubt: tuple[int, ...] = (0, 0)
    ready: tuple[int, ...] = (0, 0)
    sent: tuple[int, ...] = ()
    applied: int = 0
    highest: int = 0
    orders: int = 3


GUARDS = (
    Guard(
        "engine compares the fencing number",
        "an order of a holder that was paused arrives after its successor's "
        "and takes its place",
        "orders are never undone by an older holder",
    ),
    Guard(
        "belief ends first",
        "two routers believe in the lease at once, because the second did not "
        "wait for the first one's time to run out",
        "one believer",
    ),
    Guard(
        "read back",
        "a router whose commit had no effect takes the lost answer for a yes",
        "believers hold the row's number",
    ),
)


class LeaseModel:
    """The steps of the protocol, with bounds."""

    def __init__(self, without: str, deep: bool) -> None:
        self.without = without
        self.max_fencing = 4 if deep else 3

    def successors(self, s: LeaseState) -> Iterator[tuple[str, LeaseState]]:
        """Return what may happen next."""
        for place in range(2):
            yield from self.acquire(s, place)
            yield from self.resolve(s, place)
            yield from self.use(s, place)
        yield from self.deliver(s)

    def may_take(self, s: LeaseState, place: int) -> bool:
        """Say whether the row lets a router take the lease."""
        if s.fencing >= self.max_fencing or s.believed[place] or s.doubt[place]:
            return False
        if s.holder == FREE or self.without == "belief ends first":
            return True
        other = NAMES.index(s.holder)
        return not s.believed[other] and not s.doubt[other]

    def acquire(self, s: LeaseState, place: int) -> Iterator[tuple[str, LeaseState]]:
        """Take the lease; the answer may be lost, before or after the effect."""
        if not self.may_take(s, place):
            return
        name, number = NAMES[place], s.fencing + 1
        taken = s._replace(holder=name, fencing=number)
        believed = replaced(s.believed, place, number)
        doubt = replaced(s.doubt, place, number)
        yield f"{name} takes the lease as {number}", taken._replace(believed=believed)
        yield f"{name} takes it as {number}, answer lost", taken._replace(doubt=doubt)
        yield f"{name} asks for {number}, no effect", s._replace(doubt=doubt)

    def resolve(self, s: LeaseState, place: int) -> Iterator[tuple[str, LeaseState]]:
        """Find out what became of the commit whose answer was lost."""
        number = s.doubt[place]
        if not number:
            return
        name = NAMES[place]
        mine = (s.holder, s.fencing) == (name, number)
        if self.without == "read back":
            mine = True
        resolved = s._replace(doubt=replaced(s.doubt, place, 0))
        if mine:
            believed = replaced(s.believed, place, number)
            resolved = resolved._replace(believed=believed)
        yield f"{name} reads back", resolved

    def use(self, s: LeaseState, place: int) -> Iterator[tuple[str, LeaseState]]:
        """Check the lease, prepare an order, send it, lose or release the lease."""
        name, number = NAMES[place], s.believed[place]
        if number and s.orders and not s.ready[place]:
            ready = replaced(s.ready, place, number)
            prepared = s._replace(ready=ready, orders=s.orders - 1)
            yield f"{name} checks its lease and prepares an order", prepared
        if s.ready[place]:
            sent = s._replace(
                ready=replaced(s.ready, place, 0),
                sent=tuple(sorted((*s.sent, s.ready[place]))),
            )
            yield f"{name} sends its order {s.ready[place]}", sent
        if number:
            ended = s._replace(believed=replaced(s.believed, place, 0))
            yield f"{name}'s time runs out", ended
            if (s.holder, s.fencing) == (name, number):
                yield f"{name} releases the lease", ended._replace(holder=FREE)

    def deliver(self, s: LeaseState) -> Iterator[tuple[str, LeaseState]]:
        """Let the engine receive any order that is under way."""
        for place, number in enumerate(s.sent):
            rest = s._replace(sent=s.sent[:place] + s.sent[place + 1 :])
            checked = self.without != "engine compares the fencing number"
            if checked and number < s.highest:
                yield f"the engine refuses order {number}", rest
                continue
            highest = max(s.highest, number)
            taken = rest._replace(applied=number, highest=highest)
            yield f"the engine takes order {number}", taken


@family("leases", "Orders under a lease, to engines that check its number", GUARDS)
def build_leases(without: str, deep: bool) -> Model[LeaseState]:
    """Build the model."""
    model = LeaseModel(without, deep)
    return Model(
        "leases",
        LeaseState(orders=4 if deep else 3),
        model.successors,
        {
            "orders are never undone by an older holder": (
                lambda s: s.applied == s.highest
            ),
            "one believer": lambda s: not (s.believed[0] and s.believed[1]),
            "believers hold the row's number": lambda s: all(
                number in (0, s.fencing) for number in s.believed
            ),
        },
    )
