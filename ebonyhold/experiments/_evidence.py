"""What a run left behind, in the words of those who are not routers."""

from __future__ import annotations

import json
from collections.abc import Iterator
from enum import Enum
from typing import TypeAlias, TypeVar

import cattrs
import httpx
from attrs import field, frozen

from ebonyhold.coordination import (
    REQUEST_PREFIX,
    Intent,
    JournalSegment,
    RequestRow,
    Row,
    from_json,
    run_of,
)
from ebonyhold.standins import (
    EngineRecord,
    EngineRecords,
    ServiceRecord,
    ServiceRecords,
)
from ebonyhold.types import (
    AttemptId,
    BackendName,
    RequestId,
    Seconds,
    Tokens,
    WorkspaceName,
)

JOURNAL_PREFIX = "journal/"
TRACE_FIELD = 1
"""Where the trace identifier stands in a ``traceparent``."""

T = TypeVar("T")

Run: TypeAlias = EngineRecord | ServiceRecord
"""What a backend server did for one attempt."""


class CallerOutcome(Enum):
    """How one try ended for its caller."""

    WHOLE = "whole"
    """The answer came, and its end was marked."""
    NOT_RUN = "not_run"
    """It was refused, with the word that it did not run."""
    REFUSED = "refused"
    """It was refused, without that word."""
    CUT = "cut"
    """The answer broke off, or ended in an error event."""
    LEFT = "left"
    """The caller went away by itself."""


@frozen
class CallerRecord:
    """One try of one request, as its caller saw it.

    Attributes:
        workspace: Who pays.
        request: The idempotency key, or the identifier in the reply.
        trace: The trace identifier that this try carried, its own.
        outcome: How it ended.
        received: The answer's text, as far as it came.
        expected: The answer's text as it should be.
        sent_at: When it was sent, in seconds since the epoch.
        ended_at: When it ended.
    """

    workspace: WorkspaceName
    request: RequestId
    trace: str
    outcome: CallerOutcome
    received: str = ""
    expected: str = ""
    sent_at: float = 0.0
    ended_at: float = 0.0


@frozen
class StopRecord:
    """One planned stop of one backend server.

    Attributes:
        backend: Which one.
        starts_at: From when no new work may reach it, in seconds since the epoch.
        ends_at: Until when; 0 for good.
        grace: How long the news may take, in seconds.
    """

    backend: BackendName
    starts_at: float
    ends_at: float = 0.0
    grace: Seconds = 5.0

    def forbids(self, at: float) -> bool:
        """Tell whether new work at this time breaks the stop."""
        return at > self.starts_at + self.grace and (
            not self.ends_at or at < self.ends_at
        )

    def covers(self, began_at: float, ended_at: float) -> bool:
        """Tell whether work that ran in this time met the stop."""
        overlaps = ended_at >= self.starts_at
        return overlaps and (not self.ends_at or began_at < self.ends_at)


@frozen
class AcceptedVersion:
    """A configuration version that an operator was told is accepted."""

    version: int
    accepted_at: float


@frozen
class VersionSighting:
    """The version that one router served by, as seen from outside.

    Attributes:
        router: The router's name, without its boot.
        version: What it said.
        at: When, in seconds since the epoch.
    """

    router: str
    version: int
    at: float


@frozen
class Owner:
    """Whose request something was."""

    workspace: WorkspaceName
    request: RequestId


@frozen
class Evidence:
    """All that a run left behind.

    Attributes:
        engines: What the engines ran.
        services: What the plain services ran.
        rows: All rows of the table.
        callers: What the callers saw.
        stops: The planned stops.
        accepted: The versions that operators were told are accepted.
        sightings: The versions that routers served by.
        force_within: How long an accepted version may take, in seconds.
        settled: Whether the run was given time to settle, so that a request
            without an end is a fault.
    """

    engines: tuple[EngineRecord, ...] = ()
    services: tuple[ServiceRecord, ...] = ()
    rows: tuple[Row, ...] = ()
    callers: tuple[CallerRecord, ...] = ()
    stops: tuple[StopRecord, ...] = ()
    accepted: tuple[AcceptedVersion, ...] = ()
    sightings: tuple[VersionSighting, ...] = ()
    force_within: Seconds = 15.0
    settled: bool = True

    def rows_under(self, prefix: str, as_type: type[T]) -> Iterator[tuple[str, T]]:
        """Yield the rows of one kind, with what follows the prefix in their key."""
        for row in self.rows:
            if row.key.startswith(prefix):
                yield row.key.removeprefix(prefix), from_json(row.value, as_type)


