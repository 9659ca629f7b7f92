"""How routers share the places of a server that must not turn requests away.

A brittle server falls over if it turns more than a few requests away. What all routers
together send counts, so each has a fixed share of the server's places and keeps its
requests in flight within it. The shares add up to the places, without messages.
"""

from __future__ import annotations

from attrs import define

from ebonyhold.types import Seconds

FIRST_WINDOW = 1
"""Requests in flight that a router allows itself at a server that has just started."""

DECLINED_PAUSE: Seconds = 1.0
"""Time in which a server that has turned a request away gets no more from this router.

It may fall if it turns away more within a second, also those of other routers.
"""


@define
class PlaceWindow:
    """How many requests one router has in flight at a brittle server, at most.

    Attributes:
        size: The window within this router's share; it grows with each answer.
        paused_until: Until when the server gets no requests from this router.
    """

    size: int
    paused_until: Seconds = 0.0

    def record_answer(self) -> None:
        """Record that the server has run a request: it may get one more at once."""
        self.size += 1

    def record_declined(self, in_flight: int, now: Seconds) -> None:
        """Record that the server had no room for a request.

        Args:
            in_flight: Requests of this router that are at the server.
            now: The time.
        """
        self.size = max(FIRST_WINDOW, in_flight // 2)
        self.paused_until = now + DECLINED_PAUSE

    def wait(self, in_flight: int, share: int, now: Seconds) -> Seconds | None:
        """Return the time until a request may be sent; 0 if it may be sent now.

        It is None if a place must become free first.

        Args:
            in_flight: Requests of this router that are at the server.
            share: This router's share of the server's places.
            now: The time.
        """
        if now < self.paused_until:
            return self.paused_until - now
        return 0.0 if in_flight < min(self.size, share) else None
