"""How many routers there are, by the rows that each of them writes."""

from __future__ import annotations

import logging

import anyio
from attrs import define, field

from ebonyhold.coordination import Delete, Put, Row, Transaction
from ebonyhold.exceptions import PlatformError
from ebonyhold.gateway._types import GatewayStore
from ebonyhold.types import Seconds

log = logging.getLogger(__name__)

TABLE = "routers"

BEAT: Seconds = 4.0
"""Between two writes of the own row: at 330 routers some 80 writes a second."""

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
    """Writes the own row and counts those of the others.

    Attributes:
        store: The store.
        name: This VM's name.
        incarnation: This life of it.
        seen: The rows of all routers.
        most: The most routers that were counted.
    """

    store: GatewayStore
    name: str
    incarnation: str
    seen: dict[str, Sighting] = field(factory=dict)
    most: int = 0

    def count(self) -> int:
        """Return how many routers there are, this one among them."""
        if not self.seen:
            return ASSUMED
        now = anyio.current_time()
        alive = sum(1 for s in self.seen.values() if now - s.at < MISSING)
        self.most = max(self.most, alive)
        return max(1, alive, int(self.most * FLOOR_SHARE))

    async def run(self) -> None:
        """Write and read, for ever."""
        while True:
            try:
                await self.beat()
                self.note(await self.store.scan(f"{TABLE}//"))
            except PlatformError as error:
                log.debug("presence not renewed", extra={"error": error.code})
            await anyio.sleep(BEAT)

    async def beat(self) -> None:
        """Write the own row."""
        await self.store.commit(
            Transaction((), (Put(self.key, {"incarnation": self.incarnation}),))
        )

    @property
    def key(self) -> str:
        """Return the key of the own row."""
        return f"{TABLE}//{self.name}"

    def note(self, rows: list[Row]) -> None:
        """Note which rows have changed."""
        now = anyio.current_time()
        for row in rows:
            known = self.seen.get(row.key)
            if known is None or known.version != row.version:
                self.seen[row.key] = Sighting(row.version, now)

    async def leave(self) -> None:
        """Remove the own row, as the process ends."""
        try:
            await self.store.commit(Transaction((), (Delete(self.key),)))
        except PlatformError as error:
            log.info("presence not removed", extra={"error": error.code})
