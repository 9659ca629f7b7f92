"""An estimate of the rate at which one workspace uses tokens."""

from __future__ import annotations

import math

from attrs import define

from ebonyhold.types import Seconds, Tokens

TIME_CONSTANT: Seconds = 1800.0
"""Time after which a request counts for 1/e of a new one."""

MIN_WINDOW: Seconds = 300.0
"""Minimum time over which the demand is averaged, also for a first request."""


@define
class DemandEstimate:
    """An exponentially weighted rate of the tokens that requests hold."""

    weight: float = 0.0
    at: Seconds = 0.0
    since: Seconds | None = None
    typical: Tokens = 0

    def record(self, need: Tokens, now: Seconds) -> None:
        """Record the tokens that a request needs."""
        if self.since is None:
            self.since = now
        self.weight = self._decayed(now) + need
        self.at = now
        self.typical = need if not self.typical else (3 * self.typical + need) // 4

    def rate(self, now: Seconds) -> float:
        """Return the demand in tokens per second.

        The weighted sum is divided by the weight of the time observed so far. Dividing
        by the whole time constant would underestimate a workspace that was observed for
        a short time only.
        """
        observed_for = now - self.since if self.since is not None else 0.0
        span = TIME_CONSTANT * (
            1 - math.exp(-max(observed_for, MIN_WINDOW) / TIME_CONSTANT)
        )
        return self._decayed(now) / span

    def _decayed(self, now: Seconds) -> float:
        return self.weight * math.exp((self.at - now) / TIME_CONSTANT)
