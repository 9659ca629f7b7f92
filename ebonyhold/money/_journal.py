"""The task that owns a router's journal: group commit in the table or the store."""

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
    Outcome,
    RouterRow,
    Seal,
    Seen,
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

APPEND_TRIES = 4
"""Tries of one append in one place, before the other place is used."""


class Place(Enum):
    """Where the last append went."""

    TABLE = "table"
    OBJECTS = "objects"
    NOWHERE = "nowhere"


@define(eq=False)
class Append:
    """Entries on their way into the journal.

    Attributes:
        entries: What to append, together.
        keep: Whether the entries stay queued until they are durable.  Intents
            do not: a request that is refused must not wait for an outage's end.
        done: Set when they are durable, or have failed.
        error: Why they failed.
        then: Called when they are durable, or have failed.
    """

    entries: tuple[JournalEntry, ...]
    keep: bool
    done: anyio.Event = field(factory=anyio.Event)
    error: Exception | None = None
    then: Callable[[], None] | None = None

    def end(self, error: Exception | None = None) -> None:
        """Note how it ended."""
        self.error = error
        self.done.set()
        if self.then is not None:
            self.then()

    async def wait(self) -> None:
        """Wait until the entries are durable.

        Raises:
            UnavailableError: Neither place could be written.
            SealedError: The journal is sealed.
        """
        await self.done.wait()
        if self.error is not None:
            raise self.error


@frozen
class _Pin:
    """What keeps a segment from being dropped: a run or a transfer."""

    name: str


