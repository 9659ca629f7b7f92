"""Refusal of requests that no server can begin to answer before their deadline.

Load that it handles: so many prompt tokens wait at all servers of a service that a new
request would wait past its deadline. Its caller then gets no answer either way, but the
request would keep others waiting, and its caller would learn of it only at the end.

A request that is refused although a server would have answered it in time is worse than
one that is sent in vain. So the estimate is a lower bound: the least loaded server, a
speed that nine of ten observations do not reach, and figures from which the tokens
read since are subtracted.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from attrs import define, field, frozen

from ebonyhold.coordination import ServerLoad
from ebonyhold.forwarding._refusals import RETRY_SPREAD
from ebonyhold.forwarding._types import ServiceName
from ebonyhold.types import BackendName, Seconds, Tokens

MIN_SAMPLES = 16
"""Number of observations of a service's speed before requests are refused."""

MAX_SAMPLES = 64
"""Number of observations kept; a router of a large fleet makes some 3 per second."""

SAMPLES_LAST: Seconds = 20.0
"""Time for which an observation counts. After servers were slow, refused requests give
no observations that they are not any more."""

MIN_TOKENS: Tokens = 2_048
"""Fewest tokens of an observation; with fewer, the time of a step outweighs them."""

SPEED_QUANTILE = 0.9
"""The observed speed that is used, as a quantile of the observations.

Most observations are too low, as they include the time of steps and of this router.
"""

FIGURES_AGE: Seconds = 0.5
"""Age of the figures, during which servers have read on; 0.1 to 0.4 s is usual."""

CERTAINTY = 1.5
"""How many times the time left a request must be expected to wait to be refused."""

RATE_WINDOW: Seconds = 1.0
"""Time over which refused and served requests are counted."""

MAX_COUNTED = 1_000
"""Maximum number of requests that are counted in RATE_WINDOW."""

MIN_RETRY: Seconds = 0.05
"""Minimum time until a refused caller may return."""

MAX_RETRY: Seconds = 2.0 / (1.0 + RETRY_SPREAD)
"""Maximum of that time; the answer states up to RETRY_SPREAD more, so at most 2 s."""


@frozen
class EarlyRefusal:
    """Why a request is refused early, for logs.

    Attributes:
        server: The server that would answer first.
        unread: Prompt tokens that wait there.
        speed: Prompt tokens that a server reads per second.
        expected: Time to the first event there, in seconds.
        time_left: Time to the request's deadline, in seconds.
    """

    server: BackendName
    unread: Tokens
    speed: float
    expected: Seconds
    time_left: Seconds


def check_early(
    loads: Iterable[tuple[BackendName, ServerLoad | None]],
    reads: Tokens,
    speed: float,
    time_left: Seconds,
) -> EarlyRefusal | None:
    """Return why a request cannot be answered before its deadline, or None.

    It is not refused if the load of any server is unknown.

    Args:
        loads: The load of each server by all routers.
        reads: Tokens of the prompt that a server reads at least.
        speed: Prompt tokens that a server reads per second.
        time_left: Time to the request's deadline, in seconds.
    """
    best: EarlyRefusal | None = None
    for name, load in loads:
        if load is None:
            return None
        waits = max(0.0, load.unread * max(1.0, load.slowness) / speed - FIGURES_AGE)
        expected = waits + reads / speed
        if expected < CERTAINTY * time_left:
            return None
        if best is None or expected < best.expected:
            best = EarlyRefusal(name, load.unread, speed, expected, time_left)
    return best


def retry_time(
    early: EarlyRefusal, refused: int, served: int, chance: float
) -> Seconds:
    """Return when the caller of a refused request may return, in seconds.

    Callers return over the time in which as many requests are served as were refused.
    The numbers are this router's, whose ratio is about that of the fleet.

    Args:
        early: The refusal.
        refused: Requests refused early in the last second.
        served: Requests served in the last second.
        chance: A random number in [0, 1).
    """
    usual = early.expected - early.time_left
    spread = chance * refused / served if served else chance * MAX_RETRY
    # The spread is taken back from the maximum, or all would return at that time.
    latest = MAX_RETRY - min(spread, MAX_RETRY / 2)
    return max(MIN_RETRY, min(usual + spread, latest))


@define(eq=False)
class ServiceReading:
    """How fast the servers of a service read prompts, as this router observes it.

    Attributes:
        speeds: When the last speeds were observed, and each in tokens per second.
        served: When requests had their first event in RATE_WINDOW, in seconds.
        refused: When requests were refused early in RATE_WINDOW, in seconds.
    """

    speeds: deque[tuple[Seconds, float]] = field(
        factory=lambda: deque(maxlen=MAX_SAMPLES)
    )
    served: deque[Seconds] = field(factory=lambda: deque(maxlen=MAX_COUNTED))
    refused: deque[Seconds] = field(factory=lambda: deque(maxlen=MAX_COUNTED))

    def observe(self, tokens: float, elapsed: Seconds, now: Seconds) -> None:
        """Record a first event.

        Args:
            tokens: Tokens that were expected to be read before it.
            elapsed: Time from the dispatch to it, in seconds.
            now: The time, in seconds.
        """
        self.served.append(now)
        if tokens >= MIN_TOKENS and elapsed > 0.0:
            self.speeds.append((now, tokens / elapsed))

    def speed(self, now: Seconds) -> float | None:
        """Return the prompt tokens that a server reads per second; None if unknown."""
        while self.speeds and self.speeds[0][0] <= now - SAMPLES_LAST:
            self.speeds.popleft()
        if len(self.speeds) < MIN_SAMPLES:
            return None
        speeds = sorted(speed for _, speed in self.speeds)
        return speeds[int(len(speeds) * SPEED_QUANTILE)]

    def refuse(self, early: EarlyRefusal, now: Seconds, chance: float) -> Seconds:
        """Count an early refusal, and return when its caller may return, in seconds."""
        self.refused.append(now)
        refused, served = count_since(self.refused, now), count_since(self.served, now)
        return retry_time(early, refused, served, chance)


def count_since(times: deque[Seconds], now: Seconds) -> int:
    """Remove the times before RATE_WINDOW, and return the number of the others."""
    while times and times[0] <= now - RATE_WINDOW:
        times.popleft()
    return len(times)


@define(eq=False)
class Readings:
    """How fast the servers of each service read prompts.

    Attributes:
        services: The observations by service.
    """

    services: dict[ServiceName, ServiceReading] = field(factory=dict)

    def of(self, service: ServiceName) -> ServiceReading:
        """Return the observations of a service."""
        return self.services.setdefault(service, ServiceReading())
