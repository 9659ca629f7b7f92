"""A very small ASGI application: routes, replies, streams, dropped connections."""

from __future__ import annotations

import json
import logging
import re
from collections.abc import (
    AsyncIterator,
    Awaitable,
    Callable,
    Coroutine,
    Mapping,
    MutableMapping,
)
from typing import Any
from urllib.parse import parse_qsl

import anyio
from attrs import define, field, frozen

from ebonyhold.exceptions import (
    ConflictError,
    ThrottledError,
    UnavailableError,
    UnknownOutcomeError,
)
from ebonyhold.standins._control import Control, apply_control
from ebonyhold.standins._faults import Faults

logger = logging.getLogger(__name__)

Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]

MISSING_BYTES = 1000
"""How much a dropped reply promises beyond what it sends."""

OVERSIZE = 32 * 1024 * 1024
"""The length of an oversized reply, in bytes."""

UNTROUBLED = ("/control", "/records")
"""Paths that experiments use, and that no fault touches."""

OVERSIZE_CHUNK = 1024 * 1024
JSON_TYPE = "application/json"


@frozen
class Request:
    """One request, whole.

    Attributes:
        params: What the route's placeholders matched.
        headers: By lower-case name.
    """

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes
    params: Mapping[str, str] = field(factory=dict)

    def json(self) -> Any:
        """Decode the body.

        Raises:
            HttpError: It is not JSON.
        """
        try:
            return json.loads(self.body)
        except ValueError as error:
            raise HttpError(400, "the body is not JSON") from error


@frozen
class Reply:
    """One reply, whole."""

    status: int = 200
    body: bytes = b""
    content_type: str = JSON_TYPE
    headers: Mapping[str, str] = field(factory=dict)


@frozen
class StreamReply:
    """A reply whose body comes bit by bit.

    Attributes:
        chunks: The body; `Dropped` raised inside cuts the connection.
        gone: Called when the caller has gone before the end.
    """

    chunks: AsyncIterator[bytes]
    gone: Callable[[], None]
    content_type: str = JSON_TYPE
    headers: Mapping[str, str] = field(factory=dict)


class HttpError(Exception):
    """A reply with an error status, raised by a handler."""

    def __init__(self, status: int, message: str, **detail: object) -> None:
        super().__init__(message)
        self.status = status
        self.detail = detail


class Dropped(Exception):
    """The connection ends in the middle of the reply."""


def json_reply(
    value: object, status: int = 200, headers: Mapping[str, str] | None = None
) -> Reply:
    """Make a reply that carries JSON."""
    return Reply(status, json.dumps(value).encode(), headers=headers or {})


Handler = Callable[[Request], Awaitable[Reply | StreamReply]]
Background = Callable[[], Coroutine[Any, Any, None]]


@frozen
class Route:
    """One method and path pattern."""

    method: str
    pattern: re.Pattern[str]
    handler: Handler


@define
class App:
    """An ASGI application.

    Attributes:
        faults: The switches that ``POST /control`` sets.
        wrap: Whether faults are applied around the handlers; False where what
            they call applies them itself.
        ends_with_caller: Whether work ends when its caller has gone.
        routes: In the order in which they are tried.
        background: What must run beside the server.
        controlled: Called with each control message, for what a kind adds.
    """

    faults: Faults = field(factory=Faults)
    wrap: bool = True
    ends_with_caller: bool = False
    routes: list[Route] = field(factory=list)
    background: list[Background] = field(factory=list)
    controlled: list[Callable[[Control], None]] = field(factory=list)

    def route(self, method: str, path: str) -> Callable[[Handler], Handler]:
        """Register a handler; ``{name}`` in the path matches up to its end."""
        pattern = re.compile(re.sub(r"\{(\w+)\}", r"(?P<\1>.+)", path) + r"\Z")

        def register(handler: Handler) -> Handler:
            self.routes.append(Route(method, pattern, handler))
            return handler

        return register

    async def __call__(
        self, scope: MutableMapping[str, Any], receive: Receive, send: Send
    ) -> None:
        """Answer one ASGI scope."""
        if scope["type"] != "http":
            await acknowledge_lifespan(receive, send)
            return
        request = await read_request(scope, receive)
        try:
            reply = await self.answer_caller(request, receive)
            if reply is None:
                return
            if isinstance(reply, Reply) and request.path in UNTROUBLED:
                await send_whole(reply, send)
            else:
                await self.send(reply, receive, send)
        except Dropped:
            await send_dropped(send)

    async def answer_caller(
        self, request: Request, receive: Receive
    ) -> Reply | StreamReply | None:
        """Answer a request; None when its caller has gone and the work ended.

        Raises:
            Dropped: The answer is to be lost.
        """
        if not self.ends_with_caller:
            return await self.answer(request)
        reply: Reply | StreamReply | Dropped | None = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch, receive, tasks.cancel_scope.cancel)
            try:
                reply = await self.answer(request)
            except Dropped as error:
                # Kept, since the task group would wrap it.
                reply = error
            tasks.cancel_scope.cancel()
        if isinstance(reply, Dropped):
            raise reply
        return reply

    async def answer(self, request: Request) -> Reply | StreamReply:
        """Find the handler and turn its errors into replies.

        Raises:
            Dropped: The answer is to be lost.
        """
        try:
            return await self.dispatch(request)
        except HttpError as error:
            detail = {"error": str(error), **error.detail}
            return json_reply(detail, error.status)
        except ConflictError as error:
            return json_reply({"keys": error.keys}, 409)
        except ThrottledError as error:
            return json_reply({"error": str(error)}, 429, {"Retry-After": "1"})
        except UnavailableError as error:
            return json_reply({"error": str(error)}, 503)
        except UnknownOutcomeError as error:
            raise Dropped from error
        except Dropped:
            raise
        except Exception as error:
            logger.exception("a handler failed")
            return json_reply({"error": repr(error)}, 500)

    async def dispatch(self, request: Request) -> Reply | StreamReply:
        """Carry a request out, under the faults."""
        if request.path == "/control" and request.method == "POST":
            return await self.control(request)
        handler, request = self.find(request)
        if request.path == "/records":
            return await handler(request)

        async def call() -> Reply | StreamReply:
            return await handler(request)

        if not self.wrap:
            return await call()
        if request.method in ("GET", "HEAD"):
            return await self.faults.read(call)
        return await self.faults.write(call)

    def find(self, request: Request) -> tuple[Handler, Request]:
        """Return the handler of a request, and the request with its parameters."""
        for route in self.routes:
            match = route.pattern.match(request.path)
            if match and route.method == request.method:
                return route.handler, evolve_params(request, match.groupdict())
        raise HttpError(404, "no such path")

    async def control(self, request: Request) -> Reply:
        """Set the switches."""
        control = Control.parse(request.body)
        if control is None:
            raise HttpError(400, "unknown switch")
        await apply_control(self.faults, control)
        for hook in self.controlled:
            hook(control)
        return json_reply({})

    async def send(
        self, reply: Reply | StreamReply, receive: Receive, send: Send
    ) -> None:
        """Send a reply, under the faults that concern its form."""
        if isinstance(reply, StreamReply):
            await send_stream(reply, receive, send)
        elif self.faults.spend("malformed"):
            await send_whole(Reply(200, b'{"rows": [{"key": 1'), send)
        elif self.faults.spend("oversized"):
            await send_oversized(send)
        else:
            await send_whole(reply, send)


