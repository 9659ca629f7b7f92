"""This router's row among all routers: renewed often, and counted by the others."""

from __future__ import annotations

import logging
from collections.abc import Callable

import anyio
from attrs import define, field, frozen

from ebonyhold.coordination import (
    Absent,
    AtVersion,
    Check,
    Delete,
    Put,
    Row,
    Transaction,
    from_json,
    to_json,
)
from ebonyhold.exceptions import ConflictError, PlatformError, UnavailableError
from ebonyhold.gateway._types import GatewayStore
from ebonyhold.prepaid import Predecessor
from ebonyhold.types import RouterId, Seconds, WorkspaceName

log = logging.getLogger(__name__)

TABLE = "routers"

BEAT: Seconds = 0.4
"""Between two renewals.

With a VM that is back 1.3 s after it lost its power it stays below the 2.3 s before
which nothing of a reserve is released.  At 330 routers it makes 825 writes a second,
so a fleet of that size has to renew less often and release later.
"""

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


@frozen
class PresenceRow:
    """A router's row, at ``routers//{vm}``.

    Attributes:
        router: Which life of the VM's router.
        address: Where the VM is; another VM may one day have its name.
        renewed_at: The store's clock when it was sent, or earlier; 0 if unknown.
        uncovered: The workspaces of whose grants more was used than their rows in
            the store allow.
    """

    router: RouterId
    address: str
    renewed_at: Seconds = 0.0
    uncovered: tuple[WorkspaceName, ...] = ()


@define
class Sighting:
    """A router's row as last seen to change."""

    version: int
    at: Seconds


@define
class StoreClock:
    """The store's steady clock as of now, or earlier, never later.

    A VM that freezes does not count the time, so the estimate stays behind.
    """

    reading: Seconds = 0.0
    at: Seconds = 0.0

    def heard(self, reading: Seconds) -> None:
        """Note the clock in an answer that has just arrived."""
        self.reading = reading
        self.at = anyio.current_time()

    def now(self) -> Seconds:
        """Return the estimate; 0 before the first answer."""
        if not self.reading:
            return 0.0
        return self.reading + anyio.current_time() - self.at


@define(eq=False)
class Presence:
    """Renews the own row and counts those of the others.

    Attributes:
        store: The store.
        name: This VM's name.
        address: Where it is.
        incarnation: This life of it.
        began_at: When this process began, as near as it can tell.
        uncovered: Returns the workspaces of whose grants more is used than their
            rows allow.  A renewal names them; else it would tell a successor that
            nothing of their reserve can have been used.
        predecessor: The life before this one, once that is known.
        version: The version of the own row.
        in_doubt: Whether a renewal was sent whose effect is unknown.
        renewed_at: When the last renewal was sent that may have taken effect.
        missing: Whether the last renewal failed.
        seen: The rows of all routers.
        most: The most routers that were counted.
    """

    store: GatewayStore
    name: str
    address: str
    incarnation: str
    uncovered: Callable[[], tuple[WorkspaceName, ...]]
    began_at: Seconds = field(factory=anyio.current_time)
    predecessor: Predecessor | None = None
    started: anyio.Event = field(factory=anyio.Event)
    version: int = 0
    in_doubt: bool = False
    renewed_at: Seconds = -1e9
    missing: bool = False
    clock: StoreClock = field(factory=StoreClock)
    seen: dict[str, Sighting] = field(factory=dict)
    most: int = 0
    counted_at: Seconds = -1e9

    @property
    def key(self) -> str:
        """Return the key of the own row."""
        return f"{TABLE}//{self.name}"

    def elapsed(self) -> Seconds:
        """Return the time since the last renewal that may have taken effect."""
        return anyio.current_time() - self.renewed_at

    def count(self) -> int:
        """Return how many routers there are, this one among them."""
        if not self.seen:
            return ASSUMED
        now = anyio.current_time()
        alive = sum(1 for s in self.seen.values() if now - s.at < MISSING)
        self.most = max(self.most, alive)
        return max(1, alive, int(self.most * FLOOR_SHARE))

    async def run(self) -> None:
        """Renew and count, for ever."""
        while True:
            try:
                await self.step()
                self.note_renewed()
            except PlatformError as error:
                self.note_missed(error)
            await anyio.sleep(BEAT)

    def note_renewed(self) -> None:
        """Log that renewals work again, if they did not."""
        if self.missing:
            log.info("presence renewed again", extra={"life": self.incarnation})
        self.missing = False

    def note_missed(self, error: PlatformError) -> None:
        """Log the first of several renewals that failed."""
        if not self.missing:
            fields = {"error": error.code, "detail": str(error)}
            log.warning("presence not renewed", extra=fields)
        self.missing = True

    async def step(self) -> None:
        """Renew the own row; count the routers now and then."""
        if not self.started.is_set():
            await self.start()
        elif self.in_doubt:
            # Another renewal would put off the release of the reserve although
            # it may never arrive; only reading shows that the store is back.
            await self.look()
        else:
            await self.renew()
        if anyio.current_time() - self.counted_at > COUNT:
            self.note(await self.store.scan(f"{TABLE}//"))

    async def start(self) -> None:
        """Take over the VM's row from the life before, and remember that one."""
        rows = await self.store.scan(f"{TABLE}//")
        self.note(rows)
        before = next((row for row in rows if row.key == self.key), None)
        check: Check = Absent(self.key)
        if before is not None:
            check = AtVersion(self.key, before.version)
        await self.write(check)
        if before is not None:
            self.predecessor = self.judge(from_json(before.value, PresenceRow))
        self.started.set()

    def judge(self, before: PresenceRow) -> Predecessor | None:
        """Return the life before this one, unless it was another VM's."""
        if before.address != self.address or not before.renewed_at:
            return None
        if before.router == self.incarnation:
            return None
        # The other life had ended when this one began.  The time since then is not
        # its; a store that was away at the start would else count against it.
        since = self.clock.reading - before.renewed_at
        elapsed = since - (self.clock.at - self.began_at)
        log.info(
            "predecessor found",
            extra={"predecessor": before.router, "elapsed": round(elapsed, 2)},
        )
        return Predecessor(before.router, elapsed, before.uncovered)

    async def renew(self) -> None:
        """Renew the own row."""
        await self.write(AtVersion(self.key, self.version))

    async def write(self, check: Check) -> None:
        """Write the own row, and note whether that may have had an effect.

        Raises:
            PlatformError: The store did not do what was asked.
        """
        row = PresenceRow(
            self.incarnation, self.address, self.clock.now(), self.uncovered()
        )
        before = self.renewed_at
        self.renewed_at = anyio.current_time()
        try:
            committed = await self.store.commit(
                Transaction((check,), (Put(self.key, to_json(row)),))
            )
        except UnavailableError:
            self.renewed_at = before
            raise
        except PlatformError:
            self.in_doubt = True
            raise
        self.version = committed.version
        self.clock.heard(committed.now)

    async def look(self) -> None:
        """Read the own row after a renewal that was left in doubt."""
        for row in await self.store.scan(self.key):
            if row.key != self.key:
                continue
            if from_json(row.value, PresenceRow).router != self.incarnation:
                raise ConflictError("another router has this VM's row", (self.key,))
            self.version = row.version
            self.in_doubt = False

    def note(self, rows: list[Row]) -> None:
        """Note which rows have changed."""
        now = anyio.current_time()
        self.counted_at = now
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
