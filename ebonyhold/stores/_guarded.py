"""Sends the calls to the table and the object store through their guards."""

from __future__ import annotations

from functools import partial

import anyio
from attrs import define, field, frozen

from ebonyhold.coordination import Objects, Row, Table, Transaction
from ebonyhold.stores._call_queue import Priority
from ebonyhold.stores._guard import Guard


@define
class GuardedTable:
    """A table with a guard; queued calls wait until `run` admits them.

    Attributes:
        table: The client of the table.
        guard: The rate limits, breaker, retries and counters of the table.
    """

    table: Table
    guard: Guard = field(factory=Guard)

    def for_class(self, priority: Priority) -> TableView:
        """Return a `Table` whose calls all have this priority class."""
        return TableView(self.table, self.guard, priority)

    async def run(self) -> None:
        """Admit queued calls until cancelled."""
        await self.guard.run()


@frozen
class TableView:
    """A `Table` whose calls all go through the guard with the same priority class."""

    table: Table
    guard: Guard
    priority: Priority

    async def read(self, keys: tuple[str, ...]) -> tuple[Row | None, ...]:
        """Return the rows of keys, in the order given; None for a missing row.

        Raises:
            UnavailableError: The call failed or was refused in this process.
        """
        operation = partial(self.table.read, keys)
        limiter = self.guard.reads
        return await self.guard.call(limiter, self.priority, len(keys), operation)

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        """Return at most `limit` rows with a key prefix, in key order after `after`.

        Raises:
            UnavailableError: The call failed or was refused in this process.
        """
        operation = partial(self.table.scan, prefix, after, limit)
        limiter = self.guard.reads
        rows = await self.guard.call(limiter, self.priority, 1, operation)
        # Takes the rows after the first one from the bucket, as their number was
        # unknown before the scan.
        limiter.queue.bucket.spend(max(0, len(rows) - 1), anyio.current_time())
        return rows

    async def commit(self, transaction: Transaction) -> None:
        """Commit a transaction.

        Raises:
            ConflictError: A check failed; nothing was written.
            UnavailableError: The call had no effect.
            UnknownOutcomeError: The call may have taken effect.
        """
        operation = partial(self.table.commit, transaction)
        rows = max(1, len(transaction.writes))
        await self.guard.call(self.guard.writes, self.priority, rows, operation)


@define
class GuardedObjects:
    """An object store with a guard; queued calls wait until `run` admits them.

    Attributes:
        objects: The client of the object store.
        guard: The rate limits, breaker, retries and counters of the store.
    """

    objects: Objects
    guard: Guard = field(factory=Guard)

    def for_class(self, priority: Priority) -> ObjectsView:
        """Return an `Objects` whose calls all have one class."""
        return ObjectsView(self.objects, self.guard, priority)

    async def run(self) -> None:
        """Admit queued calls until cancelled."""
        await self.guard.run()


@frozen
class ObjectsView:
    """An `Objects` whose calls pass the guard in one class."""

    objects: Objects
    guard: Guard
    priority: Priority

    async def get(self, key: str) -> bytes | None:
        """Return the body of an object, or None if there is no such object.

        Raises:
            UnavailableError: The call failed or was refused in this process.
        """
        operation = partial(self.objects.get, key)
        return await self.guard.call(self.guard.reads, self.priority, 1, operation)

    async def put(self, key: str, body: bytes, *, if_absent: bool = False) -> None:
        """Write an object, replacing it unless `if_absent` is set.

        Raises:
            ConflictError: The object exists, and `if_absent` is set.
            UnavailableError: The call had no effect.
            UnknownOutcomeError: The call may have taken effect.
        """
        operation = partial(self.objects.put, key, body, if_absent=if_absent)
        await self.guard.call(self.guard.writes, self.priority, 1, operation)

    async def delete(self, key: str) -> None:
        """Delete an object; do nothing if there is none.

        Raises:
            UnavailableError: The call had no effect.
            UnknownOutcomeError: The object may have been deleted; a retry is safe.
        """
        operation = partial(self.objects.delete, key)
        await self.guard.call(self.guard.writes, self.priority, 1, operation)

    async def keys(self, prefix: str, after: str = "", limit: int = 1000) -> list[str]:
        """Return at most `limit` keys with a prefix, in order after `after`.

        Raises:
            UnavailableError: The call failed or was refused in this process.
        """
        operation = partial(self.objects.keys, prefix, after, limit)
        return await self.guard.call(self.guard.reads, self.priority, 1, operation)
