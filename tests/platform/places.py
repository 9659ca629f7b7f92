"""The places of a stand-in's engine, which may be brittle."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import anyio
from attrs import define, field

MAX_WAITING = 40
"""Number of requests that may wait for a place."""

MAX_WAITING_BRITTLE = 2
"""The same at a brittle engine, from BINDING_AFTER on."""

BINDING_AFTER = 3.0
"""Seconds from the first answer that states brittleness until it binds."""

TURNED_AWAY_TIME = 1.0
"""Seconds within which a brittle engine falls if it turns too many requests away."""

FALL_TIME = 3.0
"""Seconds until an engine that has fallen is back."""


class NoPlaceError(Exception):
    """No place is free, and as many requests wait as may."""


@define(eq=False)
class Places:
    """The places of one engine.

    Attributes:
        count: Returns the number of places; None for no limit.
        brittle: Returns how many requests it may turn away in a second before it falls;
            None if it is not brittle.
        fall: Ends the engine's process.
        running: Number of requests that have a place.
        waiting: The requests that wait for one, in order.
        told_at: When it first stated that it is brittle; 0 if it does not.
        turned_away: When it turned requests away, in the last TURNED_AWAY_TIME.
    """

    count: Callable[[], int | None] = lambda: None
    brittle: Callable[[], int | None] = lambda: None
    fall: Callable[[], None] = lambda: None
    running: int = 0
    waiting: deque[anyio.Event] = field(factory=deque)
    told_at: float = 0.0
    turned_away: deque[float] = field(factory=deque)

    def is_binding(self) -> bool:
        """Return whether it is brittle, and has stated so for long enough."""
        if self.brittle() is None:
            self.told_at = 0.0
            return False
        self.told_at = self.told_at or time.monotonic()
        return time.monotonic() >= self.told_at + BINDING_AFTER

    @asynccontextmanager
    async def take(self) -> AsyncIterator[None]:
        """Take a place for a request, waiting for one if it may.

        Raises:
            NoPlaceError: It may not wait.
        """
        binding, count = self.is_binding(), self.count()
        if count is not None and self.running >= count:
            await self.wait(MAX_WAITING_BRITTLE if binding else MAX_WAITING, binding)
        self.running += 1
        try:
            yield
        finally:
            self.running -= 1
            if self.waiting:
                self.waiting.popleft().set()

    async def wait(self, most: int, binding: bool) -> None:
        """Wait until a place is free.

        Raises:
            NoPlaceError: It may not wait.
        """
        if len(self.waiting) >= most:
            self.turn_away(binding)
            raise NoPlaceError
        turn = anyio.Event()
        self.waiting.append(turn)
        try:
            await turn.wait()
        finally:
            if turn in self.waiting:
                self.waiting.remove(turn)

    def turn_away(self, binding: bool) -> None:
        """Record that a request is turned away, and fall if that are too many."""
        now = time.monotonic()
        self.turned_away.append(now)
        while self.turned_away[0] < now - TURNED_AWAY_TIME:
            self.turned_away.popleft()
        limit = self.brittle()
        if binding and limit is not None and len(self.turned_away) > limit:
            self.turned_away.clear()
            self.fall()

    def restart(self) -> None:
        """Forget the requests of the process that has ended."""
        self.running = 0
        self.waiting.clear()
