"""Requests that wait here for a place at a brittle server, and not at the server."""

from __future__ import annotations

import itertools
from bisect import insort
from collections.abc import Iterator

import anyio
from attrs import define, field, frozen

from ebonyhold.forwarding._types import ServiceName
from ebonyhold.types import Seconds

MAX_TARGETS = 1.0
"""How long a request may wait, as a multiple of its route's target latency.

Later, its answer would be late in any case, and another router may have a place.
"""

MAX_DEADLINE_SHARE = 0.25
"""How long it may wait, as a share of the time left before its deadline."""


@frozen(order=True)
class Turn:
    """The turn of one request: the most urgent first, then the one that came first."""

    priority: int
    number: int
    event: anyio.Event = field(factory=anyio.Event, order=False)


@define(eq=False)
class PlaceQueue:
    """The requests that wait for a place, by service.

    Attributes:
        waiting: The turns of each service, in order.
        numbers: Numbers the turns.
    """

    waiting: dict[ServiceName, list[Turn]] = field(factory=dict)
    numbers: Iterator[int] = field(factory=itertools.count)

    async def wait(
        self,
        service: ServiceName,
        priority: int,
        until: Seconds,
        max_waiting: int,
    ) -> bool:
        """Wait until a request of the service has ended.

        Args:
            service: The service.
            priority: The request's priority; 0 is the most urgent.
            until: The latest time to wait for.
            max_waiting: How many requests may wait; another one does not.

        Returns:
            Whether one has ended in time.
        """
        turns = self.waiting.setdefault(service, [])
        if len(turns) >= max_waiting:
            return False
        turn = Turn(priority, next(self.numbers))
        insort(turns, turn)
        try:
            with anyio.CancelScope(deadline=until):
                await turn.event.wait()
                return True
        finally:
            if turn in turns:
                turns.remove(turn)
        return False

    def free(self, service: ServiceName) -> None:
        """Wake the first request that waits, since another one has ended."""
        turns = self.waiting.get(service)
        if turns:
            turns.pop(0).event.set()


def wait_until(now: Seconds, target: Seconds, deadline: Seconds) -> Seconds:
    """Return the latest time for which a request that begins to wait now may wait."""
    return now + min(MAX_TARGETS * target, MAX_DEADLINE_SHARE * (deadline - now))
