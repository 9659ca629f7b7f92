"""The transactional table service, in memory."""

from __future__ import annotations

import json
from bisect import bisect_left, bisect_right, insort
from collections.abc import Iterator

from attrs import define, field

from ebonyhold.coordination import Absent, Check, Put, Row, Transaction, Write
from ebonyhold.exceptions import ConflictError
from ebonyhold.standins._ceiling import Ceiling
from ebonyhold.standins._faults import Faults
from ebonyhold.types import Json


@define
class MemoryTable:
    """A `Table` in memory, with faults and ceilings.

    Attributes:
        faults: What goes wrong.
        writes: The ceiling on row writes a second; checks are free.
        reads: The ceiling on row reads a second; an absent row counts too.
        rows: Every row by key.
        order: Every key, sorted.
        commits: Transactions that took effect.
    """

    faults: Faults = field(factory=Faults)
    writes: Ceiling = field(factory=Ceiling)
    reads: Ceiling = field(factory=Ceiling)
    rows: dict[str, Row] = field(factory=dict)
    order: list[str] = field(factory=list)
    commits: int = 0

    @classmethod
    def limited(cls, writes: float, reads: float) -> MemoryTable:
        """Make a table with ceilings in rows a second."""
        return cls(writes=Ceiling(writes), reads=Ceiling(reads))

    async def read(self, keys: tuple[str, ...]) -> tuple[Row | None, ...]:
        """Read rows, in the order of the keys."""

        async def call() -> tuple[Row | None, ...]:
            self.reads.take(len(keys))
            return tuple(self.rows.get(key) for key in keys)

        return await self.faults.read(call)

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        """Read rows whose key starts with a prefix, in the order of their keys."""

        async def call() -> list[Row]:
            found = self.matching(prefix, after, limit)
            self.reads.take(max(1, len(found)))
            return found

        return await self.faults.read(call)

    async def commit(self, transaction: Transaction) -> None:
        """Commit a transaction.

        Raises:
            ConflictError: A check failed; nothing was written.
        """

        async def call() -> None:
            self.writes.take(len(transaction.writes))
            self.apply(transaction)

        await self.faults.write(call)

    def matching(self, prefix: str, after: str, limit: int) -> list[Row]:
        """Return the rows of a scan."""
        place = max(bisect_left(self.order, prefix), bisect_right(self.order, after))
        found: list[Row] = []
        for key in self.order[place : place + limit]:
            if not key.startswith(prefix):
                break
            found.append(self.rows[key])
        return found

    def apply(self, transaction: Transaction) -> None:
        """Apply a transaction at once, past all faults.

        Raises:
            ConflictError: A check failed; nothing was written.
        """
        failed = tuple(
            check.key for check in transaction.checks if not self.holds(check)
        )
        if failed:
            raise ConflictError("a check failed", failed)
        # Encoded before the first write, so that a value which is not JSON
        # leaves the table as it was.
        values = [
            json.dumps(write.value)
            for write in transaction.writes
            if isinstance(write, Put)
        ]
        remaining = iter(values)
        for write in transaction.writes:
            self.write(write, remaining)
        self.commits += 1

    def holds(self, check: Check) -> bool:
        """Tell whether a check holds now."""
        row = self.rows.get(check.key)
        if isinstance(check, Absent):
            return row is None
        return row is not None and row.version == check.version

    def write(self, write: Write, values: Iterator[str]) -> None:
        """Carry out one write."""
        if not isinstance(write, Put):
            self.remove(write.key)
            return
        value: Json = json.loads(next(values))
        old = self.rows.get(write.key)
        if old is None:
            insort(self.order, write.key)
        version = 1 if old is None else old.version + 1
        self.rows[write.key] = Row(write.key, version, value)

    def remove(self, key: str) -> None:
        """Remove a row, if it is there."""
        if self.rows.pop(key, None) is not None:
            del self.order[bisect_left(self.order, key)]

    def put(self, key: str, value: Json) -> None:
        """Write one row at once, past all faults; for the set-up of tests."""
        self.apply(Transaction((), (Put(key, value),)))

    def value(self, key: str) -> Json:
        """Return a row's value, or None; past all faults, for checks in tests."""
        row = self.rows.get(key)
        return None if row is None else row.value
