"""This router among all routers: it shows itself to the others, and counts them."""

from __future__ import annotations

import logging
from collections.abc import Callable, Container

import anyio
from attrs import define, field, frozen

from ebonyhold.coordination import (
    Delete,
    Put,
    Row,
    Transaction,
    read_row,
    to_json,
)
from ebonyhold.exceptions import DamagedRowError, PlatformError
from ebonyhold.gateway._pace import stretch
from ebonyhold.gateway._types import GatewayStore
from ebonyhold.prepaid import Fleet
from ebonyhold.types import RouterId, Seconds

log = logging.getLogger(__name__)

TABLE = "routers"
"""The table of the small rows by which routers count each other, in one part."""

COUNT: Seconds = 4.0
"""Between two counts of the routers, in a fleet that is not large."""

FIRST_COUNT: Seconds = 1.5
"""Between the first two counts.

Routers that start together see few of the others at first.
"""

SETTLED = 2
"""Counts after which the fleet is known well enough to draw tokens ahead."""

GONE_AFTER = 4
"""Readings in a row without a change of its row after which a router is no holder.

Readings and not seconds: in an outage of the store no row changes and none is read.
"""

MISSED_COUNTS = 3.5
"""A router whose row has not changed for so many counts is not counted any more."""

ASSUMED = 8
"""Routers that are assumed before the first reading.

Too many makes a router spend too little of shared budgets for a moment, too few
too much.
"""

FORGOTTEN: Seconds = 60.0
"""A router whose row has not changed for this long is not asked any more.

Longer than the store is usually away, since its rows do not change meanwhile.
"""

FLOOR_SHARE = 0.5
"""The part of the most routers ever seen below which the count does not fall.

During an outage of the store no row changes, and all would seem missing.
"""


@frozen
class PresenceRow:
    """What a router shows of itself, at ``routers//{vm}``.

    Attributes:
        router: Which life of the VM's router.
        address: Where other routers ask it, as "host:port"; empty if they cannot.
        domain: Its failure domain.
    """

    router: RouterId = ""
    address: str = ""
    domain: str = ""


@define
class Sighting:
    """A router's row as last seen to change.

    Attributes:
        version: The version of the row.
        at: When that was first seen.
        row: What it says.
        unchanged: Readings since, of which none showed a change.
    """

    version: int
    at: Seconds
    row: PresenceRow
    unchanged: int = 0


def read_presence(row: Row) -> PresenceRow:
    """Return what a router shows of itself; nothing if its row cannot be read."""
    try:
        return read_row(row, PresenceRow)
    except DamagedRowError as error:
        log.warning("presence damaged", extra={"row": row.key, "detail": str(error)})
        return PresenceRow()


def vm_of(key: str) -> str:
    """Return the VM whose row has a key."""
    return key.removeprefix(f"{TABLE}//")


@define(eq=False)
class Presence:
    """Writes the own row now and then, and counts those of the others.

    Attributes:
        store: The store.
        name: This VM's name.
        incarnation: This life of it.
        address: Where other routers ask this one, as "host:port".
        domain: Its failure domain.
        fleet_seen: Is given the failure domains of all routers after each count.
        seen: The rows of all routers.
        most: The most routers that were counted.
        counts: How often they were counted.
        pause: Between two counts.
        leaving: Whether the process is about to end.
    """

    store: GatewayStore
    name: str
    incarnation: RouterId
    address: str = ""
    domain: str = ""
    fleet_seen: Callable[[Fleet], None] = lambda fleet: None
    seen: dict[str, Sighting] = field(factory=dict)
    most: int = 0
    counts: int = 0
    pause: Seconds = COUNT
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
        missing = MISSED_COUNTS * self.pause
        alive = sum(1 for s in self.seen.values() if now - s.at < missing)
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
            self.pause = stretch(COUNT, self.count())
            await anyio.sleep(self.pause if self.settled else FIRST_COUNT)

    async def count_routers(self) -> None:
        """Write the row that others count, and read theirs."""
        if self.leaving:
            # The row was removed; others would go on counting this router.
            return
        own = PresenceRow(self.incarnation, self.address, self.domain)
        sign = Put(self.key, to_json(own))
        await self.store.commit(Transaction((), (sign,)))
        self.note(await self.store.scan(f"{TABLE}//"))

    @property
    def settled(self) -> bool:
        """Whether the fleet is known well enough to draw tokens ahead."""
        return self.counts >= SETTLED

    def note(self, rows: list[Row]) -> None:
        """Note which rows have changed."""
        now = anyio.current_time()
        self.counts += 1
        for row in rows:
            known = self.seen.get(row.key)
            if known is None or known.version != row.version:
                self.seen[row.key] = Sighting(row.version, now, read_presence(row))
            else:
                known.unchanged += 1
        self.fleet_seen(self.fleet({row.key for row in rows}))

    def fleet(self, listed: Container[str]) -> Fleet:
        """Return the failure domains of the routers that live and can be asked.

        Args:
            listed: The keys of the rows that there are; a router that stops removes
                its own.
        """
        return {
            vm_of(key): sighting.row.domain
            for key, sighting in self.seen.items()
            if key in listed
            and sighting.row.address
            and sighting.unchanged < GONE_AFTER
        }

    def others(self) -> dict[str, str]:
        """Return the addresses of the other routers, by the names of their VMs."""
        now = anyio.current_time()
        return {
            vm_of(key): sighting.row.address
            for key, sighting in self.seen.items()
            if key != self.key
            and sighting.row.address
            and now - sighting.at < FORGOTTEN
        }

    async def leave(self) -> None:
        """Remove the own row, as the process ends."""
        self.leaving = True
        try:
            await self.store.commit(Transaction((), (Delete(self.key),)))
        except PlatformError as error:
            log.info("presence not removed", extra={"error": error.code})
