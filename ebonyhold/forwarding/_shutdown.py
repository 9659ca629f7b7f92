"""Decides whether a router that is shutting down still accepts a request."""

from __future__ import annotations

import logging
import math
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from enum import Enum

import anyio
from attrs import define, field, frozen

from ebonyhold.forwarding._types import Route, RouteKind
from ebonyhold.types import RequestId, Seconds, Tokens

log = logging.getLogger(__name__)

SAMPLES = 64
"""Number of latest durations kept per route. On an ordinary route, one router gets that
many requests in some 20 s, so the estimates follow the current load.
"""

MAX_ROUTES = 1_000
"""Maximum number of routes with recorded durations. Above it, the route added first is
dropped: memory would otherwise grow with every configuration that names new routes.
"""

MIN_SAMPLES = 24
"""Number of durations below which an estimate is at least DEFAULT_ESTIMATE. On an
ordinary route, one router gets that many requests in some 8 s. A router that has just
started has recorded fewer, mostly of short requests, since these end first.
"""

SLACK: Seconds = 0.1
"""Added to the longest duration, since even short requests vary by this much."""

SAFETY_FACTORS: dict[RouteKind, float] = {
    RouteKind.STREAM: 2.0,
    RouteKind.SAFE: 1.0,
    RouteKind.UNSAFE: 1.0,
}
"""The factor by which the longest recent duration, with its slack, is multiplied.

The durations of streams have a long tail, so theirs are estimated for logs alone: no
estimate decides whether a stream is accepted (see `accepts_late`). Other requests need
no such factor: their answers are passed on whole, so the router can still send an error
instead.
"""

SIZE_SAFETY_FACTORS: dict[RouteKind, float] = {
    RouteKind.STREAM: 1.5,
    RouteKind.SAFE: 1.0,
    RouteKind.UNSAFE: 1.0,
}
"""The factor by which the duration expected for a stated size is multiplied.

The size explains most of the tail of streams, but not the load of servers, which may
rise during the shutdown.
"""

DEFAULT_ESTIMATE: Seconds = 3.0
"""Minimum duration assumed for a route with fewer than MIN_SAMPLES durations.

Ordinary long streams take some 2 s, and plain services may be as slow.
"""


UNAWARE: Seconds = 3.05
"""Time from the beginning of a shutdown in which callers' requests may arrive that were
sent without knowing of it. The load balancer needs up to 3 s to take the router out of
rotation, and a request some time to arrive.
"""


class Stage(Enum):
    """The stage of a router's shutdown.

    Attributes:
        SERVING: No shutdown was requested.
        STOPPING: The load balancer may still have the router in rotation.
        LEAVING: The router should be out of rotation, and waits for requests to end.
        RETURNING: The router returns its grants, so priced requests are refused.
        OVER: The time for answers has passed, so all requests are refused.
    """

    SERVING = "serving"
    STOPPING = "stopping"
    LEAVING = "leaving"
    RETURNING = "returning"
    OVER = "over"


@frozen
class RequestSize:
    """The size that a request states; 0 where it states none.

    Attributes:
        prompt: The length of its prompt.
        output: The maximum number of tokens to generate.
    """

    prompt: Tokens = 0
    output: Tokens = 0


UNSTATED = RequestSize()


@frozen
class RequestTime:
    """How long one request took.

    Attributes:
        size: Its size.
        reading: From its last byte to the first event of its answer; 0 if the answer
            came whole.
        writing: From then on to the end of its answer.
    """

    size: RequestSize
    reading: Seconds
    writing: Seconds

    @property
    def duration(self) -> Seconds:
        """The time from its last byte to the end of its answer."""
        return self.reading + self.writing


def extrapolate(tokens: Tokens, known: Iterable[tuple[Tokens, Seconds]]) -> Seconds:
    """Return how long a number of tokens takes at the slowest known speed.

    Numbers below their mean count as the mean: the time of a small request is mostly
    independent of its size, so its speed does not apply to larger ones.

    Args:
        tokens: The number of tokens.
        known: Numbers of tokens and the times that they took.
    """
    stated = [(size, seconds) for size, seconds in known if size]
    if not stated:
        return 0.0
    mean = sum(size for size, _ in stated) / len(stated)
    return tokens * max(seconds / max(size, mean) for size, seconds in stated)