def evolve_params(request: Request, params: Mapping[str, str]) -> Request:
    """Return a request with what its route matched."""
    return Request(
        request.method,
        request.path,
        request.query,
        request.headers,
        request.body,
        params,
    )


async def acknowledge_lifespan(receive: Receive, send: Send) -> None:
    """Answer the server's start and stop."""
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


async def read_request(scope: MutableMapping[str, Any], receive: Receive) -> Request:
    """Read a request whole."""
    body = bytearray()
    more = True
    while more:
        message = await receive()
        body += message.get("body", b"")
        more = message.get("more_body", False)
    headers = {
        name.decode().lower(): value.decode() for name, value in scope["headers"]
    }
    query = dict(parse_qsl(scope["query_string"].decode(), keep_blank_values=True))
    return Request(scope["method"], scope["path"], query, headers, bytes(body))


async def send_start(
    send: Send, status: int, content_type: str, headers: Mapping[str, str]
) -> None:
    """Send the status and the headers."""
    pairs = {"content-type": content_type, **headers}
    encoded = [(name.lower().encode(), text.encode()) for name, text in pairs.items()]
    await send({"type": "http.response.start", "status": status, "headers": encoded})


async def send_body(send: Send, body: bytes, *, more: bool = False) -> None:
    """Send a part of the body."""
    await send({"type": "http.response.body", "body": body, "more_body": more})


async def send_whole(reply: Reply, send: Send) -> None:
    """Send a whole reply."""
    headers = {"content-length": str(len(reply.body)), **reply.headers}
    await send_start(send, reply.status, reply.content_type, headers)
    await send_body(send, reply.body)


async def send_dropped(send: Send) -> None:
    """Start a reply and end before its promised length.

    The server then closes the connection, and the caller sees a broken reply
    without learning anything from it.
    """
    headers = {"content-length": str(MISSING_BYTES)}
    await send_start(send, 200, JSON_TYPE, headers)
    await send_body(send, b"{", more=True)


async def send_oversized(send: Send) -> None:
    """Send a reply that no caller should keep in memory."""
    headers = {"content-length": str(OVERSIZE)}
    await send_start(send, 200, JSON_TYPE, headers)
    for _ in range(OVERSIZE // OVERSIZE_CHUNK):
        await send_body(send, b" " * OVERSIZE_CHUNK, more=True)
    await send_body(send, b"")


async def send_stream(reply: StreamReply, receive: Receive, send: Send) -> None:
    """Send a reply bit by bit until it ends or the caller goes."""
    await send_start(send, 200, reply.content_type, reply.headers)
    async with anyio.create_task_group() as tasks:

        def leave() -> None:
            reply.gone()
            tasks.cancel_scope.cancel()

        tasks.start_soon(watch, receive, leave)
        try:
            async for chunk in reply.chunks:
                await send_body(send, chunk, more=True)
            await send_body(send, b"")
        except Dropped:
            # Ending without the last part makes the server close the connection.
            pass
        tasks.cancel_scope.cancel()


async def watch(receive: Receive, gone: Callable[[], None]) -> None:
    """Wait for the caller to go."""
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            gone()
            return
