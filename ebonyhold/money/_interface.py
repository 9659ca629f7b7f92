"""What the request path asks of the money: one permit for each dispatch."""

from __future__ import annotations

from typing import Protocol

from attrs import frozen

from ebonyhold.coordination import (
    AttemptTruth,
    KeptAnswer,
    Outcome,
    RequestKind,
    RequestRow,
)
from ebonyhold.types import AttemptId, BackendName, RequestId, Tokens, WorkspaceName


@frozen
class Order:
    """A request that wants to run.

    Attributes:
        workspace: Who pays.
        request: The caller's idempotency key, or an identifier made here.
        kind: What may be repeated.
        digest: SHA-256 of the body, hexadecimal.
        keyed: Whether `request` came from the caller.
        hold: The most it can cost, in tokens.
        backend: The backend server chosen for the first attempt.
        boot: That server's boot identifier, as its load report gave it.
        claim_needed: Whether the table's claim is needed before it runs: True
            for what may not be repeated, unless the service itself honours keys.
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
    """Leave to dispatch one attempt: held, claimed and durable.

    Attributes:
        order: What it is for.
        attempt: The identifier to give the backend server.
        unbilled: True for a repeat of a request that has its bill already.
    """

    order: Order
    attempt: AttemptId
    unbilled: bool = False


@frozen
class Replay:
    """The request has ended before; here is its answer, and there is no new bill."""

    row: RequestRow
    answer: KeptAnswer


class BackendTruth(Protocol):
    """What recovery asks of backend servers."""

    async def close_attempt(
        self, backend: BackendName, attempt: AttemptId
    ) -> AttemptTruth:
        """Cancel an attempt, forbid its later start, and learn what it came to.

        A server that cannot be reached, or cannot tell, gives
        `AttemptState.UNKNOWN`.  `AttemptState.NEVER_RAN` is a promise for the
        future too: only a server that refuses the closed attempt for the rest
        of its boot, and attempts addressed to another boot, may give it.
        Otherwise a router that was paused between its intent and its dispatch
        could run the attempt after the server was restarted.
        """
        ...


class Money(Protocol):
    """The money side of one router, as the request path sees it."""

    async def begin(self, order: Order) -> Permit | Replay:
        """Take the hold and the claim, and make the intent durable.

        Raises:
            BudgetExhaustedError: The table says that nothing is left.
            BudgetUnreachableError: Tokens may exist elsewhere.
            KeyReusedError: The same key came with another body.
            ClaimUnavailableError: A needed claim cannot be recorded now.
            OutcomeUnknownError: A call that may not be repeated may have run.
            UnavailableError: The intent cannot be made durable; nothing ran.
            SealedError: This incarnation has been recovered by another.
        """
        ...

    async def again(self, permit: Permit, backend: BackendName, boot: str) -> Permit:
        """Make a further attempt of the same request durable, under the same hold.

        Raises:
            UnavailableError: The intent cannot be made durable; nothing ran.
            SealedError: This incarnation has been recovered by another.
        """
        ...

    async def finish(
        self, permit: Permit, outcome: Outcome, *, durable_within: float = 0.0
    ) -> None:
        """Settle the request: release its hold and queue its bill.

        Args:
            permit: The last permit of the request.
            outcome: How it ended.
            durable_within: How long to wait for the journal, in seconds; the
                outcome is queued either way.
        """
        ...
