"""Spending limits from the renewals that a successor may find in the store."""

from __future__ import annotations

import pytest

from ebonyhold.prepaid import LimitTracker, SpendingLimit

WANTED = {"acme": SpendingLimit(1000, 10.0, 100.0)}


def in_doubt(age: float) -> LimitTracker:
    """Return limits with a confirmed renewal and one in doubt.

    These renewals were sent at 0 s and at `age` seconds.
    """
    limits = LimitTracker()
    limits.took_effect(limits.propose(WANTED, 0.0).number)
    limits.propose(WANTED, age)
    return limits


RATES = [
    # age of the confirmed renewal in seconds, and growth in the next second in tokens
    (0.4, 10),
    (2.0, 10),
    (3.0, 100),
]


@pytest.mark.parametrize(("age", "growth"), RATES)
def test_growth_after_a_renewal_in_doubt_depends_on_age(
    age: float, growth: int
) -> None:
    """Guards against the wrong rate if a renewal is confirmed after one in doubt.

    If limits grew at the later rate soon after a renewal, a power cut of all VMs would
    lose a tenth of a budget.  In a long outage they must keep the later rate, because
    each renewal would otherwise restart the early period.
    """
    limits = in_doubt(age)
    renewal = limits.propose(WANTED, age)
    limits.took_effect(renewal.number)
    before = limits.limit("acme", age)
    assert limits.limit("acme", age + 1.0) - before == pytest.approx(growth, abs=1)


def test_renewals_in_doubt_do_not_lower_a_limit() -> None:
    limits = in_doubt(5.0)
    allowed = limits.limit("acme", 5.0)
    for number in range(1, 6):
        now = 5.0 + number * 0.5
        assert limits.limit("acme", now) >= allowed
        allowed = limits.limit("acme", now)
        limits.propose(WANTED, now)
