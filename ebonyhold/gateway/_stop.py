"""The orderly stop of a gateway, from the signal to the exit."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from typing import Protocol

import anyio
import anyio.lowlevel
from attrs import define, frozen

from ebonyhold.forwarding import CallerListener, Shutdown, Stage
from ebonyhold.types import Seconds

log = logging.getLogger(__name__)

LEAVE_ROTATION: Seconds = 2.6
"""Time until the load balancer sends no new callers: two failed readiness checks a
second apart, and some time for the second result to take effect. It goes on sending
them while fewer than half of the failure domain's VMs are in rotation."""

END_MARGIN: Seconds = 0.9
"""Time from the deadline for the last answer to the kill. It covers returning the last
requests' tokens, which takes 12 ms while the store answers, and `LEAVE_TIMEOUT`,
`LAST_REQUEST_TIMEOUT` and `EXIT_TIME`."""

RETURN_LEAD: Seconds = 0.6
"""Time before the deadline for the last answer at which grants are returned even if
requests are still open. The slowest answers of the store take this long."""

LEAVE_TIMEOUT: Seconds = 0.2
"""Timeout for removing this router's rows from the store."""

LAST_REQUEST_TIMEOUT: Seconds = 0.05
"""Time for callers that have just connected to send their request: about ten times the
network delay of the farthest caller."""

LAST_ANSWERS_TIMEOUT: Seconds = 0.1
"""Timeout for writing the last answers, which are short refusals and errors."""

EXIT_TIME: Seconds = 0.2
"""Time that the process needs to exit before the kill."""


class Grants(Protocol):
    """The grants of a router, as far as its stop uses them."""

    async def close(self, timeout: Seconds) -> bool:
        """Return available tokens to their budgets.

        Args:
            timeout: Time limit, in seconds.

        Returns:
            Whether all grants were returned within the time limit.
        """
        ...


@frozen
class StopTimes:
    """The times of the steps of a stop, by the event loop's clock.

    Attributes:
        signalled_at: When the signal arrived.
        grace: Time from the signal to the kill.
    """

    signalled_at: Seconds
    grace: Seconds

    @property
    def kill_at(self) -> Seconds:
        """When the platform kills the process."""
        return self.signalled_at + self.grace

    @property
    def last_answer_at(self) -> Seconds:
        """The deadline for the last answer of an accepted request."""
        return self.kill_at - END_MARGIN

    @property
    def early_return_at(self) -> Seconds:
        """When available tokens are returned even if requests are still open."""
        return self.last_answer_at - RETURN_LEAD

    @property
    def return_deadline(self) -> Seconds:
        """The deadline for returning grants; the time after it is for later steps."""
        return (
            self.kill_at
            - LEAVE_TIMEOUT
            - LAST_REQUEST_TIMEOUT
            - LAST_ANSWERS_TIMEOUT
            - EXIT_TIME
        )


@define(eq=False)
class GatewayStop:
    """Runs the orderly stop of a gateway.

    The listener is closed only as the last step: a refused connection would cost its
    caller an attempt, and the load balancer goes on sending callers here while many
    routers of a failure domain stop at once. Each request is either accepted, because
    it ends before `last_answer_at` or can get an error then, or refused at once, so
    that none is read and then left without an answer.

    Attributes:
        listener: Serves the callers' connections.
        shutdown: Decides which late requests are accepted.
        grants: The grants, which are returned before the exit.
        leave: Removes this router's rows from the store.
        peer_listener: Serves other routers; None if they are not served.
    """

    listener: CallerListener
    shutdown: Shutdown
    grants: Grants
    leave: Callable[[], Awaitable[None]]
    peer_listener: CallerListener | None = None

    async def run(self, grace: Seconds, signalled_at: Seconds | None = None) -> None:
        """Run all steps of the stop.

        Args:
            grace: Time from the signal to the kill, in seconds.
            signalled_at: When the signal may have arrived at the earliest; None for
                now.
        """
        if signalled_at is None:
            signalled_at = anyio.current_time()
        times = StopTimes(signalled_at, grace)
        self.shutdown.begin(times.last_answer_at, signalled_at)
        self.listener.start_draining()
        await anyio.sleep_until(signalled_at + min(LEAVE_ROTATION, grace / 2))
        self.shutdown.stage = Stage.LEAVING
        with anyio.CancelScope(deadline=times.early_return_at):
            await self.listener.until_idle()
        await self.return_early(times)
        await self.end_requests(times)
        await self.return_grants(times)
        await self.close_listeners()

    async def return_early(self, times: StopTimes) -> None:
        """Refuse requests that need tokens from now on, and return available tokens."""
        self.shutdown.stage = Stage.RETURNING
        await self.grants.close(times.last_answer_at - anyio.current_time())

    async def end_requests(self, times: StopTimes) -> None:
        """Wait for accepted requests until `last_answer_at`, then refuse all requests.

        Requests that are still open are cancelled at that time; their error answers
        have `LAST_ANSWERS_TIMEOUT`.
        """
        with anyio.CancelScope(deadline=times.last_answer_at):
            await self.listener.until_idle()
        self.shutdown.stage = Stage.OVER
        with anyio.move_on_after(LAST_ANSWERS_TIMEOUT):
            await self.listener.until_idle()
        fields = {
            "left": self.listener.open_requests,
            "late_taken": self.shutdown.taken,
            "late_refused": self.shutdown.refused,
            "given_up": self.shutdown.given_up,
        }
        log.info("requests ended", extra=fields)

    async def return_grants(self, times: StopTimes) -> None:
        """Return the tokens of the last requests, and remove this router's rows.

        The rows are kept if a grant was not returned or a request is still open, since
        a successor can reclaim only grants that the rows name.
        """
        returned = await self.grants.close(times.return_deadline - anyio.current_time())
        if returned and not self.listener.open_requests:
            with anyio.move_on_after(LEAVE_TIMEOUT):
                await self.leave()

    async def close_listeners(self) -> None:
        """Close the listeners for callers and for other routers at the same time."""
        async with anyio.create_task_group() as tasks:
            if self.peer_listener is not None:
                tasks.start_soon(close_in_order, self.peer_listener)
            await close_in_order(self.listener)
            log.info("listener closed", extra={"open": len(self.listener.connections)})


async def close_in_order(listener: CallerListener) -> None:
    """Close a listener, and answer the callers that connected just before.

    Their complete requests are answered as during the last stage of the stop.
    Connections that are idle after `LAST_REQUEST_TIMEOUT` are closed, and requests that
    are incomplete by then are refused.
    """
    listener.stop_accepting()
    with anyio.move_on_after(LAST_REQUEST_TIMEOUT):
        # Queued connections are accepted and counted while the listener closes.
        await listener.until_closed()
        await listener.until_empty()
    listener.close_idle()
    listener.interrupt_reading()
    # Requests that have just arrived are read in the next step of the event loop.
    await anyio.lowlevel.checkpoint()
    listener.interrupt_reading()
    with anyio.move_on_after(LAST_ANSWERS_TIMEOUT):
        await listener.until_empty()
