"""The task that recovers routers which are gone, each by one survivor if it can."""

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

LOOK_EVERY: Seconds = 2.0
"""Mean time between looks at who is gone."""

LOOK_AROUND_WITHIN: Seconds = 1.0
"""How long reading all rows may hold up a start."""

SCAN_EVERY: Seconds = 30.0
"""Mean time between looks at all rows of routers in the table.

Heartbeats tell of routers that somebody here knew.  After a total restart nobody
knew the ones before, and only their rows in the table tell of them.
"""


@define
class Recoveries:
    """Finds routers that are gone and recovers them.

    Whether a router is gone is a guess, and two survivors may guess at once: the
    recovery itself is safe in both cases, so the guess only decides how soon
    tokens return and how much work is done twice.

    Attributes:
        table: Where the rows of routers are.
        make: Makes the recovery on behalf of the present incarnation.
        me: Names the present incarnation.
        alive: Names the other routers believed alive.
        gone: Names the incarnations believed gone.
        may_recover: Says whether an incarnation may be recovered whose row is open,
            given for how long it has been among nobody's living.
        read_row: Is told of each open row of another incarnation, which may be one
            that no router has met.
        rng: Spreads the looks of the routers.
        unknown: When a row was first seen whose router nobody here knows.
        closed: Incarnations that are settled; their rows are not looked at again.
        stranded: Tokens that wait, by incarnation, as the last try left them.
    """

    table: Table
    make: Callable[[], Recovery]
    me: Callable[[], RouterId]
    alive: Callable[[], tuple[RouterId, ...]]
    gone: Callable[[], tuple[RouterId, ...]]
    may_recover: Callable[[RouterId, Seconds], bool]
    read_row: Callable[[RouterId, RouterRow], None]
    rng: random.Random = field(factory=random.Random)
    unknown: dict[RouterId, Seconds] = field(factory=dict)
    closed: set[RouterId] = field(factory=set)
    stranded: dict[RouterId, Tokens] = field(factory=dict)
    next_scan: Seconds = 0.0

    async def look_around(self) -> None:
        """Read the rows of the routers that registered before, if that goes quickly.

        A router introduces itself to them before it holds anything of a budget.  One
        that nobody has met can die with bills that are only found by a later scan.
        """
        try:
            with anyio.move_on_after(LOOK_AROUND_WITHIN):
                await self.scan()
        except EbonyholdError as error:
            logger.warning("other routers' rows not read", extra={"cause": str(error)})

    async def run(self) -> None:
        """Look again and again until cancelled."""
        while True:
            await anyio.sleep(LOOK_EVERY * self.rng.uniform(0.5, 1.5))
            try:
                await self.look()
            except EbonyholdError as error:
                logger.info("no recovery now", extra={"cause": str(error)})

    async def look(self) -> None:
        """Recover every router that is gone and falls to this one.

        Raises:
            EbonyholdError: The table could not be scanned; look again later.
        """
        candidates = set(self.gone())
        if anyio.current_time() >= self.next_scan:
            candidates |= await self.scan()
            self.next_scan = anyio.current_time() + SCAN_EVERY * self.rng.uniform(
                0.5, 1.5
            )
        survivors = (self.me(), *self.alive())
        for router in sorted(candidates - self.closed - {self.me()}):
            if responsible(router, survivors) == self.me():
                await self.try_recover(router)

    async def try_recover(self, router: RouterId) -> None:
        """Recover one router, or leave it to a later look.

        One whose recovery fails at each look would otherwise hold up all that
        come after it, and their tokens would stay stranded.
        """
        try:
            await self.recover(router)
        except EbonyholdError as error:
            logger.warning(
                "not recovered yet", extra={"recovered": router, "cause": str(error)}
            )

    async def scan(self) -> set[RouterId]:
        """Return routers with an unsettled row that are not alive here, and may go.

        Those that nobody here knew become members, whose silence is noticed from
        then on: a router that died before any other met it is found here alone.

        Not being alive here is not enough: a router that is leaving is still
        finishing its streams, and one whose own network has failed knows nobody.
        Sealing on that ground would cut streams, and in the second case of the
        whole fleet, again and again.

        Raises:
            UnavailableError: The table cannot be reached.
        """
        now = anyio.current_time()
        known = {self.me(), *self.alive()}
        found: set[RouterId] = set()
        async for row in scan_rows(self.table, ROUTER_PREFIX):
            router = row.key.removeprefix(ROUTER_PREFIX)
            value = from_json(row.value, RouterRow)
            if value.state is not RouterState.CLOSED and router not in known:
                found.add(router)
                self.read_row(router, value)
        for router in sorted(found - self.unknown.keys()):
            logger.info("open row of a router not alive here", extra={"row": router})
        self.unknown = {router: self.unknown.get(router, now) for router in found}
        return {
            router
            for router, since in self.unknown.items()
            if self.may_recover(router, now - since)
        }

    async def recover(self, router: RouterId) -> RecoveryReport:
        """Recover one router.

        Raises:
            EbonyholdError: A place could not be reached; it is tried again.
        """
        report = await self.make().recover(router)
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
