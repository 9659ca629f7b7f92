"""Recovery of an incarnation's runs and grants by another router."""

from __future__ import annotations

from collections.abc import Sequence

from attrs import evolve, frozen

from ebonyhold.coordination._attempts import AttemptState, AttemptStatus
from ebonyhold.coordination._bills import Bill, make_bill
from ebonyhold.coordination._keys import router_key
from ebonyhold.coordination._observed import Observed
from ebonyhold.coordination._rows import (
    BudgetRow,
    GrantRow,
    Intent,
    Outcome,
    RequestKind,
    RequestState,
    RouterRow,
    RouterState,
)
from ebonyhold.coordination._transactions import Delete, Transaction
from ebonyhold.types import RouterId, Tokens


@frozen
class AttemptEvidence:
    """One attempt of a run, and its status as its backend server reports it."""

    intent: Intent
    status: AttemptStatus


def seal_transaction(router: Observed[RouterRow], by: RouterId) -> Transaction | None:
    """Return the transaction that seals an incarnation; None if it is not open.

    Every transaction of an incarnation checks that its router row still has its first
    version, so none of them can take effect after the row was sealed.
    """
    row = router.value
    if row is None or row.state is not RouterState.OPEN:
        return None
    sealed = evolve(row, state=RouterState.SEALED, sealed_by=by)
    return Transaction((router.check,), (router.put(sealed),))


def proves_not_run(evidence: AttemptEvidence) -> bool:
    """Return whether the reported status proves that an attempt never ran.

    A restarted server has lost its record of earlier attempts.  Its report therefore
    counts only if it has the same boot identifier as the intent.
    """
    if evidence.status.state is not AttemptState.NEVER_RAN:
        return False
    return bool(evidence.intent.boot) and evidence.intent.boot == evidence.status.boot


def settle_run(
    evidence: Sequence[AttemptEvidence], *, charge_unknown: bool
) -> Bill | None:
    """Return the bill of a run without an outcome; None to wait for more evidence.

    The caller received at most one answer, so only one of the attempts that ran is
    billed: preferably a finished one, otherwise the one with the most completion
    tokens.

    Args:
        evidence: All attempts of the run.
        charge_unknown: Whether to charge the whole hold if it is unknown whether an
            attempt ran, instead of waiting for more evidence.
    """
    intent = evidence[0].intent
    ran = [one for one in evidence if _ran(one)]
    if ran:
        return make_bill(intent, _outcome(max(ran, key=_progress)))
    if all(proves_not_run(one) for one in evidence):
        return make_bill(intent, _ended(intent, RequestState.NOT_RUN, 0))
    if not charge_unknown:
        return None
    return make_bill(intent, _ended(intent, RequestState.UNKNOWN, intent.hold))


def _ran(evidence: AttemptEvidence) -> bool:
    return evidence.status.state in (AttemptState.FINISHED, AttemptState.CANCELLED)


def _progress(evidence: AttemptEvidence) -> tuple[bool, Tokens]:
    finished = evidence.status.state is AttemptState.FINISHED
    return finished, evidence.status.completion_tokens


def _outcome(evidence: AttemptEvidence) -> Outcome:
    status = evidence.status
    intent = evidence.intent
    finished = status.state is AttemptState.FINISHED
    charge = status.prompt_tokens + status.completion_tokens
    if intent.kind is not RequestKind.CHAT:
        charge = intent.hold
    return Outcome(
        workspace=intent.workspace,
        request=intent.request,
        attempt=intent.attempt,
        state=RequestState.COMPLETE if finished else RequestState.INTERRUPTED,
        charge=charge,
        prompt_tokens=status.prompt_tokens,
        completion_tokens=status.completion_tokens,
    )


def _ended(intent: Intent, state: RequestState, charge: Tokens) -> Outcome:
    return Outcome(intent.workspace, intent.request, intent.attempt, state, charge)


def close_grant(
    router: Observed[RouterRow],
    budget: Observed[BudgetRow],
    grant: Observed[GrantRow],
    stranded: Tokens,
) -> Transaction | None:
    """Plan to return a settled grant's tokens to the budget, except stranded ones.

    The grant's row is deleted if it then holds no tokens.  The result is None if no
    grant or budget row exists, or if nothing can be returned or deleted.

    Args:
        router: The sealed incarnation's row.
        budget: The budget.
        grant: The grant, read before its requests were found to be settled.  A bill
            filed since then has changed the grant's version, and the check fails.
        stranded: Tokens that stay in the grant: holds of runs that wait for evidence,
            and transfers that other routers may still receive.
    """
    if grant.value is None or budget.value is None:
        return None
    row = grant.value
    back = max(row.held - stranded, 0)
    checks = (router.check, budget.check, grant.check)
    if row.held - back == 0:
        write = Delete(grant.key)
    elif back == 0:
        return None
    else:
        kept = evolve(row, returned=row.returned + back, sequence=row.sequence + 1)
        return Transaction(
            checks, (grant.put(kept), budget.put(_reduced(budget.value, back)))
        )
    if back == 0:
        return Transaction(checks, (write,))
    return Transaction(checks, (write, budget.put(_reduced(budget.value, back))))


def _reduced(row: BudgetRow, back: Tokens) -> BudgetRow:
    return evolve(row, outstanding=row.outstanding - back)


def close_transaction(
    router: Observed[RouterRow], now: float = 0.0
) -> Transaction | None:
    """Return the transaction that closes an incarnation; None if closed or absent."""
    row = router.value
    if row is None or row.state is RouterState.CLOSED:
        return None
    closed = evolve(row, state=RouterState.CLOSED, closed_at=now)
    return Transaction((router.check,), (router.put(closed),))


def open_row(
    router: RouterId, domain: str, address: str, now: float
) -> tuple[str, RouterRow]:
    """Return the key and the row of a new incarnation."""
    return router_key(router), RouterRow(RouterState.OPEN, domain, address, now)
