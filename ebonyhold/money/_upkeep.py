"""The task that returns tokens of lost transfers and deletes expired rows."""

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

SWEEP_INTERVAL: Seconds = 300.0
"""Mean time between two sweeps, which end pending transfers that were lost."""

DELETE_INTERVAL: Seconds = 6 * 3600.0
"""Mean time between two deletions of expired rows. Each deletion reads every bill."""

JOB = "upkeep of the money"
"""Key by which the responsible router is chosen; all routers must use the same key."""


@define
class Upkeep:
    """Returns the tokens of lost transfers and deletes expired rows.

    Only the responsible router does this. If two routers both consider themselves
    responsible, the second finds the work done: every write is conditional on the rows
    that were read.

    Attributes:
        table: The table.
        objects: The object store.
        make_recovery: Creates the recovery that sweeps transfers.
        retention: Returns how long bills and claims are kept, in seconds.
        self_id: Returns the identifier of the current incarnation.
        alive: Returns the other routers believed alive.
        rng: Randomises the intervals, so that they differ among routers.
        pending: Number of transfers that were still pending after the last sweep.
        delete_at: When expired rows are deleted next.
    """

    table: Table
    objects: Objects
    make_recovery: Callable[[], Recovery]
    retention: Callable[[], Seconds]
    self_id: Callable[[], RouterId]
    alive: Callable[[], tuple[RouterId, ...]]
    rng: random.Random = field(factory=random.Random)
    pending: int = 0
    delete_at: Seconds = 0.0

    async def run(self) -> None:
        """Call `run_once` at random intervals, if this router is then responsible.

        A failure is logged, and the next interval tries again.
        """
        self.delete_at = anyio.current_time() + DELETE_INTERVAL * self.rng.random()
        while True:
            await anyio.sleep(SWEEP_INTERVAL * self.rng.uniform(0.5, 1.5))
            if responsible(JOB, (self.self_id(), *self.alive())) != self.self_id():
                continue
            try:
                await self.run_once()
            except EbonyholdError as error:
                logger.info(
                    "upkeep failed; trying again at the next interval",
                    extra={"cause": str(error)},
                )

    async def run_once(self) -> None:
        """End lost transfers, and delete expired rows if `delete_at` has passed.

        Raises:
            PlatformError: The table or the object store could not be reached; `run`
                tries again.
        """
        self.pending = await self.make_recovery().sweep()
        if anyio.current_time() < self.delete_at:
            return
        self.delete_at = anyio.current_time() + DELETE_INTERVAL * self.rng.uniform(
            0.5, 1.5
        )
        report = await Retention(self.table, self.objects, self.retention()).sweep(
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
