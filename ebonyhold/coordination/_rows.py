"""The rows that routers keep in the platform's table, one class for each kind."""

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
    """Whether an incarnation may still append to its journal."""

    OPEN = "open"
    SEALED = "sealed"
    CLOSED = "closed"


class RequestState(Enum):
    """How far a request is known to have come."""

    RUNNING = "running"
    COMPLETE = "complete"
    INTERRUPTED = "interrupted"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class RequestKind(Enum):
    """What a request asks for, which decides what may be repeated."""

    CHAT = "chat"
    REPEATABLE = "repeatable"
    BOOKING = "booking"


@frozen
class BudgetRow:
    """One workspace's prepaid budget, at ``budget/{workspace}``.

    The table never lets ``spent + outstanding`` exceed ``prepaid``; that one
    inequality is why no failure of a router can overspend.

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
        """Tokens that nobody holds and nobody spent."""
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
        address: Where other routers reach it.
        started_at: When it registered, in seconds since the epoch.
        sealed_by: Who sealed it, if anybody did.
        closed_at: When everything of it was settled; 0 before.
    """

    state: RouterState
    domain: str
    address: str
    started_at: float
    sealed_by: RouterId = ""
    closed_at: float = 0.0


@frozen
class GrantRow:
    """What one incarnation holds of one budget, at ``grant/{router}/{workspace}``.

    Attributes:
        drawn: All tokens drawn from the budget, ever.
        returned: Tokens given back to the budget.
        billed: Tokens that became bills.
        sequence: Counts the changes to this row that its router asked for, so
            that a change whose answer was lost is recognised.
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
        """Tokens that are still out with the router, by the table's word."""
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

    There is one row for each request for ever, which is why there is one bill.

    Attributes:
        state: How far the request is known to have come.
        kind: What it asked for.
        owner: The incarnation that runs it, or that filed it.
        attempt: The attempt that the bill is for.
        backend: The backend server of that attempt.
        digest: SHA-256 of the body, hexadecimal: tells a retry from a reused key.
        charge: Tokens billed to the workspace.
        prompt_tokens: Of those, the prompt's.
        completion_tokens: Of those, the answer's.
        overshoot: Tokens the engine ran beyond the hold; the operator pays them.
        filed_at: When it was billed, in seconds since the epoch; 0 before.
        answer: For keyed calls to plain services, the answer kept for a retry.
        refunded: Tokens of the charge that operators gave back.
        repeats: How often it ran again after it had its bill.
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
    """A whole answer of a plain service, kept so that a retry hears the same."""

    status: int
    content_type: str
    body: str


class TransferState(Enum):
    """What the table knows of a transfer that its receiver did not settle first."""

    PENDING = "pending"
    SETTLED = "settled"
    LAPSED = "lapsed"


@frozen
class TransferRow:
    """One transfer between two grants, at ``transfer/{transfer}``.

    Attributes:
        workspace: Whose tokens.
        source: The incarnation that gave them.
        to: The only incarnation that may receive them.
        amount: How many.
        state: Pending until the receiver's journal decides.
    """

    workspace: WorkspaceName
    source: RouterId
    to: RouterId
    amount: Tokens
    state: TransferState


@frozen
class ArchiveRow:
    """Sums of bills whose rows were deleted, at ``archive/{workspace}``.

    Attributes:
        bills: How many.
        charged: Their charges.
        refunded: What of those was refunded.
    """

    bills: int = 0
    charged: Tokens = 0
    refunded: Tokens = 0


@frozen
class Intent:
    """Journal entry: this request is about to be dispatched.

    It is durable before the dispatch, so that whoever seals the journal knows
    of every request that may have run.
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
    """Journal entry: this attempt has ended, and this is what it costs."""

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
    """Journal entry: tokens leave this incarnation's grant for another's."""

    workspace: WorkspaceName
    transfer: str
    to: RouterId
    amount: Tokens


@frozen
class TransferIn:
    """Journal entry: tokens of another incarnation's grant arrived here."""

    workspace: WorkspaceName
    transfer: str
    source: RouterId
    amount: Tokens


@frozen
class Seal:
    """Journal entry: no segment may follow; written by whoever recovers."""

    by: RouterId


JournalEntry = Intent | Outcome | TransferOut | TransferIn | Seal


@frozen
class JournalSegment:
    """One append to a journal.

    It is the row ``journal/{router}/{number:010d}``, or the object of that key.
    Each place has a chain of its own, numbered densely from 1 and written only
    if absent: that is what a seal relies on.
    """

    entries: tuple[JournalEntry, ...] = field(factory=tuple)
