"""Which requests get the last tokens of a budget.

One large request uses what serves many small ones.  So the last part of a budget is
kept for small requests, as far as these are expected to need it.  All requests of a
workspace whose requests are of one size may use its budget to the end.
"""

from __future__ import annotations

import math

from attrs import define, field

from ebonyhold.types import Seconds, Tokens

LAST_PART = 0.02
"""The largest fraction of a budget that is kept for small requests.

Callers may count on 97 in 100 of what they prepaid, whatever the size of their
requests; the rest of the three is for what routers that ended have not proved unspent.
"""

KEPT_FOR: Seconds = 25.0
"""The time for which small requests should be served from the last part.

Twice the time within which service is to be back after a restart of all routers.
"""

SMALL = 1 / 3
"""A request is small if it needs at most this fraction of the mean."""

DEMAND_TIME: Seconds = 60.0
"""Time constant of the decay of past requests."""

MIN_SAMPLE = 20.0
"""The number of requests from which their sizes count as known."""

LEARNING_TIME: Seconds = 10.0
"""The time after its first request in which a router may not know any sizes yet."""

SMALL_PART = 0.05
"""In that time, a request is small if it needs at most this fraction of the last part
of its budget."""

CLASSES_PER_DOUBLING = 4
"""The number of size classes in which sizes double."""


@define
class SizeDemand:
    """The tokens that requests of each size ask for at this router.

    Requests count whether they get their tokens or not: the ones that are refused at
    the end of a budget are those to be served from what is kept for them.

    Attributes:
        weights: Sum of the tokens asked for by requests of each size class, in which
            each request decays with its age.
        count: Number of requests, which decays alike.
        started_at: When the first request was counted; None before.
        updated_at: When the weights were last updated.
    """

    weights: dict[int, float] = field(factory=dict)
    count: float = 0.0
    started_at: Seconds | None = None
    updated_at: Seconds = 0.0

    @property
    def is_learning(self) -> bool:
        """Whether the first request was counted at most `LEARNING_TIME` ago."""
        return self.started_at is None or (
            self.updated_at - self.started_at <= LEARNING_TIME
        )

    def record(self, amount: Tokens, now: Seconds) -> None:
        """Count a request."""
        if self.started_at is None:
            self.started_at = now
        factor = math.exp((self.updated_at - now) / DEMAND_TIME)
        self.weights = {size: w * factor for size, w in self.weights.items()}
        self.count = self.count * factor + 1
        self.updated_at = now
        size = size_class(amount)
        self.weights[size] = self.weights.get(size, 0.0) + amount

    def rate(self, now: Seconds) -> float:
        """Return what requests ask for, in tokens per second; 0 before the first."""
        if self.started_at is None:
            return 0.0
        age = max(now - self.started_at, 1.0)
        covered = DEMAND_TIME * (1.0 - math.exp(-age / DEMAND_TIME))
        factor = math.exp((self.updated_at - now) / DEMAND_TIME)
        return sum(self.weights.values()) * factor / covered

    def small_share(self, amount: Tokens) -> float:
        """Return the share of the tokens that small requests ask for.

        It is 0 if the amount is that of a small request itself.

        >>> demand = SizeDemand()
        >>> for second in range(100):
        ...     demand.record(1000, float(second))
        ...     demand.record(8000, float(second))
        >>> round(demand.small_share(8000), 3), demand.small_share(1000)
        (0.111, 0.0)
        """
        total = sum(self.weights.values())
        largest = size_class(max(1, int(total * SMALL / max(1.0, self.count))))
        if size_class(amount) <= largest:
            return 0.0
        return sum(w for size, w in self.weights.items() if size <= largest) / total


def size_class(amount: Tokens) -> int:
    """Return the class of a size, which grows with it."""
    return int(math.log2(max(1, amount)) * CLASSES_PER_DOUBLING)


def kept_for_small(
    amount: Tokens, prepaid: Tokens, rate: float, own: SizeDemand, all_: SizeDemand
) -> float:
    """Return how many tokens of a budget are kept from a request, for small ones.

    Args:
        amount: Maximum cost of the request that asks.
        prepaid: The prepaid tokens of the budget.
        rate: What all requests of the workspace ask for, in tokens per second.
        own: The sizes of the workspace's requests at this router.
        all_: The sizes of all workspaces' requests at this router.  They are used
            while too few of the workspace's own are known, as after a restart.
    """
    last = LAST_PART * prepaid
    if amount > last:
        # What could be kept would not serve many others.
        return 0.0
    for sizes in (own, all_):
        if sizes.count >= MIN_SAMPLE:
            return min(rate * sizes.small_share(amount) * KEPT_FOR, last)
    is_small = amount <= SMALL_PART * last
    return last if all_.is_learning and not is_small else 0.0
