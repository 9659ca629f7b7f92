"""Rate limits: a token bucket, an adaptive rate, and weighted fair scheduling."""

from __future__ import annotations

from collections.abc import Hashable, Iterable
from typing import Generic, TypeVar

from attrs import define, field

from ebonyhold.types import Seconds

TOLERANCE = 1e-6
"""Rounding tolerance when the level of a bucket is compared with an amount."""


@define
class TokenBucket:
    """A limit on units per second, with a bounded burst.

    Attributes:
        rate: Units added per second.
        burst: The maximum number of units it holds.
        level: Units it holds now; may be negative, see `take` and `spend`.
        updated_at: When `level` was computed.
    """

    rate: float
    burst: float
    level: float = field(default=0.0)
    updated_at: Seconds = field(default=0.0)

    @classmethod
    def full(cls, rate: float, burst: float, now: Seconds) -> TokenBucket:
        """Return a bucket that starts full."""
        return cls(rate, burst, burst, now)

    def refill(self, now: Seconds) -> None:
        """Add the units that have accrued since the last call."""
        earned = max(0.0, now - self.updated_at) * self.rate
        self.level = min(self.burst, self.level + earned)
        self.updated_at = max(self.updated_at, now)

    def take(self, amount: float, now: Seconds) -> bool:
        """Take units if enough are available, and return whether they were.

        An amount above the burst is taken from a full bucket and leaves a negative
        level, because the level can never reach such an amount.
        """
        self.refill(now)
        # Without the tolerance, rounding could leave the level just below the amount.
        # The computed wait would then be too short to advance the clock, and the caller
        # would wait forever.
        if self.level < min(amount, self.burst) - TOLERANCE:
            return False
        self.level -= amount
        return True

    def spend(self, amount: float, now: Seconds) -> None:
        """Take units that were already used, even if the level becomes negative."""
        self.refill(now)
        self.level -= amount

    def wait(self, amount: float, now: Seconds) -> Seconds:
        """Return the time until `take` would succeed, in seconds."""
        self.refill(now)
        missing = min(amount, self.burst) - self.level
        return max(0.0, missing / self.rate)


BACKOFF_FACTOR = 0.7
"""Factor by which `AdaptiveRate` lowers its rate after a refused call."""

RECOVERY_RATE = 0.05
"""Share of the full rate that is regained each second."""

MIN_RATE_SHARE = 0.05
"""Minimum of the rate, as a share of the full rate."""

REFUSAL_WINDOW = 1.0
"""Time after a counted refusal in which further ones are ignored, in seconds.

A burst of refusals is caused by one overload; counting each of them would reduce the
rate to its minimum.
"""


@define
class AdaptiveRate:
    """The call rate of one client, which shares a service's rate limit with others.

    The rate is multiplied by a factor below 1 when the service refuses a call and
    recovers linearly, so clients that share a limit converge to equal shares without
    coordination.

    Attributes:
        limit: The full rate, in units per second.
        rate: The rate at `updated_at`.
        updated_at: When `rate` was computed.
        lowered_at: When it was last lowered.
    """

    limit: float
    rate: float
    updated_at: Seconds = 0.0
    lowered_at: Seconds = -REFUSAL_WINDOW

    def current(self, now: Seconds) -> float:
        """Return the current rate, including the recovery since the last call."""
        earned = max(0.0, now - self.updated_at) * self.limit * RECOVERY_RATE
        self.rate = min(self.limit, self.rate + earned)
        self.updated_at = max(self.updated_at, now)
        return self.rate

    def refused(self, now: Seconds) -> None:
        """Lower the rate after a refused call, at most once per `REFUSAL_WINDOW`."""
        if now < self.lowered_at + REFUSAL_WINDOW:
            return
        self.lowered_at = now
        self.rate = max(self.limit * MIN_RATE_SHARE, self.current(now) * BACKOFF_FACTOR)


K = TypeVar("K", bound=Hashable)


@define
class FairScheduler(Generic[K]):
    """Chooses which class of calls goes next, by weight (start-time fair queueing).

    Attributes:
        weights: The weight of each class; a larger one gets more turns.
        finish: For each class, the virtual time at which its last turn ended.
        virtual: The virtual time, which never decreases.
    """

    weights: dict[K, float]
    finish: dict[K, float] = field(factory=dict)
    virtual: float = 0.0

    def choose(self, waiting: Iterable[K]) -> K:
        """Return the waiting class that goes next, the one with the earliest start.

        Raises:
            ValueError: No class is waiting.
        """
        return min(waiting, key=self.start)

    def start(self, key: K) -> float:
        """Return the virtual start time of the next turn of a class.

        A class that was idle starts at the current virtual time.  If it started at its
        old finish time, it would get all turns until it has caught up.
        """
        return max(self.virtual, self.finish.get(key, 0.0))

    def charge(self, key: K, amount: float) -> None:
        """Record a turn of a class, with the amount of the limited resource it used."""
        start = self.start(key)
        self.virtual = start
        self.finish[key] = start + amount / self.weights[key]
