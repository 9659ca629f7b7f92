"""Append to and read the journal of one incarnation."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from attrs import define, field

from ebonyhold.coordination._attempts import run_of
from ebonyhold.coordination._bills import Bill, make_bill
from ebonyhold.coordination._codec import to_json
from ebonyhold.coordination._keys import segment_key
from ebonyhold.coordination._observed import Observed
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
from ebonyhold.coordination._transactions import Absent, Delete, Put, Transaction
from ebonyhold.types import RouterId


def append_transaction(
    owner: RouterId,
    router: Observed[RouterRow],
    number: int,
    segment: JournalSegment,
    settled: Sequence[int] = (),
) -> Transaction:
    """Return the transaction that writes a segment and deletes settled ones.

    It checks the router's row.  Sealing changes that row, so no segment of a sealed
    incarnation is written to the table, however late its call arrives.
    """
    key = segment_key(owner, number)
    deletions = tuple(Delete(segment_key(owner, old)) for old in settled)
    return Transaction(
        (router.check, Absent(key)), (Put(key, to_json(segment)), *deletions)
    )


@define
class JournalContents:
    """The merged entries of one incarnation's journal, from table and object store.

    An append of unknown outcome is repeated, so the same entry may be in both of them
    and in several segments.

    Attributes:
        intents: By run, the attempts in the order of their dispatch.
        outcomes: By run, the first outcome that was added.
        given: By transfer, tokens given to other routers.
        received: By transfer, tokens received from other routers.
        sealed: Whether there is a seal in the segments.
    """

    intents: dict[str, list[Intent]] = field(factory=dict)
    outcomes: dict[str, Outcome] = field(factory=dict)
    given: dict[str, TransferOut] = field(factory=dict)
    received: dict[str, TransferIn] = field(factory=dict)
    sealed: bool = False

    def add(self, entries: Iterable[JournalEntry]) -> None:
        """Add the entries of a segment."""
        for entry in entries:
            self.add_entry(entry)

    def add_entry(self, entry: JournalEntry) -> None:
        """Add one entry; an intent or outcome that is already there is ignored."""
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
        """Return the bills of the runs that have both an intent and an outcome."""
        return tuple(
            make_bill(self.intents[run][0], outcome)
            for run, outcome in self.outcomes.items()
            if run in self.intents
        )

    def open_runs(self) -> tuple[tuple[Intent, ...], ...]:
        """Return the attempts of each run without an outcome, by run.

        Backend servers may have executed them, or may still do so.
        """
        return tuple(
            tuple(attempts)
            for run, attempts in self.intents.items()
            if run not in self.outcomes
        )
