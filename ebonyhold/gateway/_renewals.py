"""Renews this router's row of limits, at intervals and when a request needs it."""

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
"""The table of the routers' spending limits, with one part per router.

A single part could not take the renewals of a large fleet.
"""

RENEWAL_INTERVAL: Seconds = 0.4
"""Interval between two renewals.

The tokens that a killed router may have used grow until its successor starts, so a
longer interval costs tokens. A shorter one costs store calls, whose number is limited
for the whole fleet.
"""

UNUSED_RENEWAL_INTERVAL: Seconds = 2.0
"""Interval between two renewals of a router without a grant. These only check whether
the store is reachable."""

MIN_RENEWAL_TIMEOUT: Seconds = 0.1
"""The minimum timeout of a renewal; its answer usually takes 12 ms.

Requests above their limit wait 0.25 s for a renewal. A lost answer must be detected
early enough for a second renewal within that time.
"""

MAX_RENEWAL_TIMEOUT: Seconds = 0.6
"""The maximum timeout of a renewal; a store that is sixty times slower takes 0.5 s."""

TIMEOUT_FACTOR = 8.0
"""The timeout as a multiple of the usual answer time; each timeout doubles it."""

LATENCY_WEIGHT = 0.2
"""The weight of the last answer's time in the smoothed answer time."""

MAX_MISSES = 2
"""Unanswered renewals in a row after which the store counts as unreachable.

A single one may be a lost answer, which the next renewal detects.
"""

UNKNOWN_ELAPSED: Seconds = 1e6
"""The assumed elapsed time of a predecessor until the real one is known. With it, none
of the predecessor's tokens count as unspent."""

MAX_UNRECLAIMED = 4
"""Maximum number of predecessors that the row of limits names. Four kills before a
reclaim are rare, and a row is limited to 64 KB."""


@frozen
class LimitsRow:
    """What an incarnation of a VM's router may have used, at ``limits/{vm}/row``.

    Attributes:
        router: The incarnation.
        address: The VM's address; another VM may get the same name later.
        renewed_at: The store's clock when the row was sent, or earlier.
        number: The number of this renewal, within the incarnation.
        limits: How much of its grants the router may have used.
        unreclaimed: Earlier incarnations whose grants were not returned yet.
    """

    router: RouterId
    address: str
    renewed_at: Seconds = 0.0
    number: int = 0
    limits: dict[WorkspaceName, SpendingLimit] = field(factory=dict)
    unreclaimed: tuple[Predecessor, ...] = ()


@define
class StoreClock:
    """An estimate of the store's monotonic clock that is never ahead of it.

    While a VM is frozen its clock stands still, so the estimate falls behind.
    """

    reading: Seconds = 0.0
    at: Seconds = 0.0

    def update(self, reading: Seconds) -> None:
        """Set the clock from an answer that has just arrived."""
        self.reading = reading
        self.at = anyio.current_time()

    def now(self) -> Seconds:
        """Return the estimate; 0 before the first answer."""
        if not self.reading:
            return 0.0
        return self.reading + anyio.current_time() - self.at


