"""Waiting for admission: the queue's decisions, carried out."""

from __future__ import annotations

from collections.abc import Callable

import anyio
from attrs import define, field

from ebonyhold.callers._refusals import (
    DEADLINE_UNREACHABLE,
    OVERLOADED,
    WORKSPACE_LIMIT,
    Refusal,
)
from ebonyhold.coordination import AdmissionQueue, Refused, Share, Ticket
from ebonyhold.types import Seconds, WorkspaceName


@define
class Waiter:
    """One request that waits."""

    event: anyio.Event = field(factory=anyio.Event)
    refused: Refused | None = None


@define
class Gate:
    """Lets requests of one model or service through, in their turn.

    Attributes:
        free: Returns how many requests the backend servers could take now.
        queue: Who waits.
        pending: Requests let through that have not chosen a server yet; they
            are not yet in what `free` counts.
    """

    free: Callable[[], int]
    queue: AdmissionQueue = field(factory=AdmissionQueue)
    waiters: dict[int, Waiter] = field(factory=dict)
    pending: int = 0
    numbers: int = 0

    async def enter(
        self,
        workspace: WorkspaceName,
        share: Share,
        priority: int,
        patience: Seconds,
    ) -> Ticket:
        """Wait for this request's turn; `arrived` must follow, then `left`.

        Raises:
            Refusal: It will not begin in time; it did not run.
        """
        now = anyio.current_time()
        self.numbers += 1
        ticket = Ticket(self.numbers, workspace, priority, now + patience)
        refused = self.queue.offer(ticket, share, now)
        if refused is not None:
            raise refusal(refused)
        waiter = Waiter()
        self.waiters[ticket.number] = waiter
        self.pump()
        try:
            await self.wait(ticket, waiter)
        except BaseException:
            self.give_up(ticket, waiter)
            raise
        finally:
            del self.waiters[ticket.number]
        return ticket

    async def wait(self, ticket: Ticket, waiter: Waiter) -> None:
        """Wait until the ticket starts or is refused."""
        if not waiter.event.is_set():
            with anyio.move_on_after(ticket.deadline - anyio.current_time()):
                await waiter.event.wait()
        if waiter.refused is not None:
            raise refusal(waiter.refused)
        if not waiter.event.is_set():
            wait = self.queue.retry_after(anyio.current_time())
            raise refusal(Refused(ticket, wait, expired=True))

    def give_up(self, ticket: Ticket, waiter: Waiter) -> None:
        """Take back a ticket whose caller has gone or was refused."""
        if waiter.event.is_set() and waiter.refused is None:
            self.pending -= 1
            self.left(ticket)
        else:
            self.queue.leave(ticket)

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
            self.wake(refused.ticket, refused)
        room = self.free() - self.pending if self.queue.waiting else 0
        for ticket in self.queue.start(room, now):
            self.pending += 1
            self.wake(ticket, None)

    def wake(self, ticket: Ticket, refused: Refused | None) -> None:
        """Tell a waiting request what became of it."""
        waiter = self.waiters[ticket.number]
        waiter.refused = refused
        waiter.event.set()


def refusal(refused: Refused) -> Refusal:
    """Return what the caller is told."""
    if refused.workspace_bound:
        return Refusal(WORKSPACE_LIMIT, retry_after=refused.retry_after)
    reason = DEADLINE_UNREACHABLE if refused.expired else OVERLOADED
    return Refusal(reason, retry_after=refused.retry_after)
