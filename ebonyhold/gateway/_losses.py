"""Counts requests that were not served, by cause, from the log lines of all routers."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from datetime import datetime
from typing import Any, TypeAlias

from attrs import define, field

from ebonyhold.forwarding import DELIVERED, Refusal
from ebonyhold.gateway._loglines import LogLine, read_line
from ebonyhold.gateway._token_account import COLUMNS, BudgetTokens, token_rows
from ebonyhold.types import RequestId, Seconds, WorkspaceName

WINDOW_SECONDS = 2
"""Time that one row of the table "Lost, by time" covers, in seconds."""

REFUSALS = frozenset(refusal.code for refusal in Refusal)


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
        reader = READERS.get(line.message)
        if reader is not None:
            reader(self, line, request)

    def seconds(self, line: LogLine) -> Seconds:
        """Return the time since the first line, which is the one of the first call."""
        at = datetime.fromisoformat(line.time)
        if self.began is None:
            self.began = at
        return (at - self.began).total_seconds()

    def budget(self, line: LogLine) -> BudgetTokens:
        """Return the entry of the workspace that a line names, created if new."""
        return self.budgets.setdefault(line.fields["workspace"], BudgetTokens())

    def count(self, line: LogLine, cause: str) -> None:
        """Count one lost request by cause, by route and by time."""
        seconds = self.seconds(line)
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
    """Count the tokens of the router's previous incarnation as ended.

    A later line about their reclaim shows how many of them are stranded.
    """
    del request
    for tokens in losses.budgets.values():
        tokens.end(line.router)


@reads("grant changed")
def read_grant(losses: Losses, line: LogLine, request: RequestId) -> None:
    """Record a router's available tokens and the contents of the budget's row."""
    del request
    tokens = losses.budget(line)
    tokens.spent = line.fields["spent"]
    tokens.remaining = line.fields["remaining"]
    tokens.available[line.router] = line.fields["available"]
    tokens.held[line.router] = line.fields.get("held", 0)


@reads("grant reclaimed", "grant not reclaimed")
def read_reclaim(losses: Losses, line: LogLine, request: RequestId) -> None:
    """Add tokens that an ended incarnation neither returned nor filed to `stranded`."""
    del request
    losses.budget(line).reclaim(line)


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
    """Add a request's charge, and count one that failed.

    Refused requests are counted at "refused" lines.
    """
    del request
    if line.fields.get("charge") and line.fields.get("workspace"):
        losses.budget(line).charged += line.fields["charge"]
    outcome = line.fields["outcome"]
    if outcome != DELIVERED and outcome not in REFUSALS:
        losses.count(line, outcome)


def find_losses(lines: Iterable[str], until: Seconds = math.inf) -> Losses:
    """Count the requests that were not served, in the ways that `Losses` lists.

    Args:
        lines: The logs of all routers, as written, in any order.
        until: Time since the first line up to which lines are read.
    """
    found = [one for one in map(read_line, lines) if one is not None]
    losses = Losses()
    for line, request in sorted(found, key=lambda one: one[0].time):
        if losses.seconds(line) > until:
            break
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
    return [
        *table("Lost, by cause", ("cause", "requests"), losses.causes.most_common()),
        *table("Lost, by route", ("cause", "route", "requests"), routes),
        *table(
            "No tokens, by workspace", ("cause", "workspace", "requests"), workspaces
        ),
        *table("Lost, by time", ("from", "cause", "requests"), times),
        *table("Tokens, as last seen", COLUMNS, token_rows(losses.budgets)),
    ]
