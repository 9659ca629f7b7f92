"""Admission queue: which requests start now, wait, or are refused immediately.

An `AdmissionQueue` belongs to one task.  It has no clock and does no I/O: its owner
passes in the time and starts the requests that it returns.
"""

from __future__ import annotations

import math
from collections import deque

from attrs import define, field, frozen

from ebonyhold.types import Seconds, WorkspaceName

RATE_SMOOTHING = 0.2
"""Weight of the latest completion in the moving average of the completion rate."""

MIN_RETRY_AFTER: Seconds = 0.2
MAX_RETRY_AFTER: Seconds = 30.0


@frozen
class Share:
    """Limits of one workspace at one router.

    Attributes:
        concurrency: Requests that may run at once.
        queue: Requests that may wait.
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
        deadline: When it is too late to start it, on the owner's clock.
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
        workspace_bound: Whether a limit of its workspace is the reason.
        expired: Whether its deadline passed while it waited.
    """

    ticket: Ticket
    retry_after: Seconds
    workspace_bound: bool = False
    expired: bool = False


@define
class WorkspaceQueue:
    """One workspace's waiting requests by priority, and its count of running ones."""

    limits: Share
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
    time goes first.  A workspace that floods the queue delays its own requests, not
    those of the others.

    A short burst may wait as long as its deadlines allow.  A queue that has not been
    empty for longer than `standing_after` is a standing queue, a sign of overload: in
    order of arrival, every request would start too late to be of use. While the queue
    is standing, the newest request of a workspace starts first and requests that have
    waited for `shed_after` are shed.

    Attributes:
        max_waiting: The maximum number of waiting requests.
        standing_after: How long a burst may keep the queue non-empty, in seconds.
        rate: Estimated completions per second; 0 before the first estimate.
        empty_at: When the queue was last empty.
    """

    max_waiting: int = 512
    standing_after: Seconds = 1.0
    rate: float = 0.0
    empty_at: Seconds = 0.0
    virtual: float = 0.0
    last_completion: Seconds | None = None
    workspaces: dict[WorkspaceName, WorkspaceQueue] = field(factory=dict)

    def offer(self, ticket: Ticket, limits: Share, now: Seconds) -> Refused | None:
        """Enqueue a request, or refuse it immediately.

        A request is refused if a limit is reached, or if the expected wait is longer
        than its deadline allows.  With an early refusal the caller can still retry
        elsewhere before its deadline.
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
        """Remove and return the requests to start, given the number of free slots."""
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
        """Return how much longer a request may wait."""
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
        """Remove and return the requests that can no longer start in time."""
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
        """Return how long the current queue takes to drain, within the bounds."""
        if self.rate <= 0:
            return 1.0
        return min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, self.waiting / self.rate))

    @property
    def waiting(self) -> int:
        """Number of waiting requests in all workspaces."""
        return sum(entry.length for entry in self.workspaces.values())

    def entry(self, workspace: WorkspaceName, limits: Share) -> WorkspaceQueue:
        """Return a workspace's queues, with its current limits applied."""
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
        """Return whether the queue has been non-empty for too long for a burst."""
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
        """Forget a workspace without running or waiting requests, to bound memory."""
        entry = self.workspaces.get(workspace)
        if entry is not None and entry.running == 0 and entry.length == 0:
            del self.workspaces[workspace]
