"""Priority classes of calls to the platform."""

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
    """Guards against claims that queue behind filings of bills.

    A filing has as many rows as forty claims.  If claims and filings had one class,
    claims would take seconds although the table's rate limit is far from reached.
    """
    assert class_of_transaction(Transaction((), writes)) is priority
