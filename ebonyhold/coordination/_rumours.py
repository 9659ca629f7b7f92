"""Which statements a router passes on with its heartbeats, and how often."""

from __future__ import annotations

import heapq
import math

from attrs import define, field

from ebonyhold.coordination._members import MemberStatus, MemberUpdate
from ebonyhold.types import RouterId


@define
class Rumour:
    """A statement that is still being passed on, and how often it was."""

    update: MemberUpdate
    sent: int = 0


def urgency(rumour: Rumour) -> tuple[bool, int]:
    """Return the rank of a statement; the least goes first.

    When a whole fleet starts at once there are as many new members to tell of as
    routers.  A suspicion or its refutation must not wait behind them, which would
    show as healthy routers called gone; pages carry the new members anyway.
    """
    update = rumour.update
    joins = update.status is MemberStatus.ALIVE and update.revision == 0
    return (joins, rumour.sent)


@define
class Rumours:
    """The statements that are still being passed on.

    Attributes:
        limit: The most statements in one message.
        repeats: How often each is passed on, for each doubling of the fleet's size.
        waiting: The latest statement about each router.
    """

    limit: int
    repeats: float
    waiting: dict[RouterId, Rumour] = field(factory=dict)

    def add(self, update: MemberUpdate) -> None:
        """Pass a statement on; it takes the place of an earlier one."""
        self.waiting[update.router] = Rumour(update)

    def take(self, to: RouterId, size: int) -> tuple[MemberUpdate, ...]:
        """Choose the statements for one message, the least repeated first.

        Args:
            to: Who receives them; nothing is said of the receiver itself here.
            size: How many routers the fleet has.
        """
        enough = math.ceil(self.repeats * math.log2(size + 2))
        others = [one for one in self.waiting.values() if one.update.router != to]
        chosen = heapq.nsmallest(self.limit, others, key=urgency)
        for rumour in chosen:
            rumour.sent += 1
            if rumour.sent >= enough:
                del self.waiting[rumour.update.router]
        return tuple(rumour.update for rumour in chosen)
