"""The task that returns lost transfers and deletes what has expired."""

from __future__ import annotations

import logging
import random
import time
from collections.abc import Callable

import anyio
from attrs import define, field

from ebonyhold.coordination import Objects, Table, responsible
from ebonyhold.exceptions import EbonyholdError
from ebonyhold.money._recovery import Recovery
from ebonyhold.money._retention import Retention
from ebonyhold.types import RouterId, Seconds

logger = logging.getLogger(__name__)

SWEEP_EVERY: Seconds = 300.0
"""Mean time between looks at transfers that wait for their receiver."""

DELETE_EVERY: Seconds = 6 * 3600.0
"""Mean time between looks for expired rows, which read every bill."""

JOB = "upkeep of the money"


@define
class Upkeep:
    """Does the money's slow work, on one router of the fleet at a time if it can.

    Two routers that both think it is theirs do it twice, which changes nothing:
    every write is conditional on what it read.

    Attributes:
        table: The table.
        objects: The object store.
        make: Makes the recovery that sweeps transfers.
        keep: Says how long bills and claims stay, in seconds.
        me: Names the present incarnation.
        alive: Names the other routers believed alive.
        rng: Spreads the looks of the routers.
        pending: Transfers that still wait, as of the last sweep.
        delete_at: When expired rows are looked for next.
    """

    table: Table
    objects: Objects
    make: Callable[[], Recovery]
    keep: Callable[[], Seconds]
    me: Callable[[], RouterId]
    alive: Callable[[], tuple[RouterId, ...]]
    rng: random.Random = field(factory=random.Random)
    pending: int = 0
    delete_at: Seconds = 0.0

    async def run(self) -> None:
        """Work until cancelled."""
        self.delete_at = anyio.current_time() + DELETE_EVERY * self.rng.random()
        while True:
            await anyio.sleep(SWEEP_EVERY * self.rng.uniform(0.5, 1.5))
            if responsible(JOB, (self.me(), *self.alive())) != self.me():
                continue
            try:
                await self.work()
            except EbonyholdError as error:
                logger.info("no upkeep now", extra={"cause": str(error)})

    async def work(self) -> None:
        """Sweep transfers, and delete what has expired when it is time.

        Raises:
            PlatformError: A place could not be reached; it is tried again.
        """
        self.pending = await self.make().sweep()
        if anyio.current_time() < self.delete_at:
            return
        self.delete_at = anyio.current_time() + DELETE_EVERY * self.rng.uniform(
            0.5, 1.5
        )
        report = await Retention(self.table, self.objects, self.keep()).sweep(
            time.time()
        )
        logger.info(
            "expired rows deleted",
            extra={
                "bills": report.bills,
                "transfers": report.transfers,
                "routers": report.routers,
            },
        )
