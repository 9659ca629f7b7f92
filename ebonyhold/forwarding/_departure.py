"""Whether a router that was told to stop still takes a request."""

from __future__ import annotations

import logging
import math
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from enum import Enum

import anyio
from attrs import define, field, frozen

from ebonyhold.forwarding._types import Route, RouteKind
from ebonyhold.types import RequestId, Seconds

log = logging.getLogger(__name__)

SAMPLES = 64
"""Requests of a route whose length is remembered: some 20 s of an ordinary route at one
router, so that the load of the moment counts."""

MOST_ROUTES = 1_000
"""Routes that are remembered; configurations come and go, and with them names."""

ENOUGH = 24
"""Requests that make a measurement: some 8 s of an ordinary route at one router.  One
that has just started has fewer, and knows short ones first."""

SLACK: Seconds = 0.1
"""What is added to the longest of them: the shortest requests vary by as much."""

SAFETY: dict[RouteKind, float] = {
    RouteKind.STREAM: 2.0,
    RouteKind.SAFE: 1.0,
    RouteKind.UNSAFE: 1.0,
}
"""The factor by which the longest of late is multiplied, with its slack.

The lengths of streams have a long tail, what they will be is not known beforehand, and
a stream that outlasts the stop is cut.  Of 8,604 requests of three deployments under
bursts 222 took longer than the longest of the 64 before them with the slack, and 6
longer than twice that.  An answer that is whole can still be replaced by a true one of
our own.
"""


UNMEASURED: Seconds = 3.0
"""The time that is assumed for a route with fewer requests: ordinary long streams take
some 2 s, and plain services may be as slow.  Taken on a guess of 1 s, a booking that
takes 1.5 s was given up 1.2 s later, and may have run."""


class Stage(Enum):
    """How far a router is on its way from serving to its end.

    While it is stopping, the balancer may not have taken it out of the rotation yet.
    """

    SERVING = "serving"
    STOPPING = "stopping"
    LEAVING = "leaving"
    RETURNING = "returning"
    OVER = "over"


@define
class RouteTimes:
    """How long requests took of late, from their last byte to that of their answer.

    Attributes:
        lengths: The last ones of each route, in seconds.
    """

    lengths: dict[str, deque[Seconds]] = field(factory=dict)

    def note(self, route: str, length: Seconds) -> None:
        """Take a request that was answered by a server, whole."""
        if route not in self.lengths and len(self.lengths) >= MOST_ROUTES:
            oldest = next(iter(self.lengths))
            del self.lengths[oldest]
        known = self.lengths.setdefault(route, deque(maxlen=SAMPLES))
        known.append(length)

    def estimate(self, route: Route) -> Seconds:
        """Return the time within which a request of this route surely ends, nearly."""
        known = self.lengths.get(route.name, ())
        longest: Seconds = max(known, default=0.0) + SLACK
        if len(known) < ENOUGH:
            longest = max(longest, UNMEASURED)
        return min(route.timeout, longest * SAFETY[route.kind])

    def shown(self, route: Route) -> Seconds:
        """Return the longest that a request of this route has taken, however few.

        It says nothing of streams, whose lengths have a long tail, nor of a route that
        has answered nobody yet.
        """
        known = self.lengths.get(route.name)
        if not known or route.kind is RouteKind.STREAM:
            return math.inf
        return max(known) + SLACK


@frozen
class LateRequest:
    """A request that came after the signal to stop, and what it was judged by.

    Attributes:
        request: Its identifier.
        route: Its route.
        priced: Whether it needs tokens of a grant.
        left: The time until the last answer, in seconds.
        estimate: The time that it may take itself, in seconds.
        waited: For how long it was here before it was judged, behind other answers on
            its connection, in seconds.
        shown: The longest that requests of its route have taken, in seconds.
    """

    request: RequestId
    route: str
    priced: bool
    left: Seconds
    estimate: Seconds
    waited: Seconds = 0.0
    shown: Seconds = math.inf

    @property
    def came_in_time(self) -> bool:
        """Say whether it would have been taken when it arrived."""
        return self.estimate <= self.left + self.waited


