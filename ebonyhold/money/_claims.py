"""Taking claims of requests in the table."""

from __future__ import annotations

from attrs import frozen

from ebonyhold.coordination import (
    ClaimAnswer,
    ClaimDecision,
    RequestKind,
    RequestRow,
    RouterRow,
    Seen,
    Table,
    claim_transaction,
    decide_claim,
    request_key,
    router_key,
    seen,
)
from ebonyhold.exceptions import (
    ClaimUnavailableError,
    ConflictError,
    KeyReusedError,
    OutcomeUnknownError,
    SealedError,
    UnavailableError,
    UnknownOutcomeError,
)
from ebonyhold.money._interface import Order
from ebonyhold.types import AttemptId

CLAIM_TRIES = 5


@frozen
class Look:
    """A request's row, and what it lets the request do."""

    request: Seen[RequestRow]
    decision: ClaimDecision


@frozen
class Claims:
    """Reads and writes claims for one incarnation."""

    router: Seen[RouterRow]
    table: Table

    async def look(self, order: Order) -> Look:
        """Read a request's row.

        Raises:
            UnavailableError: The table cannot be reached.
            KeyReusedError: The same key came with another body.
            OutcomeUnknownError: It may have run, and may not run again.
        """
        key = request_key(order.workspace, order.request)
        (row,) = await self.table.read((key,))
        request = seen(key, row, RequestRow)
        decision = decide(order, request.value)
        refuse(decision, order)
        return Look(request, decision)

    async def take(self, order: Order, look: Look, attempt: AttemptId) -> Look:
        """Write the claim; what it lets the request do may have changed since.

        Raises:
            UnavailableError: The table cannot be reached; the claim may be
                written all the same, later.
            SealedError: This incarnation is over.
            KeyReusedError: The same key came with another body.
            OutcomeUnknownError: It may have run, and may not run again.
        """
        owner = self.router.key.removeprefix(router_key(""))
        for _ in range(CLAIM_TRIES):
            if look.decision.answer is ClaimAnswer.REPLAY:
                return look
            wish = claim_transaction(
                self.router,
                look.request,
                owner,
                attempt,
                order.backend,
                order.kind,
                order.digest,
            )
            try:
                await self.table.commit(wish)
            except (ConflictError, UnknownOutcomeError):
                fresh = await self._after(order, look, attempt)
                if fresh is None:
                    return look
                look = fresh
            else:
                return look
        raise UnavailableError("the claim met other writers")

    async def _after(self, order: Order, look: Look, attempt: AttemptId) -> Look | None:
        """Read back after a conflict or a lost answer; None when the claim stands."""
        key = look.request.key
        router, row = await self.table.read((self.router.key, key))
        if router is None or router.version != self.router.version:
            raise SealedError(f"{self.router.key} was sealed")
        request = seen(key, row, RequestRow)
        claim = request.value
        if claim is not None and claim.attempt == attempt:
            return None
        decision = decide(order, claim)
        refuse(decision, order)
        return Look(request, decision)


def decide(order: Order, row: RequestRow | None) -> ClaimDecision:
    """Decide what an order may do, given its row."""
    return decide_claim(
        row, order.kind, order.digest, deduplicated=not order.claim_needed
    )


def refuse(decision: ClaimDecision, order: Order) -> None:
    """Raise what a caller hears of a claim that may not run."""
    if decision.answer is ClaimAnswer.KEY_REUSED:
        raise KeyReusedError(f"the key {order.request} came with another body before")
    if decision.answer is ClaimAnswer.UNKNOWN:
        raise OutcomeUnknownError(
            f"{order.request} may have run; its outcome is not known yet"
        )
    if decision.answer is ClaimAnswer.REPEATED_TOO_OFTEN:
        raise OutcomeUnknownError(
            f"{order.request} has its bill and was repeated too often"
        )


def needs_claim(order: Order) -> bool:
    """Tell whether a request must not run without its claim in the table."""
    return order.claim_needed and order.kind is RequestKind.BOOKING


def unavailable(error: UnavailableError) -> ClaimUnavailableError:
    """Return what a caller hears when a needed claim cannot be written."""
    return ClaimUnavailableError(f"the claim cannot be recorded: {error}")
