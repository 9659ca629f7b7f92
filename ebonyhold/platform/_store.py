"""Client of the platform's store: reads, transactions and the feed of changes."""

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
    AnswerBounds,
    AnswerTooLargeError,
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

TRANSACT_PATH = "/ebonyhold/rows-tx"
READ_PATH = "/ebonyhold/rows-get"
FEED_PATH = "/ebonyhold/rows-feed"
# The feed returns the changes after this version of the table.
AFTER_FIELD = "after-revision"
# A list of row keys with the version that each must have.
CHECKS_FIELD = "expected-revision"
VERSION_FIELD = "version-number"
NOW_FIELD = "now-ms"

CALL_TIMEOUT: Seconds = 0.6
"""Timeout of one call that does not wait for changes; an answer usually takes some
12 ms.
"""

FEED_MARGIN: Seconds = 0.5
"""Added to the requested wait for changes to get the timeout of the call."""

NO_EFFECT_STATUSES = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
"""Statuses of refused transactions, which had no effect."""

DECODE_ERRORS = (
    ValueError,
    LookupError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)
"""Errors raised by decoding a malformed answer."""

MAX_ROWS = 500
"""Maximum number of rows per call."""

MAX_PAGES = 10
"""Maximum number of calls of one `scan`; `snapshot` reads all pages. An answer has at
most 1 MB, so few large rows of other programs fill one."""

MAX_ANSWER = 4_194_304
"""Size limit, in bytes, of an answer.

The changes of a table include every version of a large row: a few hundred routes in ten
versions make some 2 MB. A table with more of them is read anew, page by page.
"""

MAX_TOGETHER = 8_388_608
"""Size limit, in bytes, of all answers that are being read."""

MAX_TABLE = 16_777_216
"""Size limit, in bytes, of the pages of one reading of a table."""

JSON_HEADERS = [(b"content-type", b"application/json")]


def split_key(key: str) -> dict[str, str]:
    """Split a key, written ``table/part/rest``, into the fields that calls use.

    >>> split_key("prepaid/acme/grant/r1")
    {'table': 'prepaid', 'part': 'acme', 'key': 'grant/r1'}
    """
    table, part, rest = key.split("/", 2)
    return {"table": table, "part": part, "key": rest}


def join_key(raw: dict[str, Any]) -> str:
    """Return the key of a row, written ``table/part/rest``."""
    return f"{raw['table']}/{raw['part']}/{raw['key']}"


def encode_check(check: Check) -> dict[str, Any]:
    """Encode a check; version 0 means that the row must not exist."""
    version = 0 if isinstance(check, Absent) else check.version
    return {**split_key(check.key), VERSION_FIELD: version}


def encode_transaction(transaction: Transaction) -> dict[str, Any]:
    """Encode a transaction as the body of a call."""
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
    return {CHECKS_FIELD: checks, "writes": writes, "remove": removals}


def decode_raw_row(raw: dict[str, Any]) -> RawRow:
    """Decode one row of the feed or a snapshot.

    Its value stays bytes, as other programs may write the row; that of a deleted row is
    empty.
    """
    deleted = bool(raw.get("deleted"))
    value = b"" if deleted else decode_value(raw)
    return RawRow(str(raw["key"]), int(raw[VERSION_FIELD]), value, deleted)


def decode_value(raw: dict[str, Any]) -> bytes:
    """Decode the value of a row; one that is not base64 counts as empty.

    No reader accepts an empty value, and the other rows of the answer are read.
    """
    try:
        return base64.b64decode(raw["value"])
    except DECODE_ERRORS:
        return b""


def decode_row(raw: dict[str, Any]) -> Row:
    """Decode one row whose value is JSON, as this software writes it.

    Other programs may write the row too. A value that is not JSON becomes None, which
    its reader counts as damaged like any other value that is no object, so that the
    other rows of the answer are read.
    """
    try:
        value = json.loads(decode_value(raw))
    except DECODE_ERRORS:
        value = None
    return Row(join_key(raw), int(raw[VERSION_FIELD]), value)


