"""A queue that admits calls at a limited rate, shared fairly between classes."""

from __future__ import annotations

import math
from collections import deque
from enum import Enum

import anyio
from attrs import define, field

from ebonyhold.coordination import FairScheduler, TokenBucket
from ebonyhold.exceptions import UnavailableError
from ebonyhold.types import Seconds


class Priority(Enum):
    """The class of a call to the platform, which determines its share of the rate."""

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
"""Weights by which the classes that have queued calls share the rate.

With strict priorities instead, many queued intents would block the calls for bills and
budgets, on which further intents depend.
"""


class RefusedHereError(UnavailableError):
    """The call was refused in this process, before anything was sent."""


@define(eq=False)
class QueuedCall:
    """A queued call.

    Attributes:
        amount: The rows that the call reads or writes.
        admitted: Set when the call may start.
    """

    amount: float
    admitted: anyio.Event = field(factory=anyio.Event)


@define
class CallQueue:
    """Admits calls at a limited rate and concurrency, fairly between classes.

    Queued calls are admitted by `run`, which must run in a task of its own.

    Attributes:
        bucket: Limits the rate, in rows a second.
        max_waiting: Maximum number of queued calls of one class; further calls
            are refused.
        max_in_flight: Maximum number of admitted calls that have not ended.
        turns: Chooses the class of the next call.
        waiting: The queued calls of each class, in order of arrival.
        in_flight: The number of admitted calls that have not ended.
        changed: Set when a call was queued or has ended, to wake `run`.
    """

    bucket: TokenBucket
    max_waiting: int
    max_in_flight: int
    turns: FairScheduler[Priority] = field(factory=lambda: FairScheduler(dict(SHARES)))
    waiting: dict[Priority, deque[QueuedCall]] = field(
        factory=lambda: {priority: deque() for priority in Priority}
    )
    in_flight: int = 0
    changed: anyio.Event = field(factory=anyio.Event)

    async def enter(self, priority: Priority, amount: float) -> None:
        """Wait until a call is admitted; the caller must call `leave` at its end.

        After an error or a cancellation `leave` must not be called.

        Raises:
            RefusedHereError: The queue of this class is full.
        """
        if not any(self.waiting.values()) and self.try_take(amount):
            self.admit(priority, amount)
            return
        queue = self.waiting[priority]
        if len(queue) >= self.max_waiting:
            raise RefusedHereError(f"too many calls wait: {priority.value}")
        call = QueuedCall(amount)
        queue.append(call)
        self.changed.set()
        try:
            await call.admitted.wait()
        except anyio.get_cancelled_exc_class():
            self.withdraw(queue, call)
            raise

    def withdraw(self, queue: deque[QueuedCall], call: QueuedCall) -> None:
        """Remove a cancelled call from its queue.

        If it was admitted just before the cancellation, counts it as ended;
        otherwise it would stay in `in_flight` for ever.
        """
        if call.admitted.is_set():
            self.leave()
        else:
            queue.remove(call)

    def try_take(self, amount: float) -> bool:
        """Take rows from the bucket if a call may start now; return whether it may."""
        if self.in_flight >= self.max_in_flight:
            return False
        return self.bucket.take(amount, anyio.current_time())

    def admit(self, priority: Priority, amount: float) -> None:
        """Count a call as started, and charge its class for the rows."""
        self.in_flight += 1
        self.turns.charge(priority, amount)

    def leave(self) -> None:
        """Record that an admitted call has ended, and wake `run`."""
        self.in_flight -= 1
        self.changed.set()

    async def run(self) -> None:
        """Admit queued calls until cancelled."""
        while True:
            self.changed = anyio.Event()
            wait = self.admit_waiting()
            with anyio.move_on_after(wait):
                await self.changed.wait()

    def admit_waiting(self) -> Seconds:
        """Admit all queued calls that may start now.

        Returns:
            Seconds until the rate allows the next call; infinity if no call is
            queued or too many are in flight.
        """
        while True:
            queued = [priority for priority, queue in self.waiting.items() if queue]
            if not queued or self.in_flight >= self.max_in_flight:
                return math.inf
            priority = self.turns.choose(queued)
            call = self.waiting[priority][0]
            if not self.try_take(call.amount):
                return self.bucket.wait(call.amount, anyio.current_time())
            self.waiting[priority].popleft()
            self.admit(priority, call.amount)
            call.admitted.set()
