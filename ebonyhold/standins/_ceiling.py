"""The rate ceiling of a service that counts rows or calls a second."""

from __future__ import annotations

import anyio
from attrs import define, field

from ebonyhold.coordination import TokenBucket
from ebonyhold.exceptions import ThrottledError

BURST = 0.25
"""The burst, in seconds of the rate."""


@define
class Ceiling:
    """Refuses what goes over a rate.

    Attributes:
        rate: Units a second; 0 for no ceiling.
        used: Units let through so far.
        refused: Calls refused so far.
    """

    rate: float = 0.0
    used: int = 0
    refused: int = 0
    bucket: TokenBucket | None = field(default=None)

    def take(self, amount: int) -> None:
        """Count a call.

        Raises:
            ThrottledError: It goes over the ceiling.
        """
        if self.rate and not self.fits(amount):
            self.refused += 1
            raise ThrottledError("the rate ceiling is reached")
        self.used += amount

    def fits(self, amount: int) -> bool:
        """Take units from the bucket, which is made at the first call."""
        now = anyio.current_time()
        if self.bucket is None:
            self.bucket = TokenBucket.full(self.rate, self.rate * BURST, now)
        return self.bucket.take(amount, now)
