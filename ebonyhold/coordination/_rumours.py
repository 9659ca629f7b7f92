"""Which statements a router passes on with its heartbeats, and how often."""

from __future__ import annotations

import math

from attrs import define, field

from ebonyhold.coordination._members import MemberUpdate
from ebonyhold.types import RouterId


@define
class Rumour:
    """A statement that is still being passed on, and how often it was."""

    update: MemberUpdate
    sent: int = 0


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
        fewest = sorted(self.waiting.values(), key=lambda rumour: rumour.sent)
        others = [rumour for rumour in fewest if rumour.update.router != to]
        chosen = others[: self.limit]
        for rumour in chosen:
            rumour.sent += 1
            if rumour.sent >= enough:
                del self.waiting[rumour.update.router]
        return tuple(rumour.update for rumour in chosen)
