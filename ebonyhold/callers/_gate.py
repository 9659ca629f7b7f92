"""Holds requests back until the admission queue starts or refuses them."""

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
from ebonyhold.coordination import AdmissionLimits, AdmissionQueue, Refused, Ticket
from ebonyhold.types import Seconds, WorkspaceName


@define
class Waiter:
    """One request in the queue of a gate.

    Attributes:
        ticket: The request's entry in the admission queue.
        event: Set when the request is admitted or refused.
        refusal: Why the request is refused, or None.
    """

    ticket: Ticket
    event: anyio.Event = field(factory=anyio.Event)
    refusal: Refusal | None = None


@define
class Gate:
    """Admits the requests for one model or plain service, in the queue's order.

    Attributes:
        free: Returns how many further requests the backend servers can take now.
        served: Returns whether any backend server accepts such requests.
        queue: Decides which requests start, wait or are refused.
        waiters: The waiting requests by their ticket's number.
        pending: Number of admitted requests for which no server is chosen yet; the
            result of `free` doesn't take them into account.
        last_number: The number of the last ticket.
    """

    free: Callable[[], int]
    served: Callable[[], bool] = field(default=lambda: True)
    queue: AdmissionQueue = field(factory=AdmissionQueue)
    waiters: dict[int, Waiter] = field(factory=dict)
    pending: int = 0
    last_number: int = 0

    def offer(
        self,
        workspace: WorkspaceName,
        share: AdmissionLimits,
        priority: int,
        wait_timeout: Seconds,
        shed_after: Seconds = math.inf,
    ) -> Waiter:
        """Queue a request, and admit it at once if possible.

        After an immediate admission the event of the returned waiter is already set.
        For each admitted request `server_chosen` must be called once, when its server
        is chosen, and `finished` at its end.

        Args:
            workspace: The workspace that pays.
            share: The admission limits of the workspace.
            priority: Requests with a larger priority start first.
            wait_timeout: The longest wait, in seconds.
            shed_after: The longest wait while the queue is standing, in seconds.

        Raises:
            Refusal: The request cannot start in time or the queue is full; it did
                not run.
        """
        now = anyio.current_time()
        self.last_number += 1
        ticket = Ticket(
            self.last_number, workspace, priority, now + wait_timeout, now, shed_after
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
        """Wait until a queued request is admitted, at most until its deadline.

        If the wait is cancelled, the request is withdrawn.

        Raises:
            Refusal: The request cannot start in time; it did not run.
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
        """Withdraw a request whose wait was cancelled or timed out.

        A request that was admitted meanwhile is counted as ended.
        """
        if not waiter.event.is_set():
            del self.waiters[waiter.ticket.number]
            self.queue.leave(waiter.ticket)
        elif waiter.refusal is None:
            self.pending -= 1
            self.finished(waiter.ticket)

    def server_chosen(self) -> None:
        """Record that an admitted request is now counted at its backend server."""
        self.pending -= 1

    def finished(self, ticket: Ticket) -> None:
        """Record the end of an admitted request, and admit waiting ones if possible."""
        self.queue.finished(ticket, anyio.current_time())
        self.pump()

    def pump(self) -> None:
        """Refuse expired requests; admit as many others as the servers have room for.

        If no server accepts requests for the model or service, all that wait are
        refused.
        """
        now = anyio.current_time()
        for refused in self.queue.expire(now):
            self.wake(refused.ticket, refusal(refused))
        if self.queue.waiting and not self.served():
            # No server accepts these requests: refuse them now instead of at their
            # deadlines.
            for ticket in self.queue.clear():
                self.wake(ticket, Refusal(NO_BACKEND, retry_after=SOON))
        room = self.free() - self.pending if self.queue.waiting else 0
        for ticket in self.queue.start(room, now):
            self.pending += 1
            self.wake(ticket, None)

    def wake(self, ticket: Ticket, refusal: Refusal | None) -> None:
        """Refuse a waiting request, or admit it if `refusal` is None."""
        waiter = self.waiters.pop(ticket.number)
        waiter.refusal = refusal
        waiter.event.set()


def refusal(refused: Refused) -> Refusal:
    """Return the refusal for a decision of the admission queue."""
    if refused.workspace_bound:
        return Refusal(WORKSPACE_LIMIT, retry_after=refused.retry_after)
    reason = DEADLINE_UNREACHABLE if refused.expired else OVERLOADED
    return Refusal(reason, retry_after=refused.retry_after)
