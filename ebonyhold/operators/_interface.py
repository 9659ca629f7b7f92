"""Data types and protocols that the daemon implements for the operators' interface."""

from __future__ import annotations

from typing import Protocol

from attrs import field, frozen

from ebonyhold.coordination import RequestRow
from ebonyhold.types import (
    AttemptId,
    BackendName,
    RequestId,
    RouterId,
    Seconds,
    Tokens,
    WorkspaceName,
)


@frozen
class GrantStatus:
    """One router's grant from a workspace's budget.

    Attributes:
        workspace: The workspace that owns the budget.
        available: Tokens of the grant that are not held for a request.
        held: Tokens held for requests in flight.
    """

    workspace: WorkspaceName
    available: Tokens
    held: Tokens = 0


@frozen
class RouterStatus:
    """Status of one router, from its reply or from the membership list.

    Attributes:
        router: The id of the router's incarnation.
        domain: The router's failure domain; may be empty if it did not reply.
        version: The configuration version in force there; 0 if it did not reply.
        state: ``alive``, ``suspect``, ``leaving`` or ``gone``.
        in_flight: Requests in flight at the router.
        grants: The router's grants, the largest first; a long list may be cut.
        confirmed_age: Seconds since the router last confirmed that its version is
            the newest; negative if it never did or did not reply.
        seen_age: Seconds since the last message from the router: 0 if it replied,
            negative if there was none.
        stranded: Tokens held for the router's requests that the last attempt to
            recover the router could not settle; 0 before the first attempt.
    """

    router: RouterId
    domain: str
    version: int
    state: str
    in_flight: int = 0
    grants: tuple[GrantStatus, ...] = ()
    confirmed_age: Seconds = -1.0
    seen_age: Seconds = 0.0
    stranded: Tokens = 0


@frozen
class BackendStatus:
    """Status of one backend server.

    Attributes:
        backend: The server's name.
        domain: The server's failure domain.
        state: ``serving``, ``leaving`` (gets no new requests, some are in flight),
            ``stopped`` (none are left), ``ejected`` or ``unknown``.
        in_flight: Requests in flight there, summed over all routers that replied.
        held_by: The routers that have these requests.
    """

    backend: BackendName
    domain: str
    state: str
    in_flight: int = 0
    held_by: tuple[RouterId, ...] = ()


@frozen
class FleetStatus:
    """Status of all routers and backend servers that one router knows."""

    routers: tuple[RouterStatus, ...] = ()
    backends: tuple[BackendStatus, ...] = ()


@frozen
class Readiness:
    """Whether this router can take requests, and the reasons if it cannot."""

    ready: bool
    reasons: tuple[str, ...] = ()


class StatusSource(Protocol):
    """Source of the status of the fleet and of this router."""

    async def fleet(self) -> FleetStatus:
        """Return the status of all known routers and backend servers."""
        ...

    def readiness(self) -> Readiness:
        """Return whether this router can take requests."""
        ...


@frozen
class Budget:
    """One workspace's budget, read from the table.

    Attributes:
        workspace: The workspace that owns the budget.
        prepaid: Tokens bought: the sum of all top-ups.
        outstanding: Tokens granted to routers and not yet billed or returned.
        spent: Tokens of filed bills, less refunds.
    """

    workspace: WorkspaceName
    prepaid: Tokens
    outstanding: Tokens
    spent: Tokens

    @property
    def remaining(self) -> Tokens:
        """Tokens that are neither granted to a router nor spent."""
        return self.prepaid - self.outstanding - self.spent


@frozen
class Bill:
    """A request's row in the table: a claim while the request runs, then its bill."""

    workspace: WorkspaceName
    request: RequestId
    row: RequestRow


@frozen
class BillPage:
    """One page of bills.

    Attributes:
        bills: The bills and claims, ordered by request id.
        next_after: The `after` value that gets the next page; empty if this page
            was not full.
    """

    bills: tuple[Bill, ...]
    next_after: str = ""


@frozen
class Discrepancy:
    """A row of the table that contradicts the other rows.

    Attributes:
        workspace: The workspace that the row belongs to.
        finding: What is wrong, in words.
        expected: The value computed from the other rows, in tokens.
        found: The value in the row, in tokens.
    """

    workspace: WorkspaceName
    finding: str
    expected: Tokens
    found: Tokens


