"""Reading and writing the journal of one incarnation."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from attrs import define, field

from ebonyhold.coordination._attempts import run_of
from ebonyhold.coordination._bills import Bill, make_bill
from ebonyhold.coordination._codec import to_json
from ebonyhold.coordination._keys import segment_key
from ebonyhold.coordination._rows import (
    Intent,
    JournalEntry,
    JournalSegment,
    Outcome,
    RouterRow,
    Seal,
    TransferIn,
    TransferOut,
)
from ebonyhold.coordination._seen import Seen
from ebonyhold.coordination._transactions import Absent, Delete, Put, Transaction
from ebonyhold.types import RouterId


def append_transaction(
    owner: RouterId,
    router: Seen[RouterRow],
    number: int,
    segment: JournalSegment,
    settled: Sequence[int] = (),
) -> Transaction:
    """Write one segment to the table, and drop those that are settled.

    The router's row is checked.  Sealing changes that row, so no segment of a
    sealed incarnation is ever written to the table, wherever its call waited.
    """
    key = segment_key(owner, number)
    drops = tuple(Delete(segment_key(owner, old)) for old in settled)
    return Transaction(
        (router.check, Absent(key)), (Put(key, to_json(segment)), *drops)
    )


@define
class JournalReading:
    """What the segments of one incarnation say, both places taken together.

    The same entry may stand in both places and in any number of segments: an
    append whose answer was lost is written again.

    Attributes:
        intents: By run, the attempts in the order of their dispatch.
        outcomes: By run, how it ended.
        given: By transfer, what left for other routers.
        received: By transfer, what arrived from other routers.
        sealed: Whether a seal was among the segments.
    """

    intents: dict[str, list[Intent]] = field(factory=dict)
    outcomes: dict[str, Outcome] = field(factory=dict)
    given: dict[str, TransferOut] = field(factory=dict)
    received: dict[str, TransferIn] = field(factory=dict)
    sealed: bool = False

    def add(self, entries: Iterable[JournalEntry]) -> None:
        """Take in the entries of a segment."""
        for entry in entries:
            self.add_entry(entry)

    def add_entry(self, entry: JournalEntry) -> None:
        """Take in one entry."""
        if isinstance(entry, Intent):
            attempts = self.intents.setdefault(run_of(entry.attempt), [])
            if entry not in attempts:
                attempts.append(entry)
        elif isinstance(entry, Outcome):
            self.outcomes.setdefault(run_of(entry.attempt), entry)
        elif isinstance(entry, TransferOut):
            self.given[entry.transfer] = entry
        elif isinstance(entry, TransferIn):
            self.received[entry.transfer] = entry
        elif isinstance(entry, Seal):
            self.sealed = True

    def bills(self) -> tuple[Bill, ...]:
        """Return the bills of the runs that are known to have ended."""
        return tuple(
            make_bill(self.intents[run][0], outcome)
            for run, outcome in self.outcomes.items()
            if run in self.intents
        )

    def open_runs(self) -> tuple[tuple[Intent, ...], ...]:
        """Return the attempts of each run that may have run, and has no outcome."""
        return tuple(
            tuple(attempts)
            for run, attempts in self.intents.items()
            if run not in self.outcomes
        )
