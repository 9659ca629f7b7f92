"""Requests, endpoints and responses of the HTTP listeners."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import pytest

from ebonyhold._asgi import (
    BodyTooLargeError,
    CallerGoneError,
    Endpoints,
    Found,
    Message,
    NotFound,
    Request,
    Send,
    StreamingResponse,
    answer_lifespan,
)

pytestmark = pytest.mark.anyio

MAX_BYTES = 10


@pytest.fixture
def anyio_backend() -> str:
    return "trio"


def request_of(
    messages: Iterable[Message], headers: dict[str, str] | None = None
) -> Request:
    remaining = iter(messages)
    pairs = [(n.encode(), v.encode()) for n, v in (headers or {}).items()]

    async def receive() -> Message:
        return next(remaining)

    scope = {
        "method": "post",
        "path": "/",
        "headers": pairs,
        "query_string": b"a=1&a=2",
    }
    return Request(scope, receive)


def body(part: bytes, more: bool = False) -> Message:
    return {"type": "http.request", "body": part, "more_body": more}


GONE: Message = {"type": "http.disconnect"}


@pytest.mark.parametrize(
    ("method", "path", "expected"),
    [
        ("GET", "/files", ("list", {})),
        ("GET", "/files/", ("one", {"name": ""})),
        ("GET", "/files/a", ("one", {"name": "a"})),
        ("GET", "/files/a/b", ()),
        ("PUT", "/files", ("GET",)),
        ("DELETE", "/rest", ("rest", {"path": ""})),
        ("PUT", "/rest/a//b", ("rest", {"path": "a//b"})),
        ("GET", "/", ()),
    ],
)
async def test_endpoints_are_found_by_method_and_path(
    method: str, path: str, expected: tuple[Any, ...]
) -> None:
    endpoints: Endpoints[None] = Endpoints()
    for name, wanted, pattern in (
        ("list", "GET", "/files"),
        ("one", "GET", "/files/{name}"),
        ("rest", "*", "/rest/{path...}"),
    ):

        async def handler(state: None, request: Request, send: Send) -> None:
            return None

        handler.__name__ = name
        endpoints.add(wanted, pattern)(handler)
    found = endpoints.find(method, path)
    if isinstance(found, NotFound):
        assert found.methods == expected
    else:
        assert isinstance(found, Found)
        name = getattr(found.endpoint.handler, "__name__", "")
        assert (name, found.parameters) == expected


@pytest.mark.parametrize(
    ("messages", "headers", "expected"),
    [
        ([body(b"")], {}, b""),
        ([body(b"12345", True), body(b"67890")], {}, b"1234567890"),
        ([body(b"12345", True), body(b"678901", True)], {}, BodyTooLargeError),
        ([], {"content-length": "11"}, BodyTooLargeError),
        ([body(b"1")], {"content-length": "nonsense"}, b"1"),
        ([body(b"1", True), GONE], {}, CallerGoneError),
    ],
)
async def test_a_body_above_the_limit_is_refused(
    messages: list[Message],
    headers: dict[str, str],
    expected: bytes | type[Exception],
) -> None:
    request = request_of(messages, headers)
    if isinstance(expected, bytes):
        assert await request.body(MAX_BYTES) == expected
    else:
        with pytest.raises(expected):
            await request.body(MAX_BYTES)


@pytest.mark.parametrize(
    ("header", "key"),
    [("Bearer k", "k"), ("bearer  k ", "k"), ("Basic k", ""), ("k", ""), ("", "")],
)
async def test_bearer_key_method_and_query_are_read(header: str, key: str) -> None:
    request = request_of([], {"authorization": header})
    assert request.bearer() == key
    assert (request.method, request.query("a"), request.query("b")) == ("POST", "2", "")


async def test_a_response_is_sent_in_parts() -> None:
    sent: list[Message] = []

    async def send(message: Message) -> None:
        sent.append(message)

    response = StreamingResponse(send)
    await response.start(200)
    await response.write(b"one")
    await response.end(b"two")
    assert (response.started, response.ended) == (True, True)
    assert [each.get("more_body", False) for each in sent] == [False, True, False]


async def test_lifespan_is_acknowledged_and_a_disconnect_ends_the_wait() -> None:
    sent: list[Message] = []

    async def send(message: Message) -> None:
        sent.append(message)

    kinds = ("lifespan.startup", "lifespan.shutdown")
    request = request_of([{"type": kind} for kind in kinds])
    await answer_lifespan(request.receive, send)
    assert [each["type"] for each in sent] == [f"{kind}.complete" for kind in kinds]
    await request_of([body(b""), GONE]).wait_disconnect()
