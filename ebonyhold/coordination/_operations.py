"""Operators' changes: top-ups, refunds, decisions on unknown outcomes, archiving."""

from __future__ import annotations

from collections.abc import Sequence

from attrs import evolve

from ebonyhold.coordination._observed import Observed
from ebonyhold.coordination._rows import (
    ArchiveRow,
    BudgetRow,
    RefundRow,
    RequestRow,
    RequestState,
    TopUpRow,
)
from ebonyhold.coordination._transactions import Delete, Transaction


def plan_topup(
    topup: Observed[TopUpRow], budget: Observed[BudgetRow], requested: TopUpRow
) -> Transaction | None:
    """Plan the addition of prepaid tokens; None if the key's top-up already exists.

    Raises:
        ValueError: The amount is not above zero, or the key was used with another
            amount.
    """
    if requested.amount <= 0:
        raise ValueError(f"a top-up of {requested.amount} tokens")
    if topup.value is not None:
        if topup.value.amount != requested.amount:
            raise ValueError(f"{topup.key} was for {topup.value.amount} tokens")
        return None
    row = budget.value or BudgetRow()
    after = evolve(row, prepaid=row.prepaid + requested.amount)
    return Transaction(
        (topup.check, budget.check), (topup.put(requested), budget.put(after))
    )


def plan_refund(
    refund: Observed[RefundRow],
    budget: Observed[BudgetRow],
    request: Observed[RequestRow],
    requested: RefundRow,
) -> Transaction | None:
    """Plan the refund of a part of one bill; None if the key's refund already exists.

    Raises:
        ValueError: There is no such bill, the amount exceeds what is left of it, or the
            key was used for another refund.
    """
    if refund.value is not None:
        same = evolve(refund.value, operator=requested.operator, at=requested.at)
        if same != requested:
            raise ValueError(f"{refund.key} was for another refund")
        return None
    bill = request.value
    if bill is None or budget.value is None or not bill.filed_at:
        raise ValueError(f"{request.key} is no bill")
    left = bill.charge - bill.refunded
    if not 0 < requested.amount <= left:
        raise ValueError(f"a refund of {requested.amount} of the {left} tokens left")
    after = evolve(budget.value, spent=budget.value.spent - requested.amount)
    reduced = evolve(bill, refunded=bill.refunded + requested.amount)
    return Transaction(
        (refund.check, budget.check, request.check),
        (refund.put(requested), budget.put(after), request.put(reduced)),
    )


def plan_resolution(
    request: Observed[RequestRow], budget: Observed[BudgetRow], *, ran: bool
) -> Transaction | None:
    """Plan to settle a request of unknown outcome as an operator decided.

    If it did not run, its charge goes back to the budget and it may run again under its
    key.  If it ran, it keeps its charge.  None if it is already settled in this way.

    Raises:
        ValueError: There is no such request, its outcome is not unknown, or it did not
            run but its charge was refunded.
    """
    row = request.value
    if row is None or budget.value is None:
        raise ValueError(f"{request.key} is no request")
    decided = RequestState.COMPLETE if ran else RequestState.NOT_RUN
    if row.state is decided:
        return None
    if row.state is not RequestState.UNKNOWN:
        raise ValueError(f"{request.key} is {row.state.value}, not unknown")
    if ran:
        return Transaction((request.check,), (request.put(evolve(row, state=decided)),))
    if row.refunded:
        raise ValueError(f"{request.key} was refunded")
    reduced_budget = evolve(budget.value, spent=budget.value.spent - row.charge)
    after = evolve(row, state=decided, charge=0)
    return Transaction(
        (request.check, budget.check), (request.put(after), budget.put(reduced_budget))
    )


def plan_archive(
    archive: Observed[ArchiveRow],
    requests: Sequence[Observed[RequestRow]],
    before: float,
) -> Transaction | None:
    """Plan to delete a workspace's bills filed before a time, and keep their totals.

    Checks of the budget need these totals for the deleted bills.  The row of a running
    request is never deleted.  None if no row is old enough.
    """
    old = [one for one in requests if _expired(one.value, before)]
    if not old:
        return None
    sums = archive.value or ArchiveRow()
    bills = [one.value for one in old if one.value is not None]
    after = ArchiveRow(
        bills=sums.bills + len(bills),
        charged=sums.charged + sum(bill.charge for bill in bills),
        refunded=sums.refunded + sum(bill.refunded for bill in bills),
    )
    return Transaction(
        (archive.check, *(one.check for one in old)),
        (archive.put(after), *(Delete(one.key) for one in old)),
    )


def _expired(row: RequestRow | None, before: float) -> bool:
    if row is None or row.state is RequestState.RUNNING:
        return False
    return 0 < row.filed_at < before
