"""The shared base of the HTTP listeners: requests, endpoints and responses.

It is a thin typed layer over ASGI; the HTTP itself is hypercorn's.
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

DISCARD_WITHIN: Seconds = 5.0
"""How long a refused request's body is still read."""

DISCARD_MOST = 8_388_608
"""Bytes of a refused request's body that are still read; eight of the usual limit."""

REST_MARK = "..."
"""Ends the name of a pattern's last parameter that takes the rest of the path."""


class BodyTooLargeError(EbonyholdError):
    """The request's body is larger than its listener allows."""

    code = "body_too_large"


class CallerGoneError(EbonyholdError):
    """The caller closed the connection before its request was whole."""

    code = "caller_gone"


@define
class Request:
    """One HTTP request.

    Attributes:
        scope: The ASGI scope.
        receive: The ASGI receive callable.
        parameters: What the endpoint's pattern took from the path.
        ended: Whether the body was read to its end, or the caller has gone.
    """

    scope: Scope
    receive: Receive
    parameters: Mapping[str, str] = field(factory=dict)
    ended: bool = False
    _headers: dict[str, str] | None = None
    _query: dict[str, list[str]] | None = None

    @property
    def method(self) -> str:
        """The HTTP method, in capitals."""
        return str(self.scope["method"]).upper()

    @property
    def path(self) -> str:
        """The decoded path."""
        return str(self.scope["path"])

    @property
    def raw_query(self) -> bytes:
        """The query as it came, without the question mark."""
        return bytes(self.scope.get("query_string", b""))

    @property
    def raw_headers(self) -> HeaderList:
        """The headers as they came, names in lower case."""
        headers: HeaderList = self.scope["headers"]
        return headers

    @property
    def headers(self) -> Mapping[str, str]:
        """The headers by lower-case name; the last of equal names counts."""
        if self._headers is None:
            self._headers = {
                name.decode("latin-1").lower(): value.decode("latin-1")
                for name, value in self.raw_headers
            }
        return self._headers

    @property
    def client(self) -> str:
        """The caller's IP address, or empty."""
        client = self.scope.get("client")
        return str(client[0]) if client else ""

    def query(self, name: str, default: str = "") -> str:
        """Return the last value of a query parameter."""
        if self._query is None:
            self._query = parse_qs(self.raw_query.decode("latin-1"))
        values = self._query.get(name)
        return values[-1] if values else default

    def bearer(self) -> str:
        """Return the bearer key of the Authorization header, or empty."""
        scheme, _, key = self.headers.get("authorization", "").partition(" ")
        return key.strip() if scheme.lower() == "bearer" else ""

    async def body(self, most: int) -> bytes:
        """Read the whole body.

        Args:
            most: The largest body that is accepted, in bytes.

        Raises:
            BodyTooLargeError: It is larger; no more than `most` was kept.
            CallerGoneError: The connection ended first.
        """
        announced = self.headers.get("content-length", "")
        if announced.isdigit() and int(announced) > most:
            raise BodyTooLargeError(f"the body is larger than {most} bytes")
        parts: list[bytes] = []
        size = 0
        while not self.ended:
            part = await self.part()
            size += len(part)
            if size > most:
                raise BodyTooLargeError(f"the body is larger than {most} bytes")
            parts.append(part)
        return b"".join(parts)

    async def part(self) -> bytes:
        """Read the next part of the body.

        Raises:
            CallerGoneError: The connection ended first.
        """
        message = await self.receive()
        if message["type"] == "http.disconnect":
            self.ended = True
            raise CallerGoneError("the caller closed the connection")
        self.ended = not message.get("more_body", False)
        return bytes(message.get("body", b""))

    async def discard(self) -> None:
        """Read what is left of the body, within bounds, and drop it.

        A connection that is closed while its caller still sends is reset, and the
        caller may hear of that instead of the refusal that came before.
        """
        size = 0
        with anyio.move_on_after(DISCARD_WITHIN), suppress(CallerGoneError):
            while not self.ended and size < DISCARD_MOST:
                size += len(await self.part())

    async def wait_disconnect(self) -> None:
        """Return when the caller has gone; call it after the body was read."""
        while (await self.receive())["type"] != "http.disconnect":
            pass


@frozen
class Endpoint(Generic[State]):
    """One registered handler.

    Attributes:
        method: The HTTP method it answers, or ``*``.
        segments: The pattern, split at its slashes.
        handler: What answers.
        open: Whether it answers without a key.
    """

    method: str
    segments: tuple[str, ...]
    handler: Handler[State]
    open: bool = False

    def match(self, segments: Sequence[str]) -> dict[str, str] | None:
        """Return the path's parameters, or None when the path does not match."""
        parameters: dict[str, str] = {}
        for index, wanted in enumerate(self.segments):
            if wanted.endswith(REST_MARK + "}"):
                name = wanted[1 : -len(REST_MARK) - 1]
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
    """The endpoint of a path, and what its pattern took from it."""

    endpoint: Endpoint[State]
    parameters: Mapping[str, str]


@frozen
class NotFound:
    """No endpoint answers this request.

    Attributes:
        methods: The methods that the path does answer; empty if there is no
            such path.
    """

    methods: tuple[str, ...]


@define
class Endpoints(Generic[State]):
    """A registry of endpoints, filled by its decorator.

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
            pattern: The path; ``{name}`` takes one segment, and a last
                ``{name...}`` the rest of the path.
            open_to_all: Whether it answers without a key.
        """

        def register(handler: Handler[State]) -> Handler[State]:
            segments = split_path(pattern)
            self.endpoints.append(Endpoint(method, segments, handler, open_to_all))
            return handler

        return register

    def find(self, method: str, path: str) -> Found[State] | NotFound:
        """Return the first endpoint that matches, or why there is none."""
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
    """Split a path at its slashes, without the first."""
    return tuple(path.removeprefix("/").split("/"))


def header(name: str, value: str) -> tuple[bytes, bytes]:
    """Return one response header as ASGI wants it."""
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
        content_type: Its type.
        headers: Further headers.
        request: The request, if its body may not have been read: the response goes
            out at once, but does not end before the caller has sent its body.
    """
    described = (
        header("content-type", content_type),
        header("content-length", str(len(body))),
    )
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [*described, *headers],
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
    """Send a whole JSON response; see `send_body`."""
    body = json.dumps(value, separators=(",", ":")).encode()
    await send_body(send, status, body, "application/json", headers, request)


async def send_text(
    send: Send,
    status: int,
    text: str,
    content_type: str = "text/plain; charset=utf-8",
    headers: HeaderList = (),
) -> None:
    """Send a whole text response."""
    await send_body(send, status, text.encode(), content_type, headers)


@define
class StreamingResponse:
    """A response that is sent piece by piece.

    Attributes:
        send: The ASGI send callable.
        started: Whether status and headers have gone out.
        ended: Whether the last piece has gone out.
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
        """Send a piece of the body."""
        await self.send({"type": "http.response.body", "body": body, "more_body": True})

    async def end(self, body: bytes = b"") -> None:
        """Send the last piece."""
        self.ended = True
        await self.send({"type": "http.response.body", "body": body})


async def answer_lifespan(receive: Receive, send: Send) -> None:
    """Answer the server's start and stop, when nothing hangs on them."""
    while True:
        message = await receive()
        await send({"type": message["type"] + ".complete"})
        if message["type"] == "lifespan.shutdown":
            return
