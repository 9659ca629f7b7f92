"""This router's row of limits: renewed often, and at once when a request needs it."""

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
    read_row,
    to_json,
)
from ebonyhold.exceptions import (
    ConflictError,
    DamagedRowError,
    PlatformError,
    UnavailableError,
    UnknownOutcomeError,
)
from ebonyhold.gateway._types import GatewayStore
from ebonyhold.prepaid import Committed, LimitBook, Limits, Predecessor, SpendingLimit
from ebonyhold.types import RouterId, Seconds, WorkspaceName

log = logging.getLogger(__name__)

TABLE = "limits"
"""The table of what routers may have used, each in a part of its own.

One part would not take the renewals of a large fleet.
"""

BEAT: Seconds = 0.4
"""Between two renewals.

What a killed router may have used grows until its successor starts, so a longer beat
costs tokens; a shorter one costs calls, of which the store takes so many for the whole
fleet.
"""

UNUSED_BEAT: Seconds = 2.0
"""Between two renewals of a router without a grant: they show only whether the store is
in touch."""

LEAST_WAIT: Seconds = 0.1
"""The shortest wait for the answer to a renewal; it usually takes 12 ms.

Requests above their limit wait 0.25 s for a renewal: an answer that was lost must show
in time for a second one.
"""

MOST_WAIT: Seconds = 0.6
"""The longest wait; a store that is slow by sixty times takes 0.5 s."""

WAIT_FACTOR = 8.0
"""The wait in usual times of an answer; each answer that does not come doubles it."""

WEIGHT = 0.2
"""The weight of the last answer's time in the usual one."""

MOST_MISSES = 2
"""Renewals in a row without an answer that mean that the store is out of reach.

One is an answer that was lost, of which the next renewal tells.
"""

LONG_AGO: Seconds = 1e6
"""How long a life went on of which that is not known yet: nothing is proved of it."""

MOST_UNRECLAIMED = 4
"""Lives that a row remembers; four kills in a row within one reclaim are rare, and a
row has 64 KB."""


