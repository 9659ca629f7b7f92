"""The table and the object store behind their guards."""

from __future__ import annotations

from functools import partial

import anyio
from attrs import define, field, frozen

from ebonyhold.coordination import Objects, Row, Table, Transaction
from ebonyhold.stores._guard import Guard
from ebonyhold.stores._turnstile import Priority


@define
class GuardedTable:
    """A table behind a guard; `run` must run beside the callers.

    Attributes:
        table: What is guarded.
        guard: Its ceilings, breaker, retries and counters.
    """

    table: Table
    guard: Guard = field(factory=Guard)

    def for_class(self, priority: Priority) -> TableView:
        """Return the table for one class of calls."""
        return TableView(self.table, self.guard, priority)

    async def run(self) -> None:
        """Give out turns for ever."""
        await self.guard.run()


@frozen
class TableView:
    """A `Table` whose calls belong to one class."""

    table: Table
    guard: Guard
    priority: Priority

    async def read(self, keys: tuple[str, ...]) -> tuple[Row | None, ...]:
        """Read rows, in the order of the keys.

        Raises:
            UnavailableError: The table cannot be reached.
        """
        operation = partial(self.table.read, keys)
        lane = self.guard.reads
        return await self.guard.call(lane, self.priority, len(keys), operation)

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        """Read rows whose key starts with a prefix, in the order of their keys.

        Raises:
            UnavailableError: The table cannot be reached.
        """
        operation = partial(self.table.scan, prefix, after, limit)
        lane = self.guard.reads
        rows = await self.guard.call(lane, self.priority, 1, operation)
        # How many rows a scan reads is known only now.
        lane.turnstile.bucket.spend(max(0, len(rows) - 1), anyio.current_time())
        return rows

    async def commit(self, transaction: Transaction) -> None:
        """Commit a transaction.

        Raises:
            ConflictError: A check failed; nothing was written.
            UnavailableError: It certainly had no effect.
            UnknownOutcomeError: It may have taken effect.
        """
        operation = partial(self.table.commit, transaction)
        rows = max(1, len(transaction.writes))
        await self.guard.call(self.guard.writes, self.priority, rows, operation)


@define
class GuardedObjects:
    """An object store behind a guard; `run` must run beside the callers.

    Attributes:
        objects: What is guarded.
        guard: Its ceilings, breaker, retries and counters.
    """

    objects: Objects
    guard: Guard = field(factory=Guard)

    def for_class(self, priority: Priority) -> ObjectsView:
        """Return the store for one class of calls."""
        return ObjectsView(self.objects, self.guard, priority)

    async def run(self) -> None:
        """Give out turns for ever."""
        await self.guard.run()


@frozen
class ObjectsView:
    """An `Objects` whose calls belong to one class."""

    objects: Objects
    guard: Guard
    priority: Priority

    async def get(self, key: str) -> bytes | None:
        """Read an object, or None when there is none.

        Raises:
            UnavailableError: The store cannot be reached.
        """
        operation = partial(self.objects.get, key)
        return await self.guard.call(self.guard.reads, self.priority, 1, operation)

    async def put(self, key: str, body: bytes, *, if_absent: bool = False) -> None:
        """Write an object.

        Raises:
            ConflictError: There is one already, and `if_absent` was asked.
            UnavailableError: It certainly had no effect.
            UnknownOutcomeError: It may have taken effect.
        """
        operation = partial(self.objects.put, key, body, if_absent=if_absent)
        await self.guard.call(self.guard.writes, self.priority, 1, operation)

    async def delete(self, key: str) -> None:
        """Remove an object, if it is there.

        Raises:
            UnavailableError: The store cannot be reached.
        """
        operation = partial(self.objects.delete, key)
        await self.guard.call(self.guard.writes, self.priority, 1, operation)

    async def keys(self, prefix: str, after: str = "", limit: int = 1000) -> list[str]:
        """List keys that start with a prefix, in order.

        Raises:
            UnavailableError: The store cannot be reached.
        """
        operation = partial(self.objects.keys, prefix, after, limit)
        return await self.guard.call(self.guard.reads, self.priority, 1, operation)
