"""A bounded queue that is fair to priorities, workspaces and sizes.

The queue has no clock and does no I/O: its owner passes in the time, and takes the
requests out.  It is made for requests that wait for the memory of one backend server
while the fleet asks for more than the server holds, so its cost is in tokens.
"""

from __future__ import annotations

from collections import deque

from attrs import define, field, frozen

from ebonyhold.types import Seconds, Tokens, WorkspaceName

MAX_WAITING = 64
"""Number of requests of one priority that may wait.

It bounds the messages that a lender holds open.  A server of the deployments that use
the queue gets 8 to 14 requests per second, so more could not be served in the longest
time that a request may wait.
"""

LOWEST_PRIORITY = 7
"""Requests of a lower priority (a larger number) count as of this one.

It bounds the length of the queue to 8 x MAX_WAITING.
"""

MAX_STREAK = 7
"""Number of requests served in a row while one of a lower priority waits.

Of eight requests that are served, at least one is of a lower priority if one waits.
"""

QUANTUM: Tokens = 4096
"""Tokens that each workspace may have served in one round.

A usual request needs some 1,000 to 10,000 tokens, so a round serves a few small
requests or half of a large one.
"""


@frozen
class Waiting:
    """A request that waits.

    Attributes:
        name: Unique in the queue.
        workspace: The workspace that it belongs to.
        priority: Its priority; 0 is the most urgent.
        cost: Its size.
        until: The latest time at which it may be served.
    """

    name: str
    workspace: WorkspaceName
    priority: int
    cost: Tokens
    until: Seconds


@define
class Line:
    """The requests of one workspace and priority, in order of arrival.

    Attributes:
        requests: The requests.
        credit: Tokens that the workspace may still have served in this round.
    """

    requests: deque[Waiting] = field(factory=deque)
    credit: Tokens = 0


@define
class Level:
    """The requests of one priority: deficit round robin over workspaces.

    Attributes:
        lines: The waiting requests of each workspace; the first one's turn it is.
    """

    lines: dict[WorkspaceName, Line] = field(factory=dict)

    @property
    def length(self) -> int:
        """Number of waiting requests."""
        return sum(len(line.requests) for line in self.lines.values())

    def choose(self) -> Waiting:
        """Return the next request, which stays in the queue; there must be one.

        A workspace whose next request costs more than its credit gets QUANTUM, and goes
        to the end of the round.
        """
        while True:
            workspace, line = next(iter(self.lines.items()))
            if line.requests[0].cost <= line.credit:
                return line.requests[0]
            if len(self.lines) == 1:
                line.credit = line.requests[0].cost
                return line.requests[0]
            line.credit += QUANTUM
            if line.requests[0].cost <= line.credit:
                return line.requests[0]
            self.lines[workspace] = self.lines.pop(workspace)

    def serve(self, request: Waiting) -> None:
        """Remove the chosen request, and charge its workspace."""
        line = self.lines[request.workspace]
        line.credit -= request.cost
        self.remove(request)
        if request.workspace in self.lines and line.requests[0].cost > line.credit:
            self.lines[request.workspace] = self.lines.pop(request.workspace)

    def remove(self, request: Waiting) -> None:
        """Remove a request; a workspace without any loses its credit."""
        line = self.lines[request.workspace]
        line.requests.remove(request)
        if not line.requests:
            del self.lines[request.workspace]

    def longest(self) -> Line:
        """Return the line with the most requests."""
        return max(self.lines.values(), key=lambda line: len(line.requests))


@define(eq=False)
class FairQueue:
    """Waiting requests, and the order in which they are served.

    A request that was chosen once stays the next one until it is served, removed or
    expired.  Otherwise small requests would keep overtaking a large one for which there
    is no room yet.

    Attributes:
        max_waiting: Number of requests of one priority that may wait.
        levels: The requests by priority; none of the levels is empty.
        requests: All requests by name.
        chosen: The next request; None if it was not chosen yet.
        streaks: For each priority, the requests served in a row while one of a lower
            priority waited. They outlast the requests of the priority, which may end
            and come back.
    """

    max_waiting: int = MAX_WAITING
    levels: dict[int, Level] = field(factory=dict)
    requests: dict[str, Waiting] = field(factory=dict)
    chosen: Waiting | None = None
    streaks: dict[int, int] = field(factory=dict)

    def __len__(self) -> int:
        return len(self.requests)

    @property
    def cost(self) -> Tokens:
        """The size of all waiting requests."""
        return sum(request.cost for request in self.requests.values())

    def add(self, request: Waiting) -> Waiting | None:
        """Add a request; return the one that must not wait after all, or None.

        If too many of its priority wait, it is the newest of the workspace with the
        most, or else the given one.  So a workspace cannot fill the queue.
        """
        priority = priority_of(request)
        level = self.levels.setdefault(priority, Level())
        refused = None
        if level.length >= self.max_waiting:
            longest = level.longest().requests
            own = level.lines.get(request.workspace, Line()).requests
            if len(longest) <= len(own) + 1:
                return request
            refused = longest[-1]
            self.remove(refused.name)
            # The level may have been removed with its last request.
            level = self.levels.setdefault(priority, level)
        level.lines.setdefault(request.workspace, Line()).requests.append(request)
        self.requests[request.name] = request
        return refused

    def next(self) -> Waiting | None:
        """Return the request to serve next, which stays in the queue; None if empty."""
        if self.chosen is None and self.requests:
            self.chosen = self.levels[self.next_priority(sorted(self.levels))].choose()
        return self.chosen

    def next_priority(self, priorities: list[int]) -> int:
        """Return the priority to serve next, of those with requests, in order."""
        first, *lower = priorities
        if lower and self.streaks.get(first, 0) >= MAX_STREAK:
            return self.next_priority(lower)
        return first

    def serve(self) -> Waiting | None:
        """Remove and return the request to serve next; None if the queue is empty."""
        request = self.next()
        if request is None:
            return None
        served = priority_of(request)
        for priority in range(served):
            # The streaks of higher priorities end with this request.
            self.streaks.pop(priority, None)
        if any(priority > served for priority in self.levels):
            self.streaks[served] = self.streaks.get(served, 0) + 1
        else:
            self.streaks.pop(served, None)
        self.levels[served].serve(request)
        self.forget(request)
        return request

    def remove(self, name: str) -> Waiting | None:
        """Remove a request that waits no longer; None if it does not wait."""
        request = self.requests.get(name)
        if request is not None:
            self.levels[priority_of(request)].remove(request)
            self.forget(request)
        return request

    def expire(self, now: Seconds) -> list[Waiting]:
        """Remove and return the requests that can no longer be served in time."""
        late = [one for one in self.requests.values() if one.until <= now]
        for request in late:
            self.remove(request.name)
        return late

    def forget(self, request: Waiting) -> None:
        """Remove what is stored of a request that was taken out of its level."""
        del self.requests[request.name]
        if self.chosen is request:
            self.chosen = None
        priority = priority_of(request)
        if not self.levels[priority].lines:
            del self.levels[priority]


def priority_of(request: Waiting) -> int:
    """Return the priority as which a request counts."""
    return min(max(request.priority, 0), LOWEST_PRIORITY)