@define(eq=False)
class Departure:
    """A router's way from serving to its end, as requests meet it.

    The balancer goes on sending callers here where fewer than half of the domain's VMs
    are in rotation, and a closed door costs each of them a try.  So what comes is taken
    if it surely ends in time.  All else is refused at once, so that nothing is read and
    then left without an answer.

    Attributes:
        stage: How far the router is.
        last_answer_at: When the last answer has to be out.
        times: How long requests take.
        judged: Is told of each late request whether it was taken, for metrics.
        open: The scopes of the requests under way, which end with the last answer.
        taken: Late requests that were taken.
        refused: Late requests that were not.
    """

    stage: Stage = Stage.SERVING
    last_answer_at: Seconds = math.inf
    times: RouteTimes = field(factory=RouteTimes)
    judged: Callable[[bool], None] = lambda taken: None
    open: set[anyio.CancelScope] = field(factory=set)
    taken: int = 0
    refused: int = 0

    def begin(self, last_answer_at: Seconds) -> None:
        """Begin to stop; requests under way end with the last answer at the latest."""
        self.stage = Stage.STOPPING
        self.last_answer_at = last_answer_at
        for scope in self.open:
            scope.deadline = min(scope.deadline, last_answer_at)

    @contextmanager
    def bounded(self, deadline: Seconds) -> Iterator[None]:
        """Bound a request by its own deadline, and by the last answer.

        A request that outlasts the stop then gets a true answer from here, as it does
        at its deadline, instead of a connection that closes.
        """
        cutoff = min(deadline, self.last_answer_at)
        with anyio.CancelScope(deadline=cutoff) as scope:
            self.open.add(scope)
            try:
                yield
            finally:
                self.open.discard(scope)

    def admits(
        self, request: RequestId, route: Route, priced: bool, received_at: Seconds
    ) -> bool:
        """Decide whether a request is taken, and say so if the router is stopping.

        Args:
            request: Its identifier.
            route: Its route.
            priced: Whether it needs tokens of a grant.
            received_at: When its last byte arrived.
        """
        if self.stage is Stage.SERVING:
            return True
        now = anyio.current_time()
        late = LateRequest(
            request=request,
            route=route.name,
            priced=priced,
            left=self.last_answer_at - now,
            estimate=self.times.estimate(route),
            waited=now - received_at,
            shown=self.times.shown(route),
        )
        taken = can_end(self.stage, late)
        self.note(late, taken)
        return taken

    def note(self, late: LateRequest, taken: bool) -> None:
        """Count a late request, and log what became of it and why."""
        self.taken += taken
        self.refused += not taken
        self.judged(taken)
        log.info(
            "request while stopping",
            extra={
                "request": late.request,
                "route": late.route,
                "taken": taken,
                "stage": self.stage.value,
                "ms_left": round(late.left * 1000),
                "ms_estimated": round(late.estimate * 1000),
                "ms_waited": round(late.waited * 1000),
                "ms_shown": None
                if math.isinf(late.shown)
                else round(late.shown * 1000),
            },
        )


def can_end(stage: Stage, late: LateRequest) -> bool:
    """Tell whether a late request is taken.

    A router that has only just been told takes all: its whole grace lies ahead, and
    callers do not know of the stop.  One that came in time and waited for its turn is
    not refused on the guess that stands in for a route's measurement: what the route
    has shown so far is the better one by then.
    """
    if stage is Stage.STOPPING:
        return True
    if stage is Stage.OVER:
        return False
    if stage is Stage.RETURNING and late.priced:
        # The grants are on their way back, and nobody would return new ones.
        return False
    if late.estimate <= late.left:
        return True
    return late.came_in_time and late.shown <= late.left
