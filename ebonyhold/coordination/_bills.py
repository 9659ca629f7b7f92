"""Bills of requests, and the rule that a request's row holds at most one."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum

from attrs import evolve, frozen

from ebonyhold.coordination._attempts import run_of
from ebonyhold.coordination._grants import change_budget, change_grant
from ebonyhold.coordination._keys import request_key
from ebonyhold.coordination._observed import Observed
from ebonyhold.coordination._rows import (
    BudgetRow,
    GrantRow,
    Intent,
    KeptAnswer,
    Outcome,
    RequestKind,
    RequestRow,
    RequestState,
    RouterRow,
)
from ebonyhold.coordination._transactions import Check, Transaction, Write
from ebonyhold.types import (
    AttemptId,
    BackendName,
    RequestId,
    RouterId,
    Tokens,
    WorkspaceName,
)

RANK = {
    RequestState.RUNNING: 0,
    RequestState.NOT_RUN: 1,
    RequestState.UNKNOWN: 2,
    RequestState.INTERRUPTED: 3,
    RequestState.COMPLETE: 4,
}
"""Rank of a bill by its state; a higher one is based on better evidence.

A filed bill is replaced only by one of higher rank, so a row is amended a bounded
number of times.
"""


class FilingDecision(Enum):
    """How filing a bill changes the request's row.

    Attributes:
        FILE: It becomes the row's first bill.
        AMEND: It replaces the bill in the row.
        LEAVE: The row stays as it is, and nothing is charged.
    """

    FILE = "file"
    AMEND = "amend"
    LEAVE = "leave"


@frozen
class Bill:
    """The result of one run of a request, to be filed in the request's row."""

    workspace: WorkspaceName
    request: RequestId
    attempt: AttemptId
    backend: BackendName
    digest: str
    kind: RequestKind
    state: RequestState
    charge: Tokens
    prompt_tokens: Tokens = 0
    completion_tokens: Tokens = 0
    overshoot: Tokens = 0
    answer: KeptAnswer | None = None

    @property
    def key(self) -> str:
        """Key of the request's row."""
        return request_key(self.workspace, self.request)


@frozen
class Filed:
    """One bill of a settlement, and how it is filed.

    Attributes:
        bill: The bill.
        decision: How it changes the request's row.
        paid: Tokens taken from the grant for it, from 0 to the charge.
    """

    bill: Bill
    decision: FilingDecision
    paid: Tokens


@frozen
class LedgerChange:
    """The changes that a settlement is to make to one grant.

    Attributes:
        bills: Bills to file.
        draw: Tokens to draw from the budget; fewer are drawn if it has fewer left.
        give_back: Tokens to return to the budget; fewer are returned if the grant holds
            fewer.
    """

    bills: tuple[Bill, ...] = ()
    draw: Tokens = 0
    give_back: Tokens = 0


@frozen
class Settlement:
    """A transaction on one grant, and its results if it takes effect.

    Attributes:
        transaction: What to commit.
        sequence: The grant's sequence number afterwards.  If the outcome of the commit
            is unknown, the number in the grant's row shows whether it took effect.
        drawn: Tokens added to the grant.
        returned: Tokens returned to the budget.
        filed: The bills, with their effect on the requests' rows.
        budget: The budget afterwards.
    """

    transaction: Transaction
    sequence: int
    drawn: Tokens
    returned: Tokens
    filed: tuple[Filed, ...]
    budget: BudgetRow


def make_bill(intent: Intent, outcome: Outcome) -> Bill:
    """Return the bill of a run; a charge above its hold is added to the overshoot."""
    charge = min(outcome.charge, intent.hold)
    beyond = outcome.charge - charge
    return Bill(
        workspace=intent.workspace,
        request=intent.request,
        attempt=outcome.attempt,
        backend=intent.backend,
        digest=intent.digest,
        kind=intent.kind,
        state=outcome.state,
        charge=charge,
        prompt_tokens=outcome.prompt_tokens,
        completion_tokens=outcome.completion_tokens,
        overshoot=outcome.overshoot + beyond,
        answer=outcome.answer,
    )


