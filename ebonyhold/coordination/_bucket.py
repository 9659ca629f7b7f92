"""Rate ceilings: a token bucket, and fair turns between those that share one."""

from __future__ import annotations

from collections.abc import Hashable, Iterable
from typing import Generic, TypeVar

from attrs import define, field

from ebonyhold.types import Seconds

MARGIN = 1e-6
"""What may be missing from an amount, in units."""


@define
class TokenBucket:
    """A ceiling on units a second, with a bounded burst.

    Attributes:
        rate: Units added a second.
        burst: The most units it holds.
        level: Units it holds now; negative after a take larger than the burst.
        updated_at: When `level` was computed.
    """

    rate: float
    burst: float
    level: float = field(default=0.0)
    updated_at: Seconds = field(default=0.0)

    @classmethod
    def full(cls, rate: float, burst: float, now: Seconds) -> TokenBucket:
        """Make a bucket that starts full."""
        return cls(rate, burst, burst, now)

    def refill(self, now: Seconds) -> None:
        """Add what the time since the last call has earned."""
        earned = max(0.0, now - self.updated_at) * self.rate
        self.level = min(self.burst, self.level + earned)
        self.updated_at = max(self.updated_at, now)

    def take(self, amount: float, now: Seconds) -> bool:
        """Take units if they are there, and tell whether they were.

        An amount above the burst is allowed from a full bucket and leaves a
        debt, so that one large call cannot wait for ever.
        """
        self.refill(now)
        # Without the margin, rounding leaves a level just short of the amount,
        # with a wait too short to move the clock, and the caller waits for ever.
        if self.level < min(amount, self.burst) - MARGIN:
            return False
        self.level -= amount
        return True

    def spend(self, amount: float, now: Seconds) -> None:
        """Take units that are used already, into debt if need be."""
        self.refill(now)
        self.level -= amount

    def wait(self, amount: float, now: Seconds) -> Seconds:
        """Return how long until `take` would succeed, in seconds."""
        self.refill(now)
        missing = min(amount, self.burst) - self.level
        return max(0.0, missing / self.rate)


BACKOFF = 0.7
"""What a refusal leaves of the rate."""

RECOVERY = 0.05
"""The part of the full rate that comes back each second."""

FLOOR = 0.05
"""The least part of the full rate."""

HOLD_OFF = 1.0
"""Refusals closer together than this count once, in seconds.

A burst of refusals is one sign of one overload; counting each would stop this
client altogether.
"""


@define
class AdaptiveRate:
    """The rate a client allows itself of a ceiling that it shares with others.

    It falls by a factor when the service refuses, and comes back evenly, so
    that clients that share a ceiling converge to equal shares without talking.

    Attributes:
        limit: The full rate, in units a second.
        rate: The rate now.
        updated_at: When `rate` was computed.
        lowered_at: When it was last lowered.
    """

    limit: float
    rate: float
    updated_at: Seconds = 0.0
    lowered_at: Seconds = -HOLD_OFF

    def current(self, now: Seconds) -> float:
        """Return the rate, with what has come back since the last call."""
        earned = max(0.0, now - self.updated_at) * self.limit * RECOVERY
        self.rate = min(self.limit, self.rate + earned)
        self.updated_at = max(self.updated_at, now)
        return self.rate

    def refused(self, now: Seconds) -> None:
        """Lower the rate, since the service has refused a call."""
        if now < self.lowered_at + HOLD_OFF:
            return
        self.lowered_at = now
        self.rate = max(self.limit * FLOOR, self.current(now) * BACKOFF)


K = TypeVar("K", bound=Hashable)


@define
class FairTurns(Generic[K]):
    """Chooses whose turn it is, in proportion to weights (start-time fair queueing).

    Attributes:
        weights: The share of each class; larger gets more.
        finish: For each class, the virtual time at which its last turn ended.
        virtual: The virtual time, which only grows.
    """

    weights: dict[K, float]
    finish: dict[K, float] = field(factory=dict)
    virtual: float = 0.0

    def choose(self, waiting: Iterable[K]) -> K:
        """Return the class whose turn is next among those that wait.

        Raises:
            ValueError: Nobody waits.
        """
        return min(waiting, key=self.start)

    def start(self, who: K) -> float:
        """Return the virtual time at which the next turn of a class begins.

        A class that was idle starts at the present, not at its old time: it
        would else catch up for the idle time and starve the others.
        """
        return max(self.virtual, self.finish.get(who, 0.0))

    def charge(self, who: K, amount: float) -> None:
        """Record that a class has taken its turn."""
        start = self.start(who)
        self.virtual = start
        self.finish[who] = start + amount / self.weights[who]
