"""How fast one workspace asks for tokens."""

from __future__ import annotations

import math

from attrs import define

from ebonyhold.types import Seconds, Tokens

MEMORY: Seconds = 1800.0
"""After this long, an old request counts for 1/e of a new one."""

SHORTEST: Seconds = 300.0
"""A first request counts as seen over this long."""


@define
class DemandEstimate:
    """An exponentially weighted rate of the tokens that requests hold."""

    weight: float = 0.0
    at: Seconds = 0.0
    since: Seconds | None = None
    typical: Tokens = 0

    def note(self, need: Tokens, now: Seconds) -> None:
        """Count a request."""
        if self.since is None:
            self.since = now
        self.weight = self._faded(now) + need
        self.at = now
        self.typical = need if not self.typical else (3 * self.typical + need) // 4

    def rate(self, now: Seconds) -> float:
        """Return the demand in tokens a second.

        What was seen is divided by the time that can have contributed to it:
        a workspace seen for a short while would look idle otherwise.
        """
        seen_for = now - self.since if self.since is not None else 0.0
        span = MEMORY * (1 - math.exp(-max(seen_for, SHORTEST) / MEMORY))
        return self._faded(now) / span

    def _faded(self, now: Seconds) -> float:
        return self.weight * math.exp((self.at - now) / MEMORY)