def decide_filing(row: RequestRow | None, bill: Bill) -> FilingDecision:
    """Decide how filing a bill changes the request's row.

    A request has a single row.  The first bill is filed in it.  A later bill replaces
    that one only if its state has a higher rank; only the difference of the two charges
    is then taken from the grant.
    """
    if row is None:
        return FilingDecision.FILE
    if row.state is RequestState.RUNNING:
        # The row may be the claim of another run, which may still execute the
        # request.  The bill of a run that did not must not replace that claim.
        by_another_run = run_of(row.attempt) != run_of(bill.attempt)
        if by_another_run and bill.state is RequestState.NOT_RUN:
            return FilingDecision.LEAVE
        return FilingDecision.FILE
    if RANK[bill.state] > RANK[row.state]:
        return FilingDecision.AMEND
    return FilingDecision.LEAVE


def filed_row(
    row: RequestRow | None, bill: Bill, charge: Tokens, owner: RouterId, now: float
) -> RequestRow:
    """Return the request's row with a bill filed in it.

    The part of the bill beyond `charge` is added to the overshoot.
    """
    return RequestRow(
        state=bill.state,
        kind=bill.kind,
        owner=owner,
        attempt=bill.attempt,
        backend=bill.backend,
        digest=bill.digest,
        charge=charge,
        prompt_tokens=bill.prompt_tokens,
        completion_tokens=bill.completion_tokens,
        overshoot=bill.overshoot + bill.charge - charge
        if charge < bill.charge
        else bill.overshoot,
        filed_at=now,
        answer=bill.answer,
        refunded=row.refunded if row else 0,
        repeats=row.repeats if row else 0,
    )


@frozen
class _Posting:
    filed: Filed
    change: Tokens
    write: Write | None


def plan_settlement(
    owner: RouterId,
    router: Observed[RouterRow],
    budget: Observed[BudgetRow],
    grant: Observed[GrantRow],
    requests: Mapping[str, Observed[RequestRow]],
    change: LedgerChange,
    now: float,
) -> Settlement:
    """Plan one transaction that files bills and draws or returns tokens.

    The budget stays within its limit whatever the change: a draw takes no more than the
    budget has left, and a bill or a return no more than the grant holds.

    Args:
        owner: The incarnation that the bills name.
        router: The row of the grant's incarnation.  Its version is checked, so no late
            transaction of a sealed incarnation takes effect.
        budget: The workspace's budget.
        grant: The incarnation's grant from it.
        requests: The rows of all billed requests, by key.
        change: The requested changes.
        now: Seconds since the epoch, recorded in the bills.
    """
    before = budget.value or BudgetRow()
    held = grant.value or GrantRow()
    checks: list[Check] = [router.check, budget.check, grant.check]
    writes: list[Write] = []
    filed: list[Filed] = []
    billed = 0
    spent = 0
    current = dict(requests)
    for bill in change.bills:
        row = current[bill.key]
        posting = _post(row, bill, owner, max(held.held - billed, 0), now)
        filed.append(posting.filed)
        billed += posting.filed.paid
        spent += posting.change
        if posting.write is not None:
            checks.append(row.check)
            writes.append(posting.write)
    drawn = max(min(change.draw, before.remaining), 0)
    returned = max(min(change.give_back, held.held - billed), 0)
    after = change_budget(before, drawn=drawn, returned=returned, paid=billed)
    after = evolve(after, spent=after.spent - billed + spent)
    sequence = held.sequence + 1
    writes.append(
        grant.put(change_grant(held, drawn=drawn, returned=returned, billed=billed))
    )
    if after != before:
        writes.append(budget.put(after))
    transaction = Transaction(tuple(checks), tuple(writes))
    return Settlement(transaction, sequence, drawn, returned, tuple(filed), after)


def _post(
    row: Observed[RequestRow], bill: Bill, owner: RouterId, held: Tokens, now: float
) -> _Posting:
    decision = decide_filing(row.value, bill)
    if decision is FilingDecision.LEAVE:
        return _Posting(Filed(bill, decision, 0), 0, None)
    old = row.value.charge if row.value else 0
    refunded = row.value.refunded if row.value else 0
    charge = min(max(bill.charge, refunded), old + held)
    change = charge - old
    write = row.put(filed_row(row.value, bill, charge, owner, now))
    return _Posting(Filed(bill, decision, max(change, 0)), change, write)
