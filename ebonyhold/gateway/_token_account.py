"""Where the tokens of each budget are, according to the log lines of all routers."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from typing import Any

from attrs import define, field

from ebonyhold.gateway._loglines import LogLine
from ebonyhold.types import RouterId, Tokens, WorkspaceName

COLUMNS = (
    "workspace",
    "prepaid",
    "filed",
    "charged",
    "in the row",
    "with routers",
    "held",
    "ended",
    "stranded",
    "unproved",
    "not charged",
)
"""The columns of the table of tokens.

The last one is what an account with complete knowledge would still have, with what it
holds for requests in flight.
"""


class TokenCause(Enum):
    """Why a request got no tokens; if several members apply, the first of them."""

    KEPT = "tokens kept for small requests"
    ABOVE_LIMIT = "tokens here, above the limit"
    STORE_UNREACHABLE = "tokens in the budget, store away"
    ELSEWHERE = "tokens with other routers"
    STRANDED = "tokens stranded by dead routers"
    NOWHERE = "tokens spent or held"


@define
class BudgetTokens:
    """One workspace's tokens, according to the lines read so far.

    Attributes:
        prepaid: Last logged prepaid tokens.
        spent: Last logged tokens that were filed as spent.
        charged: Sum of the charges of the requests that ended.
        remaining: Last logged tokens in the budget's row.
        available: Last logged available tokens of each router's current incarnation.
        held: Last logged tokens held for requests, likewise.
        ended: What the last incarnation of a router had available or held when it
            ended, until its successor logs a reclaim.
        stranded: Tokens of ended incarnations that were neither filed nor returned.
        unproved: The part of them that was allowed ahead of the next renewal or held
            for requests in flight, so that it may have been used or not.
    """

    prepaid: Tokens = 0
    spent: Tokens = 0
    charged: Tokens = 0
    remaining: Tokens = 0
    available: dict[RouterId, Tokens] = field(factory=dict)
    held: dict[RouterId, Tokens] = field(factory=dict)
    ended: dict[RouterId, Tokens] = field(factory=dict)
    stranded: Tokens = 0
    unproved: Tokens = 0

    def end(self, router: RouterId) -> None:
        """Move what a router had to `ended`, because its next incarnation starts."""
        had = self.available.pop(router, 0) + self.held.pop(router, 0)
        if had:
            self.ended[router] = self.ended.get(router, 0) + had

    def reclaim(self, line: LogLine) -> None:
        """Add what a successor did not get back of a grant."""
        fields = line.fields
        self.ended.pop(line.router, None)
        left = max(0, fields["granted"] - fields["returned"] - fields["filed"])
        self.stranded += left
        # Older versions do not log what was used and held at the last renewal.
        charged = fields.get("used", 0) - fields.get("held", 0)
        self.unproved += min(left, max(0, left - max(0, charged - fields["filed"])))

    def figures(self) -> list[Tokens]:
        """Return the values of the columns `COLUMNS`."""
        return [
            self.prepaid,
            self.spent,
            self.charged,
            self.remaining,
            sum(self.available.values()),
            sum(self.held.values()),
            sum(self.ended.values()),
            self.stranded,
            self.unproved,
            max(0, self.prepaid - self.charged),
        ]

    def cause(self, line: LogLine) -> TokenCause:
        """Return why the request of a "tokens refused" line got no tokens."""
        fields = line.fields
        amount = fields["amount"]
        elsewhere = sum(self.available.values()) - self.available.get(line.router, 0)
        found = elsewhere + fields["available"] + fields["remaining"]
        # Older versions keep nothing, and do not log it.
        if amount <= found < fields.get("kept", 0) + amount:
            return TokenCause.KEPT
        if fields["room"] < amount <= fields["available"]:
            return TokenCause.ABOVE_LIMIT
        if not fields["store_reachable"] and fields["remaining"] >= amount:
            return TokenCause.STORE_UNREACHABLE
        if elsewhere + fields["available"] >= amount:
            return TokenCause.ELSEWHERE
        if self.stranded + fields["available"] >= amount:
            return TokenCause.STRANDED
        return TokenCause.NOWHERE


def token_rows(budgets: Mapping[WorkspaceName, BudgetTokens]) -> list[list[Any]]:
    """Return a row of each workspace, and their sum if there are several."""
    figures = {name: one.figures() for name, one in sorted(budgets.items())}
    rows: list[list[Any]] = [[name, *values] for name, values in figures.items()]
    if len(rows) > 1:
        rows.append(["all", *map(sum, zip(*figures.values(), strict=True))])
    return rows
