"""Claims: whether a request may run, given the state of its row."""

from __future__ import annotations

from enum import Enum

from attrs import evolve, frozen

from ebonyhold.coordination._observed import Observed
from ebonyhold.coordination._rows import (
    KeptAnswer,
    RequestKind,
    RequestRow,
    RequestState,
    RouterRow,
)
from ebonyhold.coordination._transactions import Transaction
from ebonyhold.types import AttemptId, BackendName, RouterId

MAX_REPEATS = 3
"""How often a request may run again after it has been billed."""


class ClaimAnswer(Enum):
    """How to handle a caller's request.

    Attributes:
        RUN: Run it and bill it.
        RUN_UNBILLED: Run it again without a charge, because its bill is complete.
        REPLAY: Return the kept answer.
        UNKNOWN: Refuse it, because it may already have been executed.
        KEY_REUSED: Refuse it, because its key belongs to a different request.
        REPEATED_TOO_OFTEN: Refuse it, because it has run again too often.
    """

    RUN = "run"
    RUN_UNBILLED = "run_unbilled"
    REPLAY = "replay"
    UNKNOWN = "unknown"
    KEY_REUSED = "key_reused"
    REPEATED_TOO_OFTEN = "repeated_too_often"


@frozen
class ClaimDecision:
    """The decision on a claim.

    Attributes:
        answer: How to handle the request.
        kept: The answer to replay, for `ClaimAnswer.REPLAY`.
    """

    answer: ClaimAnswer
    kept: KeptAnswer | None = None


def decide_claim(
    row: RequestRow | None,
    kind: RequestKind,
    digest: str,
    *,
    deduplicated: bool = False,
) -> ClaimDecision:
    """Decide how to handle a request, given its row.

    A booking is executed at most once: it runs only if its row shows that it has not
    run before, or if the server deduplicates it.  Other requests may run several times,
    also at the same time, because a request's row holds only one bill.

    Args:
        row: The request's row, if there is one.
        kind: The kind of the request.
        digest: SHA-256 of the body, hexadecimal.
        deduplicated: Whether the backend server itself executes each key only once, so
            that a booking may be sent to it again.
    """
    if row is None:
        return ClaimDecision(ClaimAnswer.RUN)
    if row.digest != digest or row.kind is not kind:
        return ClaimDecision(ClaimAnswer.KEY_REUSED)
    if row.state is RequestState.NOT_RUN:
        return ClaimDecision(ClaimAnswer.RUN)
    if row.state is RequestState.COMPLETE and row.answer is not None:
        return ClaimDecision(ClaimAnswer.REPLAY, row.answer)
    if kind is RequestKind.BOOKING and not deduplicated:
        return ClaimDecision(ClaimAnswer.UNKNOWN)
    if row.state is RequestState.RUNNING:
        return ClaimDecision(ClaimAnswer.RUN)
    if row.repeats >= MAX_REPEATS:
        return ClaimDecision(ClaimAnswer.REPEATED_TOO_OFTEN)
    if row.state is RequestState.COMPLETE:
        return ClaimDecision(ClaimAnswer.RUN_UNBILLED)
    return ClaimDecision(ClaimAnswer.RUN)


def claim_transaction(
    router: Observed[RouterRow],
    request: Observed[RequestRow],
    owner: RouterId,
    attempt: AttemptId,
    backend: BackendName,
    kind: RequestKind,
    digest: str,
) -> Transaction:
    """Return the transaction that claims a request which `decide_claim` lets run.

    If the row has a bill, the bill stays and the row's count of repeats grows by one.
    The transaction checks the router's row: a late claim of a sealed incarnation would
    otherwise leave the request marked as running, with no router left to settle it.
    """
    old = request.value
    if old is not None and old.filed_at and old.state is not RequestState.NOT_RUN:
        row = evolve(old, repeats=old.repeats + 1)
    else:
        row = RequestRow(
            state=RequestState.RUNNING,
            kind=kind,
            owner=owner,
            attempt=attempt,
            backend=backend,
            digest=digest,
        )
    return Transaction((router.check, request.check), (request.put(row),))
