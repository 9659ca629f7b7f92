"""Reading and writing the claims of requests in the table."""

from __future__ import annotations

from attrs import frozen

from ebonyhold.coordination import (
    ClaimAnswer,
    ClaimDecision,
    Observed,
    RequestKind,
    RequestRow,
    RouterRow,
    Table,
    claim_transaction,
    decide_claim,
    observe_row,
    request_key,
    router_key,
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

MAX_CLAIM_TRIES = 5
"""Maximum tries to write one claim that conflicts or whose outcome is unknown."""


@frozen
class ClaimReading:
    """A request's row as read, and the decision whether the request may run."""

    request: Observed[RequestRow]
    decision: ClaimDecision


@frozen
class Claims:
    """Reads and writes claims for one incarnation.

    A claim is a request's row that names the attempt allowed to run the request.

    Attributes:
        router: Row of the incarnation; each claim is conditional on its version.
        table: The table.
    """

    router: Observed[RouterRow]
    table: Table

    async def read(self, order: Order) -> ClaimReading:
        """Read a request's row and decide whether the request may run.

        Raises:
            UnavailableError: The table cannot be reached.
            KeyReusedError: The key was used before with another body.
            OutcomeUnknownError: The request may have run and must not run again.
        """
        key = request_key(order.workspace, order.request)
        (row,) = await self.table.read((key,))
        request = observe_row(key, row, RequestRow)
        decision = decide(order, request.value)
        raise_refusal(decision, order)
        return ClaimReading(request, decision)

    async def write(
        self, order: Order, reading: ClaimReading, attempt: AttemptId
    ) -> ClaimReading:
        """Write the claim, and return the reading on which it is based.

        A newer reading is returned if the row changed since `reading`. If the request
        has completed in the meantime, no claim is written, and the reading contains the
        answer to replay.

        Raises:
            UnavailableError: The table cannot be reached, or all `MAX_CLAIM_TRIES`
                tries failed; the claim may still take effect later.
            SealedError: This incarnation was sealed.
            KeyReusedError: The key was used before with another body.
            OutcomeUnknownError: The request may have run and must not run again.
        """
        owner = self.router.key.removeprefix(router_key(""))
        for _ in range(MAX_CLAIM_TRIES):
            if reading.decision.answer is ClaimAnswer.REPLAY:
                return reading
            transaction = claim_transaction(
                self.router,
                reading.request,
                owner,
                attempt,
                order.backend,
                order.kind,
                order.digest,
            )
            try:
                await self.table.commit(transaction)
            except (ConflictError, UnknownOutcomeError):
                current = await self._reread(order, reading, attempt)
                if current is None:
                    return reading
                reading = current
            else:
                return reading
        raise UnavailableError("the claim met other writers")

    async def _reread(
        self, order: Order, reading: ClaimReading, attempt: AttemptId
    ) -> ClaimReading | None:
        """Read the row again after a commit that conflicted or has an unknown outcome.

        Returns:
            The new reading; None if the row shows that the claim took effect.
        """
        key = reading.request.key
        router, row = await self.table.read((self.router.key, key))
        if router is None or router.version != self.router.version:
            raise SealedError(f"{self.router.key} was sealed")
        request = observe_row(key, row, RequestRow)
        claim = request.value
        if claim is not None and claim.attempt == attempt:
            return None
        decision = decide(order, claim)
        raise_refusal(decision, order)
        return ClaimReading(request, decision)


def decide(order: Order, row: RequestRow | None) -> ClaimDecision:
    """Decide whether a request may run, given its row."""
    return decide_claim(
        row, order.kind, order.digest, deduplicated=not order.claim_needed
    )


def raise_refusal(decision: ClaimDecision, order: Order) -> None:
    """Raise the error for the caller if the decision refuses the request."""
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
    """Return whether a request may run only with its claim in the table."""
    return order.claim_needed and order.kind is RequestKind.BOOKING


def claim_unavailable(error: UnavailableError) -> ClaimUnavailableError:
    """Return the error for the caller when a needed claim cannot be written."""
    return ClaimUnavailableError(f"the claim cannot be recorded: {error}")
