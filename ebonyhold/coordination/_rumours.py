"""Selection of the membership updates that a router gossips with its heartbeats."""

from __future__ import annotations

import heapq
import math

from attrs import define, field

from ebonyhold.coordination._members import MemberStatus, MemberUpdate
from ebonyhold.types import RouterId


@define
class Rumour:
    """An update that is still being gossiped, and how often it was sent."""

    update: MemberUpdate
    sent: int = 0


def send_priority(rumour: Rumour) -> tuple[bool, int]:
    """Return the rank of an update; the lowest rank is sent first.

    When all routers of a fleet start at the same time, there are as many updates about
    new members as routers.  Other updates are sent before these: a refutation that is
    delayed by them would let a healthy router be declared gone.  Updates about new
    members can wait, because new members are also sent in pages.
    """
    update = rumour.update
    joins = update.status is MemberStatus.ALIVE and update.revision == 0
    return (joins, rumour.sent)


@define
class Rumours:
    """The updates that are still being gossiped.

    Attributes:
        limit: The maximum number of updates in one heartbeat.
        repeats: How often each update is sent, for each doubling of the fleet's size.
        pending: The latest update about each router.
    """

    limit: int
    repeats: float
    pending: dict[RouterId, Rumour] = field(factory=dict)

    def add(self, update: MemberUpdate) -> None:
        """Gossip an update; it replaces an earlier one about the same router."""
        self.pending[update.router] = Rumour(update)

    def next_updates(self, to: RouterId, size: int) -> tuple[MemberUpdate, ...]:
        """Return the updates for one heartbeat, the lowest `send_priority` first.

        An update is dropped after it was sent often enough.

        Args:
            to: The receiver; updates about the receiver are left out.
            size: The number of other routers in the fleet.
        """
        max_sends = math.ceil(self.repeats * math.log2(size + 2))
        others = [one for one in self.pending.values() if one.update.router != to]
        chosen = heapq.nsmallest(self.limit, others, key=send_priority)
        for rumour in chosen:
            rumour.sent += 1
            if rumour.sent >= max_sends:
                del self.pending[rumour.update.router]
        return tuple(rumour.update for rumour in chosen)
