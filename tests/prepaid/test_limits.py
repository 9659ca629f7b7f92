"""What a router may have used, by the renewals that a successor may find."""

from __future__ import annotations

import pytest

from ebonyhold.prepaid import LimitBook, SpendingLimit

WANTED = {"acme": SpendingLimit(1000, 10.0, 100.0)}


def in_doubt(age: float) -> LimitBook:
    """Return the limits after a renewal, and one in doubt so much later."""
    book = LimitBook()
    book.took_effect(book.propose(WANTED, 0.0).number)
    book.propose(WANTED, age)
    return book


RATES = [
    # the age of the renewal that arrived, and the growth within the next second
    (0.4, 10),
    (2.0, 10),
    (3.0, 100),
]


@pytest.mark.parametrize(("age", "growth"), RATES)
def test_a_renewal_after_one_in_doubt_grows_as_its_age_allows(
    age: float, growth: int
) -> None:
    """The store loses an answer, the next renewal arrives, and all VMs lose power.

    The later rate from the first moment lost a tenth of a budget.  In a long outage it
    must stay: each renewal in doubt would else start the early time anew.
    """
    book = in_doubt(age)
    renewal = book.propose(WANTED, age)
    book.took_effect(renewal.number)
    before = book.limit("acme", age)
    assert book.limit("acme", age + 1.0) - before == pytest.approx(growth, abs=1)


def test_no_renewal_in_doubt_lowers_a_limit() -> None:
    book = in_doubt(5.0)
    allowed = book.limit("acme", 5.0)
    for number in range(1, 6):
        now = 5.0 + number * 0.5
        assert book.limit("acme", now) >= allowed
        allowed = book.limit("acme", now)
        book.propose(WANTED, now)
