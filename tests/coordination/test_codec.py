"""Rows are unchanged after encoding and decoding."""

from __future__ import annotations

import pytest

from ebonyhold.coordination import (
    BudgetRow,
    GrantRow,
    Intent,
    JournalSegment,
    Outcome,
    RequestKind,
    RequestState,
    Seal,
    TransferIn,
    TransferOut,
    from_bytes,
    to_bytes,
)

INTENT = Intent("w", "r", "a", "b", 9, RequestKind.CHAT, "d", keyed=True)
OUTCOME = Outcome("w", "r", "a", RequestState.COMPLETE, 7, 3, 4)


@pytest.mark.parametrize(
    "value",
    [
        BudgetRow(10, 2, 3),
        GrantRow(drawn=5, sequence=2),
        JournalSegment((INTENT, OUTCOME)),
        JournalSegment(
            (TransferOut("w", "t", "x.1", 4), TransferIn("w", "t", "y.1", 4), Seal("z"))
        ),
    ],
)
def test_round_trip(value: object) -> None:
    assert from_bytes(to_bytes(value), type(value)) == value