@define(eq=False)
class Renewals:
    """Renews the row that states how much of its grants this router may have used.

    Attributes:
        store: The store.
        name: This VM's name.
        address: This VM's address.
        incarnation: This router's incarnation.
        wanted: Returns the limits that the next renewal should state.
        began_at: When this process began, as early as it could be measured.
        limits: The renewals whose limits apply.
        previous_row: The row of the previous incarnation; None if there was none.
        unreclaimed: Earlier incarnations whose grants are not returned yet.
        started: Set when this incarnation has written the VM's row.
        version: The version of this router's row.
        misses: The number of failed renewals in a row; a certain failure counts as
            `MAX_MISSES`.
        timeout: The timeout of the next renewal.
        requested: Set to send a renewal at once.
        renewal_ended: Set when the next renewal to be sent has succeeded or failed.
    """

    store: GatewayStore
    name: str
    address: str
    incarnation: str
    wanted: Callable[[], Limits]
    began_at: Seconds = field(factory=anyio.current_time)
    limits: LimitBook = field(factory=LimitBook)
    previous_row: LimitsRow | None = None
    unreclaimed: tuple[Predecessor, ...] = ()
    started: anyio.Event = field(factory=anyio.Event)
    version: int = 0
    misses: int = 0
    timeout: Seconds = MIN_RENEWAL_TIMEOUT
    clock: StoreClock = field(factory=StoreClock)
    requested: anyio.Event = field(factory=anyio.Event)
    renewal_ended: anyio.Event = field(factory=anyio.Event)

    @property
    def key(self) -> str:
        """The key of this router's row of limits."""
        return f"{TABLE}/{self.name}/row"

    @property
    def interval(self) -> Seconds:
        """The time until the next renewal unless one is requested."""
        confirmed = self.limits.confirmed
        unused = confirmed is not None and not confirmed.limits and not self.misses
        return UNUSED_RENEWAL_INTERVAL if unused else RENEWAL_INTERVAL

    def in_touch(self) -> bool:
        """Return whether the store is reachable, tolerating a single lost answer."""
        return self.started.is_set() and self.misses < MAX_MISSES

    async def run(self) -> None:
        """Renew until cancelled.

        The first renewal is sent at once: no token may be used until it is
        acknowledged, and after a power cut of all VMs no other router can serve
        meanwhile.
        """
        while True:
            self.requested = anyio.Event()
            renewal_ended, self.renewal_ended = self.renewal_ended, anyio.Event()
            try:
                await self.step()
                self.note_renewed()
            except PlatformError as error:
                self.note_missed(error)
            finally:
                renewal_ended.set()
            with anyio.move_on_after(self.interval):
                await self.requested.wait()

    async def renew_now(self) -> None:
        """Send a renewal at once, and return when it has ended.

        A renewal that is already being sent does not contain this caller's limit, so
        this waits for the next one. Concurrent callers share it.
        """
        renewal_ended = self.renewal_ended
        self.requested.set()
        await renewal_ended.wait()

    def note_renewed(self) -> None:
        """Reset the count of failed renewals, and log that they succeed again."""
        if self.misses:
            log.info("limits renewed again", extra={"life": self.incarnation})
        self.misses = 0

    def note_missed(self, error: PlatformError) -> None:
        """Count a failed renewal, and log the first of several."""
        if not self.misses:
            fields = {"error": error.code, "detail": str(error)}
            log.warning("limits not renewed", extra=fields)
        refused = not isinstance(error, UnknownOutcomeError)
        self.misses += MAX_MISSES if refused else 1

    async def step(self) -> None:
        """Take over the VM's row, or renew it."""
        if not self.started.is_set():
            await self.start()
        else:
            if self.limits.doubtful or self.misses:
                await self.read_own_row()
            await self.write(AtVersion(self.key, self.version))

    async def start(self) -> None:
        """Take over the VM's row, and record the previous incarnation in it."""
        rows = await self.store.scan(self.key)
        found = next((row for row in rows if row.key == self.key), None)
        check: Check = Absent(self.key)
        if found is not None:
            check = AtVersion(self.key, found.version)
            self.take_over_from(found)
        await self.write(check)
        self.compute_elapsed()
        self.started.set()

    def take_over_from(self, row: Row) -> None:
        """Take over a row that was found at this VM's key.

        Nothing is known about the grants of a damaged row. It is overwritten, since
        this router could never start otherwise.
        """
        try:
            self.take_over(read_row(row, LimitsRow))
        except DamagedRowError as error:
            log.error("limits row damaged", extra={"detail": str(error)})

    def take_over(self, previous: LimitsRow) -> None:
        """Record the earlier incarnations whose grants have to be returned."""
        if previous.router == self.incarnation:
            # The row is this incarnation's first write, whose answer was lost.
            self.limits.took_effect(previous.number)
            return
        if previous.address != self.address:
            return
        self.previous_row = previous
        predecessor = Predecessor(previous.router, UNKNOWN_ELAPSED, previous.limits)
        self.unreclaimed = (*previous.unreclaimed, predecessor)[-MAX_UNRECLAIMED:]

    def compute_elapsed(self) -> None:
        """Compute how long the predecessor may have run after its last renewal."""
        previous = self.previous_row
        if previous is None or not previous.renewed_at:
            return
        # The previous process had ended when this one began.
        # The time since then, such as an outage at the start, does not count.
        since = self.clock.reading - previous.renewed_at
        elapsed = since - (self.clock.at - self.began_at)
        fields = {"predecessor": previous.router, "elapsed": round(elapsed, 2)}
        log.info("predecessor found", extra=fields)
        predecessor = Predecessor(previous.router, elapsed, previous.limits)
        self.unreclaimed = (*self.unreclaimed[:-1], predecessor)

    def reclaimed(self, router: RouterId) -> None:
        """Drop a predecessor whose grants were returned; the next renewal omits it."""
        self.unreclaimed = tuple(p for p in self.unreclaimed if p.router != router)

    async def write(self, check: Check) -> None:
        """Write this router's row, and record whether the write may have taken effect.

        Raises:
            PlatformError: The write failed, or its outcome is unknown.
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
        self.clock.update(committed.now)
        self.limits.took_effect(renewal.number)

    async def commit_in_time(self, transaction: Transaction) -> Committed:
        """Commit a transaction, with a timeout that follows recent answer times.

        Raises:
            PlatformError: The commit failed, or no answer came within the timeout.
        """
        began = anyio.current_time()
        with anyio.move_on_after(self.timeout):
            committed = await self.store.commit(transaction)
            taken = anyio.current_time() - began
            self.limits.delay += (taken - self.limits.delay) * LATENCY_WEIGHT
            self.timeout = min(
                MAX_RENEWAL_TIMEOUT,
                max(MIN_RENEWAL_TIMEOUT, TIMEOUT_FACTOR * self.limits.delay),
            )
            return committed
        waited = self.timeout
        self.timeout = min(MAX_RENEWAL_TIMEOUT, 2 * self.timeout)
        raise UnknownOutcomeError(f"no answer to a renewal in {waited:.2f} s")

    async def read_own_row(self) -> None:
        """Read this router's row after a renewal with an unknown outcome.

        Raises:
            ConflictError: The row is damaged or belongs to another router.
        """
        for row in await self.store.scan(self.key):
            if row.key != self.key:
                continue
            try:
                found = read_row(row, LimitsRow)
            except DamagedRowError as error:
                raise ConflictError("this VM's row of limits is damaged") from error
            if found.router != self.incarnation:
                raise ConflictError(
                    "another router wrote this VM's row of limits", (self.key,)
                )
            self.version = row.version
            self.limits.took_effect(found.number)

    async def leave(self) -> None:
        """Remove this router's row when the process ends, unless it is still needed.

        Before this incarnation has taken over the VM's row, the row is its
        predecessor's. While a predecessor's grants are not returned, only this row
        names them, and without it their tokens would be lost.
        """
        if not self.started.is_set() or self.unreclaimed:
            lives = [predecessor.router for predecessor in self.unreclaimed]
            log.info("limits row kept for a successor", extra={"lives": lives})
            return
        try:
            await self.store.commit(Transaction((), (Delete(self.key),)))
        except PlatformError as error:
            log.info("limits row not removed", extra={"error": error.code})
