"""Leases with fencing numbers, as transactions on one row of the table.

Clocks of different routers are never compared.  A router regards another's lease as
expired when it has read the same version of the row for `EXPIRY_FACTOR` times the
lease's length on its own clock.  A holder that renews within that length keeps the
lease, whatever the other clocks show.

A holder that is paused after its check may act after the lease has expired.  A receiver
that checks fencing numbers refuses such an order.  If the receiver does not check them,
the current holder must read back the receiver's state and repeat its own orders.
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

EXPIRY_FACTOR = 1.25
"""Other routers wait for a lease's length times this, to allow for clock drift."""


@frozen
class LeaseRow:
    """One lease, at ``lease/{name}``; the row is kept after a release.

    Attributes:
        holder: The incarnation that holds it; empty when released.
        fencing: The fencing number; each new holder increases it by one.
        length: How long the holder may act without renewing it, in seconds.
    """

    holder: RouterId
    fencing: int
    length: Seconds


@frozen
class LeaseObservation:
    """A version of a lease's row, and when this router first read it."""

    version: int
    since: Seconds


@frozen
class HeldLease:
    """A lease as its holder knows it.

    Attributes:
        name: The lease's name.
        row: The row in the table.
        version: The version of the row that the next renewal replaces.
        until: When the holder must stop acting, on its own clock.
    """

    name: str
    row: LeaseRow
    version: int
    until: Seconds

    def holds(self, now: Seconds) -> bool:
        """Return whether the holder may act now.

        The process may be paused after this check, so the lease can have expired when
        the holder acts.
        """
        return now < self.until


@frozen
class LeasePlan:
    """A planned change of a lease.

    Attributes:
        transaction: The transaction to commit.
        outcome: The lease held if it takes effect; None after a release.
    """

    transaction: Transaction
    outcome: HeldLease | None


def parse_lease(row: Row | None) -> LeaseRow | None:
    """Return the lease in a row, or None if there is no row yet.

    Raises:
        ValueError: The row does not hold a lease.
    """
    if row is None:
        return None
    try:
        return from_json(row.value, LeaseRow)
    except cattrs.BaseValidationError as error:
        raise ValueError(f"{row.key} does not hold a lease") from error


def observe_lease(
    previous: LeaseObservation | None, row: Row, now: Seconds
) -> LeaseObservation:
    """Return the observation of a row, timed from the version's first reading."""
    if previous is not None and previous.version == row.version:
        return previous
    return LeaseObservation(row.version, now)


def has_expired(row: Row, observation: LeaseObservation | None, now: Seconds) -> bool:
    """Return whether another router may take a lease.

    It may if the lease was released, or if this version of the row was first read at
    least `EXPIRY_FACTOR` times the lease's length ago.
    """
    lease = parse_lease(row)
    if lease is None or not lease.holder:
        return True
    if observation is None or observation.version != row.version:
        return False
    return now >= observation.since + EXPIRY_FACTOR * lease.length


def plan_acquire(
    name: str,
    router: RouterId,
    row: Row | None,
    observation: LeaseObservation | None,
    length: Seconds,
    now: Seconds,
) -> LeasePlan | None:
    """Plan to take a lease; None if the lease may still be held.

    Args:
        name: The lease's name.
        router: The incarnation that takes it.
        row: The row as just read.
        observation: When this router first read the row's version, or None.
        length: How long to hold it, in seconds.
        now: The time on this router's clock, from before the commit is sent.
    """
    if row is None:
        return plan_write(name, LeaseRow(router, 1, length), 0, now)
    lease = parse_lease(row)
    if lease is None or not has_expired(row, observation, now):
        return None
    return plan_write(
        name, LeaseRow(router, lease.fencing + 1, length), row.version, now
    )


def plan_renew(held: HeldLease, now: Seconds) -> LeasePlan:
    """Plan to renew a lease; if the commit conflicts, the lease has been lost.

    Args:
        held: The lease.
        now: The time from before the commit is sent.  If the lease's length were
            counted from the answer, the holder would act for longer than the other
            routers assume.
    """
    return plan_write(held.name, held.row, held.version, now)


def plan_release(held: HeldLease) -> LeasePlan:
    """Plan to release a lease, so that the next holder need not wait."""
    row = evolve(held.row, holder="")
    transaction = plan_write(held.name, row, held.version, 0.0).transaction
    return LeasePlan(transaction, None)


def plan_write(name: str, row: LeaseRow, version: int, now: Seconds) -> LeasePlan:
    """Plan a write of a lease's row; `version` is the one read, 0 without a row."""
    key = lease_key(name)
    check: Check = AtVersion(key, version) if version else Absent(key)
    transaction = Transaction((check,), (Put(key, to_json(row)),))
    return LeasePlan(transaction, HeldLease(name, row, version + 1, now + row.length))


def resolve_lease(wanted: LeasePlan, row: Row | None) -> HeldLease | None:
    """Return the lease if the row as read back shows that the plan took effect.

    Both the version and the content must match the plan, because another router, or an
    earlier incarnation of this one, may have written the same version.  The result is
    None for a release.
    """
    outcome = wanted.outcome
    if outcome is None or row is None or row.version != outcome.version:
        return None
    return outcome if parse_lease(row) == outcome.row else None
