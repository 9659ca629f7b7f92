"""Requests, endpoints and responses for the HTTP listeners.

A thin typed layer over ASGI; hypercorn implements HTTP itself.
"""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable, Mapping, MutableMapping, Sequence
from contextlib import suppress
from typing import Any, Generic, TypeAlias, TypeVar
from urllib.parse import parse_qs

import anyio
from attrs import define, field, frozen

from ebonyhold.exceptions import EbonyholdError
from ebonyhold.types import Json, Seconds

Message: TypeAlias = MutableMapping[str, Any]
Scope: TypeAlias = MutableMapping[str, Any]
Receive: TypeAlias = Callable[[], Awaitable[Message]]
Send: TypeAlias = Callable[[Message], Awaitable[None]]
HeaderList: TypeAlias = Sequence[tuple[bytes, bytes]]

State = TypeVar("State")
Handler: TypeAlias = Callable[[State, "Request", Send], Awaitable[None]]

DISCARD_TIMEOUT: Seconds = 5.0
"""Time limit for reading the rest of a refused request's body."""

MAX_DISCARDED = 8_388_608
"""Bytes after which reading of a refused request's body stops.

Eight times the default limit on request bodies.
"""

REST_SUFFIX = "..."
"""Marks a pattern's last parameter, ``{name...}``, as matching the rest of a path."""


class BodyTooLargeError(EbonyholdError):
    """The request's body is larger than the accepted maximum."""

    code = "body_too_large"


class CallerGoneError(EbonyholdError):
    """The caller closed the connection before it had sent the whole request."""

    code = "caller_gone"


@define
class Request:
    """One HTTP request.

    Attributes:
        scope: The ASGI scope.
        receive: The ASGI receive callable.
        parameters: Parameters from the path, by their names in the endpoint's pattern.
        ended: Whether the body was read to its end or the caller disconnected.
    """

    scope: Scope
    receive: Receive
    parameters: Mapping[str, str] = field(factory=dict)
    ended: bool = False
    _headers: dict[str, str] | None = None
    _query: dict[str, list[str]] | None = None

    @property
    def method(self) -> str:
        """The HTTP method, in upper case."""
        return str(self.scope["method"]).upper()

    @property
    def path(self) -> str:
        """The path, percent-decoded, without the query."""
        return str(self.scope["path"])

    @property
    def raw_query(self) -> bytes:
        """The query as received, without the question mark."""
        return bytes(self.scope.get("query_string", b""))

    @property
    def raw_headers(self) -> HeaderList:
        """The headers as ASGI passes them: repeated ones kept, names in lower case."""
        headers: HeaderList = self.scope["headers"]
        return headers

    @property
    def headers(self) -> Mapping[str, str]:
        """The headers by lower-case name; the last one of a repeated header."""
        if self._headers is None:
            self._headers = {
                name.decode("latin-1").lower(): value.decode("latin-1")
                for name, value in self.raw_headers
            }
        return self._headers

    @property
    def client(self) -> str:
        """The caller's IP address; empty if the server gives none."""
        client = self.scope.get("client")
        return str(client[0]) if client else ""

    def query(self, name: str, default: str = "") -> str:
        """Return the last value of a query parameter; the default if there is none."""
        if self._query is None:
            self._query = parse_qs(self.raw_query.decode("latin-1"))
        values = self._query.get(name)
        return values[-1] if values else default

    def bearer(self) -> str:
        """Return the key of a Bearer Authorization header; empty if there is none."""
        scheme, _, key = self.headers.get("authorization", "").partition(" ")
        return key.strip() if scheme.lower() == "bearer" else ""

    async def body(self, max_bytes: int) -> bytes:
        """Read the whole body.

        Args:
            max_bytes: The largest body that is accepted.

        Raises:
            BodyTooLargeError: The body is larger; its remaining parts are unread.
            CallerGoneError: The caller disconnected before the end of the body.
        """
        announced = self.headers.get("content-length", "")
        if announced.isdigit() and int(announced) > max_bytes:
            raise BodyTooLargeError(f"the body is larger than {max_bytes} bytes")
        parts: list[bytes] = []
        size = 0
        while not self.ended:
            part = await self.part()
            size += len(part)
            if size > max_bytes:
                raise BodyTooLargeError(f"the body is larger than {max_bytes} bytes")
            parts.append(part)
        return b"".join(parts)

    async def part(self) -> bytes:
        """Return the next part of the body, and set `ended` after the last.

        Raises:
            CallerGoneError: The caller disconnected before the end of the body.
        """
        message = await self.receive()
        if message["type"] == "http.disconnect":
            self.ended = True
            raise CallerGoneError("the caller closed the connection")
        self.ended = not message.get("more_body", False)
        return bytes(message.get("body", b""))

    async def discard(self) -> None:
        """Read and drop the rest of the body, up to a time and a size limit.

        Closing a connection while the caller still sends resets it, and the caller
        may then get a connection error instead of the refusal.
        """
        size = 0
        with anyio.move_on_after(DISCARD_TIMEOUT), suppress(CallerGoneError):
            while not self.ended and size < MAX_DISCARDED:
                size += len(await self.part())

    async def wait_disconnect(self) -> None:
        """Return when the caller disconnects.

        Call this after the body was read, since it drops parts of the body.
        """
        while (await self.receive())["type"] != "http.disconnect":
            pass


