"""Open requests, and how a stop of the router ends them."""

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
from ebonyhold.callers._response import Response
from ebonyhold.types import Seconds

STOP_GRACE: Seconds = 5.0
"""How long a request whose answer is not streamed may still run after `interrupt`.

Most such requests need less.  The caller of a request that is cut gets no answer, and
the outcome of a call that may not be repeated has to be looked up.
"""


class Interruptible(Protocol):
    """Work on a request; it can end early and then reports whether the request ran."""

    def interrupt(self) -> None:
        """End with an answer, a refusal or an error event, within `STOP_GRACE`."""
        ...


@define(eq=False)
class OpenRequest:
    """One accepted request, until the end of its response.

    Before `begin` nothing of the request has run, so it can be cancelled and refused
    as not run.  After `begin`, `work` ends the request: it closes the attempts, settles
    the bill and raises the refusal.

    Attributes:
        answer: The response.
        scope: Cancels the request while nothing of it has run.
        work: The object that runs the request, once there is one.
        interrupted: Whether `interrupt` was called.
        ended: Set when the handling of the request has ended.
    """

    answer: Response
    scope: anyio.CancelScope = field(factory=anyio.CancelScope)
    work: Interruptible | None = None
    interrupted: bool = False
    ended: anyio.Event = field(factory=anyio.Event)

    def begin(self, work: Interruptible) -> None:
        """Set the object that runs the request and ends it if interrupted.

        Raises:
            Refusal: The request is interrupted already; it did not run.
        """
        if self.interrupted:
            raise stop_refusal(Ran.NO)
        self.work = work

    def interrupt(self) -> None:
        """End the request with an answer, a refusal or an error event.

        If the response has started without `work`, it is not cancelled, because it
        would then have no valid end.
        """
        self.interrupted = True
        if self.work is not None:
            self.work.interrupt()
        elif not self.answer.started:
            self.scope.cancel()


def stop_deadline() -> Seconds:
    """Return when to cancel a request without a stream that is interrupted now."""
    return anyio.current_time() + STOP_GRACE


def stop_refusal(ran: Ran, retry_after: Seconds = SOON) -> Refusal:
    """Return the refusal of a request that was ended by the router's stop."""
    if ran is Ran.NO:
        return Refusal(ROUTER_STOPPING, retry_after=retry_after)
    return Refusal(
        BACKEND_FAILED, "this router stopped before the answer", retry_after=retry_after
    )
