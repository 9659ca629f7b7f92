"""The client of the platform's store: rows, transactions and changes."""

from __future__ import annotations

import base64
import json
import logging
from collections.abc import Iterator
from contextlib import contextmanager
from http import HTTPStatus
from typing import Any
from urllib.parse import urlencode

from attrs import define, field

from ebonyhold.coordination import Absent, Check, Put, Row, Transaction
from ebonyhold.exceptions import (
    BackendLostError,
    ConflictError,
    HistoryLostError,
    ThrottledError,
    UnavailableError,
    UnknownOutcomeError,
)
from ebonyhold.forwarding import (
    CallNotSentError,
    HttpCalls,
    Outbound,
    TaskStarter,
    WholeAnswer,
)
from ebonyhold.gateway import Changes, RawRow, Snapshot
from ebonyhold.prepaid import Committed
from ebonyhold.types import Seconds

log = logging.getLogger(__name__)

TRANSACT = "/ebonyhold/rows-tx"
READ = "/ebonyhold/rows-get"
FEED = "/ebonyhold/rows-feed"
# Despite the name it is no history: the version to go on after.
AFTER = "after-revision"
# It holds no revision alone but whole rows that are checked.
CHECKS = "expected-revision"
VERSION = "version-number"
NOW = "now-ms"

CALL_TIMEOUT: Seconds = 0.6
"""The longest wait for one call; an answer usually takes some 12 ms."""

FEED_MARGIN: Seconds = 0.5
"""How much longer than asked a call for changes may take."""

UNDONE = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
"""Statuses by which the store says that it did nothing."""

UNREADABLE = (
    ValueError,
    LookupError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)
"""What decoding raises of an answer that does not hold what it must."""

PAGE = 500
"""Rows of one answer."""

JSON = [(b"content-type", b"application/json")]


def split_key(key: str) -> dict[str, str]:
    """Split a key, written ``table/part/rest``, as the platform addresses rows.

    >>> split_key("prepaid/acme/grant/r1")
    {'table': 'prepaid', 'part': 'acme', 'key': 'grant/r1'}
    """
    table, part, rest = key.split("/", 2)
    return {"table": table, "part": part, "key": rest}


def join_key(raw: dict[str, Any]) -> str:
    """Return our key of a row."""
    return f"{raw['table']}/{raw['part']}/{raw['key']}"


def encode_check(check: Check) -> dict[str, Any]:
    """Return a check in the platform's form; version 0 means no row."""
    version = 0 if isinstance(check, Absent) else check.version
    return {**split_key(check.key), VERSION: version}


def encode_transaction(transaction: Transaction) -> dict[str, Any]:
    """Return a transaction in the platform's form."""
    writes: list[dict[str, Any]] = []
    removals: list[dict[str, Any]] = []
    for write in transaction.writes:
        if isinstance(write, Put):
            value = json.dumps(write.value, separators=(",", ":")).encode()
            text = base64.b64encode(value).decode()
            writes.append({**split_key(write.key), "value": text})
        else:
            removals.append(split_key(write.key))
    checks = [encode_check(check) for check in transaction.checks]
    return {CHECKS: checks, "writes": writes, "remove": removals}


def decode_raw(raw: dict[str, Any]) -> RawRow:
    """Read one row, whoever wrote it."""
    deleted = bool(raw.get("deleted"))
    value = b"" if deleted else base64.b64decode(raw["value"])
    return RawRow(str(raw["key"]), int(raw[VERSION]), value, deleted)


def decode_row(raw: dict[str, Any]) -> Row:
    """Read one row of our own."""
    value = json.loads(base64.b64decode(raw["value"]))
    return Row(join_key(raw), int(raw[VERSION]), value)


