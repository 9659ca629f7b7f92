"""The orderly stop of a gateway: what happens between the signal and the exit."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from typing import Protocol

import anyio
import anyio.lowlevel
from attrs import define, frozen

from ebonyhold.forwarding import CallerListener, Departure, Stage
from ebonyhold.types import Seconds

log = logging.getLogger(__name__)

LEAVE_ROTATION: Seconds = 2.6
"""From the signal until the balancer sends no new caller here, unless it needs every VM
of the domain: two questions a second apart, and some time for the second answer to take
effect."""

END_MARGIN: Seconds = 0.9
"""From the last answer to the kill: returning what the last requests held, which takes
12 ms while the store answers, and `LEAVE_TIMEOUT`, `LAST_LOOK` and `EXIT_TIME`."""

RETURN_LEAD: Seconds = 0.6
"""How long before the last answer grants begin to go back, with requests still open: as
long as the slowest answers of the store take."""

LEAVE_TIMEOUT: Seconds = 0.2
"""How long a stopping process tries to remove its rows."""

LAST_LOOK: Seconds = 0.05
"""How long callers who have just connected may take to send their request: some ten
times the way from the farthest of them."""

LAST_ANSWERS: Seconds = 0.1
"""How long the last answers, all of them short, may take to be written."""

EXIT_TIME: Seconds = 0.2
"""What the interpreter takes to end, before the kill."""


class Grants(Protocol):
    """The grants of a router, as its stop needs them."""

    async def close(self, timeout: Seconds) -> bool:
        """Return what is free within so many seconds; tell whether all went back."""
        ...


@frozen
class StopTimes:
    """When the steps of a stop end at the latest.

    Attributes:
        told_at: When the signal came.
        grace: From there to the kill.
    """

    told_at: Seconds
    grace: Seconds

    @property
    def kill_at(self) -> Seconds:
        """When the platform kills what is left."""
        return self.told_at + self.grace

    @property
    def last_answer_at(self) -> Seconds:
        """When the last answer has to be out."""
        return self.kill_at - END_MARGIN

    @property
    def return_from(self) -> Seconds:
        """When grants go back although requests are open."""
        return self.last_answer_at - RETURN_LEAD

    @property
    def returned_by(self) -> Seconds:
        """When returning grants is given up."""
        return self.kill_at - LEAVE_TIMEOUT - LAST_LOOK - LAST_ANSWERS - EXIT_TIME


@define(eq=False)
class GatewayStop:
    """Leads a gateway from serving to its end.

    The listener stays open until the process ends.  A connection that is refused before
    costs its caller a try, and where stops overlap the balancer goes on sending callers
    here; a request that is read and then cut gets no answer at all.  So each is either
    taken because it can end, or refused at once, and the process waits for all of them
    before its last step.

    Attributes:
        listener: The callers' side.
        departure: What late requests are judged by.
        grants: What goes back before the end.
        leave: Removes this router's rows.
    """

    listener: CallerListener
    departure: Departure
    grants: Grants
    leave: Callable[[], Awaitable[None]]

    async def run(self, grace: Seconds) -> None:
        """Stop within the grace, in seconds."""
        times = StopTimes(anyio.current_time(), grace)
        self.departure.begin(times.last_answer_at)
        self.listener.start_draining()
        await anyio.sleep(min(LEAVE_ROTATION, grace / 2))
        self.departure.stage = Stage.LEAVING
        with anyio.CancelScope(deadline=times.return_from):
            await self.listener.until_idle()
        await self.return_early(times)
        await self.end_requests(times)
        await self.settle(times)
        await self.close_listener()

    async def return_early(self, times: StopTimes) -> None:
        """Return what no open request may need, while these go on."""
        self.departure.stage = Stage.RETURNING
        await self.grants.close(times.last_answer_at - anyio.current_time())

    async def end_requests(self, times: StopTimes) -> None:
        """Wait for the requests that were taken; refuse all others from here on."""
        with anyio.CancelScope(deadline=times.last_answer_at):
            await self.listener.until_idle()
        self.departure.stage = Stage.OVER
        with anyio.move_on_after(LAST_ANSWERS):
            await self.listener.until_idle()
        fields = {
            "left": self.listener.begun,
            "late_taken": self.departure.taken,
            "late_refused": self.departure.refused,
        }
        log.info("requests ended", extra=fields)

    async def settle(self, times: StopTimes) -> None:
        """Return what the last requests left of their holds, and the own rows.

        While the rows stand, a successor knows whose grants to reclaim; that of a
        request that goes on is not back, whatever has been returned.
        """
        returned = await self.grants.close(times.returned_by - anyio.current_time())
        if returned and not self.listener.begun:
            with anyio.move_on_after(LEAVE_TIMEOUT):
                await self.leave()

    async def close_listener(self) -> None:
        """Close the door, and answer those who came through it just before."""
        self.listener.stop_accepting()
        with anyio.move_on_after(LAST_LOOK):
            # Until then a connection may be accepted that nobody counts yet.
            await self.listener.until_closed()
            await self.listener.until_empty()
        self.listener.close_idle()
        self.listener.interrupt_reading()
        # A request whose first bytes came in this very step begins with the next one.
        await anyio.lowlevel.checkpoint()
        self.listener.interrupt_reading()
        with anyio.move_on_after(LAST_ANSWERS):
            await self.listener.until_empty()
        log.info("listener closed", extra={"open": len(self.listener.connections)})
