"""Estimate of the token demand of one workspace at one router."""

from __future__ import annotations

import math

from attrs import define

from ebonyhold.types import Seconds, Tokens

TIME_CONSTANT: Seconds = 1800.0
"""Time after which a request counts for 1/e (about a third) of a new one."""

MIN_WINDOW: Seconds = 300.0
"""Minimum time over which demand is averaged, even if the first request is newer."""


@define
class DemandEstimate:
    """Estimates the demand in tokens per second and the typical request size.

    Attributes:
        weight: Sum of the needed tokens, in which each request decays with its age.
        at: When `weight` was last updated.
        since: When the first request was recorded; None before.
        typical: Typical request size in tokens, as a moving average.
    """

    weight: float = 0.0
    at: Seconds = 0.0
    since: Seconds | None = None
    typical: Tokens = 0

    def record(self, need: Tokens, now: Seconds) -> None:
        """Add a request to the estimate, whether or not the request gets its hold."""
        if self.since is None:
            self.since = now
        self.weight = self._decayed(now) + need
        self.at = now
        self.typical = need if not self.typical else (3 * self.typical + need) // 4

    def rate(self, now: Seconds) -> float:
        """Return the demand in tokens per second.

        The weight is divided by the time constant, or by less if the first request was
        recorded a short time ago. Dividing by the whole time constant would then
        underestimate the demand.
        """
        observed_for = now - self.since if self.since is not None else 0.0
        span = TIME_CONSTANT * (
            1 - math.exp(-max(observed_for, MIN_WINDOW) / TIME_CONSTANT)
        )
        return self._decayed(now) / span

    def _decayed(self, now: Seconds) -> float:
        return self.weight * math.exp((self.at - now) / TIME_CONSTANT)
