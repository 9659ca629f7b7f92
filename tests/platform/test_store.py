"""The store's client with scripted answers: its requests, results and errors."""

from __future__ import annotations

import base64
import json
from collections.abc import Awaitable, Callable
from contextlib import nullcontext
from typing import Any
from urllib.parse import parse_qs, urlsplit

import pytest
from attrs import define, field

from ebonyhold.coordination import (
    Absent,
    AtVersion,
    Delete,
    GrantRow,
    Put,
    Transaction,
    read_row,
)
from ebonyhold.exceptions import (
    BackendLostError,
    ConflictError,
    DamagedRowError,
    HistoryLostError,
    ThrottledError,
    UnavailableError,
    UnknownOutcomeError,
)
from ebonyhold.forwarding import (
    AnswerHead,
    AnswerTooLargeError,
    CallNotSentError,
    HttpCalls,
    Outbound,
    WholeAnswer,
)
from ebonyhold.platform import StoreClient
from ebonyhold.prepaid import Committed

pytestmark = pytest.mark.anyio
Handler = Callable[[Outbound], WholeAnswer]
Call = Callable[[StoreClient], Awaitable[Any]]

CHANGE = Transaction(
    (Absent("t/p/new"), AtVersion("t/p/old", 7)),
    (Put("t/p/new", {"a": 1}), Delete("t/p/old")),
)


@pytest.fixture
def anyio_backend() -> str:
    """Run on asyncio only, as the scripted calls depend on no event loop."""
    return "asyncio"


@define(eq=False)
class ScriptedCalls(HttpCalls):
    """HTTP calls that a function answers, without a connection."""

    handler: Handler = field(kw_only=True)

    async def call(self, request: Outbound, timeout: float) -> WholeAnswer:
        assert 0 < timeout < 2
        return self.handler(request)


def client(handler: Handler) -> StoreClient:
    """Return a client whose calls a function answers."""
    store = StoreClient(("127.0.0.1", 1))
    store.calls = ScriptedCalls(store.address, handler=handler)
    return store


def answer(status: int, body: Any = None) -> WholeAnswer:
    """Return an answer whose body is the given bytes, or the given value as JSON."""
    content = body if isinstance(body, bytes) else json.dumps(body).encode()
    return WholeAnswer(AnswerHead(status, []), content)


def always(status: int, body: Any = None) -> Handler:
    """Return a handler that always gives the same answer."""
    return lambda request: answer(status, body)


def always_raise(error: type[BackendLostError]) -> Handler:
    """Return a handler that always raises an error."""

    def handler(request: Outbound) -> WholeAnswer:
        raise error("lost")

    return handler


def row(key: str, version: int, value: Any, **more: Any) -> dict[str, Any]:
    """Return a row of table ``t`` and part ``p`` as the store sends it."""
    text = base64.b64encode(json.dumps(value).encode()).decode()
    address = {"table": "t", "part": "p", "key": key}
    return {**address, "value": text, "version-number": version, **more}


async def commit(store: StoreClient) -> Any:
    return await store.commit(CHANGE)


async def snapshot(store: StoreClient) -> Any:
    return await store.snapshot("t", "p")


async def changes(store: StoreClient) -> Any:
    return await store.changes("t", 5, 0.5)


async def scan(store: StoreClient) -> Any:
    return await store.scan("t/p/a")


MALFORMED_ROW = {**row("a", 1, 1), "value": base64.b64encode(b"{").decode()}
"""A row whose value is not JSON."""

FAULTS = [
    # call, scripted answer, expected error
    (commit, always(412, {"rows": [row("old", 9, 1)]}), ConflictError),
    (commit, always(429), ThrottledError),
    (commit, always(503), UnavailableError),
    (commit, always(500), UnknownOutcomeError),
    (commit, always(200, b"not json"), UnknownOutcomeError),
    (commit, always(200, {}), UnknownOutcomeError),
    (commit, always_raise(CallNotSentError), UnavailableError),
    (commit, always_raise(BackendLostError), UnknownOutcomeError),
    (snapshot, always(429), ThrottledError),
    (snapshot, always(503), UnavailableError),
    (snapshot, always(200, b"not json"), UnavailableError),
    (snapshot, always_raise(BackendLostError), UnavailableError),
    (snapshot, always_raise(AnswerTooLargeError), UnavailableError),
    (changes, always_raise(AnswerTooLargeError), HistoryLostError),
    (commit, always_raise(AnswerTooLargeError), UnknownOutcomeError),
    (snapshot, always(200, {}), UnavailableError),
    (snapshot, always(200, []), UnavailableError),
    (snapshot, always(200, {"rows": [], "version-number": "x"}), UnavailableError),
    (
        snapshot,
        always(200, {"rows": [{"key": "a"}], "version-number": 1}),
        UnavailableError,
    ),
    (snapshot, always(200, {"rows": [], "truncated": True}), UnavailableError),
    (snapshot, always(200, b"[" * 200_000), UnavailableError),
    (scan, always(200, {}), UnavailableError),
    (scan, always(200, {"rows": [{"key": "a"}]}), UnavailableError),
    (changes, always(200, {"rows": None, "version-number": 7}), UnavailableError),
    (changes, always(200, {"rows": []}), UnavailableError),
    (commit, always(200, b"[" * 200_000), UnknownOutcomeError),
    (commit, always(412, b"[" * 200_000), ConflictError),
    (changes, always(410), HistoryLostError),
    (changes, always(503), UnavailableError),
    (changes, always_raise(CallNotSentError), UnavailableError),
]


