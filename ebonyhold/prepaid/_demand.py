"""Estimate of the token demand of one workspace at one router."""

from __future__ import annotations

import math

from attrs import define

from ebonyhold.types import Seconds, Tokens


@define
class Demand:
    """Estimates the demand in tokens per second and the typical request size.

    Attributes:
        time_constant: Time after which a request's weight has decayed to 1/e (about a
            third).
        weight: Sum of the requested tokens, in which each request decays with its age.
        started_at: When the first request was counted; None before.
        updated_at: When `weight` was last updated.
        typical: Typical request size in tokens, as a moving average.
    """

    time_constant: Seconds
    weight: float = 0.0
    started_at: Seconds | None = None
    updated_at: Seconds = 0.0
    typical: float = 0.0

    def record(self, amount: Tokens, now: Seconds) -> None:
        """Add a request to the estimate; only requests that got a hold are recorded."""
        if self.started_at is None:
            self.started_at = now
            self.typical = float(amount)
        self.decay(now)
        self.weight += amount
        self.typical += (amount - self.typical) * 0.1

    def decay(self, now: Seconds) -> None:
        """Apply the exponential decay since the last update to the weight."""
        self.weight *= math.exp((self.updated_at - now) / self.time_constant)
        self.updated_at = now

    def rate(self, now: Seconds) -> float:
        """Return the expected demand in tokens per second.

        The weight is divided by the time constant, or by less if the first request was
        counted only a short time ago.  The demand is 0 before the first request.
        """
        if self.started_at is None:
            return 0.0
        self.decay(now)
        age = max(now - self.started_at, 1.0)
        covered = self.time_constant * (1.0 - math.exp(-age / self.time_constant))
        return self.weight / covered