@frozen
class Index:
    """The evidence, looked up.

    Attributes:
        bills: Each request's row.
        owners_by_trace: Whose request each trace was.
        owners_by_run: Whose request each run of a router was.
        holds: The hold of each attempt whose intent is still in the table.
        by_attempt: The engine's record of each attempt.
        by_trace: The engines' records of each trace.
        callers_by_trace: The caller's record of each trace.
    """

    bills: dict[Owner, RequestRow] = field(factory=dict)
    owners_by_trace: dict[str, Owner] = field(factory=dict)
    owners_by_run: dict[str, Owner] = field(factory=dict)
    holds: dict[AttemptId, Tokens] = field(factory=dict)
    by_attempt: dict[AttemptId, EngineRecord] = field(factory=dict)
    by_trace: dict[str, list[EngineRecord]] = field(factory=dict)
    callers_by_trace: dict[str, CallerRecord] = field(factory=dict)

    def owner_of(self, record: Run) -> Owner | None:
        """Return whose request a backend server ran."""
        by_trace = self.owners_by_trace.get(trace_of(record.traceparent))
        return by_trace or self.owners_by_run.get(run_of(record.attempt))

    def trace_of_owner(self, owner: Owner | None) -> str:
        """Return a trace of a request, for whoever looks into it."""
        traces = [trace for trace, one in self.owners_by_trace.items() if one == owner]
        return traces[-1] if traces else ""


def trace_of(traceparent: str) -> str:
    """Return the trace identifier of a ``traceparent``, or an empty string.

    >>> trace_of("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")
    '0af7651916cd43dd8448eb211c80319c'
    """
    fields = traceparent.split("-")
    return fields[TRACE_FIELD] if len(fields) > TRACE_FIELD else ""


def build_index(evidence: Evidence) -> Index:
    """Look all evidence up once."""
    index = Index()
    for key, bill in evidence.rows_under(REQUEST_PREFIX, RequestRow):
        workspace, _, request = key.partition("/")
        owner = Owner(workspace, request)
        index.bills[owner] = bill
        if bill.attempt:
            index.owners_by_run[run_of(bill.attempt)] = owner
    for intent in intents_of(evidence):
        owner = Owner(intent.workspace, intent.request)
        index.owners_by_run[run_of(intent.attempt)] = owner
        index.holds[intent.attempt] = intent.hold
    for caller in evidence.callers:
        index.owners_by_trace[caller.trace] = Owner(caller.workspace, caller.request)
        index.callers_by_trace[caller.trace] = caller
    for record in evidence.engines:
        index.by_attempt[record.attempt] = record
        index.by_trace.setdefault(trace_of(record.traceparent), []).append(record)
    return index


def intents_of(evidence: Evidence) -> Iterator[Intent]:
    """Yield the intents of the journals that are still in the table."""
    for _, segment in evidence.rows_under(JOURNAL_PREFIX, JournalSegment):
        for entry in segment.entries:
            if isinstance(entry, Intent):
                yield entry


def fetch_json(url: str) -> object:
    """Return the records of one stand-in.

    Raises:
        httpx.HTTPError: It does not answer.
    """
    reply = httpx.get(f"{url}/records", trust_env=False, timeout=30)
    reply.raise_for_status()
    value: object = json.loads(reply.content)
    return value


def fetch_engines(urls: tuple[str, ...]) -> tuple[EngineRecord, ...]:
    """Return what the engines behind these URLs ran."""
    records: list[EngineRecord] = []
    for url in urls:
        records += cattrs.structure(fetch_json(url), EngineRecords).attempts
    return tuple(records)


def fetch_services(urls: tuple[str, ...]) -> tuple[ServiceRecord, ...]:
    """Return what the plain services behind these URLs ran."""
    records: list[ServiceRecord] = []
    for url in urls:
        records += cattrs.structure(fetch_json(url), ServiceRecords).calls
    return tuple(records)


def fetch_rows(url: str) -> tuple[Row, ...]:
    """Return all rows of the table behind a URL, past its ceilings."""
    body = fetch_json(url)
    rows = body["rows"] if isinstance(body, dict) else []
    return tuple(Row(row["key"], row["version"], row["value"]) for row in rows)
