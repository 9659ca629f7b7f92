"""The store's client against scripted answers: each call with its fault cases."""

from __future__ import annotations

import base64
import json
from collections.abc import Awaitable, Callable
from typing import Any

import httpx
import pytest

from ebonyhold.coordination import Absent, AtVersion, Delete, Put, Transaction
from ebonyhold.exceptions import (
    ConflictError,
    HistoryLostError,
    ThrottledError,
    UnavailableError,
    UnknownOutcomeError,
)
from ebonyhold.platform import StoreClient
from ebonyhold.prepaid import Committed

pytestmark = pytest.mark.anyio
Handler = Callable[[httpx.Request], httpx.Response]
Call = Callable[[StoreClient], Awaitable[Any]]

CHANGE = Transaction(
    (Absent("t/p/new"), AtVersion("t/p/old", 7)),
    (Put("t/p/new", {"a": 1}), Delete("t/p/old")),
)


@pytest.fixture
def anyio_backend() -> str:
    """The client's scripted transport needs no clock."""
    return "asyncio"


def client(handler: Handler) -> StoreClient:
    """Return a client whose calls are answered by a function."""
    store = StoreClient("http://store")
    transport = httpx.MockTransport(handler)
    store.http = httpx.AsyncClient(base_url="http://store", transport=transport)
    return store


def reply(status: int, body: Any = None) -> Handler:
    """Return a handler that always answers the same."""
    if isinstance(body, bytes):
        return lambda request: httpx.Response(status, content=body)
    return lambda request: httpx.Response(status, json=body)


def fail(error: type[httpx.TransportError]) -> Handler:
    """Return a handler that never answers."""

    def handler(request: httpx.Request) -> httpx.Response:
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


FAULTS = [
    # call, what happens, what it means
    (transact, reply(412, {"rows": [row("old", 9, 1)]}), ConflictError),
    (transact, reply(429), ThrottledError),
    (transact, reply(503), UnavailableError),
    (transact, reply(500), UnknownOutcomeError),
    (transact, reply(200, b"not json"), UnknownOutcomeError),
    (transact, reply(200, {}), UnknownOutcomeError),
    (transact, fail(httpx.ConnectError), UnavailableError),
    (transact, fail(httpx.ConnectTimeout), UnavailableError),
    (transact, fail(httpx.ReadTimeout), UnknownOutcomeError),
    (transact, fail(httpx.ReadError), UnknownOutcomeError),
    (transact, fail(httpx.RemoteProtocolError), UnknownOutcomeError),
    (read, reply(429), ThrottledError),
    (read, reply(503), UnavailableError),
    (read, reply(200, b"not json"), UnavailableError),
    (read, fail(httpx.ReadTimeout), UnavailableError),
    (follow, reply(410), HistoryLostError),
    (follow, reply(503), UnavailableError),
    (follow, fail(httpx.ReadTimeout), UnavailableError),
]


@pytest.mark.parametrize(("call", "handler", "error"), FAULTS)
async def test_faults(call: Call, handler: Handler, error: type[Exception]) -> None:
    with pytest.raises(error) as caught:
        await call(client(handler))
    assert type(caught.value) is error


async def test_a_transaction() -> None:
    seen: list[Any] = []

    def handler(request: httpx.Request) -> httpx.Response:
        seen.append((request.url.path, json.loads(request.content)))
        return httpx.Response(200, json={"version-number": 12, "now-ms": 5230})

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
    starts: list[str | None] = []

    def handler(request: httpx.Request) -> httpx.Response:
        starts.append(request.url.params.get("from"))
        return httpx.Response(200, json=pages[len(starts) - 1])

    found = await client(handler).snapshot("t", "p")
    assert [item.key for item in found.rows] == ["a", "b"]
    assert starts == [None, "a\0"]


async def test_changes_tell_of_deletions() -> None:
    rows = [row("a", 6, 1), row("b", 7, 1, deleted=True)]
    body = {"rows": rows, "version-number": 7}
    found = await client(reply(200, body)).changes("t", 5, 0.5)
    assert [(item.key, item.deleted) for item in found.rows] == [
        ("a", False),
        ("b", True),
    ]
    assert found.version == 7
