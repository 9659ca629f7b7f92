"""The router's own stop: what happens from the first signal to the last bill."""

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
"""How long requests are still taken after the readiness check says no.

The platform's balancer looks at readiness now and then; whoever it sends here in
the meantime would otherwise be refused for a planned stop.
"""

FILE_WITHIN: Seconds = 15.0
"""The longest wait for the table to take the last bills.

What is not filed by then stands in the journal, and any other router files it.
"""

LOOK: Seconds = 0.05


@define
class Lifecycle:
    """Leads the router from serving to its end.

    A stop takes at most `UNREADY_GRACE` + the document's ``drain`` + eight seconds
    for the requests that it ends + `FILE_WITHIN` seconds; the listeners then take up to
    their own grace to hand over the last bytes.  Before the router has registered
    there is nothing to wait for, and it ends at once.

    Attributes:
        callers: The requests in flight.
        money: The grants and bills.
        network: The other routers.
        drain: Returns the longest wait for streams, in seconds.
        opened: Whether the router is registered, so that it may hold something.
        leaving: Whether the readiness check says no.
        hurried: Set by the second signal.
        ended: Set when the listeners may close.
    """

    callers: CallersApp
    money: Incarnations
    network: PeerNetwork
    drain: Callable[[], Seconds]
    opened: bool = False
    leaving: bool = False
    asked: anyio.Event = field(factory=anyio.Event)
    hurried: anyio.Event = field(factory=anyio.Event)
    ended: anyio.Event = field(factory=anyio.Event)

    async def follow_signals(self) -> None:
        """Stop at the first signal, hurry at the second.

        SIGHUP is taken and does nothing: certificates, keys and the document are
        followed without it.  Left to its default it would end the process at once,
        with every request cut and its grants held until another router recovers
        them; an operator's habit, or a closed terminal, is enough to send it.
        """
        taken = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        with anyio.open_signal_receiver(*taken) as signals:
            async for number in signals:
                logger.info("signal received", extra={"signal": number.name})
                if number is signal.SIGHUP:
                    continue
                if self.asked.is_set():
                    self.hurried.set()
                self.asked.set()

    async def run(self) -> None:
        """Wait for the first signal, then stop in order."""
        await self.asked.wait()
        self.leaving = True
        if self.opened:
            await self.leave()
        self.ended.set()

    async def leave(self) -> None:
        """Tell everybody, let the streams end, and settle."""
        self.network.leave()
        await self.wait_unless_hurried(UNREADY_GRACE)
        self.callers.stopping = True
        await self.wait_for_streams()
        await self.settle()

    async def wait_unless_hurried(self, seconds: Seconds) -> None:
        """Wait, but no longer than to the second signal."""
        with anyio.move_on_after(seconds):
            await self.hurried.wait()

    async def wait_for_streams(self) -> None:
        """Wait until nothing is in flight, within the document's bound."""
        deadline = anyio.current_time() + self.drain()
        while self.callers.active and not self.hurried.is_set():
            if anyio.current_time() >= deadline:
                logger.warning(
                    "requests ended by the stop", extra={"count": self.callers.active}
                )
                break
            await anyio.sleep(LOOK)
        await self.callers.interrupt()

    async def settle(self) -> None:
        """File the bills and give the grants back.

        A second signal does not skip this: what is in the journal is safe either
        way, but whoever had to recover it would wait first.
        """
        with anyio.move_on_after(FILE_WITHIN) as scope:
            try:
                await self.money.drain()
            except EbonyholdError as error:
                logger.warning("left to be recovered", extra={"cause": str(error)})
        if scope.cancelled_caught:
            logger.warning("left to be recovered", extra={"cause": "no time left"})
