"""Admission: who may start now, who waits, who is refused at once.

One value of `AdmissionQueue` belongs to one task.  It has no clock and does no
I/O; its owner tells it the time and starts what it returns.
"""

from __future__ import annotations

import math
from collections import deque

from attrs import define, field, frozen

from ebonyhold.types import Seconds, WorkspaceName

RATE_MEMORY = 0.2
"""How much one completion moves the estimate of the rate of completions."""

LEAST_RETRY: Seconds = 0.2
MOST_RETRY: Seconds = 30.0


@frozen
class Share:
    """The bounds of one workspace in one router.

    Attributes:
        concurrency: Requests that run at once.
        queue: Requests that may wait.
        weight: Its share when several workspaces wait.
    """

    concurrency: int = 64
    queue: int = 128
    weight: int = 1


@frozen
class Ticket:
    """A request that wants to start.

    Attributes:
        number: Unique in the queue.
        workspace: Whose it is.
        priority: Larger starts first.
        deadline: When waiting becomes useless, on the owner's clock.
        arrived: When it came.
        shed_after: The longest it waits while the queue is standing, in seconds.
    """

    number: int
    workspace: WorkspaceName
    priority: int
    deadline: Seconds
    arrived: Seconds = 0.0
    shed_after: Seconds = math.inf


@frozen
class Refused:
    """A request that will not start; it did not run.

    Attributes:
        ticket: The request.
        retry_after: When to try again, in seconds.
        workspace_bound: Whether the workspace's own bound is the reason.
        expired: Whether it waited until its deadline.
    """

    ticket: Ticket
    retry_after: Seconds
    workspace_bound: bool = False
    expired: bool = False


@define
class WorkspaceQueue:
    """One workspace's waiting requests, by priority, and what it has running."""

    share: Share
    running: int = 0
    waiting: dict[int, deque[Ticket]] = field(factory=dict)
    finish: float = 0.0

    @property
    def length(self) -> int:
        """Requests that wait."""
        return sum(len(queue) for queue in self.waiting.values())


@define
class AdmissionQueue:
    """Weighted fair queues of the workspaces, in the order of priority.

    Among requests of the same priority the workspace with the least virtual
    finish time starts first, so that one that floods waits behind its own
    requests and not before those of the others.

    A short burst may wait as long as its deadlines allow.  A queue that has not
    been empty for a while is no burst but overload: first in, first out would
    then serve every request, each too late to be of use.  So in a standing
    queue the newest request of a workspace starts first, a request is given up
    once it has waited for `shed_after`, and those that are served begin in time.

    Attributes:
        most_waiting: Requests that may wait in all.
        standing_after: How long the queue is not empty in a burst, in seconds.
        rate: Completions a second, as estimated; 0 before any is known.
        empty_at: When the queue was last empty.
    """

    most_waiting: int = 512
    standing_after: Seconds = 1.0
    rate: float = 0.0
    empty_at: Seconds = 0.0
    virtual: float = 0.0
    last_completion: Seconds | None = None
    workspaces: dict[WorkspaceName, WorkspaceQueue] = field(factory=dict)

    def offer(self, ticket: Ticket, share: Share, now: Seconds) -> Refused | None:
        """Queue a request, or refuse it at once.

        It is refused when a bound is reached, or when the wait that is to be
        expected is longer than its deadline allows: an early truthful refusal
        lets the caller go elsewhere, a late one costs it the deadline too.
        """
        if not self.waiting:
            self.empty_at = now
        entry = self.entry(ticket.workspace, share)
        if entry.length >= share.queue:
            return Refused(ticket, self.retry_after(now), workspace_bound=True)
        ahead = self.ahead_of(ticket)
        if ahead >= self.most_waiting:
            return Refused(ticket, self.retry_after(now))
        if self.rate > 0 and ahead / self.rate > self.patience(ticket, now):
            return Refused(ticket, self.retry_after(now))
        queue = entry.waiting.setdefault(ticket.priority, deque())
        if entry.length == 0 and entry.running == 0:
            entry.finish = max(entry.finish, self.virtual)
        queue.append(ticket)
        return None

    def start(self, free: int, now: Seconds) -> list[Ticket]:
        """Return the requests that start, given that many free places."""
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

    def patience(self, ticket: Ticket, now: Seconds) -> Seconds:
        """Return how much longer a request may wait."""
        left = ticket.deadline - now
        if not self.is_standing(now):
            return left
        return min(left, ticket.arrived + ticket.shed_after - now)

    def finished(self, ticket: Ticket, now: Seconds) -> None:
        """Note that a started request has ended."""
        entry = self.workspaces[ticket.workspace]
        entry.running -= 1
        if self.last_completion is not None:
            gap = max(now - self.last_completion, 1e-3)
            seen = 1.0 / gap
            self.rate += RATE_MEMORY * (seen - self.rate) if self.rate else seen
        self.last_completion = now
        self.forget(ticket.workspace)

    def leave(self, ticket: Ticket) -> bool:
        """Take out a waiting request whose caller has gone."""
        entry = self.workspaces.get(ticket.workspace)
        queue = entry.waiting.get(ticket.priority) if entry else None
        if queue is None or ticket not in queue:
            return False
        queue.remove(ticket)
        self.forget(ticket.workspace)
        return True

    def expire(self, now: Seconds) -> list[Refused]:
        """Give up what can no longer start in time, at once and not later."""
        late = [
            ticket
            for entry in self.workspaces.values()
            for queue in entry.waiting.values()
            for ticket in queue
            if self.patience(ticket, now) <= 0
        ]
        wait = self.retry_after(now)
        for ticket in late:
            self.leave(ticket)
        return [Refused(item, wait, expired=item.deadline <= now) for item in late]

    def clear(self) -> list[Ticket]:
        """Take out everything that waits."""
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
        """Return how long the present queue takes to empty."""
        if self.rate <= 0:
            return 1.0
        return min(MOST_RETRY, max(LEAST_RETRY, self.waiting / self.rate))

    @property
    def waiting(self) -> int:
        """Requests that wait, in all."""
        return sum(entry.length for entry in self.workspaces.values())

    def entry(self, workspace: WorkspaceName, share: Share) -> WorkspaceQueue:
        """Return a workspace's queues under its present bounds."""
        entry = self.workspaces.setdefault(workspace, WorkspaceQueue(share))
        entry.share = share
        return entry

    def ahead_of(self, ticket: Ticket) -> int:
        """Return how many waiting requests are not less urgent than this one."""
        return sum(
            len(queue)
            for entry in self.workspaces.values()
            for priority, queue in entry.waiting.items()
            if priority >= ticket.priority
        )

    def is_standing(self, now: Seconds) -> bool:
        """Return whether requests have waited without a break for too long."""
        return now - self.empty_at > self.standing_after

    def next_ticket(self, now: Seconds) -> Ticket | None:
        """Take the request whose turn it is, if any may start."""
        best: WorkspaceQueue | None = None
        best_rank = (0.0, 0.0)
        for entry in self.workspaces.values():
            if entry.length == 0 or entry.running >= entry.share.concurrency:
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
        best.finish = max(best.finish, self.virtual) + 1.0 / max(1, best.share.weight)
        best.running += 1
        return ticket

    def forget(self, workspace: WorkspaceName) -> None:
        """Drop a workspace that neither runs nor waits, so that state stays small."""
        entry = self.workspaces.get(workspace)
        if entry is not None and entry.running == 0 and entry.length == 0:
            del self.workspaces[workspace]