@frozen
class LimitsRow:
    """What a life of a VM's router may have used, at ``limits/{vm}/row``.

    Attributes:
        router: Which life of the VM's router.
        address: Where the VM is; another VM may bear its name later.
        renewed_at: The store's clock when this was sent, or earlier.
        number: Which renewal of this life it is.
        limits: How much of its grants the router may have used.
        unreclaimed: Lives before this one whose grants were not returned yet.
    """

    router: RouterId
    address: str
    renewed_at: Seconds = 0.0
    number: int = 0
    limits: dict[WorkspaceName, SpendingLimit] = field(factory=dict)
    unreclaimed: tuple[Predecessor, ...] = ()


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
class Renewals:
    """Renews the row that says what this router may have used of its grants.

    Attributes:
        store: The store.
        name: This VM's name.
        address: Where it is.
        incarnation: This life of it.
        wanted: Returns what the next renewal should say of each grant.
        began_at: When this process began, as near as it can tell.
        limits: The renewals that count.
        replaced: The row that this life took over; None if there was none.
        unreclaimed: The lives before this one whose grants are not returned yet.
        started: Set once the VM's row is this life's.
        version: The version of the own row.
        misses: Renewals in a row that failed.
        wait: How long the next one is waited for.
        asked: Set when a renewal should not wait for its turn.
        renewed: Set when the next renewal to be sent has ended, well or not.
    """

    store: GatewayStore
    name: str
    address: str
    incarnation: str
    wanted: Callable[[], Limits]
    began_at: Seconds = field(factory=anyio.current_time)
    limits: LimitBook = field(factory=LimitBook)
    replaced: LimitsRow | None = None
    unreclaimed: tuple[Predecessor, ...] = ()
    started: anyio.Event = field(factory=anyio.Event)
    version: int = 0
    misses: int = 0
    wait: Seconds = LEAST_WAIT
    clock: StoreClock = field(factory=StoreClock)
    asked: anyio.Event = field(factory=anyio.Event)
    renewed: anyio.Event = field(factory=anyio.Event)

    @property
    def key(self) -> str:
        """Return the key of the own row of limits."""
        return f"{TABLE}/{self.name}/row"

    @property
    def beat(self) -> Seconds:
        """Return the time to the next renewal that nobody asks for."""
        confirmed = self.limits.confirmed
        unused = confirmed is not None and not confirmed.limits and not self.misses
        return UNUSED_BEAT if unused else BEAT

    def in_touch(self) -> bool:
        """Tell whether renewals arrive, but for one whose answer may be lost."""
        return self.started.is_set() and self.misses < MOST_MISSES

    async def run(self) -> None:
        """Renew, for ever.

        The first renewal waits for nothing: until it is acknowledged, no token may
        be used, and after a power cut of all VMs nobody else serves either.
        """
        while True:
            self.asked = anyio.Event()
            renewed, self.renewed = self.renewed, anyio.Event()
            try:
                await self.step()
                self.note_renewed()
            except PlatformError as error:
                self.note_missed(error)
            finally:
                renewed.set()
            with anyio.move_on_after(self.beat):
                await self.asked.wait()

    async def renew_now(self) -> None:
        """Have a renewal sent at once, and return when it has ended.

        One that is under way does not say yet what its caller needs, so the next
        one is waited for; all who wait meanwhile share it.
        """
        renewed = self.renewed
        self.asked.set()
        await renewed.wait()

    def note_renewed(self) -> None:
        """Log that renewals work again, if they did not."""
        if self.misses:
            log.info("limits renewed again", extra={"life": self.incarnation})
        self.misses = 0

    def note_missed(self, error: PlatformError) -> None:
        """Count a renewal that failed, and log the first of several."""
        if not self.misses:
            fields = {"error": error.code, "detail": str(error)}
            log.warning("limits not renewed", extra=fields)
        refused = not isinstance(error, UnknownOutcomeError)
        self.misses += MOST_MISSES if refused else 1

    async def step(self) -> None:
        """Take the VM's row over, or renew it."""
        if not self.started.is_set():
            await self.start()
        else:
            if self.limits.doubtful or self.misses:
                await self.look()
            await self.write(AtVersion(self.key, self.version))

    async def start(self) -> None:
        """Take over the VM's row from the life before, and remember that one."""
        rows = await self.store.scan(self.key)
        found = next((row for row in rows if row.key == self.key), None)
        check: Check = Absent(self.key)
        if found is not None:
            check = AtVersion(self.key, found.version)
            self.take_over_from(found)
        await self.write(check)
        self.judge()
        self.started.set()

    def take_over_from(self, row: Row) -> None:
        """Take over from the life that wrote the VM's row.

        Of a row that somebody else wrote nothing can be proved.  It is written anew;
        else this VM would never start.
        """
        try:
            self.take_over(read_row(row, LimitsRow))
        except DamagedRowError as error:
            log.error("limits damaged", extra={"detail": str(error)})

    def take_over(self, before: LimitsRow) -> None:
        """Note the lives before this one whose grants have to be returned."""
        if before.router == self.incarnation:
            # A first write of this life, whose answer was lost.
            self.limits.took_effect(before.number)
            return
        if before.address != self.address:
            return
        self.replaced = before
        life = Predecessor(before.router, LONG_AGO, before.limits)
        self.unreclaimed = (*before.unreclaimed, life)[-MOST_UNRECLAIMED:]

    def judge(self) -> None:
        """Find out how long the life before this one can have gone on."""
        before = self.replaced
        if before is None or not before.renewed_at:
            return
        # The other life had ended when this one began.  The time since then is not
        # its; a store that was away at the start would else count against it.
        since = self.clock.reading - before.renewed_at
        elapsed = since - (self.clock.at - self.began_at)
        fields = {"predecessor": before.router, "elapsed": round(elapsed, 2)}
        log.info("predecessor found", extra=fields)
        life = Predecessor(before.router, elapsed, before.limits)
        self.unreclaimed = (*self.unreclaimed[:-1], life)

    def reclaimed(self, router: RouterId) -> None:
        """Forget a life whose grants were returned; the next renewal says so."""
        self.unreclaimed = tuple(p for p in self.unreclaimed if p.router != router)

    async def write(self, check: Check) -> None:
        """Write the own row, and note whether that may have had an effect.

        Raises:
            PlatformError: The store did not do what was asked.
        """
        renewal = self.limits.propose(self.wanted(), anyio.current_time())
        row = LimitsRow(
            self.incarnation,
            self.address,
            self.clock.now(),
            renewal.number,
            dict(renewal.limits),
            self.unreclaimed,
        )
        try:
            committed = await self.commit_in_time(
                Transaction((check,), (Put(self.key, to_json(row)),))
            )
        except (UnavailableError, ConflictError):
            self.limits.had_no_effect(renewal.number)
            raise
        self.version = committed.version
        self.clock.heard(committed.now)
        self.limits.took_effect(renewal.number)

    async def commit_in_time(self, transaction: Transaction) -> Committed:
        """Commit, and wait for the answer for as long as answers take of late.

        Raises:
            PlatformError: The store did not do what was asked, or no answer came.
        """
        began = anyio.current_time()
        with anyio.move_on_after(self.wait):
            committed = await self.store.commit(transaction)
            taken = anyio.current_time() - began
            self.limits.delay += (taken - self.limits.delay) * WEIGHT
            self.wait = min(MOST_WAIT, max(LEAST_WAIT, WAIT_FACTOR * self.limits.delay))
            return committed
        waited = self.wait
        self.wait = min(MOST_WAIT, 2 * self.wait)
        raise UnknownOutcomeError(f"no answer to a renewal in {waited:.2f} s")

    async def look(self) -> None:
        """Read the own row after a renewal that was left in doubt.

        Raises:
            ConflictError: Another router has this VM's row.
        """
        for row in await self.store.scan(self.key):
            if row.key != self.key:
                continue
            try:
                found = read_row(row, LimitsRow)
            except DamagedRowError as error:
                raise ConflictError("somebody wrote this VM's row") from error
            if found.router != self.incarnation:
                raise ConflictError("another router has this VM's row", (self.key,))
            self.version = row.version
            self.limits.took_effect(found.number)

    async def leave(self) -> None:
        """Remove the own row, as the process ends, if it tells of nobody else.

        Until this life has taken the VM's row over, that is its predecessor's; and as
        long as a life's grants were not returned, only this row tells of them.  Without
        it nobody would ever look for those tokens.
        """
        if not self.started.is_set() or self.unreclaimed:
            lives = [life.router for life in self.unreclaimed]
            log.info("limits kept for a successor", extra={"lives": lives})
            return
        try:
            await self.store.commit(Transaction((), (Delete(self.key),)))
        except PlatformError as error:
            log.info("limits not removed", extra={"error": error.code})
