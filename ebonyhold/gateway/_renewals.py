"""Renews this router's row of limits, at intervals and when a request needs it."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable, Mapping

import anyio
from attrs import define, evolve, field, frozen

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
from ebonyhold.prepaid import (
    Committed,
    Limits,
    LimitTracker,
    Predecessor,
    SpendingLimit,
)
from ebonyhold.types import RouterId, Seconds, WorkspaceName

log = logging.getLogger(__name__)

TABLE = "limits"
"""The table of the routers' spending limits, with one part per VM.

A single part could not handle the renewals of a large fleet.
"""

RENEWAL_INTERVAL: Seconds = 0.4
"""Interval between two renewals.

The limit of a killed router grows from its last renewal until its successor starts, and
tokens below the limit cannot be reclaimed. So a longer interval loses more tokens, and
a shorter one needs more of the fleet's limited number of store calls.
"""

UNUSED_RENEWAL_INTERVAL: Seconds = 2.0
"""Interval between two renewals of a router without limits to renew. They only check
whether the store is reachable."""

MIN_RETRY_PAUSE: Seconds = 0.05
"""The minimum time between a renewal that failed and the next one."""

MIN_RENEWAL_TIMEOUT: Seconds = 0.1
"""The minimum timeout of a renewal; an answer usually takes 12 ms.

Requests above their limit wait 0.25 s for a renewal. A lost answer must be detected
early enough for a second renewal within that time.
"""

MAX_RENEWAL_TIMEOUT: Seconds = 0.6
"""The maximum timeout of a renewal. A store that is sixty times slower than usual still
answers within 0.5 s."""

TIMEOUT_FACTOR = 8.0
"""The timeout as a multiple of the smoothed answer time. After a renewal that timed
out, the next timeout is doubled instead."""

LATENCY_WEIGHT = 0.2
"""The weight of the last answer's time in the smoothed answer time."""

MAX_MISSES = 2
"""Number of unanswered renewals in a row after which the store counts as unreachable.

A single unanswered renewal may have been stored, with only its answer lost. The next
renewal shows whether the store is reachable.
"""

UNKNOWN_ELAPSED: Seconds = 1e6
"""How long a predecessor is assumed to have run after its last renewal until the real
time is known. It is so long that all the predecessor's tokens count as spent."""

MAX_CLOCK_ERROR: Seconds = 1.0
"""How far before its last renewal a predecessor may seem to have ended, as answers with
the store's clock take up to `MAX_RENEWAL_TIMEOUT`; the time of the row is wrong if it
is more."""

MAX_UNRECLAIMED = 4
"""Maximum number of predecessors that the row of limits names; older ones are dropped.
Four kills before a reclaim are rare, and a row is limited to 64 KB."""


@frozen
class LimitsRow:
    """A router's stored row with its spending limits, at ``limits/{vm}/row``.

    Attributes:
        router: The incarnation that wrote the row.
        address: The VM's address; another VM may get the same name later.
        renewed_at: A reading of the store's clock that is not later than the sending of
            the row; 0 if the router had no reading yet.
        number: The number of this renewal, within the incarnation.
        limits: The limits on the router's use of its grants, by workspace.
        unreclaimed: Earlier incarnations whose grants were not returned yet.
    """

    router: RouterId
    address: str
    renewed_at: Seconds = 0.0
    number: int = 0
    limits: dict[WorkspaceName, SpendingLimit] = field(factory=dict)
    unreclaimed: tuple[Predecessor, ...] = ()


def proven(predecessor: Predecessor) -> Predecessor:
    """Return a predecessor without the limits and the time that it cannot have written.

    Other programs may have written its row. Tokens below a limit that is not known
    count as spent.
    """
    valid = {n: limit for n, limit in predecessor.limits.items() if limit.is_valid}
    elapsed = predecessor.elapsed
    if not -MAX_CLOCK_ERROR <= elapsed < math.inf:
        elapsed = UNKNOWN_ELAPSED
    found = Predecessor(predecessor.router, elapsed, valid)
    if found != predecessor:
        fields = {"predecessor": found.router, "workspaces": sorted(valid)}
        log.error("predecessor's limits damaged", extra=fields)
    return found


def writer_of(row: Row) -> RouterId:
    """Return the incarnation that a row of limits names; empty if it names none."""
    router = row.value.get("router") if isinstance(row.value, Mapping) else None
    return router if isinstance(router, str) else ""


