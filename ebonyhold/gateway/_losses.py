"""Counts requests that were not served, by cause, from the log lines of all routers."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from datetime import datetime
from enum import Enum
from typing import Any, TypeAlias

from attrs import define, field

from ebonyhold.forwarding import DELIVERED, Refusal
from ebonyhold.gateway._loglines import LogLine, read_line
from ebonyhold.types import RequestId, RouterId, Tokens, WorkspaceName

WINDOW_SECONDS = 2
"""Time that one row of the table "Lost, by time" covers, in seconds."""

REFUSALS = frozenset(refusal.code for refusal in Refusal)


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
        remaining: Last logged tokens in the budget's row.
        available: Last logged available tokens of each router's current incarnation.
        stranded: Tokens of ended incarnations that were neither filed nor returned.
    """

    prepaid: Tokens = 0
    spent: Tokens = 0
    remaining: Tokens = 0
    available: dict[RouterId, Tokens] = field(factory=dict)
    stranded: Tokens = 0

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


@define
class Losses:
    """Requests that were not served, counted in several ways.

    Attributes:
        causes: By cause.
        routes: By cause and route.
        workspaces: By cause and workspace, for refusals for lack of tokens.
        times: By cause and time since the first line, in units of `WINDOW_SECONDS`.
        budgets: The tokens of each workspace.
        token_causes: Why requests got no tokens, until the line of their refusal is
            read.
        began: The time of the first line.
    """

    causes: Counter[str] = field(factory=Counter)
    routes: Counter[tuple[str, str]] = field(factory=Counter)
    workspaces: Counter[tuple[str, str]] = field(factory=Counter)
    times: Counter[tuple[str, int]] = field(factory=Counter)
    budgets: dict[WorkspaceName, BudgetTokens] = field(factory=dict)
    token_causes: dict[RequestId, str] = field(factory=dict)
    began: datetime | None = None

    def read(self, line: LogLine, request: RequestId) -> None:
        """Process one line; lines must be passed in order of time."""
        if self.began is None:
            self.began = datetime.fromisoformat(line.time)
        reader = READERS.get(line.message)
        if reader is not None:
            reader(self, line, request)

    def budget(self, line: LogLine) -> BudgetTokens:
        """Return the entry of the workspace that a line names, created if new."""
        return self.budgets.setdefault(line.fields["workspace"], BudgetTokens())

    def count(self, line: LogLine, cause: str) -> None:
        """Count one lost request by cause, by route and by time."""
        assert self.began is not None
        seconds = (datetime.fromisoformat(line.time) - self.began).total_seconds()
        self.causes[cause] += 1
        self.routes[cause, line.fields.get("route", "")] += 1
        self.times[cause, int(seconds // WINDOW_SECONDS)] += 1


Reader: TypeAlias = Callable[[Losses, LogLine, RequestId], None]

READERS: dict[str, Reader] = {}
"""The function that processes a line, by the line's message; others are ignored."""


def reads(*messages: str) -> Callable[[Reader], Reader]:
    """Register a function that processes lines with these messages."""

    def register(reader: Reader) -> Reader:
        READERS.update(dict.fromkeys(messages, reader))
        return reader

    return register


@reads("starting")
def read_start(losses: Losses, line: LogLine, request: RequestId) -> None:
    """Drop the available tokens of the router's previous incarnation.

    A later line about their reclaim shows how many of them are stranded.
    """
    del request
    for tokens in losses.budgets.values():
        tokens.available.pop(line.router, None)


@reads("grant changed")
def read_grant(losses: Losses, line: LogLine, request: RequestId) -> None:
    """Record a router's available tokens and the contents of the budget's row."""
    del request
    tokens = losses.budget(line)
    tokens.spent = line.fields["spent"]
    tokens.remaining = line.fields["remaining"]
    tokens.available[line.router] = line.fields["available"]


@reads("grant reclaimed", "grant not reclaimed")
def read_reclaim(losses: Losses, line: LogLine, request: RequestId) -> None:
    """Add tokens that an ended incarnation neither returned nor filed to `stranded`."""
    del request
    fields = line.fields
    left = fields["granted"] - fields["returned"] - fields["filed"]
    losses.budget(line).stranded += max(0, left)


@reads("tokens refused")
def read_token_refusal(losses: Losses, line: LogLine, request: RequestId) -> None:
    """Store why a request got no tokens, for its "refused" line, which follows."""
    tokens = losses.budget(line)
    tokens.prepaid = line.fields["prepaid"] or tokens.prepaid
    cause = tokens.cause(line).value
    losses.token_causes[request] = cause
    losses.workspaces[cause, line.fields["workspace"]] += 1


@reads("refused")
def read_refusal(losses: Losses, line: LogLine, request: RequestId) -> None:
    """Count a refused request by the cause stored from its "tokens refused" line.

    Without such a line, it is counted by the code in this one.
    """
    losses.count(line, losses.token_causes.pop(request, line.fields["code"]))


@reads("request ended")
def read_end(losses: Losses, line: LogLine, request: RequestId) -> None:
    """Count a request that failed; refused ones are counted at "refused" lines."""
    del request
    outcome = line.fields["outcome"]
    if outcome != DELIVERED and outcome not in REFUSALS:
        losses.count(line, outcome)


def find_losses(lines: Iterable[str]) -> Losses:
    """Count the requests that were not served, in the ways that `Losses` lists.

    Args:
        lines: The logs of all routers, as written, in any order.
    """
    found = [one for one in map(read_line, lines) if one is not None]
    losses = Losses()
    for line, request in sorted(found, key=lambda one: one[0].time):
        losses.read(line, request)
    return losses


def table(
    title: str, headers: Sequence[str], rows: Iterable[Sequence[Any]]
) -> list[str]:
    """Return a table's title, indented rows with aligned columns, and an empty line."""
    cells = [[str(cell) for cell in row] for row in (headers, *rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in cells
    ]
    return [title, *(f"  {line.rstrip()}" for line in lines), ""]


def report(losses: Losses) -> list[str]:
    """Return the lines of the report's tables.

    They show lost requests by cause, by route and by time, refusals for lack of tokens
    by workspace, and the last logged tokens of each workspace.
    """
    routes = [(cause, route, n) for (cause, route), n in losses.routes.most_common()]
    workspaces = [
        (cause, name, n) for (cause, name), n in losses.workspaces.most_common()
    ]
    times = [
        (f"{window * WINDOW_SECONDS} s", cause, n)
        for (cause, window), n in sorted(
            losses.times.items(), key=lambda one: one[0][1]
        )
    ]
    budgets = [
        (
            name,
            one.prepaid or "",
            one.spent,
            one.remaining,
            sum(one.available.values()),
            one.stranded,
        )
        for name, one in sorted(losses.budgets.items())
    ]
    headers = (
        "workspace",
        "prepaid",
        "filed",
        "in the row",
        "with routers",
        "stranded",
    )
    return [
        *table("Lost, by cause", ("cause", "requests"), losses.causes.most_common()),
        *table("Lost, by route", ("cause", "route", "requests"), routes),
        *table(
            "No tokens, by workspace", ("cause", "workspace", "requests"), workspaces
        ),
        *table("Lost, by time", ("from", "cause", "requests"), times),
        *table("Tokens, as last seen", headers, budgets),
    ]
