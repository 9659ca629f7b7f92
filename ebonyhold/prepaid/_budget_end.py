"""Forecast whether a budget ends before the demand for it.

The rate of use over the fleet is compared with the unspent tokens.  When the demand
ends is not known.  So a budget is at its end if it is used up, at the present rate,
within the time for which small requests should be kept served.
"""

from __future__ import annotations

import statistics
from collections import deque

from attrs import define, field

from ebonyhold.types import Seconds, Tokens

PERIOD: Seconds = 6.0
"""Length of the periods in which requests are counted.

A workspace may send at several times its usual rate for 6 s.  Such a burst falls into
at most two periods.
"""

PERIODS = 9
"""The number of past periods that count: about a minute."""

MANY_REQUESTS = 5
"""Requests in a mean period from which the median of the periods is used.

With fewer, most periods may have no request, and the mean is used.  A burst of four
times the usual rate for 6 s raises that by a third.
"""

UNKNOWN_RATE_PART = 0.25
"""While the rate is unknown, a budget is at its end below this unspent fraction.

A day of 60 to 100 s that uses its budget evenly uses this in 15 to 25 s.  What routers
that ended had charged and not filed, or strands, counts as unspent; after a power
failure of all VMs this is 10 in 100 of a budget.
"""


@define
class SteadyRate:
    """The tokens per second that requests ask for, without short bursts.

    It is the median of the last periods, which one burst of a few seconds changes
    little.

    Attributes:
        began_at: When the current period began; None before the first request.
        current: The sizes of the requests in the current period.
        past: The tokens asked for, and the number of requests, in each of the last
            complete periods.
    """

    began_at: Seconds | None = None
    current: list[Tokens] = field(factory=list)
    past: deque[tuple[Tokens, int]] = field(factory=lambda: deque(maxlen=PERIODS))

    def record(self, amount: Tokens, now: Seconds) -> None:
        """Count a request, whether it is served or not."""
        self.update(now)
        if self.began_at is None:
            self.began_at = now
        self.current.append(amount)

    def update(self, now: Seconds) -> None:
        """Complete the periods that have ended."""
        if self.began_at is None:
            return
        ended = int((now - self.began_at) / PERIOD)
        if ended:
            self.past.append((sum(self.current), len(self.current)))
            self.past.extend([(0, 0)] * min(ended - 1, PERIODS))
            self.current = []
            self.began_at += ended * PERIOD

    def rate(self, now: Seconds) -> float | None:
        """Return the tokens per second; None before the end of the first period.

        >>> rate = SteadyRate()
        >>> for second in range(60):
        ...     rate.record(400 if 30 <= second < 36 else 100, float(second))
        >>> rate.rate(60.0)
        100.0
        """
        self.update(now)
        if not self.past:
            return None
        amounts = [amount for amount, _ in self.past]
        mean_count = sum(count for _, count in self.past) / len(self.past)
        average = statistics.median if mean_count >= MANY_REQUESTS else statistics.mean
        return average(amounts) / PERIOD


def is_at_end(
    unspent: float, prepaid: Tokens, rate: float | None, horizon: Seconds
) -> bool:
    """Return whether a budget is forecast to be used up within a time.

    Args:
        unspent: Tokens of the budget that are expected to be unspent.
        prepaid: The prepaid tokens of the budget.
        rate: What requests at all routers ask for, in tokens per second; None if
            unknown.
        horizon: The time that the budget should last.
    """
    if rate is None:
        return unspent < UNKNOWN_RATE_PART * prepaid
    return unspent < rate * horizon
