"""Requests that wait for a hold on one workspace's grant."""

from __future__ import annotations

from collections.abc import Iterator

import anyio
from attrs import define, field

from ebonyhold.coordination import GrantLedger
from ebonyhold.exceptions import BudgetError, SealedError
from ebonyhold.types import Tokens


@define(eq=False)
class Waiter:
    """A request that waits for a hold.

    Attributes:
        need: Tokens it wants to hold.
        since: When it came.
        joined: How many reads of the budget had begun when it came: only a read
            that began after that is fresh enough to refuse it.
        done: Set when it is granted or refused.
        granted: Whether it has its hold.
        error: Why it was refused.
    """

    need: Tokens
    since: float
    joined: int
    done: anyio.Event = field(factory=anyio.Event)
    granted: bool = False
    error: BudgetError | SealedError | None = None


@define(eq=False)
class WaitingRequests:
    """The waiting requests, in the order in which they came."""

    queue: list[Waiter] = field(factory=list)

    def __bool__(self) -> bool:
        """Tell whether anybody waits."""
        return bool(self.queue)

    def __iter__(self) -> Iterator[Waiter]:
        """Iterate over a copy, so that waiters may leave meanwhile."""
        return iter(list(self.queue))

    @property
    def need(self) -> Tokens:
        """Tokens that all of them want to hold."""
        return sum(waiter.need for waiter in self.queue)

    def join(self, waiter: Waiter) -> None:
        """Add a request."""
        self.queue.append(waiter)

    def leave(self, waiter: Waiter) -> None:
        """Take a request out, if it still waits."""
        if waiter in self.queue:
            self.queue.remove(waiter)

    def serve(self, ledger: GrantLedger) -> None:
        """Give a hold to everyone whom the ledger can serve, in their order."""
        for waiter in self:
            if ledger.hold(waiter.need):
                self.leave(waiter)
                waiter.granted = True
                waiter.done.set()

    def refuse(self, waiter: Waiter, error: BudgetError | SealedError) -> None:
        """Refuse a request."""
        self.leave(waiter)
        waiter.error = error
        waiter.done.set()

    def judged_by(self, read: int) -> list[Waiter]:
        """Return who came before a read of the budget began."""
        return [waiter for waiter in self.queue if waiter.joined < read]
