"""Successive incarnations of a router: a sealed one is replaced by a new one."""

from __future__ import annotations

from collections.abc import Callable

import anyio
from anyio.abc import TaskStatus

from ebonyhold.coordination import Outcome
from ebonyhold.exceptions import PlatformError, SealedError, UnavailableError
from ebonyhold.money._grant_manager import GrantManager
from ebonyhold.money._interface import Order, Permit, Replay
from ebonyhold.types import BackendName, RouterId, Seconds

RENEW_TIMEOUT: Seconds = 5.0
"""Maximum time a request waits for the next incarnation to be registered."""

OPEN_RETRY_DELAY: Seconds = 0.5
"""Delay after which a failed registration of a new incarnation is repeated."""


class Incarnations:
    """Starts a new incarnation of the router whenever the current one is sealed.

    The router that recovers a sealed incarnation settles its grants, claims and running
    attempts. Requests that were refused with `SealedError` may begin again under the
    next incarnation.

    Attributes:
        current: Manager of the incarnation that serves requests.
        renewals: Number of sealed incarnations that were replaced.
        renewed: Set and replaced at each renewal, to wake waiting requests.
        stopping: Whether `drain` was called; no incarnation is replaced after that.
    """

    def __init__(
        self, new_id: Callable[[], RouterId], make: Callable[[RouterId], GrantManager]
    ) -> None:
        """Create the first incarnation.

        Args:
            new_id: Returns an identifier that no incarnation has had before.
            make: Creates the manager of one incarnation.
        """
        self.new_id = new_id
        self.make = make
        self.current = make(new_id())
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
        """Run one incarnation after another until `drain` closes the last one."""
        task_status.started()
        while True:
            await self.current.run()
            if self.stopping:
                return
            await self._renew()

    async def _renew(self) -> None:
        manager = self.make(self.new_id())
        while True:
            try:
                await manager.open()
            except PlatformError:
                await anyio.sleep(OPEN_RETRY_DELAY)
            else:
                break
        self.current = manager
        self.renewals += 1
        self.renewed.set()
        self.renewed = anyio.Event()

    async def begin(self, order: Order) -> Permit | Replay:
        """Begin a request; if the incarnation is sealed, wait and use the next one.

        Raises:
            UnavailableError: No new incarnation was registered within `RENEW_TIMEOUT`.
            EbonyholdError: As `GrantManager.begin` does.
        """
        manager = self.current
        try:
            return await manager.begin(order)
        except SealedError:
            if self.stopping:
                raise
        with anyio.move_on_after(RENEW_TIMEOUT):
            while self.current is manager:
                await self.renewed.wait()
        if self.current is manager:
            raise UnavailableError(f"{manager.router} was sealed, and has no successor")
        return await self.current.begin(order)

    async def retry(self, permit: Permit, backend: BackendName, boot: str) -> Permit:
        """Make the intent of a further attempt durable.

        Raises:
            UnavailableError: The intent cannot be made durable; nothing ran.
            SealedError: The permit's incarnation was sealed; call `begin` again.
        """
        return await self.current.retry(permit, backend, boot)

    async def finish(
        self, permit: Permit, outcome: Outcome, *, durable_within: float = 0.0
    ) -> None:
        """Settle a request, unless its incarnation was sealed.

        A request of a sealed incarnation is settled by the router that recovers it.
        """
        await self.current.finish(permit, outcome, durable_within=durable_within)

    async def drain(self) -> None:
        """File all bills, return all tokens and close the last incarnation.

        Raises:
            PlatformError: The incarnation's row could not be closed in the table.
            SealedError: Another router has recovered the incarnation.
        """
        self.stopping = True
        await self.current.drain()
