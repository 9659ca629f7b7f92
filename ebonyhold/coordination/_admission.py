"""Admission queue: which requests start now, wait, or are refused immediately.

An `AdmissionQueue` belongs to one task.  It has no clock and does no I/O: its owner
passes in the time and starts the requests that `AdmissionQueue.start` returns.
"""

from __future__ import annotations

import math
from collections import deque

from attrs import define, field, frozen

from ebonyhold.types import Seconds, WorkspaceName

RATE_SMOOTHING = 0.2
"""Weight of the latest completion in the moving average of the completion rate."""

MIN_RETRY_AFTER: Seconds = 0.2
"""The shortest delay that is suggested to the caller of a refused request."""

MAX_RETRY_AFTER: Seconds = 30.0
"""The longest delay that is suggested to the caller of a refused request."""


@frozen
class AdmissionLimits:
    """Limits of one workspace at one router.

    Attributes:
        concurrency: The maximum number of requests running at the same time.
        queue: The maximum number of waiting requests.
        weight: Weight in the fair queueing between waiting workspaces.
    """

    concurrency: int = 64
    queue: int = 128
    weight: int = 1


@frozen
class Ticket:
    """A request that waits for admission.

    Attributes:
        number: Unique in the queue.
        workspace: The workspace that it belongs to.
        priority: Requests with a larger value start first.
        deadline: The time from which it may no longer start, on the owner's clock.
        arrived: When it arrived, on the owner's clock.
        shed_after: The longest wait while the queue is standing, in seconds.
    """

    number: int
    workspace: WorkspaceName
    priority: int
    deadline: Seconds
    arrived: Seconds = 0.0
    shed_after: Seconds = math.inf


@frozen
class Refused:
    """A request that was refused; it did not run.

    Attributes:
        ticket: The request.
        retry_after: Suggested delay before a retry, in seconds.
        workspace_bound: Whether it was refused because its workspace had the maximum
            number of waiting requests.
        expired: Whether its deadline passed while it waited.  It is False for a request
            that was shed before its deadline.
    """

    ticket: Ticket
    retry_after: Seconds
    workspace_bound: bool = False
    expired: bool = False


@define
class WorkspaceQueue:
    """The requests of one workspace.

    Attributes:
        limits: Its current limits.
        running: Number of its requests that were started and have not ended.
        waiting: Its waiting requests by priority, in the order of arrival.
        finish: Virtual finish time of the request that it started last.
    """

    limits: AdmissionLimits
    running: int = 0
    waiting: dict[int, deque[Ticket]] = field(factory=dict)
    finish: float = 0.0

    @property
    def length(self) -> int:
        """Number of waiting requests."""
        return sum(len(queue) for queue in self.waiting.values())


