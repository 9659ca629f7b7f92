"""Where calls wait for their turn under a rate ceiling."""

from __future__ import annotations

import math
from collections import deque
from enum import Enum

import anyio
from attrs import define, field

from ebonyhold.coordination import FairTurns, TokenBucket
from ebonyhold.exceptions import UnavailableError
from ebonyhold.types import Seconds


class Priority(Enum):
    """What a call to the platform is for; each has a share of the ceiling."""

    INTENTS = "intents"
    BILLS = "bills"
    BUDGETS = "budgets"
    CONFIGURATION = "configuration"
    HEARTBEATS = "heartbeats"
    HOUSEKEEPING = "housekeeping"


SHARES = {
    Priority.INTENTS: 16.0,
    Priority.BILLS: 8.0,
    Priority.BUDGETS: 8.0,
    Priority.CONFIGURATION: 4.0,
    Priority.HEARTBEATS: 2.0,
    Priority.HOUSEKEEPING: 1.0,
}
"""How the ceiling is shared while all classes wait.

They are shares and not ranks: under strict ranks, a flood of intents would keep
bills and grants from the table, and without those there are no more intents.
"""


class RefusedHereError(UnavailableError):
    """The call was refused in this process and never left it."""


@define(eq=False)
class Ticket:
    """One call that waits."""

    amount: float
    admitted: anyio.Event = field(factory=anyio.Event)


@define
class Turnstile:
    """Lets calls through at a rate, in fair turns, so many at once.

    `run` must run beside the callers; it owns the order of the turns.

    Attributes:
        bucket: The rate, in rows or calls a second.
        most_waiting: Calls of one class that may wait; more are refused.
        most_in_flight: Calls let through that have not left yet.
        waiting: The tickets of each class, in their order.
        in_flight: Calls that have not left yet.
        changed: Set when `run` must look again.
    """

    bucket: TokenBucket
    most_waiting: int
    most_in_flight: int
    turns: FairTurns[Priority] = field(factory=lambda: FairTurns(dict(SHARES)))
    waiting: dict[Priority, deque[Ticket]] = field(
        factory=lambda: {priority: deque() for priority in Priority}
    )
    in_flight: int = 0
    changed: anyio.Event = field(factory=anyio.Event)

    async def enter(self, priority: Priority, amount: float) -> None:
        """Wait for a turn; each entry must be followed by `leave`.

        Raises:
            RefusedHereError: Too many calls of this class wait already.
        """
        if not any(self.waiting.values()) and self.has_room(amount):
            self.admit(priority, amount)
            return
        queue = self.waiting[priority]
        if len(queue) >= self.most_waiting:
            raise RefusedHereError(f"too many calls wait: {priority.value}")
        ticket = Ticket(amount)
        queue.append(ticket)
        self.changed.set()
        try:
            await ticket.admitted.wait()
        except anyio.get_cancelled_exc_class():
            self.give_up(queue, ticket)
            raise

    def give_up(self, queue: deque[Ticket], ticket: Ticket) -> None:
        """Take back a ticket whose caller was cancelled.

        The turn may have come in the same instant.  It must then be given back,
        or its place in flight would be lost for ever.
        """
        if ticket.admitted.is_set():
            self.leave()
        else:
            queue.remove(ticket)

    def has_room(self, amount: float) -> bool:
        """Take units from the bucket if a call may go now."""
        if self.in_flight >= self.most_in_flight:
            return False
        return self.bucket.take(amount, anyio.current_time())

    def admit(self, priority: Priority, amount: float) -> None:
        """Count a call that goes now."""
        self.in_flight += 1
        self.turns.charge(priority, amount)

    def leave(self) -> None:
        """Record that a call has ended."""
        self.in_flight -= 1
        self.changed.set()

    async def run(self) -> None:
        """Give out turns for ever."""
        while True:
            self.changed = anyio.Event()
            wait = self.give_turns()
            with anyio.move_on_after(wait):
                await self.changed.wait()

    def give_turns(self) -> Seconds:
        """Let through what may go now; return how long until the next may."""
        while True:
            queued = [who for who, queue in self.waiting.items() if queue]
            if not queued or self.in_flight >= self.most_in_flight:
                return math.inf
            who = self.turns.choose(queued)
            ticket = self.waiting[who][0]
            if not self.has_room(ticket.amount):
                return self.bucket.wait(ticket.amount, anyio.current_time())
            self.waiting[who].popleft()
            self.admit(who, ticket.amount)
            ticket.admitted.set()
