"""What operators do with budgets: top-ups and refunds, each by its own key."""

from __future__ import annotations

from attrs import evolve

from ebonyhold.coordination._rows import BudgetRow, RefundRow, RequestRow, TopUpRow
from ebonyhold.coordination._seen import Seen
from ebonyhold.coordination._transactions import Transaction


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
