"""Refuses requests that wait for tokens for longer than their callers do.

The wait itself is not cancelled: tokens that are on their way from another router would
be lost. They are returned when they come.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager, suppress
from typing import Protocol

import anyio
from attrs import define, field

from ebonyhold.types import Seconds

CHECK_INTERVAL: Seconds = 0.05
"""Interval between two looks at the waits."""


class Refuse(Protocol):
    """Sends a refusal to the caller of a request that waits."""

    def __call__(self) -> Awaitable[None]:
        """Send it, and close the caller's connection for further requests."""


@define(eq=False)
class TokenWait:
    """A request that waits for tokens.

    Attributes:
        refuse: Refuses it.
        is_due: Returns whether its time has passed.
        is_refused: Whether it is being refused, or was.
        answered: Set when its refusal was written, or could not be.
    """

    refuse: Refuse
    is_due: Callable[[], bool]
    is_refused: bool = False
    answered: anyio.Event = field(factory=anyio.Event)

    async def give_up(self) -> None:
        """Refuse the request; that its caller has left is no error."""
        try:
            with suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
                await self.refuse()
        finally:
            self.answered.set()


@define(eq=False)
class TokenWaits:
    """The requests of one router that wait for tokens.

    Attributes:
        waits: Those that were not refused.
        begun: Set when one begins to wait, then replaced.
    """

    waits: set[TokenWait] = field(factory=set)
    begun: anyio.Event = field(factory=anyio.Event)

    @contextmanager
    def wait(self, refuse: Refuse, is_due: Callable[[], bool]) -> Iterator[TokenWait]:
        """Refuse a request once it is due, if the enclosed block lasts as long."""
        wait = TokenWait(refuse, is_due)
        self.waits.add(wait)
        self.begun.set()
        try:
            yield wait
        finally:
            self.waits.discard(wait)

    async def run(self) -> None:
        """Refuse the requests that are due, until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                if not self.waits:
                    self.begun = anyio.Event()
                    await self.begun.wait()
                await anyio.sleep(CHECK_INTERVAL)
                for wait in [one for one in self.waits if one.is_due()]:
                    self.waits.discard(wait)
                    wait.is_refused = True
                    tasks.start_soon(wait.give_up)
