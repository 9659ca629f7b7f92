"""How many tokens of a workspace a router expects to be asked for."""

from __future__ import annotations

import math

from attrs import define

from ebonyhold.types import Seconds, Tokens


@define
class Demand:
    """Estimates the tokens a second, and the size of a usual request.

    Attributes:
        memory: The time after which a request counts for a third.
        weight: Tokens asked for, weighted by their age.
        started_at: When the first request came; None before.
        updated_at: When `weight` was computed.
        typical: The size of a usual request.
    """

    memory: Seconds
    weight: float = 0.0
    started_at: Seconds | None = None
    updated_at: Seconds = 0.0
    typical: float = 0.0

    def served(self, amount: Tokens, now: Seconds) -> None:
        """Note a request that got its tokens."""
        if self.started_at is None:
            self.started_at = now
            self.typical = float(amount)
        self.fade(now)
        self.weight += amount
        self.typical += (amount - self.typical) * 0.1

    def fade(self, now: Seconds) -> None:
        """Let what was asked before count for less."""
        self.weight *= math.exp((self.updated_at - now) / self.memory)
        self.updated_at = now

    def rate(self, now: Seconds) -> float:
        """Return the expected demand, in tokens a second.

        Soon after the first request the weights do not add up to the whole
        memory yet, and the sum is divided by the time that they do cover.
        """
        if self.started_at is None:
            return 0.0
        self.fade(now)
        age = max(now - self.started_at, 1.0)
        covered = self.memory * (1.0 - math.exp(-age / self.memory))
        return self.weight / covered
