"""Filing bills: the first bill, replacement by better evidence, and claims."""

from __future__ import annotations

import pytest
from attrs import evolve

from ebonyhold.coordination import (
    Absent,
    Bill,
    BudgetRow,
    ClaimAnswer,
    FilingDecision,
    GrantRow,
    KeptAnswer,
    LedgerChange,
    Observed,
    RequestKind,
    RequestRow,
    RequestState,
    RouterRow,
    RouterState,
    decide_claim,
    decide_filing,
    plan_settlement,
)

OPEN = RouterRow(RouterState.OPEN, "", "", 0.0)
ROUTER = Observed("router/a.1", 1, OPEN)
ROW = RequestRow(RequestState.RUNNING, RequestKind.CHAT, "a.1", "a.1~1~1", "e", "d")
BILL = Bill("w", "r", "a.1~1~1", "e", "d", RequestKind.CHAT, RequestState.COMPLETE, 40)
S = RequestState


@pytest.mark.parametrize(
    ("row", "attempt", "bill", "decision"),
    [
        (None, "", S.COMPLETE, FilingDecision.FILE),
        (None, "", S.NOT_RUN, FilingDecision.FILE),
        (S.RUNNING, "a.1~1~1", S.NOT_RUN, FilingDecision.FILE),
        (S.RUNNING, "b.1~9~1", S.NOT_RUN, FilingDecision.LEAVE),
        (S.RUNNING, "b.1~9~1", S.COMPLETE, FilingDecision.FILE),
        (S.COMPLETE, "b.1~9~1", S.COMPLETE, FilingDecision.LEAVE),
        (S.COMPLETE, "b.1~9~1", S.UNKNOWN, FilingDecision.LEAVE),
        (S.INTERRUPTED, "b.1~9~1", S.COMPLETE, FilingDecision.AMEND),
        (S.UNKNOWN, "a.1~1~1", S.INTERRUPTED, FilingDecision.AMEND),
        (S.NOT_RUN, "b.1~9~1", S.UNKNOWN, FilingDecision.AMEND),
        (S.NOT_RUN, "b.1~9~1", S.NOT_RUN, FilingDecision.LEAVE),
    ],
)
def test_how_a_bill_is_filed(
    row: RequestState | None, attempt: str, bill: RequestState, decision: FilingDecision
) -> None:
    old = evolve(ROW, state=row, attempt=attempt) if row else None
    assert decide_filing(old, evolve(BILL, state=bill)) is decision


@pytest.mark.parametrize(
    ("old", "held", "charge", "paid", "spent"),
    [
        (None, 100, 40, 40, 540),
        (None, 30, 30, 30, 530),
        (evolve(ROW, state=S.INTERRUPTED, charge=15), 100, 40, 25, 525),
        (evolve(ROW, state=S.UNKNOWN, charge=90), 100, 40, 0, 450),
        (evolve(ROW, state=S.UNKNOWN, charge=90, refunded=70), 100, 70, 0, 480),
        (evolve(ROW, state=S.COMPLETE, charge=15), 100, 15, 0, 500),
    ],
)
def test_settlement_keeps_the_totals(
    old: RequestRow | None, held: int, charge: int, paid: int, spent: int
) -> None:
    """Filing a bill changes the budget's outstanding and spent tokens.

    Outstanding tokens fall by what the grant pays.  Spent tokens change by the
    difference between the new and the old charge in the request's row.
    """
    budget = Observed("budget/w", 3, BudgetRow(1000, held, 500))
    grant = Observed("grant/a.1/w", 2, GrantRow(drawn=held, sequence=4))
    request = Observed(BILL.key, 1 if old else 0, old)
    plan = plan_settlement(
        "a.1", ROUTER, budget, grant, {BILL.key: request}, LedgerChange((BILL,)), 9.0
    )
    assert plan.filed[0].paid == paid
    assert plan.budget == BudgetRow(1000, held - paid, spent)
    assert plan.sequence == 5
    row = next((w for w in plan.transaction.writes if w.key == BILL.key), None)
    if row is not None:
        assert row.value["charge"] == charge  # type: ignore[union-attr,index,call-overload]