@define
class RouteTimes:
    """Durations of recent requests, from the end of reading to the last answer byte.

    Attributes:
        durations: What the latest requests of each route took.
    """

    durations: dict[str, deque[RequestTime]] = field(factory=dict)

    def record(
        self,
        route: str,
        duration: Seconds,
        size: RequestSize = UNSTATED,
        reading: Seconds = 0.0,
    ) -> None:
        """Record a request that got a complete answer from a server.

        Args:
            route: Its route.
            duration: How long it took, in seconds.
            size: The size that it stated.
            reading: The time until the first event of its answer, in seconds; 0 if the
                answer came whole.
        """
        if route not in self.durations and len(self.durations) >= MAX_ROUTES:
            oldest = next(iter(self.durations))
            del self.durations[oldest]
        known = self.durations.setdefault(route, deque(maxlen=SAMPLES))
        known.append(RequestTime(size, reading, duration - reading))

    def slowest(self, route: str) -> Seconds:
        """Return the longest recorded duration plus SLACK."""
        known = self.durations.get(route, ())
        return max((one.duration for one in known), default=0.0) + SLACK

    def expect(self, route: str, size: RequestSize) -> Seconds:
        """Return what a stated size takes at the slowest recorded speed, plus SLACK.

        A request may be larger than all recent ones of its route.
        """
        known = self.durations.get(route, ())
        reading = extrapolate(size.prompt, ((x.size.prompt, x.reading) for x in known))
        writing = extrapolate(size.output, ((x.size.output, x.writing) for x in known))
        return reading + writing + SLACK

    def estimate(self, route: Route, size: RequestSize = UNSTATED) -> Seconds:
        """Return a duration that requests of this route and size rarely exceed.

        It is the longest recorded duration, at least DEFAULT_ESTIMATE if fewer than
        MIN_SAMPLES are recorded, or the one expected for the size, each times its
        safety factor. It never exceeds the route's timeout.
        """
        longest = self.slowest(route.name)
        if len(self.durations.get(route.name, ())) < MIN_SAMPLES:
            longest = max(longest, DEFAULT_ESTIMATE)
        sized = self.expect(route.name, size)
        return min(
            route.timeout,
            max(
                longest * SAFETY_FACTORS[route.kind],
                sized * SIZE_SAFETY_FACTORS[route.kind],
            ),
        )

    def longest(self, route: Route, size: RequestSize = UNSTATED) -> Seconds:
        """Return the longest duration expected, however few were recorded.

        The result is infinite for streams, whose durations have a long tail, and for a
        route without recorded requests.
        """
        if route.name not in self.durations or route.kind is RouteKind.STREAM:
            return math.inf
        return max(self.slowest(route.name), self.expect(route.name, size))


@frozen
class LateRequest:
    """A request received after the signal to stop, and the data used to judge it.

    Attributes:
        request: Its identifier.
        route: Its route.
        priced: Whether it needs tokens of a grant.
        left: The time until the deadline for the last answer, in seconds.
        estimate: The estimated duration of the request, in seconds.
        waited: How long it was queued behind other requests on its connection, in
            seconds.
        longest: The longest duration expected on its route, in seconds;
            infinity for streams and routes without records.
        size: The size that it states.
        time_limit: The time until it is given up in any case, in seconds.
        may_fail: Whether its caller may get an error instead of the answer if it takes
            longer than estimated.
        blocks_others: Whether it is a stream, and other requests wait behind it on its
            connection.
    """

    request: RequestId
    route: str
    priced: bool
    left: Seconds
    estimate: Seconds
    waited: Seconds = 0.0
    longest: Seconds = math.inf
    size: RequestSize = UNSTATED
    time_limit: Seconds = math.inf
    may_fail: bool = True
    blocks_others: bool = False

    @property
    def needed(self) -> Seconds:
        """The time that must be left, in seconds."""
        if self.may_fail:
            return min(self.estimate, self.time_limit)
        return self.time_limit

    @property
    def arrived_in_time(self) -> bool:
        """Whether the time needed was left when it arrived."""
        return self.needed <= self.left + self.waited


