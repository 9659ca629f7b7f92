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
        need: Tokens to hold.
        since: When the request began to wait.
        reads_before: Number of reads of the budget started before the request began to
            wait. The request may be refused only because of a later read.
        done: Set when the hold is granted or refused.
        granted: Whether the hold was granted.
        error: Why the hold was refused.
    """

    need: Tokens
    since: float
    reads_before: int
    done: anyio.Event = field(factory=anyio.Event)
    granted: bool = False
    error: BudgetError | SealedError | None = None


@define(eq=False)
class WaitingRequests:
    """Queue of the waiting requests, in order of arrival."""

    queue: list[Waiter] = field(factory=list)

    def __bool__(self) -> bool:
        """Return whether any request waits."""
        return bool(self.queue)

    def __iter__(self) -> Iterator[Waiter]:
        """Iterate over a copy, so that requests may be removed during iteration."""
        return iter(list(self.queue))

    @property
    def need(self) -> Tokens:
        """Sum of the tokens that the waiting requests need."""
        return sum(waiter.need for waiter in self.queue)

    def add(self, waiter: Waiter) -> None:
        """Append a request to the queue."""
        self.queue.append(waiter)

    def remove(self, waiter: Waiter) -> None:
        """Remove a request if it still waits."""
        if waiter in self.queue:
            self.queue.remove(waiter)

    def grant_holds(self, ledger: GrantLedger) -> None:
        """Grant holds in order of arrival; skip requests that need too many tokens."""
        for waiter in self:
            if ledger.hold(waiter.need):
                self.remove(waiter)
                waiter.granted = True
                waiter.done.set()

    def refuse(self, waiter: Waiter, error: BudgetError | SealedError) -> None:
        """Remove a request, and wake the waiting task with an error."""
        self.remove(waiter)
        waiter.error = error
        waiter.done.set()

    def waiting_before(self, read: int) -> list[Waiter]:
        """Return the requests that began to wait before read number `read` started."""
        return [waiter for waiter in self.queue if waiter.reads_before < read]
