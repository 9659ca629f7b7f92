"""Leases with fencing numbers, as transactions on one row of the table.

No clocks are compared.  A lease lapses for a router when that router has seen the
same version of the row for the whole length on its own clock, so a holder that
renews in time keeps it whatever the clocks say.  A holder that is paused after
its check still believes it holds: only the fencing number, checked where the
orders arrive, or reading back and repeating where it is not, covers that.
"""

from __future__ import annotations

import cattrs
from attrs import evolve, frozen

from ebonyhold.coordination._codec import from_json, to_json
from ebonyhold.coordination._keys import lease_key
from ebonyhold.coordination._transactions import (
    Absent,
    AtVersion,
    Check,
    Put,
    Row,
    Transaction,
)
from ebonyhold.types import RouterId, Seconds

MARGIN = 1.25
"""Multiplies the length for everybody but the holder, for clocks that drift."""


@frozen
class LeaseRow:
    """One lease, at ``lease/{name}``; the row stays when it is released.

    Attributes:
        holder: The incarnation that holds it; empty when released.
        fencing: Raised by one with each new holder, never lowered.
        length: For how long the holder may believe in it, in seconds.
    """

    holder: RouterId
    fencing: int
    length: Seconds


@frozen
class LeaseSighting:
    """A version of the row, and since when this router has seen it."""

    version: int
    since: Seconds


@frozen
class HeldLease:
    """What a holder knows of its lease.

    Attributes:
        name: Which lease.
        row: What the table holds.
        version: The version of the row that the next renewal replaces.
        until: When the holder must stop believing, on its own clock.
    """

    name: str
    row: LeaseRow
    version: int
    until: Seconds

    def holds(self, now: Seconds) -> bool:
        """Say whether the holder may still act; a pause may follow at once."""
        return now < self.until


@frozen
class LeasePlan:
    """A change of a lease that is to be committed.

    Attributes:
        transaction: What to commit.
        outcome: What is held if it takes effect; None after a release.
    """

    transaction: Transaction
    outcome: HeldLease | None


def parse_lease(row: Row | None) -> LeaseRow | None:
    """Return what the table holds, or None when there is no such lease yet.

    Raises:
        ValueError: The row has another form.
    """
    if row is None:
        return None
    try:
        return from_json(row.value, LeaseRow)
    except cattrs.BaseValidationError as error:
        raise ValueError(f"{row.key} is no lease") from error


def sight_lease(
    previous: LeaseSighting | None, row: Row, now: Seconds
) -> LeaseSighting:
    """Note that the row was read; the time counts from the first such reading."""
    if previous is not None and previous.version == row.version:
        return previous
    return LeaseSighting(row.version, now)


def has_lapsed(row: Row, sighting: LeaseSighting | None, now: Seconds) -> bool:
    """Say whether others may take the lease: it is released, or not renewed."""
    lease = parse_lease(row)
    if lease is None or not lease.holder:
        return True
    if sighting is None or sighting.version != row.version:
        return False
    return now >= sighting.since + MARGIN * lease.length


def plan_acquire(
    name: str,
    me: RouterId,
    row: Row | None,
    sighting: LeaseSighting | None,
    length: Seconds,
    now: Seconds,
) -> LeasePlan | None:
    """Plan to take a lease, or return None while somebody else may hold it.

    Args:
        name: Which lease.
        me: Who wants it.
        row: The row as just read.
        sighting: Since when this version of the row has been seen.
        length: For how long to hold it, in seconds.
        now: The time on this router's clock, from before the commit is sent.
    """
    if row is None:
        return plan_write(name, LeaseRow(me, 1, length), 0, now)
    lease = parse_lease(row)
    if lease is None or not has_lapsed(row, sighting, now):
        return None
    return plan_write(name, LeaseRow(me, lease.fencing + 1, length), row.version, now)


def plan_renew(held: HeldLease, now: Seconds) -> LeasePlan:
    """Plan to go on holding; a conflict means that it has been lost.

    Args:
        held: What is held.
        now: The time from before the commit is sent: counted from the answer,
            the holder would believe longer than the others wait.
    """
    return plan_write(held.name, held.row, held.version, now)


def plan_release(held: HeldLease) -> LeasePlan:
    """Plan to give the lease up, so that the next holder need not wait."""
    row = evolve(held.row, holder="")
    transaction = plan_write(held.name, row, held.version, 0.0).transaction
    return LeasePlan(transaction, None)


def plan_write(name: str, row: LeaseRow, version: int, now: Seconds) -> LeasePlan:
    """Plan one write of the row, on the version that was read; 0 for none."""
    key = lease_key(name)
    check: Check = AtVersion(key, version) if version else Absent(key)
    transaction = Transaction((check,), (Put(key, to_json(row)),))
    return LeasePlan(transaction, HeldLease(name, row, version + 1, now + row.length))


def resolve_lease(wanted: LeasePlan, row: Row | None) -> HeldLease | None:
    """Find out by reading back whether a plan took effect whose answer was lost.

    The version and the content must both be those that were planned: another
    router's write of the same version differs in its holder, and an earlier
    life of this router had another name.
    """
    outcome = wanted.outcome
    if outcome is None or row is None or row.version != outcome.version:
        return None
    return outcome if parse_lease(row) == outcome.row else None
