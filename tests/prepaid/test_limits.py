"""Spending limits from the renewals that a successor may find in the store."""

from __future__ import annotations

import pytest

from ebonyhold.prepaid import LimitBook, SpendingLimit

WANTED = {"acme": SpendingLimit(1000, 10.0, 100.0)}


def in_doubt(age: float) -> LimitBook:
    """Return limits with a renewal confirmed at 0 s and one sent at `age` in doubt."""
    limits = LimitBook()
    limits.took_effect(limits.propose(WANTED, 0.0).number)
    limits.propose(WANTED, age)
    return limits


RATES = [
    # age of the confirmed renewal, and growth of the limit within the next second
    (0.4, 10),
    (2.0, 10),
    (3.0, 100),
]


@pytest.mark.parametrize(("age", "growth"), RATES)
def test_growth_after_a_renewal_in_doubt_depends_on_age(
    age: float, growth: int
) -> None:
    """A renewal is in doubt, the next one is confirmed, and all VMs lose power.

    Growth at the later rate from the start lost a tenth of a budget.  In a long outage
    that rate must stay, since each renewal in doubt would restart the early period.
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
