"""The interface by which the request path obtains permits and settles requests."""

from __future__ import annotations

from typing import Protocol

from attrs import frozen

from ebonyhold.coordination import (
    AttemptStatus,
    KeptAnswer,
    Outcome,
    RequestKind,
    RequestRow,
)
from ebonyhold.types import AttemptId, BackendName, RequestId, Tokens, WorkspaceName


@frozen
class Order:
    """Parameters of a request that needs a permit.

    Attributes:
        workspace: The workspace that pays.
        request: The caller's idempotency key, or an identifier made by this router.
        kind: Whether the request is a chat or a booking: a booking may run only once.
        digest: SHA-256 of the body, hexadecimal.
        keyed: Whether the caller supplied `request` as its idempotency key.
        hold: The maximum cost of the request, in tokens.
        backend: The backend server chosen for the first attempt.
        boot: That server's boot identifier, from its load report.
        claim_needed: Whether the request may run only after its claim is written to the
            table. True for requests that must not be repeated, unless the service
            itself deduplicates by idempotency key.
    """

    workspace: WorkspaceName
    request: RequestId
    kind: RequestKind
    digest: str
    keyed: bool
    hold: Tokens
    backend: BackendName
    boot: str = ""
    claim_needed: bool = False


@frozen
class Permit:
    """Permission to dispatch one attempt, given once its intent is in the journal.

    Attributes:
        order: Parameters of the request.
        attempt: The attempt identifier to send to the backend server.
        unbilled: Whether the request was billed before, so that this repeat is free.
    """

    order: Order
    attempt: AttemptId
    unbilled: bool = False


@frozen
class Replay:
    """The kept answer of a request that completed earlier and is not billed again."""

    row: RequestRow
    answer: KeptAnswer


class AttemptLookup(Protocol):
    """Looks up attempts at backend servers during recovery."""

    async def close_attempt(
        self, backend: BackendName, attempt: AttemptId
    ) -> AttemptStatus:
        """Cancel an attempt, prevent its later start, and return its status.

        The status is `AttemptState.UNKNOWN` if the server cannot be reached or cannot
        determine the status. `AttemptState.NEVER_RAN` also means that the attempt can
        never run later. A server may return `NEVER_RAN` only if it refuses the closed
        attempt until it restarts, or if the attempt names another boot of the server.
        Otherwise a router that was paused between its intent and its dispatch could run
        the attempt after the server was restarted.
        """
        ...


class Money(Protocol):
    """Grants, claims and bills of one router, as used by the request path."""

    async def begin(self, order: Order) -> Permit | Replay:
        """Take a hold, write a claim if needed, and make the intent durable.

        Raises:
            BudgetExhaustedError: The budget in the table has too few tokens left.
            BudgetUnreachableError: Too few tokens are available now, but the budget may
                have more.
            KeyReusedError: The key was used before with another body.
            ClaimUnavailableError: A needed claim cannot be written now.
            OutcomeUnknownError: The request must not be repeated and may have run
                already.
            UnavailableError: The intent cannot be made durable; nothing ran.
            SealedError: Another router has recovered this incarnation.
        """
        ...

    async def retry(self, permit: Permit, backend: BackendName, boot: str) -> Permit:
        """Make the intent of a further attempt durable, under the same hold.

        Raises:
            UnavailableError: The intent cannot be made durable; nothing ran.
            SealedError: Another router has recovered this incarnation.
        """
        ...

    async def finish(
        self, permit: Permit, outcome: Outcome, *, durable_within: float = 0.0
    ) -> None:
        """Settle the request: release its hold and queue its bill.

        Args:
            permit: The last permit of the request.
            outcome: How the request ended.
            durable_within: Maximum time to wait until the outcome is in the journal, in
                seconds. The outcome is queued in any case.
        """
        ...
