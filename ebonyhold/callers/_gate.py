"""Waiting for admission: the queue's decisions, carried out."""

from __future__ import annotations

import math
from collections.abc import Callable

import anyio
from attrs import define, field

from ebonyhold.callers._codes import (
    DEADLINE_UNREACHABLE,
    NO_BACKEND,
    OVERLOADED,
    WORKSPACE_LIMIT,
)
from ebonyhold.callers._refusals import SOON, Refusal
from ebonyhold.coordination import AdmissionQueue, Refused, Share, Ticket
from ebonyhold.types import Seconds, WorkspaceName


@define
class Waiter:
    """One request that waits."""

    ticket: Ticket
    event: anyio.Event = field(factory=anyio.Event)
    refusal: Refusal | None = None


@define
class Gate:
    """Lets requests of one model or service through, in their turn.

    Attributes:
        free: Returns how many requests the backend servers could take now.
        served: Returns whether any backend server may take such requests at all.
        queue: Who waits.
        pending: Requests let through that have not chosen a server yet; they
            are not yet in what `free` counts.
    """

    free: Callable[[], int]
    served: Callable[[], bool] = field(default=lambda: True)
    queue: AdmissionQueue = field(factory=AdmissionQueue)
    waiters: dict[int, Waiter] = field(factory=dict)
    pending: int = 0
    numbers: int = 0

    def offer(
        self,
        workspace: WorkspaceName,
        share: Share,
        priority: int,
        patience: Seconds,
        shed_after: Seconds = math.inf,
    ) -> Waiter:
        """Queue a request, which has its turn at once if its event is set.

        Once it has its turn, `arrived` must follow, then `left`.

        Raises:
            Refusal: It would not begin in time; it did not run.
        """
        now = anyio.current_time()
        self.numbers += 1
        ticket = Ticket(
            self.numbers, workspace, priority, now + patience, now, shed_after
        )
        refused = self.queue.offer(ticket, share, now)
        if refused is not None:
            raise refusal(refused)
        waiter = Waiter(ticket)
        self.waiters[ticket.number] = waiter
        self.pump()
        if waiter.refusal is not None:
            raise waiter.refusal
        return waiter

    async def wait(self, waiter: Waiter) -> None:
        """Wait until a request has its turn.

        Raises:
            Refusal: It will not begin in time; it did not run.
        """
        ticket = waiter.ticket
        try:
            with anyio.move_on_after(ticket.deadline - anyio.current_time()):
                await waiter.event.wait()
        except BaseException:
            self.give_up(waiter)
            raise
        if not waiter.event.is_set():
            self.give_up(waiter)
            wait = self.queue.retry_after(anyio.current_time())
            raise refusal(Refused(ticket, wait, expired=True))
        if waiter.refusal is not None:
            raise waiter.refusal

    def give_up(self, waiter: Waiter) -> None:
        """Take back a request whose caller has gone or cannot wait longer."""
        if not waiter.event.is_set():
            del self.waiters[waiter.ticket.number]
            self.queue.leave(waiter.ticket)
        elif waiter.refusal is None:
            self.pending -= 1
            self.left(waiter.ticket)

    def arrived(self) -> None:
        """Note that a request that was let through is now counted at its server."""
        self.pending -= 1

    def left(self, ticket: Ticket) -> None:
        """Note that a request that was let through has ended."""
        self.queue.finished(ticket, anyio.current_time())
        self.pump()

    def pump(self) -> None:
        """Let through whoever's turn it is."""
        now = anyio.current_time()
        for refused in self.queue.expire(now):
            self.wake(refused.ticket, refusal(refused))
        if self.queue.waiting and not self.served():
            # Nothing will become free.  Whoever waits would otherwise hear so
            # at its deadline only.
            for ticket in self.queue.clear():
                self.wake(ticket, Refusal(NO_BACKEND, retry_after=SOON))
        room = self.free() - self.pending if self.queue.waiting else 0
        for ticket in self.queue.start(room, now):
            self.pending += 1
            self.wake(ticket, None)

    def wake(self, ticket: Ticket, refusal: Refusal | None) -> None:
        """Tell a waiting request what became of it."""
        waiter = self.waiters.pop(ticket.number)
        waiter.refusal = refusal
        waiter.event.set()


def refusal(refused: Refused) -> Refusal:
    """Return what the caller is told."""
    if refused.workspace_bound:
        return Refusal(WORKSPACE_LIMIT, retry_after=refused.retry_after)
    reason = DEADLINE_UNREACHABLE if refused.expired else OVERLOADED
    return Refusal(reason, retry_after=refused.retry_after)