@define
class StoreClient:
    """Client of the platform's store; its only state is its connections."""

    address: tuple[str, int]
    calls: HttpCalls = field(init=False)

    def __attrs_post_init__(self) -> None:
        bounds = AnswerBounds(MAX_ANSWER, MAX_TOGETHER)
        self.calls = HttpCalls(self.address, bounds=bounds)

    def start(self, tasks: TaskStarter) -> None:
        """Create the connection pool, whose reading tasks run in `tasks`.

        Before this, each call fails with `UnavailableError`.
        """
        self.calls.start(tasks)

    async def fetch(
        self, path: str, query: dict[str, str], wait: Seconds = 0
    ) -> WholeAnswer:
        """Make a GET call and return the answer, whose status is 200.

        Args:
            path: The path of the call.
            query: The parameters of the call.
            wait: How long the store may wait for changes before it answers, in seconds;
                0 for a call that is answered at once.

        Raises:
            HistoryLostError: The store no longer keeps the requested changes, or they
                are too large.
            ThrottledError: The store refused the call because of its rate limit.
            UnavailableError: The call failed.
        """
        limit = wait + FEED_MARGIN if wait else CALL_TIMEOUT
        # A key of another program may contain surrogates.
        target = f"{path}?{urlencode(query, errors='surrogatepass')}".encode()
        try:
            answer = await self.calls.call(
                Outbound(b"GET", target, [], b"", False), limit
            )
        except BackendLostError as error:
            if path == FEED_PATH and isinstance(error, AnswerTooLargeError):
                raise HistoryLostError(f"{path}: {error}") from error
            raise UnavailableError(f"{path}: {error}") from error
        if answer.head.status == HTTPStatus.GONE:
            raise HistoryLostError(path)
        check_status(path, answer)
        return answer

    async def fetch_page(self, query: dict[str, str], read: int) -> tuple[Any, int]:
        """Read one page of a table.

        Args:
            query: The parameters of the call.
            read: The size of the pages before it, in bytes.

        Returns:
            The decoded body, and the size of all pages so far.

        Raises:
            UnavailableError: The call failed, or the pages are too large, or this one
                is malformed.
        """
        answer = await self.fetch(READ_PATH, query)
        read += len(answer.body)
        if read > MAX_TABLE:
            raise UnavailableError(f"{READ_PATH}: the table is too large")
        return decode_body(READ_PATH, answer), read

    async def snapshot(self, table: str, part: str = "") -> Snapshot:
        """Read all rows of one part of a table, page by page.

        Its version is that of the table when the first page was read.

        Raises:
            UnavailableError: A call failed, or its answer is malformed.
        """
        rows: list[RawRow] = []
        read, version = 0, None
        query = {"table": table, "part": part, "limit": str(MAX_ROWS)}
        while True:
            body, read = await self.fetch_page(query, read)
            with decoding(READ_PATH):
                page = [decode_raw_row(raw) for raw in body["rows"]]
                rows += page
                # A row of an earlier page may change while a later page is read.  So
                # the feed is followed from the first page's version; it may repeat
                # changes that later pages already contain, which is harmless.
                if version is None:
                    version = int(body[VERSION_FIELD])
                if not body.get("truncated"):
                    return Snapshot(tuple(rows), version)
                # "from" is inclusive: the next page starts at the next possible key.
                query["from"] = page[-1].key + "\0"

    async def changes(self, table: str, after: int, wait: Seconds) -> Changes:
        """Wait for changes of a table after a version.

        The result has no rows if none come within `wait` seconds.

        Raises:
            HistoryLostError: The store no longer keeps all of these changes, or they
                are too large; the caller must read a new snapshot.
            UnavailableError: The call failed, or its answer is malformed.
        """
        milliseconds = str(int(wait * 1000))
        query = {"table": table, AFTER_FIELD: str(after), "wait-ms": milliseconds}
        body = decode_body(FEED_PATH, await self.fetch(FEED_PATH, query, wait))
        with decoding(FEED_PATH):
            rows = tuple(decode_raw_row(raw) for raw in body["rows"])
            return Changes(rows, int(body[VERSION_FIELD]))

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        """Read the first rows whose key starts with a prefix, in the order of the keys.

        At most `limit` rows are returned, and those of at most `MAX_PAGES` calls; for
        the next ones, pass the last key as `after`.

        Raises:
            UnavailableError: A call failed, or its answer is malformed.
        """
        start = split_key(prefix)
        query = {"table": start["table"], "part": start["part"], "limit": str(MAX_ROWS)}
        # "target" is the end of the range of keys, exclusive.
        query["from"] = start["key"]
        query["target"] = start["key"] + "\x7f"
        if after:
            query["from"] = split_key(after)["key"] + "\0"
        rows: list[Row] = []
        read = 0
        for _ in range(MAX_PAGES):
            body, read = await self.fetch_page(query, read)
            with decoding(READ_PATH):
                rows += [decode_row(raw) for raw in body["rows"]]
                if not body.get("truncated") or len(rows) >= limit:
                    break
                query["from"] = split_key(rows[-1].key)["key"] + "\0"
        return rows[:limit]

    async def commit(self, transaction: Transaction) -> Committed:
        """Commit a transaction and return its version and the store's time.

        Raises:
            ConflictError: A check failed; nothing was written.
            ThrottledError: Refused because of the store's rate limit; no effect.
            UnavailableError: Not sent, or refused by the store; no effect.
            UnknownOutcomeError: The transaction may have taken effect, or may still do
                so.
        """
        body = encode_transaction(transaction)
        content = json.dumps(body, separators=(",", ":")).encode()
        request = Outbound(b"POST", TRANSACT_PATH.encode(), JSON_HEADERS, content, True)
        try:
            answer = await self.calls.call(request, CALL_TIMEOUT)
        except CallNotSentError as error:
            raise UnavailableError(f"{TRANSACT_PATH}: {error}") from error
        except BackendLostError as error:
            raise UnknownOutcomeError(f"{TRANSACT_PATH}: {error}") from error
        status = answer.head.status
        if status == HTTPStatus.PRECONDITION_FAILED:
            rows = conflicting_rows(answer)
            keys = tuple(row.key for row in rows)
            raise ConflictError("a check failed", keys, rows)
        if status not in NO_EFFECT_STATUSES and status != HTTPStatus.OK:
            raise UnknownOutcomeError(f"{TRANSACT_PATH}: status {status}")
        check_status(TRANSACT_PATH, answer)
        try:
            raw = json.loads(answer.body)
            return Committed(int(raw[VERSION_FIELD]), raw[NOW_FIELD] / 1000)
        except DECODE_ERRORS as error:
            raise UnknownOutcomeError(
                f"{TRANSACT_PATH}: malformed answer: {error!r}"
            ) from error


