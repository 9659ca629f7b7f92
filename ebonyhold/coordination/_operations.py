"""What operators do with budgets: top-ups and refunds, each by its own key."""

from __future__ import annotations

from collections.abc import Sequence

from attrs import evolve

from ebonyhold.coordination._rows import (
    ArchiveRow,
    BudgetRow,
    RefundRow,
    RequestRow,
    RequestState,
    TopUpRow,
)
from ebonyhold.coordination._seen import Seen
from ebonyhold.coordination._transactions import Delete, Transaction


def plan_topup(
    topup: Seen[TopUpRow], budget: Seen[BudgetRow], wish: TopUpRow
) -> Transaction | None:
    """Add prepaid tokens; None when this key has done so before.

    Raises:
        ValueError: The amount is not above zero, or the key was used for another.
    """
    if wish.amount <= 0:
        raise ValueError(f"a top-up of {wish.amount} tokens")
    if topup.value is not None:
        if topup.value.amount != wish.amount:
            raise ValueError(f"{topup.key} was for {topup.value.amount} tokens")
        return None
    row = budget.value or BudgetRow()
    after = evolve(row, prepaid=row.prepaid + wish.amount)
    return Transaction(
        (topup.check, budget.check), (topup.put(wish), budget.put(after))
    )


def plan_refund(
    refund: Seen[RefundRow],
    budget: Seen[BudgetRow],
    request: Seen[RequestRow],
    wish: RefundRow,
) -> Transaction | None:
    """Give back a part of one bill; None when this key has done so before.

    Raises:
        ValueError: There is no such bill, the amount exceeds what is left of it,
            or the key was used for another refund.
    """
    if refund.value is not None:
        same = evolve(refund.value, operator=wish.operator, at=wish.at)
        if same != wish:
            raise ValueError(f"{refund.key} was for another refund")
        return None
    bill = request.value
    if bill is None or budget.value is None or not bill.filed_at:
        raise ValueError(f"{request.key} is no bill")
    left = bill.charge - bill.refunded
    if not 0 < wish.amount <= left:
        raise ValueError(f"a refund of {wish.amount} of the {left} tokens left")
    after = evolve(budget.value, spent=budget.value.spent - wish.amount)
    reduced = evolve(bill, refunded=bill.refunded + wish.amount)
    return Transaction(
        (refund.check, budget.check, request.check),
        (refund.put(wish), budget.put(after), request.put(reduced)),
    )


def plan_ruling(
    request: Seen[RequestRow], budget: Seen[BudgetRow], *, ran: bool
) -> Transaction | None:
    """Settle a request whose outcome is unknown, on an operator's word.

    A request that did not run is charged nothing, and may run again by its key;
    one that did keeps its charge.  None when it has been settled.

    Raises:
        ValueError: There is no such request, or its outcome is not unknown.
    """
    row = request.value
    if row is None or budget.value is None:
        raise ValueError(f"{request.key} is no request")
    ruled = RequestState.COMPLETE if ran else RequestState.NOT_RUN
    if row.state is ruled:
        return None
    if row.state is not RequestState.UNKNOWN:
        raise ValueError(f"{request.key} is {row.state.value}, not unknown")
    if ran:
        return Transaction((request.check,), (request.put(evolve(row, state=ruled)),))
    if row.refunded:
        raise ValueError(f"{request.key} was refunded")
    freed = evolve(budget.value, spent=budget.value.spent - row.charge)
    after = evolve(row, state=ruled, charge=0)
    return Transaction(
        (request.check, budget.check), (request.put(after), budget.put(freed))
    )


def plan_archive(
    archive: Seen[ArchiveRow], requests: Sequence[Seen[RequestRow]], before: float
) -> Transaction | None:
    """Delete old bills of one workspace and keep their sums.

    The sums are what lets the budget be reconciled afterwards.  A claim that
    still runs is never deleted.  None when no row is old enough.
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
