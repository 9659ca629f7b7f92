"""Leases: acquisition, renewal, release, and lost answers."""

from __future__ import annotations

import pytest

from ebonyhold.coordination import (
    Absent,
    AtVersion,
    HeldLease,
    LeaseObservation,
    LeasePlan,
    LeaseRow,
    Put,
    Row,
    observe_lease,
    parse_lease,
    plan_acquire,
    plan_release,
    plan_renew,
    resolve_lease,
    to_json,
)

KEY = "lease/orders"
LENGTH = 10.0


def row(holder: str, fencing: int, version: int) -> Row:
    return Row(KEY, version, to_json(LeaseRow(holder, fencing, LENGTH)))


def acquire(current: Row | None, since: float | None, now: float) -> LeasePlan | None:
    observation = None
    if current is not None and since is not None:
        observation = LeaseObservation(current.version, since)
    return plan_acquire("orders", "b.1", current, observation, LENGTH, now)


@pytest.mark.parametrize(
    ("current", "since", "now", "fencing"),
    [
        (None, None, 0.0, 1),
        (row("", 4, 9), None, 0.0, 5),
        (row("a.1", 4, 9), None, 1e9, None),
        (row("a.1", 4, 9), 100.0, 105.0, None),
        (row("a.1", 4, 9), 100.0, 112.4, None),
        (row("a.1", 4, 9), 100.0, 112.5, 5),
        (row("b.1", 4, 9), 100.0, 105.0, None),
    ],
)
def test_who_may_acquire_it(
    current: Row | None, since: float | None, now: float, fencing: int | None
) -> None:
    plan = acquire(current, since, now)
    taken = plan.outcome.row.fencing if plan and plan.outcome else None
    assert taken == fencing


def test_an_observed_renewal_restarts_the_wait() -> None:
    first = observe_lease(None, row("a.1", 1, 1), 0.0)
    assert observe_lease(first, row("a.1", 1, 1), 9.0) == first
    assert observe_lease(first, row("a.1", 1, 2), 9.0) == LeaseObservation(2, 9.0)


def test_the_holder_stops_acting_before_others_may_take_it() -> None:
    """Guards against a lease whose length is counted from the answer to a renewal.

    If the answer takes seven seconds, the holder would act for that much longer, while
    another router may already have taken the lease.
    """
    held = HeldLease("orders", LeaseRow("a.1", 1, LENGTH), 1, 10.0)
    sent_at = 5.0
    renewed = plan_renew(held, sent_at).outcome
    assert renewed is not None
    assert renewed.version == 2
    assert renewed.until == sent_at + LENGTH
    assert not renewed.holds(sent_at + LENGTH)


def test_checks_of_the_plans() -> None:
    first = acquire(None, None, 0.0)
    assert first is not None and first.outcome is not None
    assert first.transaction.checks == (Absent(KEY),)
    renewal = plan_renew(first.outcome, 1.0)
    assert renewal.transaction.checks == (AtVersion(KEY, 1),)
    release = plan_release(first.outcome)
    assert release.outcome is None
    assert release.transaction.writes == (Put(KEY, to_json(LeaseRow("", 1, LENGTH))),)


@pytest.mark.parametrize(
    ("found", "held"),
    [
        (None, False),
        (row("b.1", 5, 10), True),
        (row("a.1", 4, 9), False),
        (row("c.1", 5, 10), False),
        (row("b.1", 5, 11), False),
    ],
)
def test_a_lost_answer_is_resolved_by_reading_back(
    found: Row | None, held: bool
) -> None:
    """The answer to a commit is lost, so the row shows whether the commit took effect.

    The lease is held only if the row has the planned version, holder and fencing
    number.
    """
    plan = acquire(row("a.1", 4, 9), 0.0, 100.0)
    assert plan is not None
    assert (resolve_lease(plan, found) is not None) == held


def test_a_row_of_another_form_is_an_error() -> None:
    with pytest.raises(ValueError, match="does not hold a lease"):
        parse_lease(Row(KEY, 1, {"holder": "a.1"}))