@pytest.mark.parametrize(
    ("draw", "give_back", "drawn", "returned"),
    [
        (50, 0, 50, 0),
        (900, 0, 400, 0),
        (0, 30, 0, 30),
        (0, 900, 0, 100),
        (-5, -5, 0, 0),
    ],
)
def test_draws_and_returns_stay_within_bounds(
    draw: int, give_back: int, drawn: int, returned: int
) -> None:
    budget = Observed("budget/w", 3, BudgetRow(1000, 100, 500))
    grant = Observed("grant/a.1/w", 2, GrantRow(drawn=100))
    change = LedgerChange(draw=draw, give_back=give_back)
    plan = plan_settlement("a.1", ROUTER, budget, grant, {}, change, 9.0)
    assert (plan.drawn, plan.returned) == (drawn, returned)
    assert plan.budget.remaining >= 0


def test_first_draw_checks_that_there_is_no_grant() -> None:
    grant: Observed[GrantRow] = Observed("grant/a.1/w")
    budget = Observed("budget/w", 3, BudgetRow(1000))
    plan = plan_settlement("a.1", ROUTER, budget, grant, {}, LedgerChange(draw=1), 9.0)
    assert Absent("grant/a.1/w") in plan.transaction.checks
    assert ROUTER.check in plan.transaction.checks


ANSWER = KeptAnswer(200, "text/plain", "")
BOOKED = evolve(ROW, kind=RequestKind.BOOKING)


@pytest.mark.parametrize(
    ("row", "kind", "answer"),
    [
        (None, RequestKind.BOOKING, ClaimAnswer.RUN),
        (BOOKED, RequestKind.BOOKING, ClaimAnswer.UNKNOWN),
        (evolve(BOOKED, state=S.UNKNOWN), RequestKind.BOOKING, ClaimAnswer.UNKNOWN),
        (evolve(BOOKED, state=S.INTERRUPTED), RequestKind.BOOKING, ClaimAnswer.UNKNOWN),
        (evolve(BOOKED, state=S.COMPLETE), RequestKind.BOOKING, ClaimAnswer.UNKNOWN),
        (evolve(BOOKED, state=S.NOT_RUN), RequestKind.BOOKING, ClaimAnswer.RUN),
        (
            evolve(BOOKED, state=S.COMPLETE, answer=ANSWER),
            RequestKind.BOOKING,
            ClaimAnswer.REPLAY,
        ),
        (ROW, RequestKind.CHAT, ClaimAnswer.RUN),
        (evolve(ROW, digest="e"), RequestKind.CHAT, ClaimAnswer.KEY_REUSED),
        (ROW, RequestKind.BOOKING, ClaimAnswer.KEY_REUSED),
        (evolve(ROW, state=S.COMPLETE), RequestKind.CHAT, ClaimAnswer.RUN_UNBILLED),
        (evolve(ROW, state=S.INTERRUPTED), RequestKind.CHAT, ClaimAnswer.RUN),
        (
            evolve(ROW, state=S.COMPLETE, repeats=3),
            RequestKind.CHAT,
            ClaimAnswer.REPEATED_TOO_OFTEN,
        ),
    ],
)
def test_claim(row: RequestRow | None, kind: RequestKind, answer: ClaimAnswer) -> None:
    assert decide_claim(row, kind, "d").answer is answer


@pytest.mark.parametrize(
    ("state", "answer"),
    [
        (S.RUNNING, ClaimAnswer.RUN),
        (S.UNKNOWN, ClaimAnswer.RUN),
        (S.COMPLETE, ClaimAnswer.RUN_UNBILLED),
    ],
)
def test_claim_if_the_service_executes_a_key_once(
    state: RequestState, answer: ClaimAnswer
) -> None:
    """A booking may be sent again to a service that executes each key only once."""
    row = evolve(BOOKED, state=state)
    decision = decide_claim(row, RequestKind.BOOKING, "d", deduplicated=True)
    assert decision.answer is answer