def conflicting_rows(answer: WholeAnswer) -> tuple[Row, ...]:
    """Return the rows in the answer to a transaction whose checks failed.

    They are rows that the transaction checked, as they are now in the store.  A
    malformed body is logged and gives no rows, since the status alone proves the
    conflict.
    """
    try:
        return tuple(decode_row(raw) for raw in json.loads(answer.body).get("rows", ()))
    except DECODE_ERRORS as error:
        log.warning(
            "cannot decode the rows of a conflict", extra={"detail": repr(error)}
        )
        return ()


def check_status(path: str, answer: WholeAnswer) -> None:
    """Raise an error unless the status is 200.

    For a transaction, `commit` calls this only with 200 or one of `NO_EFFECT_STATUSES`.

    Raises:
        ThrottledError: The store refused the call because of its rate limit.
        UnavailableError: The answer has another status.
    """
    status = answer.head.status
    if status == HTTPStatus.TOO_MANY_REQUESTS:
        raise ThrottledError(f"{path}: over the store's rate limit")
    if status != HTTPStatus.OK:
        raise UnavailableError(f"{path}: status {status}")


def decode_body(path: str, answer: WholeAnswer) -> Any:
    """Decode the JSON body of an answer.

    Raises:
        UnavailableError: The body is not JSON.
    """
    with decoding(path):
        return json.loads(answer.body)


@contextmanager
def decoding(path: str) -> Iterator[None]:
    """Turn decoding errors within the block into `UnavailableError`.

    Raises:
        UnavailableError: The answer is malformed.
    """
    try:
        yield
    except DECODE_ERRORS as error:
        raise UnavailableError(f"{path}: malformed answer: {error!r}") from error
