"""Retry budgets and jittered backoff."""

from __future__ import annotations

from attrs import define, frozen

from ebonyhold.types import Seconds


@define
class RetryBudget:
    """Bounds retries to a part of the first attempts.

    When everything fails, retries multiply the load by at most ``1 + ratio``
    instead of by the number of tries, so they cannot keep an outage alive.

    Attributes:
        ratio: Retries allowed for each first attempt, on average.
        most: The most retries that can be saved up.
        level: Retries allowed now.
        refused: Retries that were refused.
    """

    ratio: float = 0.1
    most: float = 10.0
    level: float = 1.0
    refused: int = 0

    def first_attempt(self) -> None:
        """Record a first attempt, which earns a part of a retry."""
        self.level = min(self.most, self.level + self.ratio)

    def take(self) -> bool:
        """Take one retry if it is allowed, and tell whether it was."""
        if self.level < 1.0:
            self.refused += 1
            return False
        self.level -= 1.0
        return True


@frozen
class Backoff:
    """Waits between tries, doubling, with full jitter.

    Attributes:
        first: The bound on the first wait, in seconds.
        most: The bound on any wait, in seconds.
        factor: How much the bound grows from one wait to the next.
    """

    first: Seconds = 0.05
    most: Seconds = 2.0
    factor: float = 2.0

    def bound(self, retry: int) -> Seconds:
        """Return the bound on the wait before a retry, counted from 1."""
        doublings = min(retry - 1, 64)
        return min(self.most, self.first * self.factor**doublings)

    def wait(self, retry: int, chance: float) -> Seconds:
        """Return the wait before a retry, in seconds.

        Args:
            retry: Counts the retries from 1.
            chance: A random number from 0 to 1, drawn by the caller.
        """
        return self.bound(retry) * chance
