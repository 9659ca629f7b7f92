"""Calls to the platform wait with those of their own class."""

from __future__ import annotations

import pytest

from ebonyhold.coordination import Delete, Put, Transaction, Write
from ebonyhold.stores import Priority
from ebonyhold.stores._classified import class_of_transaction

CLAIM = Put("request/w/q1", 1)
SEGMENT = Put("journal/r.1/0000000001", 1)
BUDGET = Put("budget/w", 1)
GRANT = Put("grant/r.1/w", 1)


@pytest.mark.parametrize(
    ("writes", "priority"),
    [
        ((CLAIM,), Priority.INTENTS),
        ((SEGMENT,), Priority.INTENTS),
        ((SEGMENT, Delete("journal/r.1/0000000000")), Priority.INTENTS),
        ((CLAIM, BUDGET, GRANT), Priority.BILLS),
        ((GRANT, BUDGET, CLAIM), Priority.BILLS),
        ((GRANT, BUDGET), Priority.BUDGETS),
        ((Put("config/head", 1),), Priority.CONFIGURATION),
        ((Put("router/r.1", 1),), Priority.HOUSEKEEPING),
        ((), Priority.HOUSEKEEPING),
    ],
)
def test_class(writes: tuple[Write, ...], priority: Priority) -> None:
    """A claim never waits behind a filing of bills.

    Callers saw permits take seconds while the table was far from its ceiling:
    claims and filings were one class, and a filing is as long as forty claims.
    """
    assert class_of_transaction(Transaction((), writes)) is priority