@pytest.mark.parametrize(("call", "handler", "error"), FAULTS)
async def test_faults(call: Call, handler: Handler, error: type[Exception]) -> None:
    with pytest.raises(error) as caught:
        await call(client(handler))
    assert type(caught.value) is error


async def test_row_that_is_no_json_is_read_as_damaged() -> None:
    """Guards against an unreadable row that hides the others or is taken for empty."""
    rows = [MALFORMED_ROW, row("b", 2, {"n": 1})]
    odd, sound = await client(always(200, {"rows": rows})).scan("t/p/")
    assert (odd.key, odd.version, sound.value) == ("t/p/a", 1, {"n": 1})
    with pytest.raises(DamagedRowError):
        read_row(odd, GrantRow)


@pytest.mark.parametrize("value", [None, 7, "x", "\u20ac", ["eA=="]])
@pytest.mark.parametrize("call", [snapshot, changes])
async def test_row_with_an_odd_value_hides_no_other(call: Call, value: Any) -> None:
    """Guards against a value that is no base64 and stops the reading of its table."""
    odd = {**row("a", 6, 1), "value": value}
    body = {"rows": [odd, row("b", 7, 1)], "version-number": 7}
    found = await call(client(always(200, body)))
    assert [(item.key, item.value) for item in found.rows] == [("a", b""), ("b", b"1")]


async def test_page_may_end_with_an_odd_key() -> None:
    """Guards against a key with a surrogate that ends the task which reads it."""
    pages = [
        {"rows": [row("\ud800", 1, 1)], "truncated": True, "version-number": 8},
        {"rows": [row("\ue000", 2, 2)], "version-number": 8},
    ]
    left = iter(pages)
    found = await client(lambda request: answer(200, next(left))).snapshot("t", "p")
    assert [item.key for item in found.rows] == ["\ud800", "\ue000"]


async def test_commit() -> None:
    calls: list[Any] = []

    def handler(request: Outbound) -> WholeAnswer:
        calls.append((request.target.decode(), json.loads(request.body)))
        return answer(200, {"version-number": 12, "now-ms": 5230})

    assert await client(handler).commit(CHANGE) == Committed(12, 5.23)
    path, body = calls[0]
    assert path == "/ebonyhold/rows-tx"
    address = {"table": "t", "part": "p"}
    assert body["expected-revision"] == [
        {**address, "key": "new", "version-number": 0},
        {**address, "key": "old", "version-number": 7},
    ]
    assert body["remove"] == [{**address, "key": "old"}]
    assert base64.b64decode(body["writes"][0]["value"]) == b'{"a":1}'


async def test_snapshot_of_two_pages() -> None:
    pages = [
        {"rows": [row("a", 1, 1)], "truncated": True, "version-number": 8},
        {"rows": [row("b", 2, 2)], "truncated": False, "version-number": 9},
    ]
    from_keys: list[list[str]] = []

    def handler(request: Outbound) -> WholeAnswer:
        query = parse_qs(urlsplit(request.target.decode()).query)
        from_keys.append(query.get("from", []))
        return answer(200, pages[len(from_keys) - 1])

    found = await client(handler).snapshot("t", "p")
    assert [item.key for item in found.rows] == ["a", "b"]
    assert from_keys == [[], ["a\0"]]


async def test_changes_include_deletions() -> None:
    rows = [row("a", 6, 1), row("b", 7, 1, deleted=True)]
    body = {"rows": rows, "version-number": 7}
    found = await client(always(200, body)).changes("t", 5, 0.5)
    assert [(item.key, item.deleted) for item in found.rows] == [
        ("a", False),
        ("b", True),
    ]
    assert found.version == 7


async def test_snapshot_has_the_version_of_its_first_page() -> None:
    """The feed after a snapshot must contain changes made between two of its pages.

    A server whose row is on the first page may begin to drain while later pages are
    read.  With the last page's version, the feed would start after this change, and the
    router would miss it.
    """
    pages = [
        {"rows": [row("a", 1, 1)], "truncated": True, "version-number": 8},
        {"rows": [row("b", 2, 2)], "truncated": True, "version-number": 9},
        {"rows": [row("c", 2, 2)], "truncated": False, "version-number": 11},
    ]
    left = iter(pages)
    found = await client(lambda request: answer(200, next(left))).snapshot("t", "p")
    assert [item.key for item in found.rows] == ["a", "b", "c"]
    assert found.version == 8


async def scan_all(store: StoreClient) -> Any:
    return await store.scan("t/p/a", limit=10**6)


@pytest.mark.parametrize("call", [snapshot, scan_all])
@pytest.mark.parametrize(("pages", "is_read"), [(6, True), (9, False), (None, False)])
async def test_table_without_end_is_given_up(
    call: Call, pages: int | None, is_read: bool
) -> None:
    """Guards against a process that ends since a table is larger than its memory."""
    value = "x" * 1_400_000
    asked: list[Outbound] = []

    def handler(request: Outbound) -> WholeAnswer:
        asked.append(request)
        rows = [row(f"a{len(asked):09}", len(asked), value)]
        rest = {"truncated": len(asked) != pages, "version-number": 9}
        return answer(200, {"rows": rows, **rest})

    with nullcontext() if is_read else pytest.raises(UnavailableError):
        await call(client(handler))
    assert len(asked) == (pages if is_read else 9)
