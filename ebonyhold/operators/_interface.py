"""What the operators' interface asks of the daemon around it."""

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
    """What a router holds of one workspace's budget.

    Attributes:
        workspace: Whose budget.
        available: Tokens that nothing in flight holds.
        held: Tokens held for requests in flight.
    """

    workspace: WorkspaceName
    available: Tokens
    held: Tokens = 0


@frozen
class RouterStatus:
    """One router, as it described itself last.

    Attributes:
        router: Its incarnation.
        domain: Its failure domain.
        version: The configuration version in force there.
        state: ``alive``, ``suspect``, ``leaving`` or ``gone``.
        in_flight: Requests it runs now.
        grants: What it holds of the budgets.
        confirmed_age: Seconds since it last confirmed its version; negative for
            never.
        seen_age: Seconds since it was last heard of.
        stranded: Tokens that wait for its recovery.
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
    """One backend server, as this router sees it.

    Attributes:
        backend: Its name.
        domain: Its failure domain.
        state: ``serving``, ``leaving``, ``stopped``, ``ejected`` or ``unknown``.
        in_flight: Requests that all known routers have there.
        held_by: The routers that still have requests there.
    """

    backend: BackendName
    domain: str
    state: str
    in_flight: int = 0
    held_by: tuple[RouterId, ...] = ()


@frozen
class FleetStatus:
    """The fleet, as one router knows it."""

    routers: tuple[RouterStatus, ...] = ()
    backends: tuple[BackendStatus, ...] = ()


@frozen
class Readiness:
    """Whether callers should be sent here, and if not, why not."""

    ready: bool
    reasons: tuple[str, ...] = ()


class StatusSource(Protocol):
    """Knows how the fleet is."""

    async def fleet(self) -> FleetStatus:
        """Return what is known of all routers and backend servers."""
        ...

    def readiness(self) -> Readiness:
        """Tell whether this router can take requests."""
        ...


@frozen
class Budget:
    """One workspace's budget, as the table has it."""

    workspace: WorkspaceName
    prepaid: Tokens
    outstanding: Tokens
    spent: Tokens

    @property
    def remaining(self) -> Tokens:
        """Tokens that nobody holds and nobody spent."""
        return self.prepaid - self.outstanding - self.spent


@frozen
class Bill:
    """One request's bill."""

    workspace: WorkspaceName
    request: RequestId
    row: RequestRow


@frozen
class BillPage:
    """Some bills, and where the next page begins; empty at the end."""

    bills: tuple[Bill, ...]
    next_after: str = ""


@frozen
class Discrepancy:
    """Rows that do not add up.

    Attributes:
        workspace: Whose.
        finding: What is wrong.
        expected: What the other rows say, in tokens.
        found: What the row says, in tokens.
    """

    workspace: WorkspaceName
    finding: str
    expected: Tokens
    found: Tokens


@frozen
class Verification:
    """The outcome of checking bills against budgets.

    Attributes:
        workspaces: Budgets that were checked.
        discrepancies: What does not add up.
    """

    workspaces: int
    discrepancies: tuple[Discrepancy, ...] = field(factory=tuple)


class BudgetSource(Protocol):
    """Reads and changes budgets in the table."""

    async def budgets(
        self, workspaces: tuple[WorkspaceName, ...]
    ) -> tuple[Budget, ...]:
        """Return budgets; a workspace without a row has all zeros.

        Raises:
            UnavailableError: The table cannot be reached.
        """
        ...

    async def top_up(
        self, workspace: WorkspaceName, key: str, amount: Tokens, operator: str
    ) -> Budget:
        """Add prepaid tokens; the same key adds them once.

        Raises:
            UnavailableError: It had no effect.
            UnknownOutcomeError: Repeat it with the same key.
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
        """Give billed tokens back; the same key gives them back once.

        Raises:
            UnavailableError: It had no effect.
            UnknownOutcomeError: Repeat it with the same key.
            BudgetError: The request was not billed as much, or the key was used
                for another refund.
        """
        ...


@frozen
class OpenRun:
    """A run of a sealed router whose outcome nobody can tell.

    Attributes:
        router: The sealed incarnation.
        workspace: Who pays.
        request: The request.
        attempt: Its last attempt.
        backend: The backend server of that attempt.
        hold: Tokens that stay out of reach until an operator settles it.
    """

    router: RouterId
    workspace: WorkspaceName
    request: RequestId
    attempt: AttemptId
    backend: BackendName
    hold: Tokens


class RecoverySource(Protocol):
    """Knows what recovery could not settle by itself."""

    async def open_runs(self) -> tuple[OpenRun, ...]:
        """Try all sealed routers again and return what still waits.

        Raises:
            UnavailableError: The platform cannot be reached.
        """
        ...

    async def settle(
        self, router: RouterId, attempt: AttemptId, charge: Tokens | None
    ) -> None:
        """Settle a run on an operator's word.

        Args:
            router: The sealed incarnation.
            attempt: The run's attempt.
            charge: What it cost in tokens, or None when it did not run.

        Raises:
            BudgetError: The router is not sealed, or has no such run open.
            UnavailableError: The platform cannot be reached.
        """
        ...


class BillSource(Protocol):
    """Reads bills from the table, and settles unknown ones."""

    async def rule(
        self, workspace: WorkspaceName, request: RequestId, *, ran: bool
    ) -> None:
        """Settle a bill whose outcome is unknown, on an operator's word.

        Raises:
            BudgetError: There is no such bill, or its outcome is known.
            UnavailableError: The table cannot be reached.
        """
        ...

    async def bills(self, workspace: WorkspaceName, after: str, limit: int) -> BillPage:
        """Return a page of a workspace's bills and claims, ordered by request.

        Raises:
            UnavailableError: The table cannot be reached.
        """
        ...

    async def verify(self, workspaces: tuple[WorkspaceName, ...]) -> Verification:
        """Check that the bills of these workspaces, or of all, add up.

        Raises:
            UnavailableError: The table cannot be reached.
        """
        ...