@define
class AdmissionQueue:
    """Weighted fair queueing between workspaces, within each priority.

    Among requests of the same priority, the workspace with the least virtual finish
    time goes first.  Many requests of one workspace therefore delay each other, but not
    those of other workspaces.

    Requests normally start in the order of arrival and may wait until their deadlines.
    A queue that has not been empty for longer than `standing_after` is a standing
    queue, a sign of overload: in the order of arrival, every request would start late.
    While the queue is standing, the newest request of a workspace starts first and
    requests that have waited for `shed_after` are shed.

    Attributes:
        max_waiting: The maximum number of waiting requests.
        standing_after: How long a burst may keep the queue non-empty, in seconds.
        rate: Estimated completions per second; 0 before the first estimate.
        empty_at: When the queue was last empty.
        virtual: Virtual time of the fair queueing; it never decreases.
        last_completion: When a request ended last, or None.
        workspaces: The workspaces that have running or waiting requests.
    """

    max_waiting: int = 512
    standing_after: Seconds = 1.0
    rate: float = 0.0
    empty_at: Seconds = 0.0
    virtual: float = 0.0
    last_completion: Seconds | None = None
    workspaces: dict[WorkspaceName, WorkspaceQueue] = field(factory=dict)

    def offer(
        self, ticket: Ticket, limits: AdmissionLimits, now: Seconds
    ) -> Refused | None:
        """Enqueue a request, or refuse it immediately.

        A request is refused if the number of waiting requests has reached a limit, or
        if the expected wait is longer than `max_wait`.  After an early refusal the
        caller can still retry elsewhere before its deadline.

        Returns:
            The refusal, or None if the request waits now.
        """
        if not self.waiting:
            self.empty_at = now
        entry = self.entry(ticket.workspace, limits)
        if entry.length >= limits.queue:
            return Refused(ticket, self.retry_after(now), workspace_bound=True)
        ahead = self.ahead_of(ticket)
        if ahead >= self.max_waiting:
            return Refused(ticket, self.retry_after(now))
        if self.rate > 0 and ahead / self.rate > self.max_wait(ticket, now):
            return Refused(ticket, self.retry_after(now))
        queue = entry.waiting.setdefault(ticket.priority, deque())
        if entry.length == 0 and entry.running == 0:
            entry.finish = max(entry.finish, self.virtual)
        queue.append(ticket)
        return None

    def start(self, free: int, now: Seconds) -> list[Ticket]:
        """Remove and return the requests to start, at most `free`."""
        started: list[Ticket] = []
        while free > 0:
            ticket = self.next_ticket(now)
            if ticket is None:
                break
            started.append(ticket)
            free -= 1
        if not self.waiting:
            self.empty_at = now
        return started

    def max_wait(self, ticket: Ticket, now: Seconds) -> Seconds:
        """Return how much longer a request may wait; 0 or less if it must not start."""
        left = ticket.deadline - now
        if not self.is_standing(now):
            return left
        return min(left, ticket.arrived + ticket.shed_after - now)

    def finished(self, ticket: Ticket, now: Seconds) -> None:
        """Record that a started request has ended, and update the completion rate."""
        entry = self.workspaces[ticket.workspace]
        entry.running -= 1
        if self.last_completion is not None:
            gap = max(now - self.last_completion, 1e-3)
            observed = 1.0 / gap
            self.rate += (
                RATE_SMOOTHING * (observed - self.rate) if self.rate else observed
            )
        self.last_completion = now
        self.forget(ticket.workspace)

    def leave(self, ticket: Ticket) -> bool:
        """Remove a request whose caller has left; return whether it was waiting."""
        entry = self.workspaces.get(ticket.workspace)
        queue = entry.waiting.get(ticket.priority) if entry else None
        if queue is None or ticket not in queue:
            return False
        queue.remove(ticket)
        self.forget(ticket.workspace)
        return True

    def expire(self, now: Seconds) -> list[Refused]:
        """Remove and return the requests that have waited for too long to start.

        Their deadline has passed or, in a standing queue, their `shed_after`.
        """
        late = [
            ticket
            for entry in self.workspaces.values()
            for queue in entry.waiting.values()
            for ticket in queue
            if self.max_wait(ticket, now) <= 0
        ]
        wait = self.retry_after(now)
        for ticket in late:
            self.leave(ticket)
        return [Refused(item, wait, expired=item.deadline <= now) for item in late]

    def clear(self) -> list[Ticket]:
        """Remove and return all waiting requests."""
        waiting = [
            ticket
            for entry in self.workspaces.values()
            for queue in entry.waiting.values()
            for ticket in queue
        ]
        for ticket in waiting:
            self.leave(ticket)
        return waiting

    def retry_after(self, now: Seconds) -> Seconds:
        """Return the delay to suggest to a refused caller, in seconds.

        It is the time that the waiting requests need at the estimated rate, within
        `MIN_RETRY_AFTER` and `MAX_RETRY_AFTER`; 1 second without an estimate.
        """
        if self.rate <= 0:
            return 1.0
        return min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, self.waiting / self.rate))

    @property
    def waiting(self) -> int:
        """Number of waiting requests in all workspaces."""
        return sum(entry.length for entry in self.workspaces.values())

    def entry(
        self, workspace: WorkspaceName, limits: AdmissionLimits
    ) -> WorkspaceQueue:
        """Return a workspace's entry with new limits; create it if there is none."""
        entry = self.workspaces.setdefault(workspace, WorkspaceQueue(limits))
        entry.limits = limits
        return entry

    def ahead_of(self, ticket: Ticket) -> int:
        """Return how many waiting requests have at least this request's priority."""
        return sum(
            len(queue)
            for entry in self.workspaces.values()
            for priority, queue in entry.waiting.items()
            if priority >= ticket.priority
        )

    def is_standing(self, now: Seconds) -> bool:
        """Return whether the queue was last empty more than `standing_after` ago."""
        return now - self.empty_at > self.standing_after

    def next_ticket(self, now: Seconds) -> Ticket | None:
        """Remove and return the next request to start, or None if none may start."""
        best: WorkspaceQueue | None = None
        best_rank = (0.0, 0.0)
        for entry in self.workspaces.values():
            if entry.length == 0 or entry.running >= entry.limits.concurrency:
                continue
            top = max(priority for priority, queue in entry.waiting.items() if queue)
            rank = (-float(top), entry.finish)
            if best is None or rank < best_rank:
                best, best_rank = entry, rank
        if best is None:
            return None
        queue = best.waiting[int(-best_rank[0])]
        ticket = queue.pop() if self.is_standing(now) else queue.popleft()
        self.virtual = max(self.virtual, best.finish)
        best.finish = max(best.finish, self.virtual) + 1.0 / max(1, best.limits.weight)
        best.running += 1
        return ticket

    def forget(self, workspace: WorkspaceName) -> None:
        """Delete the entry of a workspace that has no running or waiting requests."""
        entry = self.workspaces.get(workspace)
        if entry is not None and entry.running == 0 and entry.length == 0:
            del self.workspaces[workspace]