@define
class StoreClient:
    """The platform's store; it keeps nothing between calls but connections."""

    address: tuple[str, int]
    calls: HttpCalls = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.calls = HttpCalls(self.address)

    def start(self, tasks: TaskStarter) -> None:
        """Take what starts the tasks in which connections are read."""
        self.calls.start(tasks)

    async def ask(self, path: str, query: dict[str, str], wait: Seconds = 0) -> Any:
        """Make a reading call.

        Raises:
            HistoryLostError: The changes asked for are no longer kept.
            UnavailableError: The store did not answer as it should.
        """
        limit = wait + FEED_MARGIN if wait else CALL_TIMEOUT
        target = f"{path}?{urlencode(query)}".encode()
        try:
            answer = await self.calls.call(
                Outbound(b"GET", target, [], b"", False), limit
            )
        except BackendLostError as error:
            raise UnavailableError(f"{path}: {error}") from error
        if answer.head.status == HTTPStatus.GONE:
            raise HistoryLostError(path)
        check_status(path, answer)
        return decode_body(path, answer)

    async def snapshot(self, table: str, part: str = "") -> Snapshot:
        """Read all rows of one part of a table.

        Raises:
            UnavailableError: The store cannot be reached.
        """
        rows: list[RawRow] = []
        version: int | None = None
        query = {"table": table, "part": part, "limit": str(PAGE)}
        while True:
            body = await self.ask(READ, query)
            with readable(READ):
                page = [decode_raw(raw) for raw in body["rows"]]
                rows += page
                # A row of an earlier page may change while a later one is read.  From
                # the first page's version on the feed tells of it; what later pages
                # hold already comes once more, which does no harm.
                if version is None:
                    version = int(body[VERSION])
                if not body.get("truncated"):
                    return Snapshot(tuple(rows), version)
                # Keys are read from this one on, so the least larger key is named.
                query["from"] = page[-1].key + "\0"

    async def changes(self, table: str, after: int, wait: Seconds) -> Changes:
        """Wait for the changes of a table after a version.

        Raises:
            HistoryLostError: They are no longer kept; read everything again.
            UnavailableError: The store cannot be reached.
        """
        milliseconds = str(int(wait * 1000))
        query = {"table": table, AFTER: str(after), "wait-ms": milliseconds}
        body = await self.ask(FEED, query, wait)
        with readable(FEED):
            rows = tuple(decode_raw(raw) for raw in body["rows"])
            return Changes(rows, int(body[VERSION]))

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        """Read rows whose key starts with a prefix, in the order of their keys.

        Raises:
            UnavailableError: The store cannot be reached.
        """
        place = split_key(prefix)
        query = {"table": place["table"], "part": place["part"], "limit": str(PAGE)}
        # "target" is the end of the range, which it leaves out.
        query["from"] = place["key"]
        query["target"] = place["key"] + "\x7f"
        if after:
            query["from"] = split_key(after)["key"] + "\0"
        body = await self.ask(READ, query)
        with readable(READ):
            return [decode_row(raw) for raw in body["rows"][:limit]]

    async def commit(self, transaction: Transaction) -> Committed:
        """Commit a transaction.

        Raises:
            ConflictError: A check failed; nothing was written.
            UnavailableError: It certainly had no effect.
            UnknownOutcomeError: It may have taken effect, or may yet.
        """
        body = encode_transaction(transaction)
        content = json.dumps(body, separators=(",", ":")).encode()
        request = Outbound(b"POST", TRANSACT.encode(), JSON, content, True)
        try:
            answer = await self.calls.call(request, CALL_TIMEOUT)
        except CallNotSentError as error:
            raise UnavailableError(f"{TRANSACT}: {error}") from error
        except BackendLostError as error:
            raise UnknownOutcomeError(f"{TRANSACT}: {error}") from error
        status = answer.head.status
        if status == HTTPStatus.PRECONDITION_FAILED:
            rows = conflicting_rows(answer)
            keys = tuple(row.key for row in rows)
            raise ConflictError("a check failed", keys, rows)
        if status not in UNDONE and status != HTTPStatus.OK:
            raise UnknownOutcomeError(f"{TRANSACT}: status {status}")
        check_status(TRANSACT, answer)
        try:
            raw = json.loads(answer.body)
            return Committed(int(raw[VERSION]), raw[NOW] / 1000)
        except UNREADABLE as error:
            raise UnknownOutcomeError(f"{TRANSACT}: {error!r}") from error


def conflicting_rows(answer: WholeAnswer) -> tuple[Row, ...]:
    """Return the rows that a failed transaction checked, as they are now.

    A body that cannot be read tells nothing of them; the failure itself is certain.
    """
    try:
        return tuple(decode_row(raw) for raw in json.loads(answer.body).get("rows", ()))
    except UNREADABLE as error:
        log.warning("conflict without rows", extra={"detail": repr(error)})
        return ()


def check_status(path: str, answer: WholeAnswer) -> None:
    """Make sure that the store did what was asked.

    Raises:
        ThrottledError: It refused for its rate ceiling; nothing was done.
        UnavailableError: It did nothing.
    """
    status = answer.head.status
    if status == HTTPStatus.TOO_MANY_REQUESTS:
        raise ThrottledError(f"{path}: over the rate ceiling")
    if status != HTTPStatus.OK:
        raise UnavailableError(f"{path}: status {status}")


def decode_body(path: str, answer: WholeAnswer) -> Any:
    """Read the JSON body of an answer.

    Raises:
        UnavailableError: It is none.
    """
    with readable(path):
        return json.loads(answer.body)


@contextmanager
def readable(path: str) -> Iterator[None]:
    """Take what an answer to a reading call holds.

    Raises:
        UnavailableError: It does not hold what it must.
    """
    try:
        yield
    except UNREADABLE as error:
        raise UnavailableError(f"{path}: malformed answer: {error!r}") from error
