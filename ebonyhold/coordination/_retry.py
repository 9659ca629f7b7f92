"""Retry budgets, and exponential backoff with jitter."""

from __future__ import annotations

from attrs import define, frozen

from ebonyhold.types import Seconds


@define
class RetryBudget:
    """Limits retries to a share of the first attempts.

    If all calls fail, retries multiply the load by about ``1 + ratio`` instead of by
    the number of tries, so they cannot prolong an outage.

    Attributes:
        ratio: Retries allowed per first attempt, on average.
        max_level: The maximum of `level`.
        level: The number of retries allowed now.
        refused: Counts the refused retries.
    """

    ratio: float = 0.1
    max_level: float = 10.0
    level: float = 1.0
    refused: int = 0

    def first_attempt(self) -> None:
        """Record a first attempt, which adds `ratio` to the allowed retries."""
        self.level = min(self.max_level, self.level + self.ratio)

    def take(self) -> bool:
        """Return whether a retry is allowed, and count it as used or refused."""
        if self.level < 1.0:
            self.refused += 1
            return False
        self.level -= 1.0
        return True


@frozen
class Backoff:
    """Exponential backoff between tries, with full jitter.

    Attributes:
        first_wait: The maximum of the first wait, in seconds.
        max_wait: The maximum of any wait, in seconds.
        factor: Growth of the maximum from one wait to the next.
    """

    first_wait: Seconds = 0.05
    max_wait: Seconds = 2.0
    factor: float = 2.0

    def bound(self, retry: int) -> Seconds:
        """Return the maximum wait before a retry, in seconds; retries count from 1."""
        doublings = min(retry - 1, 64)
        return min(self.max_wait, self.first_wait * self.factor**doublings)

    def wait(self, retry: int, chance: float) -> Seconds:
        """Return the wait before a retry, in seconds.

        Args:
            retry: Counts the retries from 1.
            chance: A random number from 0 to 1, drawn by the caller.
        """
        return self.bound(retry) * chance
