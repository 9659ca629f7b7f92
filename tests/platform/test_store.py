"""The store's client against scripted answers: each call with its fault cases."""

from __future__ import annotations

import base64
import json
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

import pytest
from attrs import define, field

from ebonyhold.coordination import Absent, AtVersion, Delete, Put, Transaction
from ebonyhold.exceptions import (
    BackendLostError,
    ConflictError,
    HistoryLostError,
    ThrottledError,
    UnavailableError,
    UnknownOutcomeError,
)
from ebonyhold.forwarding import (
    AnswerHead,
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
    """The scripted calls need no clock."""
    return "asyncio"


@define(eq=False)
class ScriptedCalls(HttpCalls):
    """Calls that a function answers, in place of a connection."""

    handler: Handler = field(kw_only=True)

    async def call(self, request: Outbound, timeout: float) -> WholeAnswer:
        assert 0 < timeout < 2
        return self.handler(request)


def client(handler: Handler) -> StoreClient:
    """Return a client whose calls are answered by a function."""
    store = StoreClient(("127.0.0.1", 1))
    store.calls = ScriptedCalls(store.address, handler=handler)
    return store


def answer(status: int, body: Any = None) -> WholeAnswer:
    """Return an answer with a JSON body, or with bytes as they are."""
    content = body if isinstance(body, bytes) else json.dumps(body).encode()
    return WholeAnswer(AnswerHead(status, []), content)


def reply(status: int, body: Any = None) -> Handler:
    """Return a handler that always answers the same."""
    return lambda request: answer(status, body)


def fail(error: type[BackendLostError]) -> Handler:
    """Return a handler that never answers."""

    def handler(request: Outbound) -> WholeAnswer:
        raise error("lost")

    return handler


def row(key: str, version: int, value: Any, **more: Any) -> dict[str, Any]:
    """Return a row as the store sends it."""
    text = base64.b64encode(json.dumps(value).encode()).decode()
    place = {"table": "t", "part": "p", "key": key}
    return {**place, "value": text, "version-number": version, **more}


async def transact(store: StoreClient) -> Any:
    return await store.commit(CHANGE)


async def read(store: StoreClient) -> Any:
    return await store.snapshot("t", "p")


async def follow(store: StoreClient) -> Any:
    return await store.changes("t", 5, 0.5)


async def look(store: StoreClient) -> Any:
    return await store.scan("t/p/a")


NOT_JSON = {**row("a", 1, 1), "value": base64.b64encode(b"{").decode()}
"""A row of ours whose value somebody else wrote."""

FAULTS = [
    # call, what happens, what it means
    (transact, reply(412, {"rows": [row("old", 9, 1)]}), ConflictError),
    (transact, reply(429), ThrottledError),
    (transact, reply(503), UnavailableError),
    (transact, reply(500), UnknownOutcomeError),
    (transact, reply(200, b"not json"), UnknownOutcomeError),
    (transact, reply(200, {}), UnknownOutcomeError),
    (transact, fail(CallNotSentError), UnavailableError),
    (transact, fail(BackendLostError), UnknownOutcomeError),
    (read, reply(429), ThrottledError),
    (read, reply(503), UnavailableError),
    (read, reply(200, b"not json"), UnavailableError),
    (read, fail(BackendLostError), UnavailableError),
    (read, reply(200, {}), UnavailableError),
    (read, reply(200, []), UnavailableError),
    (read, reply(200, {"rows": [], "version-number": "x"}), UnavailableError),
    (read, reply(200, {"rows": [{"key": "a"}], "version-number": 1}), UnavailableError),
    (read, reply(200, {"rows": [], "truncated": True}), UnavailableError),
    (read, reply(200, b"[" * 200_000), UnavailableError),
    (look, reply(200, {}), UnavailableError),
    (look, reply(200, {"rows": [NOT_JSON], "version-number": 1}), UnavailableError),
    (follow, reply(200, {"rows": None, "version-number": 7}), UnavailableError),
    (follow, reply(200, {"rows": []}), UnavailableError),
    (transact, reply(200, b"[" * 200_000), UnknownOutcomeError),
    (transact, reply(412, b"[" * 200_000), ConflictError),
    (follow, reply(410), HistoryLostError),
    (follow, reply(503), UnavailableError),
    (follow, fail(CallNotSentError), UnavailableError),
]


@pytest.mark.parametrize(("call", "handler", "error"), FAULTS)
async def test_faults(call: Call, handler: Handler, error: type[Exception]) -> None:
    with pytest.raises(error) as caught:
        await call(client(handler))
    assert type(caught.value) is error


async def test_a_transaction() -> None:
    seen: list[Any] = []

    def handler(request: Outbound) -> WholeAnswer:
        seen.append((request.target.decode(), json.loads(request.body)))
        return answer(200, {"version-number": 12, "now-ms": 5230})

    assert await client(handler).commit(CHANGE) == Committed(12, 5.23)
    path, body = seen[0]
    assert path == "/ebonyhold/rows-tx"
    place = {"table": "t", "part": "p"}
    assert body["expected-revision"] == [
        {**place, "key": "new", "version-number": 0},
        {**place, "key": "old", "version-number": 7},
    ]
    assert body["remove"] == [{**place, "key": "old"}]
    assert base64.b64decode(body["writes"][0]["value"]) == b'{"a":1}'


async def test_a_snapshot_in_pages() -> None:
    pages = [
        {"rows": [row("a", 1, 1)], "truncated": True, "version-number": 8},
        {"rows": [row("b", 2, 2)], "truncated": False, "version-number": 9},
    ]
    starts: list[list[str]] = []

    def handler(request: Outbound) -> WholeAnswer:
        query = parse_qs(urlsplit(request.target.decode()).query)
        starts.append(query.get("from", []))
        return answer(200, pages[len(starts) - 1])

    found = await client(handler).snapshot("t", "p")
    assert [item.key for item in found.rows] == ["a", "b"]
    assert starts == [[], ["a\0"]]


async def test_changes_tell_of_deletions() -> None:
    rows = [row("a", 6, 1), row("b", 7, 1, deleted=True)]
    body = {"rows": rows, "version-number": 7}
    found = await client(reply(200, body)).changes("t", 5, 0.5)
    assert [(item.key, item.deleted) for item in found.rows] == [
        ("a", False),
        ("b", True),
    ]
    assert found.version == 7


async def test_a_change_between_two_pages_is_in_the_feed() -> None:
    """A server drains while the list of servers is read, page after page.

    Its row was on the first page already, and the feed went on after the last one, so
    that no router that read then ever heard of it.
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