@frozen
class Endpoint(Generic[State]):
    """One registered handler.

    Attributes:
        method: The HTTP method, or ``*`` for all.
        segments: The path pattern, split at its slashes.
        handler: Called with the state, the request and the ASGI send callable.
        open: Whether requests need no key.
    """

    method: str
    segments: tuple[str, ...]
    handler: Handler[State]
    open: bool = False

    def match(self, segments: Sequence[str]) -> dict[str, str] | None:
        """Return the path's parameters, or None if the path does not match."""
        parameters: dict[str, str] = {}
        for index, wanted in enumerate(self.segments):
            if wanted.endswith(REST_SUFFIX + "}"):
                name = wanted[1 : -len(REST_SUFFIX) - 1]
                parameters[name] = "/".join(segments[index:])
                return parameters
            if index >= len(segments):
                return None
            if wanted.startswith("{"):
                parameters[wanted[1:-1]] = segments[index]
            elif wanted != segments[index]:
                return None
        return parameters if len(segments) == len(self.segments) else None


@frozen
class Found(Generic[State]):
    """The endpoint of a request, and the parameters from the path."""

    endpoint: Endpoint[State]
    parameters: Mapping[str, str]


@frozen
class NotFound:
    """No endpoint matches the method and path of a request.

    Attributes:
        methods: The methods of the endpoints that match the path; empty if none does.
    """

    methods: tuple[str, ...]


@define
class Endpoints(Generic[State]):
    """A registry of endpoints; the decorator `add` registers a handler.

    >>> endpoints: Endpoints[None] = Endpoints()
    >>> @endpoints.add("GET", "/files/{name...}")
    ... async def read_file(state, request, send): ...
    >>> endpoints.find("GET", "/files/a/b").parameters
    {'name': 'a/b'}
    >>> endpoints.find("PUT", "/files/a")
    NotFound(methods=('GET',))
    """

    endpoints: list[Endpoint[State]] = field(factory=list)

    def add(
        self, method: str, pattern: str, *, open_to_all: bool = False
    ) -> Callable[[Handler[State]], Handler[State]]:
        """Register the decorated handler.

        Args:
            method: The HTTP method, or ``*`` for all.
            pattern: The path; ``{name}`` matches one segment, and a last
                ``{name...}`` matches the rest of the path, which may be empty.
            open_to_all: Whether requests need no key.
        """

        def register(handler: Handler[State]) -> Handler[State]:
            segments = split_path(pattern)
            self.endpoints.append(Endpoint(method, segments, handler, open_to_all))
            return handler

        return register

    def find(self, method: str, path: str) -> Found[State] | NotFound:
        """Return the first registered endpoint that matches, or `NotFound`."""
        segments = split_path(path)
        methods: list[str] = []
        for endpoint in self.endpoints:
            parameters = endpoint.match(segments)
            if parameters is None:
                continue
            if endpoint.method in ("*", method):
                return Found(endpoint, parameters)
            methods.append(endpoint.method)
        return NotFound(tuple(dict.fromkeys(methods)))


def split_path(path: str) -> tuple[str, ...]:
    """Split a path at its slashes, leaving out a leading one."""
    return tuple(path.removeprefix("/").split("/"))


def header(name: str, value: str) -> tuple[bytes, bytes]:
    """Return a response header encoded for ASGI: Latin-1, name in lower case."""
    return name.lower().encode("latin-1"), value.encode("latin-1")


async def send_body(
    send: Send,
    status: int,
    body: bytes,
    content_type: str,
    headers: HeaderList = (),
    request: Request | None = None,
) -> None:
    """Send a whole response.

    Args:
        send: The ASGI send callable.
        status: The HTTP status.
        body: The body.
        content_type: The body's media type.
        headers: Headers besides content-type and content-length.
        request: The request, if its body may be unread: the response's body is sent
            at once, then `Request.discard` runs before the response is ended.
    """
    entity_headers = (
        header("content-type", content_type),
        header("content-length", str(len(body))),
    )
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [*entity_headers, *headers],
        }
    )
    if request is not None and not request.ended:
        await send({"type": "http.response.body", "body": body, "more_body": True})
        await request.discard()
        body = b""
    await send({"type": "http.response.body", "body": body})


async def send_json(
    send: Send,
    status: int,
    value: Json,
    headers: HeaderList = (),
    request: Request | None = None,
) -> None:
    """Send a whole response with a JSON body; see `send_body`."""
    body = json.dumps(value, separators=(",", ":")).encode()
    await send_body(send, status, body, "application/json", headers, request)


async def send_text(
    send: Send,
    status: int,
    text: str,
    content_type: str = "text/plain; charset=utf-8",
    headers: HeaderList = (),
) -> None:
    """Send a whole response with a UTF-8 text body; see `send_body`."""
    await send_body(send, status, text.encode(), content_type, headers)


@define
class StreamingResponse:
    """A response whose body is sent in parts.

    Attributes:
        send: The ASGI send callable.
        started: Whether sending the status and headers has begun.
        ended: Whether sending the last part has begun.
    """

    send: Send
    started: bool = False
    ended: bool = False

    async def start(self, status: int, headers: HeaderList = ()) -> None:
        """Send the status and the headers."""
        self.started = True
        await self.send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": list(headers),
            }
        )

    async def write(self, body: bytes) -> None:
        """Send a part of the body that is not the last."""
        await self.send({"type": "http.response.body", "body": body, "more_body": True})

    async def end(self, body: bytes = b"") -> None:
        """Send the last part of the body and end the response."""
        self.ended = True
        await self.send({"type": "http.response.body", "body": body})


async def answer_lifespan(receive: Receive, send: Send) -> None:
    """Acknowledge ASGI lifespan messages, and return after the shutdown message."""
    while True:
        message = await receive()
        await send({"type": message["type"] + ".complete"})
        if message["type"] == "lifespan.shutdown":
            return
