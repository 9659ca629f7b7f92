"""How fast one workspace asks for tokens."""

from __future__ import annotations

import math

from attrs import define

from ebonyhold.types import Seconds, Tokens

MEMORY: Seconds = 600.0
"""After this long, an old request counts for 1/e of a new one."""


@define
class DemandEstimate:
    """An exponentially weighted rate of the tokens that requests hold."""

    weight: float = 0.0
    at: Seconds = 0.0
    typical: Tokens = 0

    def note(self, need: Tokens, now: Seconds) -> None:
        """Count a request."""
        self.weight = self._faded(now) + need
        self.at = now
        self.typical = need if not self.typical else (3 * self.typical + need) // 4

    def rate(self, now: Seconds) -> float:
        """Return the demand in tokens a second."""
        return self._faded(now) / MEMORY

    def _faded(self, now: Seconds) -> float:
        return self.weight * math.exp((self.at - now) / MEMORY)
