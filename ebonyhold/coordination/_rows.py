"""The rows that routers store in the platform's table, one class for each kind."""

from __future__ import annotations

from enum import Enum

from attrs import field, frozen

from ebonyhold.types import (
    AttemptId,
    BackendName,
    RequestId,
    RouterId,
    Tokens,
    WorkspaceName,
)


class RouterState(Enum):
    """Whether an incarnation may still write, and whether it has been settled.

    Attributes:
        OPEN: It may write to the table.
        SEALED: Another router recovers it, and its own writes fail.
        CLOSED: All its grants and bills are settled.
    """

    OPEN = "open"
    SEALED = "sealed"
    CLOSED = "closed"


class RequestState(Enum):
    """State of a request, as far as it is known.

    Attributes:
        RUNNING: It is claimed and not billed yet.
        COMPLETE: It ran to its end.
        INTERRUPTED: It ran and ended early.
        NOT_RUN: It did not run.
        UNKNOWN: It is not known whether it ran.
    """

    RUNNING = "running"
    COMPLETE = "complete"
    INTERRUPTED = "interrupted"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class RequestKind(Enum):
    """The kind of a request, which decides whether it may be repeated.

    Attributes:
        CHAT: A request to an engine, which may be repeated.
        REPEATABLE: A request to a plain service, which may be repeated.
        BOOKING: A request that must be executed at most once.
    """

    CHAT = "chat"
    REPEATABLE = "repeatable"
    BOOKING = "booking"


@frozen
class BudgetRow:
    """One workspace's prepaid budget, at ``budget/{workspace}``.

    In the table ``spent + outstanding`` never exceeds ``prepaid``.  This invariant
    prevents overspending, whichever routers fail.

    Attributes:
        prepaid: Tokens bought: the sum of all top-ups.
        outstanding: Tokens that routers hold as grants.
        spent: Tokens of filed bills, less refunds.
    """

    prepaid: Tokens = 0
    outstanding: Tokens = 0
    spent: Tokens = 0

    @property
    def remaining(self) -> Tokens:
        """Tokens that are neither spent nor in a grant."""
        return self.prepaid - self.outstanding - self.spent


@frozen
class TopUpRow:
    """One top-up, at ``topup/{workspace}/{key}``; its key makes it idempotent."""

    amount: Tokens
    operator: str
    at: float


@frozen
class RefundRow:
    """One refund, at ``refund/{workspace}/{key}``."""

    request: RequestId
    amount: Tokens
    operator: str
    at: float


@frozen
class RouterRow:
    """One incarnation of a router, at ``router/{incarnation}``.

    Attributes:
        state: Whether it may still write.
        domain: Its failure domain.
        address: Its address for its peers.
        started_at: When it registered, in seconds since the epoch.
        sealed_by: The router that sealed it, or empty.
        closed_at: When all its work was settled, in seconds since the epoch; 0 before.
    """

    state: RouterState
    domain: str
    address: str
    started_at: float
    sealed_by: RouterId = ""
    closed_at: float = 0.0


@frozen
class GrantRow:
    """One incarnation's grant from one budget, at ``grant/{router}/{workspace}``.

    Attributes:
        drawn: Total tokens drawn from the budget.
        returned: Tokens returned to the budget.
        billed: Tokens that became bills.
        sequence: Counts the changes to this row that its router requested, to detect
            whether a change of unknown outcome took effect.
        transferred_in: Tokens settled as received from other routers.
        transferred_out: Tokens settled as given to other routers.
    """

    drawn: Tokens = 0
    returned: Tokens = 0
    billed: Tokens = 0
    sequence: int = 0
    transferred_in: Tokens = 0
    transferred_out: Tokens = 0

    @property
    def held(self) -> Tokens:
        """Tokens that the router holds according to the table."""
        return (
            self.drawn
            + self.transferred_in
            - self.transferred_out
            - self.returned
            - self.billed
        )


