"""A table in memory whose row writes are counted."""

from __future__ import annotations

from attrs import define, field

from ebonyhold.coordination import Transaction
from ebonyhold.standins import MemoryTable


@define
class Writes:
    """Counts the row writes of all views of one table."""

    rows: int = 0


@define
class CountingTable(MemoryTable):
    """A router's view of the table, whose writes are counted."""

    counter: Writes = field(factory=Writes)

    def apply(self, transaction: Transaction) -> None:
        """Apply a transaction and count its rows."""
        super().apply(transaction)
        self.counter.rows += len(transaction.writes)
