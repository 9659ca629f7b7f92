"""A store of versioned rows with a feed of changes, in memory."""

from __future__ import annotations

import json

import anyio
from attrs import define, field

from ebonyhold.coordination import Absent, Check, Put, Row, Transaction
from ebonyhold.exceptions import ConflictError, HistoryLostError
from ebonyhold.forwarding import TaskStarter
from ebonyhold.gateway import Changes, RawRow, Snapshot
from ebonyhold.prepaid import Committed
from ebonyhold.standins._faults import Faults
from ebonyhold.types import Seconds


@define
class RowHistory:
    """What the store holds; several clients with faults of their own share it.

    Attributes:
        rows: Every row by key, written ``table/part/rest``.
        version: The version of the newest transaction.
        feed: All changes in order, with the table of each.
        forgotten: Changes up to this version are no longer kept.
    """

    rows: dict[str, Row] = field(factory=dict)
    version: int = 0
    feed: list[tuple[str, RawRow]] = field(factory=list)
    forgotten: int = 0
    changed: anyio.Event = field(factory=anyio.Event)

    def holds(self, check: Check) -> bool:
        """Tell whether a check holds now."""
        row = self.rows.get(check.key)
        if isinstance(check, Absent):
            return row is None
        return row is not None and row.version == check.version

    def apply(self, transaction: Transaction) -> int:
        """Apply a transaction and return its version.

        Raises:
            ConflictError: A check failed; nothing was written.
        """
        failed = [c.key for c in transaction.checks if not self.holds(c)]
        if failed:
            checked = (self.rows.get(check.key) for check in transaction.checks)
            rows = tuple(row for row in checked if row is not None)
            raise ConflictError("a check failed", tuple(failed), rows)
        self.version += 1
        for write in transaction.writes:
            if isinstance(write, Put):
                self.rows[write.key] = Row(write.key, self.version, write.value)
                value = json.dumps(write.value).encode()
                self.tell(write.key, RawRow("", self.version, value))
            elif self.rows.pop(write.key, None) is not None:
                self.tell(write.key, RawRow("", self.version, b"", deleted=True))
        self.changed.set()
        self.changed = anyio.Event()
        return self.version

    def tell(self, key: str, row: RawRow) -> None:
        """Add a change to the feed."""
        table, _, rest = key.split("/", 2)
        self.feed.append(
            (table, RawRow(rest, row.version, row.value, deleted=row.deleted))
        )

    def compact(self) -> None:
        """Forget all changes so far."""
        self.feed.clear()
        self.forgotten = self.version


@define
class MemoryRows:
    """One client's view of the store, with the faults on its way.

    Attributes:
        history: What the store holds.
        faults: What goes wrong for this client.
    """

    history: RowHistory = field(factory=RowHistory)
    faults: Faults = field(factory=Faults)

    def start(self, tasks: TaskStarter) -> None:
        """Take what starts tasks; there are no connections to read here."""
        del tasks

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        """Read rows whose key starts with a prefix, in the order of their keys."""

        async def call() -> list[Row]:
            rows = self.history.rows
            keys = sorted(k for k in rows if k.startswith(prefix) and k > after)
            return [rows[key] for key in keys[:limit]]

        return await self.faults.read(call)

    async def commit(self, transaction: Transaction) -> Committed:
        """Commit a transaction.

        Raises:
            ConflictError: A check failed; nothing was written.
        """

        async def call() -> Committed:
            return Committed(self.history.apply(transaction), anyio.current_time())

        return await self.faults.write(call)

    async def snapshot(self, table: str, part: str = "") -> Snapshot:
        """Read all rows of one part of a table."""

        async def call() -> Snapshot:
            prefix = f"{table}/{part}/"
            rows = tuple(
                RawRow(key[len(prefix) :], row.version, json.dumps(row.value).encode())
                for key, row in sorted(self.history.rows.items())
                if key.startswith(prefix)
            )
            return Snapshot(rows, self.history.version)

        return await self.faults.read(call)

    async def changes(self, table: str, after: int, wait: Seconds) -> Changes:
        """Wait for the changes of a table after a version.

        Raises:
            HistoryLostError: They are no longer kept.
        """

        async def call() -> Changes:
            if after < self.history.forgotten:
                raise HistoryLostError(table)
            with anyio.move_on_after(wait):
                while not self.since(table, after):
                    await self.history.changed.wait()
            return Changes(self.since(table, after), self.history.version)

        return await self.faults.read(call)

    def since(self, table: str, after: int) -> tuple[RawRow, ...]:
        """Return the changes of a table after a version."""
        return tuple(
            row
            for name, row in self.history.feed
            if name == table and row.version > after
        )
