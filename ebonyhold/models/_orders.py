"""Model: orders to engines that do not check who gives them.

An order of a paused holder may undo its successor's at any time, and nothing on
the sending side can prevent that.  What can be had is that it does not stay so:
the holder reads the engine's state back and repeats its order until it is in
force.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from ebonyhold.models._checking import Guard, Model, family


class OrderState(NamedTuple):
    """Two holders in turn, one engine that takes every order.

    Attributes:
        holder: Which of them holds the lease: 1, then 2.
        left: How many orders the first may still prepare.
        late: Orders of the first that are still to be sent, by a paused task.
        sent: Orders under way: 1 or 2 for their sender.
        applied: Whose order the engine carries out; 0 for none.
        prepared: Whether the present holder has given its order.
        repeats: How often it may still be repeated.
    """

    holder: int = 1
    left: int = 2
    late: int = 0
    sent: tuple[int, ...] = ()
    applied: int = 0
    prepared: bool = False
    repeats: int = 3


GUARDS = (
    Guard(
        "read back and repeat",
        "a late order of the former holder stays in force, and nobody notices",
        "at rest the present holder's order is in force",
    ),
)


class OrderModel:
    """The steps of the protocol, with bounds."""

    def __init__(self, without: str, deep: bool) -> None:
        self.repeat = without != "read back and repeat"
        self.left = 3 if deep else 2

    def successors(self, s: OrderState) -> Iterator[tuple[str, OrderState]]:
        """Return what may happen next."""
        if s.holder == 1 and s.left:
            prepared = s._replace(late=s.late + 1, left=s.left - 1)
            yield "A prepares an order and is paused", prepared
        if s.late:
            sent = (1, *s.sent)
            yield "A wakes and sends", s._replace(late=s.late - 1, sent=sent)
        if s.holder == 1:
            yield "B takes the lease", s._replace(holder=2)
        if s.holder == 2 and not s.prepared:
            sent = (*s.sent, 2)
            yield "B sends its order", s._replace(prepared=True, sent=sent)
        for place, sender in enumerate(s.sent):
            rest = s.sent[:place] + s.sent[place + 1 :]
            name = " AB"[sender]
            taken = s._replace(sent=rest, applied=sender)
            yield f"the engine takes {name}'s order", taken
        if self.must_repeat(s):
            yield (
                "B reads the engine's state and repeats",
                s._replace(sent=(*s.sent, 2), repeats=s.repeats - 1),
            )

    def must_repeat(self, s: OrderState) -> bool:
        """Say whether the holder sees that its order is not in force."""
        lacking = s.holder == 2 and s.prepared and s.applied != 2 and 2 not in s.sent
        return self.repeat and lacking and s.repeats > 0


def at_rest(s: OrderState) -> bool:
    """Say whether nothing is under way or still to be sent."""
    return s.holder == 2 and s.prepared and not s.late and not s.sent


@family("orders", "Orders to engines that check nothing", GUARDS)
def build_orders(without: str, deep: bool) -> Model[OrderState]:
    """Build the model."""
    model = OrderModel(without, deep)

    def holds(s: OrderState) -> bool:
        pending = model.must_repeat(s)
        return not at_rest(s) or pending or s.applied == 2

    return Model(
        "orders",
        OrderState(left=model.left, repeats=model.left + 1),
        model.successors,
        {"at rest the present holder's order is in force": holds},
    )
