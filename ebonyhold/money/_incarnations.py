"""A router's money through all its incarnations."""

from __future__ import annotations

from collections.abc import Callable

import anyio
from anyio.abc import TaskStatus

from ebonyhold.coordination import Outcome
from ebonyhold.exceptions import PlatformError, SealedError, UnavailableError
from ebonyhold.money._interface import Order, Permit, Replay
from ebonyhold.money._treasury import Treasury
from ebonyhold.types import BackendName, RouterId, Seconds

RENEW_WITHIN: Seconds = 5.0
"""The longest a request waits for the next incarnation to be registered."""

OPEN_PAUSE: Seconds = 0.5


class Incarnations:
    """Gives the router a new incarnation whenever one was sealed.

    A sealed incarnation has lost its grants, its claims and its running
    attempts to whoever recovered it.  The router itself goes on: requests that
    hear `SealedError` may begin again, and run under the next incarnation.

    Attributes:
        current: The incarnation that takes requests.
        renewals: How often the router was sealed.
    """

    def __init__(
        self, name: Callable[[], RouterId], make: Callable[[RouterId], Treasury]
    ) -> None:
        """Prepare the first incarnation.

        Args:
            name: Makes an identifier that no incarnation ever had.
            make: Makes the money side of one incarnation.
        """
        self.name = name
        self.make = make
        self.current = make(name())
        self.renewals = 0
        self.renewed = anyio.Event()
        self.stopping = False

    async def open(self) -> None:
        """Register the first incarnation.

        Raises:
            PlatformError: The table could not be written.
        """
        await self.current.open()

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Run one incarnation after another until `drain` ends the last."""
        task_status.started()
        while True:
            await self.current.run()
            if self.stopping:
                return
            await self._renew()

    async def _renew(self) -> None:
        treasury = self.make(self.name())
        while True:
            try:
                await treasury.open()
            except PlatformError:
                await anyio.sleep(OPEN_PAUSE)
            else:
                break
        self.current = treasury
        self.renewals += 1
        self.renewed.set()
        self.renewed = anyio.Event()

    async def begin(self, order: Order) -> Permit | Replay:
        """Begin a request, if need be under the next incarnation.

        Raises:
            EbonyholdError: As `Treasury.begin` does.
        """
        treasury = self.current
        try:
            return await treasury.begin(order)
        except SealedError:
            if self.stopping:
                raise
        with anyio.move_on_after(RENEW_WITHIN):
            while self.current is treasury:
                await self.renewed.wait()
        if self.current is treasury:
            raise UnavailableError(f"{treasury.me} was sealed, and has no successor")
        return await self.current.begin(order)

    async def again(self, permit: Permit, backend: BackendName, boot: str) -> Permit:
        """Make a further attempt durable.

        Raises:
            UnavailableError: The intent cannot be made durable; nothing ran.
            SealedError: The permit's incarnation is over; begin again.
        """
        return await self.current.again(permit, backend, boot)

    async def finish(
        self, permit: Permit, outcome: Outcome, *, durable_within: float = 0.0
    ) -> None:
        """Settle a request; one of a sealed incarnation is its recoverer's."""
        await self.current.finish(permit, outcome, durable_within=durable_within)

    async def drain(self) -> None:
        """File everything, return everything and close the last incarnation.

        Raises:
            PlatformError: The table could not be reached in the end.
            SealedError: Another router has recovered the incarnation.
        """
        self.stopping = True
        await self.current.drain()
