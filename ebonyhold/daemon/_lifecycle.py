"""The stop of this router, from the first signal to the filing of the last bill."""

from __future__ import annotations

import logging
import signal
from collections.abc import Callable

import anyio
from attrs import define, field

from ebonyhold.callers import CallersApp
from ebonyhold.exceptions import EbonyholdError
from ebonyhold.money import Incarnations
from ebonyhold.routers import PeerNetwork
from ebonyhold.types import Seconds

logger = logging.getLogger(__name__)

UNREADY_GRACE: Seconds = 2.0
"""How long requests are still accepted after the readiness check starts to fail.

The platform's load balancer polls readiness at intervals. Requests that it sends here
until it notices would otherwise be refused during a planned stop.
"""

FILING_TIMEOUT: Seconds = 15.0
"""Maximum time for filing the last bills and returning the grants.

Bills that aren't filed by then remain in the journal, and another router files them.
"""

POLL_INTERVAL: Seconds = 0.05


@define
class Lifecycle:
    """Runs the stop of this router.

    A stop takes at most `UNREADY_GRACE` + the document's ``drain`` + 8 seconds for the
    requests that it interrupts + `FILING_TIMEOUT` seconds. After that the listeners
    may need their own grace period to send the last bytes. A router that isn't
    registered yet holds no tokens and stops at once.

    Attributes:
        callers: The callers' application, which has the requests in flight.
        money: The grants and bills.
        network: The other routers, which are notified of the stop.
        drain: Returns the maximum wait for requests in flight, in seconds.
        registered: Whether the router is registered and may hold tokens.
        leaving: Whether the stop has begun, so that the readiness check fails.
        stop_requested: Set by a signal or a failed task; begins the stop.
        expedited: Set by a signal after `stop_requested`; ends the waits of the stop.
        ended: Set when the listeners may close.
    """

    callers: CallersApp
    money: Incarnations
    network: PeerNetwork
    drain: Callable[[], Seconds]
    registered: bool = False
    leaving: bool = False
    stop_requested: anyio.Event = field(factory=anyio.Event)
    expedited: anyio.Event = field(factory=anyio.Event)
    ended: anyio.Event = field(factory=anyio.Event)

    async def follow_signals(self) -> None:
        """Request the stop at a signal; expedite it if it is already requested.

        SIGHUP is received and ignored: changes of certificates, keys and the document
        are found by polling. Its default action would end the process at once, cut
        all requests, and leave the grants held until another router recovers them.
        Operators send it by habit, and a closed terminal sends it too.
        """
        handled = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        with anyio.open_signal_receiver(*handled) as signals:
            async for number in signals:
                logger.info("signal received", extra={"signal": number.name})
                if number is signal.SIGHUP:
                    continue
                if self.stop_requested.is_set():
                    self.expedited.set()
                self.stop_requested.set()

    async def run(self) -> None:
        """Wait until the stop is requested, run it, and set `ended`."""
        await self.stop_requested.wait()
        self.leaving = True
        if self.registered:
            await self.leave()
        self.ended.set()

    async def leave(self) -> None:
        """Announce the stop, wait for requests in flight, and file the bills."""
        self.network.leave()
        await self.wait_unless_expedited(UNREADY_GRACE)
        self.callers.stopping = True
        await self.wait_for_streams()
        await self.settle()

    async def wait_unless_expedited(self, seconds: Seconds) -> None:
        """Wait for the given time, or less if the stop is expedited."""
        with anyio.move_on_after(seconds):
            await self.expedited.wait()

    async def wait_for_streams(self) -> None:
        """Wait for requests in flight, and interrupt those that remain.

        The wait ends at the document's ``drain`` limit or when the stop is expedited.
        """
        deadline = anyio.current_time() + self.drain()
        while self.callers.active and not self.expedited.is_set():
            if anyio.current_time() >= deadline:
                logger.warning(
                    "requests ended by the stop", extra={"count": self.callers.active}
                )
                break
            await anyio.sleep(POLL_INTERVAL)
        await self.callers.interrupt()

    async def settle(self) -> None:
        """File the bills and return the grants, within `FILING_TIMEOUT`.

        Errors are logged, and another router recovers the rest from the journal.
        Recovery begins only after a delay, so a second signal doesn't skip this step.
        """
        with anyio.move_on_after(FILING_TIMEOUT) as scope:
            try:
                await self.money.drain()
            except EbonyholdError as error:
                logger.warning("left to be recovered", extra={"cause": str(error)})
        if scope.cancelled_caught:
            logger.warning("left to be recovered", extra={"cause": "no time left"})