@frozen
class Verification:
    """The result of checking budgets against top-ups, grants, bills and refunds.

    Attributes:
        workspaces: The number of budgets checked.
        discrepancies: All discrepancies found.
    """

    workspaces: int
    discrepancies: tuple[Discrepancy, ...] = field(factory=tuple)


class BudgetSource(Protocol):
    """Access to the budgets in the table."""

    async def budgets(
        self, workspaces: tuple[WorkspaceName, ...]
    ) -> tuple[Budget, ...]:
        """Return the budget of each workspace, all zeros if it has no row.

        Raises:
            UnavailableError: The table cannot be reached.
        """
        ...

    async def top_up(
        self, workspace: WorkspaceName, key: str, amount: Tokens, operator: str
    ) -> Budget:
        """Add prepaid tokens once per key, and return the new budget.

        A repeated call with the same key and amount adds nothing.

        Raises:
            UnavailableError: The top-up failed or the budget could not be read
                afterwards; repeat the call with the same key.
            UnknownOutcomeError: The tokens may have been added; repeat the call
                with the same key.
            BudgetError: The key was used for another amount.
        """
        ...

    async def refund(
        self,
        workspace: WorkspaceName,
        key: str,
        request: RequestId,
        amount: Tokens,
        operator: str,
    ) -> Budget:
        """Refund billed tokens once per key, and return the new budget.

        A repeated call with the same key, request and amount refunds nothing.

        Raises:
            UnavailableError: The refund failed or the budget could not be read
                afterwards; repeat the call with the same key.
            UnknownOutcomeError: The refund may have been made; repeat the call
                with the same key.
            BudgetError: The request has no bill, the amount exceeds what is left
                of its charge, or the key was used for another refund.
        """
        ...


@frozen
class OpenRun:
    """A request of a sealed incarnation that recovery could not settle.

    A sealed incarnation can write nothing more to its journal. The outcome of the
    request's last attempt is not known yet.

    Attributes:
        router: The sealed incarnation.
        workspace: The workspace that pays for the request.
        request: The request's id.
        attempt: The id of the last attempt.
        backend: The backend server of that attempt.
        hold: Tokens held for the request until it is settled.
    """

    router: RouterId
    workspace: WorkspaceName
    request: RequestId
    attempt: AttemptId
    backend: BackendName
    hold: Tokens


class RecoverySource(Protocol):
    """Access to the requests that recovery could not settle by itself."""

    async def open_runs(self) -> tuple[OpenRun, ...]:
        """Try to recover all sealed routers again; return the requests still open.

        Raises:
            UnavailableError: The platform cannot be reached.
        """
        ...

    async def settle(
        self, router: RouterId, attempt: AttemptId, charge: Tokens | None
    ) -> None:
        """Settle an open request with the charge that an operator decided.

        Args:
            router: The sealed incarnation.
            attempt: The id of the request's last attempt.
            charge: The tokens to bill, or None if the request did not run.

        Raises:
            BudgetError: The router is not sealed, or has no such attempt open.
            UnavailableError: The platform cannot be reached.
        """
        ...


class BillSource(Protocol):
    """Access to the bills in the table."""

    async def rule(
        self, workspace: WorkspaceName, request: RequestId, *, ran: bool
    ) -> None:
        """Record whether a request with an unknown outcome ran, and settle its bill.

        A bill already settled in the same way is left as it is.

        Args:
            workspace: The workspace that pays.
            request: The request's id.
            ran: What the operator decided: True keeps the charge, False removes it.

        Raises:
            BudgetError: There is no such bill, its outcome is known and different,
                or a charge to be removed was partly refunded.
            UnavailableError: The table cannot be reached.
        """
        ...

    async def bills(self, workspace: WorkspaceName, after: str, limit: int) -> BillPage:
        """Return a page of a workspace's bills and claims, ordered by request id.

        Args:
            workspace: The workspace.
            after: The request id after which the page begins; empty for the first.
            limit: The maximum number of bills, at least 1.

        Raises:
            UnavailableError: The table cannot be reached.
        """
        ...

    async def verify(self, workspaces: tuple[WorkspaceName, ...]) -> Verification:
        """Check the budgets of these workspaces, or all if none is given.

        Each budget is compared with its top-ups, grants, bills and refunds.
        Rows that are written during the check may appear as discrepancies.

        Raises:
            UnavailableError: The table cannot be reached.
        """
        ...