@define
class StoreClock:
    """An estimate of the store's monotonic clock that is never ahead of it.

    While the VM is suspended, its clock stops, so the estimate falls behind.

    Attributes:
        reading: The store's clock in its last answer; 0 before the first.
        at: When that answer arrived, by this process's clock.
    """

    reading: Seconds = 0.0
    at: Seconds = 0.0

    def update(self, reading: Seconds) -> None:
        """Set the estimate from the reading in an answer that has just arrived."""
        self.reading = reading
        self.at = anyio.current_time()

    def now(self) -> Seconds:
        """Return the estimate; 0 before the first answer."""
        if not self.reading:
            return 0.0
        return self.reading + anyio.current_time() - self.at


@define(eq=False)
class Renewals:
    """Renews the row that limits how much of its grants this router may have used.

    Attributes:
        store: The store.
        name: This VM's name.
        address: This VM's address.
        incarnation: This router's incarnation.
        wanted: Returns the limits for the next renewal.
        began_at: When this process began, as early as it could be measured.
        limits: The renewals that the store may contain; the lowest of their limits
            applies.
        previous_row: The row of the VM's previous incarnation; None if there was none.
        unreclaimed: Earlier incarnations whose grants are not returned yet.
        started: Set when this incarnation has written the VM's row.
        version: The version of this router's row.
        misses: The number of unanswered renewals in a row; a renewal that certainly
            failed adds `MAX_MISSES`.
        timeout: The timeout of the next renewal.
        clock: The estimate of the store's clock.
        requested: Set to send a renewal at once.
        renewal_ended: Set when the next renewal to be sent has succeeded or failed.
    """

    store: GatewayStore
    name: str
    address: str
    incarnation: str
    wanted: Callable[[], Limits]
    began_at: Seconds = field(factory=anyio.current_time)
    limits: LimitTracker = field(factory=LimitTracker)
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

    def pause(self, taken: Seconds) -> Seconds:
        """Return the time until the next renewal, unless one is requested earlier.

        There is none after a renewal whose limits were raised for the sake of an
        earlier one: until the next renewal, a kill of this router would lose all that
        the outage was expected to need.  While renewals fail, the time that the last
        one has taken counts, so that the end of an outage is noticed sooner.

        Args:
            taken: The time that the last renewal has taken.
        """
        confirmed = self.limits.confirmed
        if self.misses:
            return max(MIN_RETRY_PAUSE, RENEWAL_INTERVAL - taken)
        if confirmed is None:
            return RENEWAL_INTERVAL
        if confirmed.is_raised:
            return 0.0
        return RENEWAL_INTERVAL if confirmed.limits else UNUSED_RENEWAL_INTERVAL

    def is_store_reachable(self) -> bool:
        """Return whether the VM's row is taken over and the store seems reachable.

        One unanswered renewal is tolerated.
        """
        return self.started.is_set() and self.misses < MAX_MISSES

    async def run(self) -> None:
        """Renew until cancelled.

        The first renewal is sent without a delay: until the store acknowledges it, this
        router may use no token, and after a power cut of all VMs no other router can
        serve the requests.
        """
        while True:
            began = anyio.current_time()
            self.requested = anyio.Event()
            renewal_ended, self.renewal_ended = self.renewal_ended, anyio.Event()
            try:
                await self.step()
                self.record_success()
            except PlatformError as error:
                self.record_failure(error)
            finally:
                renewal_ended.set()
            with anyio.move_on_after(self.pause(anyio.current_time() - began)):
                await self.requested.wait()

    async def renew_now(self) -> None:
        """Request a renewal, and return when it has succeeded or failed.

        A renewal that is already being sent may not contain the limit that the caller
        needs, so the next one is awaited. Concurrent callers share one renewal.
        """
        renewal_ended = self.renewal_ended
        self.requested.set()
        await renewal_ended.wait()

    def record_success(self) -> None:
        """Reset the count of failed renewals, and log that they succeed again."""
        if self.misses:
            fields = {"life": self.incarnation, "misses": self.misses}
            log.info("limits renewed again", extra=fields)
        self.misses = 0

    def record_failure(self, error: PlatformError) -> None:
        """Count a failed renewal; log it unless the previous one failed too.

        A renewal that certainly failed, for example by a conflict, makes the store
        count as unreachable at once. Renewals of unknown outcome do so only after
        `MAX_MISSES` in a row.
        """
        if not self.misses:
            fields = {"error": error.code, "detail": str(error)}
            log.warning("limits not renewed", extra=fields)
        refused = not isinstance(error, UnknownOutcomeError)
        self.misses += MAX_MISSES if refused else 1

    async def step(self) -> None:
        """Take over the VM's row if that is still due, else renew it.

        After a failure or with a renewal in doubt, the row is read first, since its
        version may have changed.
        """
        if not self.started.is_set():
            await self.start()
        else:
            if self.limits.in_doubt or self.misses:
                await self.read_own_row()
            await self.write(AtVersion(self.key, self.version))

    async def start(self) -> None:
        """Take over the VM's row, and keep the earlier incarnations named in it."""
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
        """Record the earlier incarnations of a row that was found at this VM's key.

        A damaged row is logged and records none, so the grants that it named are not
        reclaimed. The row is overwritten nevertheless, since this router could never
        start otherwise.
        """
        try:
            self.take_over(read_row(row, LimitsRow))
        except DamagedRowError as error:
            log.error("limits row damaged", extra={"detail": str(error)})

    def take_over(self, previous: LimitsRow) -> None:
        """Record the earlier incarnations whose grants have to be returned.

        There are none if another VM with the same name wrote the row. If this
        incarnation wrote it, the renewal in it is confirmed instead.
        """
        if previous.router == self.incarnation:
            # This incarnation wrote the row itself, and the answer was lost.
            self.limits.took_effect(previous.number)
            return
        if previous.address != self.address:
            return
        self.previous_row = previous
        predecessor = Predecessor(previous.router, UNKNOWN_ELAPSED, previous.limits)
        found = (*previous.unreclaimed, predecessor)[-MAX_UNRECLAIMED:]
        self.unreclaimed = tuple(proven(one) for one in found)

    def compute_elapsed(self) -> None:
        """Compute how long the predecessor may have run after its last renewal.

        `UNKNOWN_ELAPSED` stays if the predecessor's row has no time.
        """
        previous = self.previous_row
        if previous is None or not previous.renewed_at:
            return
        # The previous process had ended when this one began. So the time from
        # `began_at` to the store's answer is subtracted; it can include an outage.
        since = self.clock.reading - previous.renewed_at
        elapsed = since - (self.clock.at - self.began_at)
        fields = {"predecessor": previous.router, "elapsed": round(elapsed, 2)}
        log.info("predecessor found", extra=fields)
        predecessor = evolve(self.unreclaimed[-1], elapsed=elapsed)
        self.unreclaimed = (*self.unreclaimed[:-1], proven(predecessor))

    def reclaimed(self, router: RouterId) -> None:
        """Drop a predecessor whose grants are returned; later renewals omit it."""
        self.unreclaimed = tuple(p for p in self.unreclaimed if p.router != router)

    async def write(self, check: Check) -> None:
        """Write this router's row, with the limits of a new renewal.

        The renewal is confirmed, withdrawn or, after an unknown outcome, left in doubt.

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
        """Commit a transaction within `timeout`, and adapt it to the answer time.

        Raises:
            UnknownOutcomeError: No answer came within the timeout.
            PlatformError: The commit failed, or its outcome is unknown.
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
        """Read this router's row, set `version` from it and confirm its renewal.

        If there is no row, nothing is changed. A row that no router can have written
        is overwritten by the next renewal: until then the row proves no token unused,
        and renewals in doubt cannot take effect any more.

        Raises:
            ConflictError: The row belongs to another router.
            PlatformError: The row could not be read.
        """
        for row in await self.store.scan(self.key):
            if row.key != self.key:
                continue
            if writer_of(row) not in {self.incarnation, ""}:
                raise ConflictError(
                    "another router wrote this VM's row of limits", (self.key,)
                )
            self.version = row.version
            try:
                self.limits.took_effect(read_row(row, LimitsRow).number)
            except DamagedRowError as error:
                log.error("limits row damaged", extra={"detail": str(error)[:400]})

    async def leave(self) -> None:
        """Remove the VM's row when the process ends, unless a successor needs it.

        The row is kept if this incarnation has not taken it over, since it then belongs
        to the predecessor. It is also kept while a predecessor's grants are not
        returned: no other row names them, so their tokens would be lost. A failure to
        remove the row is logged.
        """
        if not self.started.is_set() or self.unreclaimed:
            names = [predecessor.router for predecessor in self.unreclaimed]
            log.info("limits row kept for a successor", extra={"lives": names})
            return
        try:
            await self.store.commit(Transaction((), (Delete(self.key),)))
        except PlatformError as error:
            log.info("limits row not removed", extra={"error": error.code})