@frozen
class RequestRow:
    """One request's claim, then its bill, at ``request/{workspace}/{request}``.

    A request has a single row until it is archived, so it has a single bill.

    Attributes:
        state: The state of the request, as far as it is known.
        kind: The kind of the request.
        owner: The incarnation that runs it, or that filed its bill.
        attempt: The attempt that is billed.
        backend: The backend server of that attempt.
        digest: SHA-256 of the body, hexadecimal; distinguishes a retry from a reused
            key.
        charge: Tokens billed to the workspace.
        prompt_tokens: The prompt's tokens.
        completion_tokens: The answer's tokens.
        overshoot: Tokens used beyond the charge, which the operator pays for.
        filed_at: When it was billed, in seconds since the epoch; 0 before.
        answer: The answer kept for a retry of a keyed call to a plain service.
        refunded: Tokens of the charge that operators refunded.
        repeats: How often it was claimed again after it was billed.
    """

    state: RequestState
    kind: RequestKind
    owner: RouterId
    attempt: AttemptId
    backend: BackendName
    digest: str
    charge: Tokens = 0
    prompt_tokens: Tokens = 0
    completion_tokens: Tokens = 0
    overshoot: Tokens = 0
    filed_at: float = 0.0
    answer: KeptAnswer | None = None
    refunded: Tokens = 0
    repeats: int = 0


@frozen
class KeptAnswer:
    """A whole answer of a plain service, kept so that a retry gets the same one."""

    status: int
    content_type: str
    body: str


class TransferState(Enum):
    """State of a transfer in the table.

    Attributes:
        PENDING: Given, but it is not known whether it was received.
        SETTLED: Moved from the giver's to the receiver's grant row.
        LAPSED: Never received; the tokens stay with the giver or return to the budget.
    """

    PENDING = "pending"
    SETTLED = "settled"
    LAPSED = "lapsed"


@frozen
class TransferRow:
    """One transfer between two grants, at ``transfer/{transfer}``.

    Attributes:
        workspace: The workspace whose tokens are transferred.
        source: The incarnation that gave them.
        to: The only incarnation that may receive them.
        amount: Number of tokens.
        state: Whether it was received.
    """

    workspace: WorkspaceName
    source: RouterId
    to: RouterId
    amount: Tokens
    state: TransferState


@frozen
class ArchiveRow:
    """Totals of bills whose rows were deleted, at ``archive/{workspace}``.

    Attributes:
        bills: Number of bills.
        charged: Tokens charged by them.
        refunded: Tokens of these charges that were refunded.
    """

    bills: int = 0
    charged: Tokens = 0
    refunded: Tokens = 0


@frozen
class Intent:
    """Journal entry: an attempt is about to be dispatched.

    It is durable before the dispatch, so a router that recovers this incarnation finds
    every attempt that may have run.

    Attributes:
        workspace: The workspace of the request.
        request: The request.
        attempt: The attempt.
        backend: The backend server of the attempt.
        hold: Tokens set aside for the request.
        kind: The kind of the request.
        digest: SHA-256 of the body, hexadecimal.
        keyed: Whether the caller sent an idempotency key.
        boot: The server's boot identifier as last reported, or empty.
    """

    workspace: WorkspaceName
    request: RequestId
    attempt: AttemptId
    backend: BackendName
    hold: Tokens
    kind: RequestKind
    digest: str
    keyed: bool
    boot: str = ""


@frozen
class Outcome:
    """Journal entry: a run has ended.

    Attributes:
        workspace: The workspace of the request.
        request: The request.
        attempt: The attempt that is billed.
        state: How the run ended.
        charge: Tokens to charge.
        prompt_tokens: The prompt's tokens.
        completion_tokens: The answer's tokens.
        overshoot: Tokens used beyond the charge, which the operator pays for.
        answer: The answer kept for a retry of a keyed call to a plain service.
    """

    workspace: WorkspaceName
    request: RequestId
    attempt: AttemptId
    state: RequestState
    charge: Tokens
    prompt_tokens: Tokens = 0
    completion_tokens: Tokens = 0
    overshoot: Tokens = 0
    answer: KeptAnswer | None = None


@frozen
class TransferOut:
    """Journal entry: this incarnation gave tokens of its grant to another."""

    workspace: WorkspaceName
    transfer: str
    to: RouterId
    amount: Tokens


@frozen
class TransferIn:
    """Journal entry: this incarnation received tokens from another's grant."""

    workspace: WorkspaceName
    transfer: str
    source: RouterId
    amount: Tokens


@frozen
class Seal:
    """Last journal entry in the object store, written by the recovering router."""

    by: RouterId


JournalEntry = Intent | Outcome | TransferOut | TransferIn | Seal


@frozen
class JournalSegment:
    """One append to a journal.

    It is the row ``journal/{router}/{number:010d}`` in the table, or the object with
    that key.  The table and the object store each have their own chain of segments.  A
    chain is numbered without gaps from 1, and a segment is written only if its key is
    absent.  In the object store, a seal at the first free number therefore prevents
    any later append.
    """

    entries: tuple[JournalEntry, ...] = field(factory=tuple)
