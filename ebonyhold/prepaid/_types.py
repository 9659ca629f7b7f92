"""Stored rows, changes and options of the prepaid budgets."""

from __future__ import annotations

from typing import Protocol

from attrs import field, frozen

from ebonyhold.coordination import BudgetRow, GrantRow, Row, Transaction
from ebonyhold.types import RouterId, Seconds, Tokens, WorkspaceName

TABLE = "prepaid"
"""The store's table of budgets and grants, with one partition per workspace."""


class PrepaidStore(Protocol):
    """The store operations that prepaid budgets use."""

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        """Return rows whose key starts with `prefix`, ordered by key.

        At most `limit` rows are returned, all with keys greater than `after`.

        Raises:
            UnavailableError: The store cannot be reached.
        """
        ...

    async def commit(self, transaction: Transaction) -> Committed:
        """Write all rows of a transaction if all its checks hold.

        Raises:
            ConflictError: A check failed; nothing was written.
            UnavailableError: The transaction had no effect.
            UnknownOutcomeError: The transaction may have taken effect, or may do so
                later.
        """
        ...


@frozen
class PrepaidRow:
    """A workspace's budget, stored at ``prepaid/{workspace}/budget``.

    Attributes:
        rules_version: Version of the configuration that set `budget.prepaid`.  A
            router with an older configuration must not apply its own value.
        budget: The prepaid, outstanding (granted to routers) and spent tokens.
    """

    rules_version: int = 0
    budget: BudgetRow = field(factory=BudgetRow)


@frozen
class Committed:
    """The result of a committed transaction.

    Attributes:
        version: The version of the written rows.
        now: The store's monotonic clock at the commit.
    """

    version: int
    now: Seconds


@frozen
class GrantRows:
    """A workspace's budget row and one router's grant row, as last read or written.

    Attributes:
        budget: The workspace's budget.
        budget_version: The version of the budget row; 0 if it does not exist.
        grant: This router's grant.
        grant_version: The version of the grant row; 0 if it does not exist.
    """

    budget: PrepaidRow = field(factory=PrepaidRow)
    budget_version: int = 0
    grant: GrantRow = field(factory=GrantRow)
    grant_version: int = 0


@frozen
class Change:
    """A change of the budget and grant rows, sent as one transaction.

    Attributes:
        transaction: The transaction.
        after: Both rows after the commit.  Their version fields are not set, because
            the new versions are known only after the commit.
        drawn: Tokens moved from the budget to the grant.
        returned: Tokens moved back to the budget; they were removed from the ledger
            before the change is sent.
        billed: Charged tokens that are filed.
        given: Tokens given to other routers that are filed.
        received: Tokens received from other routers that are filed.
        writes_budget: Whether the transaction writes the budget row.
    """

    transaction: Transaction
    after: GrantRows
    drawn: Tokens = 0
    returned: Tokens = 0
    billed: Tokens = 0
    given: Tokens = 0
    received: Tokens = 0
    writes_budget: bool = True


@frozen
class PrepaidOptions:
    """Options of the prepaid budgets at one router.

    Attributes:
        horizon: Length of a store outage that a grant should cover.  The longest
            outages that operators reported last 9 s.
        tick: Interval between two periodic checks of a grant.
        draw_timeout: Maximum time that a request, or another router's request for a
            transfer, waits for tokens from the store.
        file_after: Maximum age of the last filing.  After that time a periodic check
            files new charges even if it moves no tokens, so that operators see recent
            spending.
        demand_time_constant: Time constant of the exponential decay in the demand
            estimate.
    """

    horizon: Seconds = 9.0
    tick: Seconds = 0.5
    draw_timeout: Seconds = 0.25
    file_after: Seconds = 8.0
    demand_time_constant: Seconds = 20.0


def budget_row_key(workspace: WorkspaceName) -> str:
    """Return the key of a workspace's budget."""
    return f"{TABLE}/{workspace}/budget"


def grant_row_key(workspace: WorkspaceName, router: RouterId) -> str:
    """Return the key of a router's grant from a workspace's budget."""
    return f"{TABLE}/{workspace}/grant/{router}"


def grant_rows_prefix(workspace: WorkspaceName) -> str:
    """Return the common key prefix of all grants from a workspace's budget."""
    return f"{TABLE}/{workspace}/grant/"
