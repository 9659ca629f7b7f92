"""The journal of one incarnation: group commit to the table or the object store."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from enum import Enum

import anyio
from attrs import define, field, frozen

from ebonyhold.coordination import (
    Intent,
    JournalEntry,
    JournalSegment,
    Objects,
    Observed,
    Outcome,
    RouterRow,
    Seal,
    Table,
    TransferIn,
    TransferOut,
    append_transaction,
    from_bytes,
    from_json,
    router_key,
    run_of,
    segment_key,
    to_bytes,
)
from ebonyhold.exceptions import (
    ConflictError,
    PlatformError,
    SealedError,
    UnavailableError,
    UnknownOutcomeError,
)
from ebonyhold.money._options import MoneyOptions
from ebonyhold.types import RouterId

MAX_APPEND_TRIES = 4
"""Maximum tries of one append at the table, and after that at the object store."""


class JournalTarget(Enum):
    """Where the last append was written; `NOWHERE` if both targets failed."""

    TABLE = "table"
    OBJECTS = "objects"
    NOWHERE = "nowhere"


@define(eq=False)
class PendingAppend:
    """Entries that are queued to be appended to the journal.

    Attributes:
        entries: The entries, which are appended together.
        retry: Whether the entries stay queued after a failed append. Intents do not, so
            that a request is refused promptly and does not wait until an outage ends.
        done: Set when the entries are durable, were withdrawn or have failed.
        error: Why the entries failed; None if they did not.
        on_done: Called when `done` is set.
    """

    entries: tuple[JournalEntry, ...]
    retry: bool
    done: anyio.Event = field(factory=anyio.Event)
    error: Exception | None = None
    on_done: Callable[[], None] | None = None

    def finish(self, error: Exception | None = None) -> None:
        """Set `done`, with the error if the entries failed, and call `on_done`."""
        self.error = error
        self.done.set()
        if self.on_done is not None:
            self.on_done()

    async def wait(self) -> None:
        """Wait until the entries are durable or were withdrawn.

        Raises:
            UnavailableError: Neither the table nor the object store could be written.
            SealedError: The journal is sealed.
        """
        await self.done.wait()
        if self.error is not None:
            raise self.error


@frozen
class _Pin:
    """A run or transfer whose segments are kept until it is settled.

    A run is one execution of a request.
    """

    name: str


@define(eq=False)
class Journal:
    """Journal of one incarnation.

    Entries are appended to the table, or to the object store while the table fails.

    Entries are appended in the order in which they were queued, and no append starts
    before the previous one is durable or has failed. Recovery relies on that order:
    tokens released by an outcome are held again only by intents that follow it.

    Attributes:
        self_id: Identifier of this incarnation.
        router: Row of the incarnation; each append to the table checks its version.
        target: Where the last append was written.
        sealed: Set when another router is found to have sealed this journal, or when
            the incarnation is closed.
        appended: Number of entries made durable.
        segments: Number of segments written, by target.
        pins: Names of the runs (executions of requests) and transfers for which a
            segment is kept in the table, by the segment's number.
        pinned: Numbers of the segments kept for a run or transfer, by its name.
        deletable: Numbers of the segments that the next appends may delete.
        random: Source of random delays for all tasks of this incarnation.
    """

    self_id: RouterId
    table: Table
    objects: Objects
    options: MoneyOptions
    router: Observed[RouterRow]
    target: JournalTarget = JournalTarget.TABLE
    sealed: anyio.Event = field(factory=anyio.Event)
    appended: int = 0
    segments: dict[JournalTarget, int] = field(factory=dict)
    queue: deque[PendingAppend] = field(factory=deque)
    queued: anyio.Event = field(factory=anyio.Event)
    wake: anyio.Event = field(factory=anyio.Event)
    table_number: int = 1
    object_number: int = 1
    table_backoff_until: float = 0.0
    retry_delay: float = 0.0
    pins: dict[int, set[str]] = field(factory=dict)
    pinned: dict[str, list[int]] = field(factory=dict)
    deletable: deque[int] = field(factory=deque)
    random: random.Random = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Seed the random source by the identifier, so that routers' delays differ."""
        self.random = random.Random(self.self_id)

    def enqueue(
        self, *entries: JournalEntry, retry: bool = True, lazy: bool = False
    ) -> PendingAppend:
        """Queue entries and return at once; the returned append can be waited for.

        Args:
            entries: The entries, which are appended together.
            retry: Whether they stay queued after a failed append.
            lazy: Whether the append may be delayed by up to `outcome_delay`, to include
                later entries.
        """
        append = PendingAppend(entries, retry)
        if self.sealed.is_set():
            append.finish(SealedError(f"{self.self_id} was sealed"))
            return append
        self.queue.append(append)
        self.queued.set()
        if not lazy:
            self.wake.set()
        return append

    def withdraw(self, append: PendingAppend) -> bool:
        """Remove entries from the queue; return False if they are not queued any more.

        An outcome need not be written once its bill is in the table.
        """
        if append not in self.queue:
            return False
        self.queue.remove(append)
        append.finish()
        return True

    async def flush(self) -> None:
        """Wait until all entries queued so far are durable or have failed.

        Raises:
            SealedError: The journal is sealed.
        """
        await self.enqueue().wait()

    def unpin(self, name: str) -> None:
        """Record that a run's bill or a transfer is final in the table.

        Segments in which nothing else is pending may then be deleted.
        """
        for number in self.pinned.pop(name, ()):
            pins = self.pins[number]
            pins.discard(name)
            if not pins:
                del self.pins[number]
                self.deletable.append(number)

    def table_keys(self) -> list[str]:
        """Return the keys of this journal's segments that are still in the table."""
        numbers = sorted((*self.pins, *self.deletable))
        return [segment_key(self.self_id, number) for number in numbers]

    async def run(self) -> None:
        """Append queued entries until the journal is sealed."""
        while not self.sealed.is_set():
            await self.queued.wait()
            with anyio.move_on_after(self.options.outcome_delay):
                await self.wake.wait()
            self.queued = anyio.Event()
            self.wake = anyio.Event()
            while self.queue and not self.sealed.is_set():
                await self._append_queued()

    async def _append_queued(self) -> None:
        batch = list(self.queue)
        self.queue.clear()
        entries = tuple(entry for append in batch for entry in append.entries)
        try:
            if entries:
                await self._append(JournalSegment(entries))
        except SealedError as error:
            self.seal(batch, error)
        except PlatformError as error:
            await self._handle_failure(batch, error)
        except BaseException:
            self.queue.extendleft(reversed(batch))
            raise
        else:
            self.retry_delay = 0.0
            self.appended += len(entries)
            for append in batch:
                append.finish()

    def seal(self, batch: list[PendingAppend], error: SealedError) -> None:
        """Mark this journal as sealed, and fail the given and all queued appends."""
        self.sealed.set()
        for append in (*batch, *self.queue):
            append.finish(error)
        self.queue.clear()

    async def _handle_failure(
        self, batch: list[PendingAppend], error: PlatformError
    ) -> None:
        self.target = JournalTarget.NOWHERE
        kept = [append for append in batch if append.retry]
        for append in batch:
            if not append.retry:
                append.finish(UnavailableError(f"the journal is not writable: {error}"))
        self.queue.extendleft(reversed(kept))
        longer = max(self.options.min_retry_delay, self.retry_delay * 2)
        self.retry_delay = min(longer, self.options.max_retry_delay)
        if kept:
            await self._back_off()

    async def _back_off(self) -> None:
        # A new entry ends the delay, so that its request is refused promptly.
        before = len(self.queue)
        with anyio.move_on_after(self.retry_delay):
            while len(self.queue) == before:
                self.wake = anyio.Event()
                await self.wake.wait()

    async def _append(self, segment: JournalSegment) -> None:
        if anyio.current_time() >= self.table_backoff_until:
            try:
                await self._append_to_table(segment)
            except SealedError:
                raise
            except PlatformError:
                backoff = self.options.table_backoff
                self.table_backoff_until = anyio.current_time() + backoff
            else:
                self._count_segment(JournalTarget.TABLE)
                return
        await self._append_to_objects(segment)
        self._count_segment(JournalTarget.OBJECTS)

    def _count_segment(self, target: JournalTarget) -> None:
        self.target = target
        self.segments[target] = self.segments.get(target, 0) + 1

    async def _append_to_table(self, segment: JournalSegment) -> None:
        deletions = list(self.deletable)[: self.options.deletions_per_append]
        error: PlatformError = UnavailableError("the append met other writers")
        for _ in range(MAX_APPEND_TRIES):
            number = self.table_number
            transaction = append_transaction(
                self.self_id, self.router, number, segment, deletions
            )
            try:
                await self.table.commit(transaction)
            except UnknownOutcomeError as unknown:
                error = unknown
                written = await self._read_table_segment(number)
            except ConflictError as conflict:
                error = conflict
                written = await self._read_table_segment(number)
                if written is None:
                    continue
            else:
                written = segment
            if written is None:
                # The commit may still take effect later. Retrying with the same number
                # is safe, because each number can be written only once.
                continue
            self.table_number = number + 1
            self._pin(number, written)
            if written == segment:
                for old in deletions:
                    self.deletable.remove(old)
                return
        raise error

    async def _read_table_segment(self, number: int) -> JournalSegment | None:
        key = segment_key(self.self_id, number)
        router, row = await self.table.read((router_key(self.self_id), key))
        if router is None or router.version != self.router.version:
            raise SealedError(f"{self.self_id} was sealed")
        if row is None:
            return None
        return from_json(row.value, JournalSegment)

    async def _append_to_objects(self, segment: JournalSegment) -> None:
        body = to_bytes(segment)
        error: PlatformError = UnavailableError("the append met other writers")
        for _ in range(MAX_APPEND_TRIES):
            key = segment_key(self.self_id, self.object_number)
            try:
                await self.objects.put(key, body, if_absent=True)
            except (ConflictError, UnknownOutcomeError) as failure:
                error = failure
                existing = await self.objects.get(key)
                if existing is None:
                    continue
                self._check_seal(existing)
                self.object_number += 1
                if existing == body:
                    return
            else:
                self.object_number += 1
                return
        raise error

    def _check_seal(self, body: bytes) -> None:
        written = from_bytes(body, JournalSegment)
        if any(isinstance(entry, Seal) for entry in written.entries):
            raise SealedError(f"{self.self_id} was sealed")

    def _pin(self, number: int, segment: JournalSegment) -> None:
        names = {pin.name for pin in map(_pin_of, segment.entries) if pin}
        if not names:
            self.deletable.append(number)
            return
        self.pins[number] = names
        for name in names:
            self.pinned.setdefault(name, []).append(number)


def _pin_of(entry: JournalEntry) -> _Pin | None:
    if isinstance(entry, Intent | Outcome):
        return _Pin(run_of(entry.attempt))
    if isinstance(entry, TransferOut | TransferIn):
        return _Pin(entry.transfer)
    return None