@define(eq=False)
class Shutdown:
    """Admission of requests while a router shuts down.

    The load balancer still sends callers here while fewer than half of the failure
    domain's VMs are in rotation, and a closed port would cost each caller a failed
    attempt. So nearly all requests are accepted while STOPPING. Afterwards a request is
    accepted if it ends in time (see `accepts_late`) and needs no tokens of grants that
    are being returned. Others are refused at once, so that each one gets an answer.

    Attributes:
        stage: The current stage.
        began_at: When the shutdown began.
        last_answer_at: When the last answer must have been sent.
        times: Durations of recent requests.
        on_late_request: Called for each late request with whether it was accepted, for
            metrics.
        scopes: The cancel scopes of the current requests; a shutdown limits their
            deadlines to `last_answer_at`.
        taken: Number of late requests that were accepted.
        refused: Number of late requests that were refused.
        given_up: Number of requests that were given up at `last_answer_at`.
    """

    stage: Stage = Stage.SERVING
    began_at: Seconds = -math.inf
    last_answer_at: Seconds = math.inf
    times: RouteTimes = field(factory=RouteTimes)
    on_late_request: Callable[[bool], None] = lambda taken: None
    scopes: set[anyio.CancelScope] = field(factory=set)
    taken: int = 0
    refused: int = 0
    given_up: int = 0

    def begin(self, last_answer_at: Seconds, began_at: Seconds | None = None) -> None:
        """Start the shutdown; requests running at `last_answer_at` are cancelled.

        Args:
            last_answer_at: When the last answer must have been sent.
            began_at: When it was requested; None for now.
        """
        self.stage = Stage.STOPPING
        self.began_at = anyio.current_time() if began_at is None else began_at
        self.last_answer_at = last_answer_at
        for scope in self.scopes:
            scope.deadline = min(scope.deadline, last_answer_at)

    def has_passed(self, deadline: Seconds) -> bool:
        """Return whether a block that is `bounded` by this deadline is being cancelled.

        Whatever such a block writes would be cut off.
        """
        return anyio.current_time() >= min(deadline, self.last_answer_at)

    @contextmanager
    def bounded(self, deadline: Seconds) -> Iterator[None]:
        """Cancel the enclosed block at `deadline` or, if earlier, at `last_answer_at`.

        The block is then left without an exception, so that the caller of a request
        that would outlast the shutdown can still be sent an error.
        """
        cutoff = min(deadline, self.last_answer_at)
        with anyio.CancelScope(deadline=cutoff) as scope:
            self.scopes.add(scope)
            try:
                yield
            finally:
                self.scopes.discard(scope)

    def admits(
        self,
        request: RequestId,
        route: Route,
        priced: bool,
        received_at: Seconds,
        size: RequestSize = UNSTATED,
        ends_at: Seconds = math.inf,
        followed: bool = False,
    ) -> bool:
        """Return whether to accept a request; log the decision during a shutdown.

        Args:
            request: Its identifier.
            route: Its route.
            priced: Whether it needs tokens of a grant.
            received_at: When its last byte arrived.
            size: The size that it states.
            ends_at: When it is given up in any case.
            followed: Whether other requests wait behind it on its connection.
        """
        if self.stage is Stage.SERVING:
            return True
        now = anyio.current_time()
        late = LateRequest(
            request=request,
            route=route.name,
            priced=priced,
            left=self.last_answer_at - now,
            estimate=self.times.estimate(route, size),
            waited=now - received_at,
            longest=self.times.longest(route, size),
            size=size,
            time_limit=ends_at - now,
            may_fail=self.may_fail(route.kind, received_at),
            blocks_others=followed and route.kind is RouteKind.STREAM,
        )
        taken = accepts_late(self.stage, late)
        self.record(late, taken)
        return taken

    def may_fail(self, kind: RouteKind, received_at: Seconds) -> bool:
        """Return whether a late request may get an error instead of its answer."""
        if kind is RouteKind.UNSAFE:
            return received_at - self.began_at <= UNAWARE
        return kind is RouteKind.SAFE

    def record(self, late: LateRequest, taken: bool) -> None:
        """Count a late request, and log the decision with the data it is based on."""
        self.taken += taken
        self.refused += not taken
        self.on_late_request(taken)
        log.info(
            "request while stopping",
            extra={
                "request": late.request,
                "route": late.route,
                "taken": taken,
                "stage": self.stage.value,
                "ms_left": round(late.left * 1000),
                "ms_estimated": round(late.estimate * 1000),
                "ms_limit": milliseconds(late.time_limit),
                "ms_waited": round(late.waited * 1000),
                "prompt": late.size.prompt,
                "max_output": late.size.output,
                "ms_shown": milliseconds(late.longest),
            },
        )


def milliseconds(time: Seconds) -> int | None:
    """Return a time in milliseconds for a log; None if it is infinite."""
    return None if math.isinf(time) else round(time * 1000)


def accepts_late(stage: Stage, late: LateRequest) -> bool:
    """Return whether a late request is accepted.

    While STOPPING, nearly all of the grace period is left and the load balancer still
    sends requests here. So every request is accepted, except a stream that may be cut
    at the end and has other requests behind it on its connection, which would get no
    answer. When OVER, none is accepted, and when RETURNING, none that needs tokens of a
    grant.

    Otherwise the time needed must be left. For a safe request this is its estimated
    duration: if it takes longer, its caller gets an error, and may send it again. A
    stream could only be cut, so the estimate is not enough for it: it must end within
    its own time limit. So must an unsafe request, which would end in doubt, unless it
    came while its caller could not know of the shutdown (`UNAWARE`).

    If the time was left when the request arrived, but no longer is because the request
    was queued behind others, the longest expected duration must fit instead, so that
    DEFAULT_ESTIMATE or a long time limit alone does not cause a refusal. For streams
    and for routes without records that duration is infinite, so such requests are
    refused.
    """
    if stage is Stage.STOPPING:
        return not late.blocks_others or late.time_limit <= late.left
    if stage is Stage.OVER:
        return False
    if stage is Stage.RETURNING and late.priced:
        # Grants are being returned; a new one might not be returned before the exit.
        return False
    if late.needed <= late.left:
        return True
    return late.arrived_in_time and late.longest <= late.left
