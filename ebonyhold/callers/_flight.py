"""A request under way, as the router's stop sees it."""

from __future__ import annotations

from typing import Protocol

import anyio
from attrs import define, field

from ebonyhold.callers._codes import (
    BACKEND_FAILED,
    ROUTER_STOPPING,
    Ran,
)
from ebonyhold.callers._refusals import SOON, Refusal
from ebonyhold.callers._watched import Watched
from ebonyhold.types import Seconds

LAST_PATIENCE: Seconds = 5.0
"""How long a request whose answer comes whole goes on when a stop ends everything.

Most such answers are on their way for less.  Cut, the caller has nothing, and the
outcome of a call that may not be repeated has to be looked up by somebody.
"""


class Interruptible(Protocol):
    """Work on a request that can end early and still tell the truth about it."""

    def interrupt(self) -> None:
        """End, with a refusal or an explicit error event, within `LAST_PATIENCE`."""
        ...


@define(eq=False)
class Flight:
    """One request from its admission to the end of its answer.

    Until a request is dispatched nothing of it has run, so it may simply be
    cancelled and refused as not run.  From then on only what runs it knows what to
    ask the backend server, what to bill and what to tell the caller.

    Attributes:
        answer: Its answer.
        scope: Cancels the request while nothing of it has run.
        work: What runs the request, once there is something to run.
        interrupted: Whether the stop has ended it.
        ended: Set when its answer has ended.
    """

    answer: Watched
    scope: anyio.CancelScope = field(factory=anyio.CancelScope)
    work: Interruptible | None = None
    interrupted: bool = False
    ended: anyio.Event = field(factory=anyio.Event)

    def begin(self, work: Interruptible) -> None:
        """Leave the ending to what runs the request from now on.

        Raises:
            Refusal: The stop has ended it already; it did not run.
        """
        if self.interrupted:
            raise stopped(Ran.NO)
        self.work = work

    def interrupt(self) -> None:
        """End the request, so that its caller hears what became of it.

        An answer that has begun is left alone, unless what runs it has a way to
        end it: cut anywhere else it would have no end that a caller can trust.
        """
        self.interrupted = True
        if self.work is not None:
            self.work.interrupt()
        elif not self.answer.started:
            self.scope.cancel()


def last_moment() -> Seconds:
    """Return when a request whose answer comes whole must have ended."""
    return anyio.current_time() + LAST_PATIENCE


def stopped(ran: Ran, retry_after: Seconds = SOON) -> Refusal:
    """Return what the caller of a request hears that a stop has ended."""
    if ran is Ran.NO:
        return Refusal(ROUTER_STOPPING, retry_after=retry_after)
    return Refusal(
        BACKEND_FAILED, "this router stopped before the answer", retry_after=retry_after
    )