@define(eq=False)
class Journal:
    """One incarnation's journal.

    Entries are appended in the order in which they were queued, and no append
    starts before the one before it is durable or has failed.  Recovery relies
    on that order: tokens that an outcome set free are only ever held again by
    an intent behind it.

    Attributes:
        me: The incarnation.
        router: Its row, whose version every append to the table checks.
        place: Where the last append went.
        sealed: Set once another router has sealed this journal.
        appended: Entries made durable.
        segments: Segments written, by place.
        random: The source of jitter for all tasks of this incarnation.
    """

    me: RouterId
    table: Table
    objects: Objects
    options: MoneyOptions
    router: Seen[RouterRow]
    place: Place = Place.TABLE
    sealed: anyio.Event = field(factory=anyio.Event)
    appended: int = 0
    segments: dict[Place, int] = field(factory=dict)
    queue: deque[Append] = field(factory=deque)
    some: anyio.Event = field(factory=anyio.Event)
    wake: anyio.Event = field(factory=anyio.Event)
    table_number: int = 1
    object_number: int = 1
    table_rests_until: float = 0.0
    pause: float = 0.0
    pins: dict[int, set[str]] = field(factory=dict)
    pinned: dict[str, list[int]] = field(factory=dict)
    droppable: deque[int] = field(factory=deque)
    random: random.Random = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Seed the jitter by the name, so that two routers do not agree on it."""
        self.random = random.Random(self.me)

    def put(
        self, *entries: JournalEntry, keep: bool = True, lazy: bool = False
    ) -> Append:
        """Queue entries; the returned append says when they are durable.

        Args:
            entries: What to append, together.
            keep: Whether they stay queued until they are durable.
            lazy: Whether they may wait a moment for other entries, and be
                withdrawn meanwhile.
        """
        append = Append(entries, keep)
        if self.sealed.is_set():
            append.end(SealedError(f"{self.me} was sealed"))
            return append
        self.queue.append(append)
        self.some.set()
        if not lazy:
            self.wake.set()
        return append

    def withdraw(self, append: Append) -> bool:
        """Take entries back that are not on their way yet; False when they are.

        An outcome is not needed any more once its bill is in the table.
        """
        if append not in self.queue:
            return False
        self.queue.remove(append)
        append.end()
        return True

    async def flush(self) -> None:
        """Wait until everything queued so far is durable.

        Raises:
            SealedError: The journal is sealed.
        """
        await self.put().wait()

    def settle(self, name: str) -> None:
        """Note that a run's bill, or a transfer, is in the table for good."""
        for number in self.pinned.pop(name, ()):
            pins = self.pins[number]
            pins.discard(name)
            if not pins:
                del self.pins[number]
                self.droppable.append(number)

    def table_keys(self) -> list[str]:
        """Return the keys of the segments that still stand in the table."""
        numbers = sorted((*self.pins, *self.droppable))
        return [segment_key(self.me, number) for number in numbers]

    async def run(self) -> None:
        """Append what is queued until the journal is sealed or the task ends."""
        while not self.sealed.is_set():
            await self.some.wait()
            with anyio.move_on_after(self.options.outcome_delay):
                await self.wake.wait()
            self.some = anyio.Event()
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
            await self._failed(batch, error)
        except BaseException:
            self.queue.extendleft(reversed(batch))
            raise
        else:
            self.pause = 0.0
            self.appended += len(entries)
            for append in batch:
                append.end()

    def seal(self, batch: list[Append], error: SealedError) -> None:
        """Fail everything: this incarnation is over."""
        self.sealed.set()
        for append in (*batch, *self.queue):
            append.end(error)
        self.queue.clear()

    async def _failed(self, batch: list[Append], error: PlatformError) -> None:
        self.place = Place.NOWHERE
        kept = [append for append in batch if append.keep]
        for append in batch:
            if not append.keep:
                append.end(UnavailableError(f"the journal is not writable: {error}"))
        self.queue.extendleft(reversed(kept))
        longer = max(self.options.retry_pause, self.pause * 2)
        self.pause = min(longer, self.options.most_pause)
        if kept:
            await self._rest()

    async def _rest(self) -> None:
        # A new entry ends the pause: a request must hear soon that it cannot run.
        before = len(self.queue)
        with anyio.move_on_after(self.pause):
            while len(self.queue) == before:
                self.wake = anyio.Event()
                await self.wake.wait()

    async def _append(self, segment: JournalSegment) -> None:
        if anyio.current_time() >= self.table_rests_until:
            try:
                await self._append_to_table(segment)
            except SealedError:
                raise
            except PlatformError:
                rest = self.options.table_rest
                self.table_rests_until = anyio.current_time() + rest
            else:
                self._went(Place.TABLE)
                return
        await self._append_to_objects(segment)
        self._went(Place.OBJECTS)

    def _went(self, place: Place) -> None:
        self.place = place
        self.segments[place] = self.segments.get(place, 0) + 1

    async def _append_to_table(self, segment: JournalSegment) -> None:
        drops = list(self.droppable)[: self.options.drops_at_once]
        error: PlatformError = UnavailableError("the append met other writers")
        for _ in range(APPEND_TRIES):
            number = self.table_number
            wish = append_transaction(self.me, self.router, number, segment, drops)
            try:
                await self.table.commit(wish)
            except UnknownOutcomeError as unknown:
                error = unknown
                written = await self._written_in_table(number)
            except ConflictError as conflict:
                error = conflict
                written = await self._written_in_table(number)
                if written is None:
                    continue
            else:
                written = segment
            if written is None:
                # The lost call may still arrive.  Trying the same number again
                # is safe: only one of the two can be the first to write it.
                continue
            self.table_number = number + 1
            self._pin(number, written)
            if written == segment:
                for old in drops:
                    self.droppable.remove(old)
                return
        raise error

    async def _written_in_table(self, number: int) -> JournalSegment | None:
        key = segment_key(self.me, number)
        router, row = await self.table.read((router_key(self.me), key))
        if router is None or router.version != self.router.version:
            raise SealedError(f"{self.me} was sealed")
        if row is None:
            return None
        return from_json(row.value, JournalSegment)

    async def _append_to_objects(self, segment: JournalSegment) -> None:
        body = to_bytes(segment)
        error: PlatformError = UnavailableError("the append met other writers")
        for _ in range(APPEND_TRIES):
            key = segment_key(self.me, self.object_number)
            try:
                await self.objects.put(key, body, if_absent=True)
            except (ConflictError, UnknownOutcomeError) as unclear:
                error = unclear
                there = await self.objects.get(key)
                if there is None:
                    continue
                self._refuse_sealed(there)
                self.object_number += 1
                if there == body:
                    return
            else:
                self.object_number += 1
                return
        raise error

    def _refuse_sealed(self, body: bytes) -> None:
        written = from_bytes(body, JournalSegment)
        if any(isinstance(entry, Seal) for entry in written.entries):
            raise SealedError(f"{self.me} was sealed")

    def _pin(self, number: int, segment: JournalSegment) -> None:
        names = {pin.name for pin in map(_pin_of, segment.entries) if pin}
        if not names:
            self.droppable.append(number)
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
