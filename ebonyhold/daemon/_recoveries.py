"""The task that finds failed routers and recovers those assigned to this router."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable

import anyio
from attrs import define, field

from ebonyhold.coordination import (
    ROUTER_PREFIX,
    RouterRow,
    RouterState,
    Table,
    from_json,
    responsible,
)
from ebonyhold.exceptions import EbonyholdError
from ebonyhold.money import Recovery, RecoveryReport
from ebonyhold.scans import scan_rows
from ebonyhold.types import RouterId, Seconds, Tokens

logger = logging.getLogger(__name__)

RECOVERY_INTERVAL: Seconds = 2.0
"""Mean time between checks for routers to recover."""

START_SCAN_TIMEOUT: Seconds = 1.0
"""Maximum time for which reading the rows of routers delays a start."""

SCAN_INTERVAL: Seconds = 30.0
"""Mean time between scans of the rows of all routers in the table.

Heartbeats show only the failure of routers that a running router knew. After a restart
of all routers, the earlier incarnations are found only by their rows.
"""


@define
class Recoveries:
    """Finds incarnations that seem to have failed, and recovers them.

    Failure detection may be wrong, and two routers may recover one incarnation at the
    same time. Recovery is safe in both cases: a detection error only changes how soon
    tokens are returned and how much work is repeated.

    Attributes:
        table: The table with the rows of routers.
        make_recovery: Returns a recovery that acts for the current incarnation.
        own_router: Returns the id of the current incarnation.
        alive: Returns the other routers believed alive.
        recoverable: Returns the incarnations that are believed to have failed.
        may_recover: Returns whether an incarnation may be recovered, given for how
            many seconds scans have found it unsettled and not alive.
        add_row: Receives each unsettled row of an incarnation that isn't alive, to add
            it to the members if it is unknown.
        rng: Varies the intervals, so that routers don't act at the same time.
        unknown_since: For each incarnation that the last scan found unsettled and not
            alive: the time of the first of the consecutive scans that found it so.
        closed: Incarnations that are completely settled and aren't recovered again.
        stranded: Tokens that the last recovery could not return, by incarnation.
        next_scan: The earliest time of the next scan of all rows.
    """

    table: Table
    make_recovery: Callable[[], Recovery]
    own_router: Callable[[], RouterId]
    alive: Callable[[], tuple[RouterId, ...]]
    recoverable: Callable[[], tuple[RouterId, ...]]
    may_recover: Callable[[RouterId, Seconds], bool]
    add_row: Callable[[RouterId, RouterRow], None]
    rng: random.Random = field(factory=random.Random)
    unknown_since: dict[RouterId, Seconds] = field(factory=dict)
    closed: set[RouterId] = field(factory=set)
    stranded: dict[RouterId, Tokens] = field(factory=dict)
    next_scan: Seconds = 0.0

    async def scan_at_start(self) -> None:
        """Add the registered routers to the members before this router holds tokens.

        This router can then introduce itself to them. If it failed while unknown to
        all others, only a later scan would find its bills. The scan is given up after
        `START_SCAN_TIMEOUT`; an error is logged.
        """
        try:
            with anyio.move_on_after(START_SCAN_TIMEOUT):
                await self.scan()
        except EbonyholdError as error:
            logger.warning("other routers' rows not read", extra={"cause": str(error)})

    async def run(self) -> None:
        """Recover failed routers at intervals until cancelled."""
        while True:
            await anyio.sleep(RECOVERY_INTERVAL * self.rng.uniform(0.5, 1.5))
            try:
                await self.recover_gone()
            except EbonyholdError as error:
                logger.info(
                    "could not check for failed routers",
                    extra={"cause": str(error)},
                )

    async def recover_gone(self) -> None:
        """Recover each failed incarnation that is assigned to this router.

        Scan the rows of all routers first if a scan is due.

        Raises:
            EbonyholdError: The table could not be scanned; try again later.
        """
        candidates = set(self.recoverable())
        if anyio.current_time() >= self.next_scan:
            candidates |= await self.scan()
            self.next_scan = anyio.current_time() + SCAN_INTERVAL * self.rng.uniform(
                0.5, 1.5
            )
        survivors = (self.own_router(), *self.alive())
        for router in sorted(candidates - self.closed - {self.own_router()}):
            if responsible(router, survivors) == self.own_router():
                await self.try_recover(router)

    async def try_recover(self, router: RouterId) -> None:
        """Recover one incarnation; log an error, and leave it to a later attempt.

        If the error were raised, one incarnation whose recovery always fails would
        keep all that follow it from being recovered.
        """
        try:
            await self.recover(router)
        except EbonyholdError as error:
            logger.warning(
                "recovery failed",
                extra={"recovered": router, "cause": str(error)},
            )

    async def scan(self) -> set[RouterId]:
        """Return the incarnations with an unsettled row that may be recovered.

        Rows of incarnations that aren't alive are passed to `add_row`, so that their
        heartbeats are expected from then on. A router that failed before another
        router knew it is found only in this way.

        Not every incarnation that isn't alive in this router's view may be recovered,
        as recovery seals the incarnation and thereby cuts its streams. A leaving router
        may still be finishing streams. A router without network believes that no other
        router is alive, and would repeatedly cut the streams of the whole fleet.

        Raises:
            UnavailableError: The table cannot be reached.
        """
        now = anyio.current_time()
        known = {self.own_router(), *self.alive()}
        found: set[RouterId] = set()
        async for row in scan_rows(self.table, ROUTER_PREFIX):
            router = row.key.removeprefix(ROUTER_PREFIX)
            value = from_json(row.value, RouterRow)
            if value.state is not RouterState.CLOSED and router not in known:
                found.add(router)
                self.add_row(router, value)
        for router in sorted(found - self.unknown_since.keys()):
            logger.info("open row of a router not alive here", extra={"row": router})
        self.unknown_since = {
            router: self.unknown_since.get(router, now) for router in found
        }
        return {
            router
            for router, since in self.unknown_since.items()
            if self.may_recover(router, now - since)
        }

    async def recover(self, router: RouterId) -> RecoveryReport:
        """Recover one incarnation, and record whether tokens are still stranded.

        Raises:
            EbonyholdError: The table or the object store could not be reached; try
                again later.
        """
        report = await self.make_recovery().recover(router)
        if report.closed:
            self.closed.add(router)
            self.stranded.pop(router, None)
        else:
            self.stranded[router] = report.stranded
        logger.info(
            "router recovered",
            extra={
                "recovered": router,
                "closed": report.closed,
                "billed": report.billed,
                "paid": report.paid,
                "returned": report.returned,
                "stranded": report.stranded,
            },
        )
        return report
