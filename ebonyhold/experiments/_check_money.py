"""The checker's part about money: budgets and bills."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

from attrs import define

from ebonyhold.coordination import (
    ARCHIVE_PREFIX,
    BUDGET_PREFIX,
    REFUND_PREFIX,
    TOPUP_PREFIX,
    ArchiveRow,
    BudgetRow,
    RefundRow,
    RequestKind,
    RequestRow,
    RequestState,
    TopUpRow,
    run_of,
)
from ebonyhold.experiments._checker import (
    Broken,
    Promise,
    bookings,
    broken_for,
    engine_runs,
    has_run,
    judge,
)
from ebonyhold.experiments._evidence import CallerOutcome, Evidence, Index, Owner
from ebonyhold.standins import EngineRecord
from ebonyhold.types import Tokens, WorkspaceName

ANSWERED = (RequestState.COMPLETE, RequestState.UNKNOWN)
"""States of a request whose caller may have its whole answer."""


@define
class Sums:
    """What the rows of one workspace add up to."""

    topped_up: Tokens = 0
    charged: Tokens = 0
    refunded: Tokens = 0

    @property
    def spent(self) -> Tokens:
        """What its budget should say is spent."""
        return self.charged - self.refunded


def add_up(evidence: Evidence, index: Index) -> dict[WorkspaceName, Sums]:
    """Add up top-ups, bills and refunds, those of deleted bills included."""
    sums = {
        workspace: Sums()
        for workspace, _ in evidence.rows_under(BUDGET_PREFIX, BudgetRow)
    }
    for key, topup in evidence.rows_under(TOPUP_PREFIX, TopUpRow):
        sums.setdefault(key.partition("/")[0], Sums()).topped_up += topup.amount
    for key, refund in evidence.rows_under(REFUND_PREFIX, RefundRow):
        sums.setdefault(key.partition("/")[0], Sums()).refunded += refund.amount
    for workspace, archive in evidence.rows_under(ARCHIVE_PREFIX, ArchiveRow):
        sums.setdefault(workspace, Sums()).charged += archive.charged
    for owner, bill in index.bills.items():
        sums.setdefault(owner.workspace, Sums()).charged += bill.charge
    return sums


@judge("budgets")
def judge_budgets(evidence: Evidence, index: Index) -> Iterator[Broken]:
    """Compare each budget with its top-ups and bills."""
    sums = add_up(evidence, index)
    budgets = dict(evidence.rows_under(BUDGET_PREFIX, BudgetRow))
    for workspace, total in sums.items():
        budget = budgets.get(workspace, BudgetRow())
        for text in faults_of_budget(budget, total):
            yield Broken(Promise.BUDGET, text, workspace)


def faults_of_budget(budget: BudgetRow, total: Sums) -> Iterator[str]:
    """Yield what is wrong with one budget."""
    if budget.spent + budget.outstanding > budget.prepaid:
        yield f"{budget.spent} spent and {budget.outstanding} out of {budget.prepaid}"
    if total.charged - total.refunded > total.topped_up:
        yield f"bills of {total.charged}, but only {total.topped_up} were bought"
    if budget.prepaid != total.topped_up:
        yield f"{budget.prepaid} prepaid, but {total.topped_up} were bought"
    if budget.spent != total.spent:
        yield f"{budget.spent} spent, but the bills make {total.spent}"


@judge("bills")
def judge_bills(evidence: Evidence, index: Index) -> Iterator[Broken]:
    """Compare each bill with what the backend servers ran."""
    booked = booked_owners(evidence, index)
    for owner, bill in index.bills.items():
        for text in faults_of_bill(evidence, index, owner, bill, booked):
            yield broken_for(index, Promise.BILL, text, owner)
    shared = Counter(
        run_of(bill.attempt) for bill in index.bills.values() if bill.charge > 0
    )
    for owner, bill in index.bills.items():
        if bill.charge > 0 and shared[run_of(bill.attempt)] > 1:
            text = f"the run of {bill.attempt} has several bills"
            yield broken_for(index, Promise.BILL, text, owner)


def booked_owners(evidence: Evidence, index: Index) -> set[Owner]:
    """Return whose calls the plain services ran."""
    owners = {index.owner_of(record) for record in evidence.services}
    return {owner for owner in owners if owner is not None}


def faults_of_bill(
    evidence: Evidence,
    index: Index,
    owner: Owner,
    bill: RequestRow,
    booked: set[Owner],
) -> Iterator[str]:
    """Yield what is wrong with one bill."""
    if bill.state is RequestState.RUNNING:
        if evidence.settled:
            yield "the request has neither an end nor a bill"
    elif bill.kind is RequestKind.CHAT:
        yield from faults_of_charge(index, bill)
    elif bill.state is RequestState.COMPLETE and owner not in booked:
        yield "billed as complete, but no service ran it"
    elif bill.state is RequestState.NOT_RUN and bill.charge:
        yield f"{bill.charge} charged for a request that did not run"


def faults_of_charge(index: Index, bill: RequestRow) -> Iterator[str]:
    """Yield what is wrong with the charge of one chat."""
    record = index.by_attempt.get(bill.attempt)
    hold = index.holds.get(bill.attempt)
    ran = tokens_of(record)
    if hold is not None and bill.charge > hold:
        yield f"{bill.charge} charged, but only {hold} were held"
    match bill.state:
        case RequestState.NOT_RUN if bill.charge:
            yield f"{bill.charge} charged for a request that did not run"
        case RequestState.COMPLETE if bill.charge + bill.overshoot != ran:
            yield f"{bill.charge} charged, but {bill.attempt} ran {ran}"
        case RequestState.INTERRUPTED if bill.charge + bill.overshoot != ran:
            # An engine that restarted cannot tell, so its router cannot know.
            if hold is None or bill.charge != hold:
                yield f"{bill.charge} charged, but {bill.attempt} ran {ran}"
        case _:
            return


def tokens_of(record: EngineRecord | None) -> Tokens:
    """Return what an engine ran for an attempt, the resumed answer included."""
    if record is None or not has_run(record):
        return 0
    return record.prompt_tokens + record.completion_tokens


@judge("missing bills")
def judge_missing(evidence: Evidence, index: Index) -> Iterator[Broken]:
    """Look for runs and answers without a bill."""
    for record in (*engine_runs(evidence), *bookings(evidence)):
        owner = index.owner_of(record)
        if owner is None:
            text = f"{record.backend} ran {record.attempt}, which nobody asked for"
            yield broken_for(index, Promise.BILL, text, None)
        elif owner not in index.bills:
            text = f"{record.backend} ran {record.attempt}, and there is no bill"
            yield broken_for(index, Promise.BILL, text, owner)
    for caller in evidence.callers:
        owner = Owner(caller.workspace, caller.request)
        bill = index.bills.get(owner)
        if bill is None or caller.outcome is not CallerOutcome.WHOLE:
            continue
        if bill.state not in ANSWERED:
            text = f"answered whole, but billed as {bill.state.value}"
            yield broken_for(index, Promise.BILL, text, owner, caller.trace)


@judge("claims of not run")
def judge_claims(evidence: Evidence, index: Index) -> Iterator[Broken]:
    """Look for requests that are on record as not run and did run."""
    for record in (*engine_runs(evidence), *bookings(evidence)):
        owner = index.owner_of(record)
        bill = index.bills.get(owner) if owner else None
        if bill is not None and bill.state is RequestState.NOT_RUN:
            text = f"on record as not run, but {record.backend} ran {record.attempt}"
            yield broken_for(index, Promise.BILL, text, owner)
