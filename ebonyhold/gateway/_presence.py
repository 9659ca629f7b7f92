"""This router among all routers: it shows itself to the others, and counts them."""

from __future__ import annotations

import logging

import anyio
from attrs import define, field

from ebonyhold.coordination import Delete, Put, Row, Transaction
from ebonyhold.exceptions import PlatformError
from ebonyhold.gateway._types import GatewayStore
from ebonyhold.types import RouterId, Seconds

log = logging.getLogger(__name__)

TABLE = "routers"
"""The table of the small rows by which routers count each other, in one part."""

COUNT: Seconds = 4.0
"""Between two counts of the routers."""

MISSING: Seconds = 14.0
"""A router whose row has not changed for this long is not counted any more."""

ASSUMED = 8
"""Routers that are assumed before the first reading.

Too many makes a router spend too little of shared budgets for a moment, too few
too much.
"""

FLOOR_SHARE = 0.5
"""The part of the most routers ever seen below which the count does not fall.

During an outage of the store no row changes, and all would seem missing.
"""


@define
class Sighting:
    """A router's row as last seen to change."""

    version: int
    at: Seconds


@define(eq=False)
class Presence:
    """Writes the own row now and then, and counts those of the others.

    Attributes:
        store: The store.
        name: This VM's name.
        incarnation: This life of it.
        seen: The rows of all routers.
        most: The most routers that were counted.
        leaving: Whether the process is about to end.
    """

    store: GatewayStore
    name: str
    incarnation: RouterId
    seen: dict[str, Sighting] = field(factory=dict)
    most: int = 0
    leaving: bool = False

    @property
    def key(self) -> str:
        """Return the key of the own row."""
        return f"{TABLE}//{self.name}"

    def count(self) -> int:
        """Return how many routers there are, this one among them."""
        if not self.seen:
            return ASSUMED
        now = anyio.current_time()
        alive = sum(1 for s in self.seen.values() if now - s.at < MISSING)
        self.most = max(self.most, alive)
        return max(1, alive, int(self.most * FLOOR_SHARE))

    async def run(self) -> None:
        """Show this router to the others and count them, for ever."""
        while True:
            try:
                await self.count_routers()
            except PlatformError as error:
                fields = {"error": error.code, "counted": self.count()}
                log.info("routers not counted", extra=fields)
            await anyio.sleep(COUNT)

    async def count_routers(self) -> None:
        """Write the row that others count, and read theirs."""
        if self.leaving:
            # The row was removed; others would count this router for 14 s more.
            return
        sign = Put(self.key, {"router": self.incarnation})
        await self.store.commit(Transaction((), (sign,)))
        self.note(await self.store.scan(f"{TABLE}//"))

    def note(self, rows: list[Row]) -> None:
        """Note which rows have changed."""
        now = anyio.current_time()
        for row in rows:
            known = self.seen.get(row.key)
            if known is None or known.version != row.version:
                self.seen[row.key] = Sighting(row.version, now)

    async def leave(self) -> None:
        """Remove the own row, as the process ends."""
        self.leaving = True
        try:
            await self.store.commit(Transaction((), (Delete(self.key),)))
        except PlatformError as error:
            log.info("presence not removed", extra={"error": error.code})
