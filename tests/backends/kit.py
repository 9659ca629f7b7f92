"""Scripted backend servers behind an HTTP transport without sockets."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import anyio
import anyio.lowlevel
import httpx
from attrs import define, field

TOKENS = 6
PROMPT_TOKENS = 9

Script = Callable[["Engine", httpx.Request], Awaitable[httpx.Response]]


class ScriptedBody(httpx.AsyncByteStream):
    """A body sent in pieces: a float is a pause in seconds, an exception is raised."""

    def __init__(self, engine: Engine, pieces: list[bytes | Exception | float]) -> None:
        self.engine = engine
        self.pieces = pieces

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Yield the bytes, wait for each float, and raise the exceptions."""
        for piece in self.pieces:
            if isinstance(piece, Exception):
                raise piece
            if isinstance(piece, float):
                await anyio.sleep(piece)
                continue
            await anyio.lowlevel.checkpoint()
            yield piece

    async def aclose(self) -> None:
        self.engine.closed += 1


def token(index: int) -> bytes:
    """Return the event of one token."""
    chunk = {"choices": [{"index": 0, "delta": {"content": f"t{index} "}}]}
    return f"id: {index}\ndata: {json.dumps(chunk)}\n\n".encode()


def opening() -> bytes:
    """Return the opening event, which precedes the first token."""
    chunk = {"choices": [{"index": 0, "delta": {"role": "assistant"}}]}
    return f"data: {json.dumps(chunk)}\n\n".encode()


def closing(completion: int = TOKENS) -> list[bytes]:
    """Return the events after the last token: finish reason, usage and ``[DONE]``."""
    last = {"choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}]}
    usage = {"prompt_tokens": PROMPT_TOKENS, "completion_tokens": completion}
    return [
        f"data: {json.dumps(last)}\n\n".encode(),
        f"data: {json.dumps({'choices': [], 'usage': usage})}\n\n".encode(),
        b"data: [DONE]\n\n",
    ]


def whole_body() -> bytes:
    """Return the body of an answer that is not streamed."""
    text = "".join(f"t{index} " for index in range(TOKENS))
    usage = {"prompt_tokens": PROMPT_TOKENS, "completion_tokens": TOKENS}
    message = {"role": "assistant", "content": text}
    choice = {"index": 0, "message": message, "finish_reason": "stop"}
    return json.dumps({"choices": [choice], "usage": usage}).encode()


@define(eq=False)
class Engine:
    """One scripted server.

    Attributes:
        scripts: The script of each call, in order; the last one is repeated.  Without
            scripts, all calls are answered correctly.
        calls: The attempts received, as HTTP requests.
        closed: Number of streamed responses that the client closed.
        closes: The attempts that the client requested to close.
        boot: The boot identifier.
        attempt_status: The status returned for closed attempts; None for HTTP status
            500.
        load: Members that replace those of the load report.
        reports_runs: Whether the status of a closed attempt depends on `ran`, not on
            `attempt_status`.
        ran: The attempts that count as run; tests fill it.
        models: The models that are loaded.
        orders: The orders executed.
        fencing: The largest fencing number received, by model.
        checks_fencing: Whether orders with an old fencing number are refused.
        order_delay: An event; orders wait until it is set.
    """

    scripts: list[Script] = field(factory=list)
    calls: list[httpx.Request] = field(factory=list)
    closed: int = 0
    closes: list[str] = field(factory=list)
    boot: str = "boot-1"
    attempt_status: dict[str, object] | None = None
    load: dict[str, object] = field(factory=dict)
    reports_runs: bool = False
    ran: set[str] = field(factory=set)
    models: set[str] = field(factory=set)
    orders: list[str] = field(factory=list)
    fencing: dict[str, int] = field(factory=dict)
    checks_fencing: bool = False
    order_delay: anyio.Event | None = None

    async def handle(self, request: httpx.Request) -> httpx.Response:
        """Answer one request: for a load report, an order, a close or an attempt."""
        path = request.url.path
        if path == "/v1/load":
            models = sorted(self.models)
            report = {"boot": self.boot, "models": models, **self.load}
            return httpx.Response(200, json=report)
        if path == "/v1/cache/events":
            return httpx.Response(200, json={"events": []})
        if path == "/v1/orders":
            return await self.execute_order(json.loads(request.content))
        if path.endswith("/close"):
            attempt = path.split("/")[3]
            self.closes.append(attempt)
            if self.reports_runs:
                return httpx.Response(200, json=self.status_of(attempt))
            if self.attempt_status is None:
                return httpx.Response(500)
            return httpx.Response(200, json={"boot": self.boot, **self.attempt_status})
        self.calls.append(request)
        script: Script = good
        if self.scripts:
            script = self.scripts.pop(0) if len(self.scripts) > 1 else self.scripts[0]
        return await script(self, request)

    def status_of(self, attempt: str) -> dict[str, object]:
        """Return ``cancelled`` for an attempt in `ran`, otherwise ``never_ran``."""
        if attempt not in self.ran:
            return {"boot": self.boot, "state": "never_ran"}
        return {
            "boot": self.boot,
            "state": "cancelled",
            "prompt_tokens": PROMPT_TOKENS,
            "completion_tokens": TOKENS,
        }

    async def execute_order(self, order: dict[str, Any]) -> httpx.Response:
        """Execute an order.

        With `checks_fencing`, the response is 409 if its fencing number is smaller than
        the largest one received for the model.
        """
        if self.order_delay is not None:
            await self.order_delay.wait()
        latest = self.fencing.get(order["model"], 0)
        if self.checks_fencing and order["fencing"] < latest:
            return httpx.Response(409)
        self.fencing[order["model"]] = max(latest, order["fencing"])
        self.orders.append(f"{order['order']} {order['model']} {order['fencing']}")
        if order["order"] == "load":
            self.models.add(order["model"])
        else:
            self.models.discard(order["model"])
        return httpx.Response(200, json={})

    def stream(
        self, request: httpx.Request, pieces: list[bytes | Exception | float]
    ) -> httpx.Response:
        """Return a streamed response to an attempt, with the attempt's identifier."""
        headers = {"X-Attempt-Id": request.headers["X-Attempt-Id"]}
        headers["Content-Type"] = "text/event-stream"
        return httpx.Response(200, headers=headers, stream=ScriptedBody(self, pieces))


@define
class Fleet(httpx.AsyncBaseTransport):
    """A transport that sends requests to scripted servers by their address."""

    servers: dict[str, Engine]

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send one request and return the server's response."""
        await request.aread()
        server = self.servers[f"{request.url.host}:{request.url.port}"]
        response = await server.handle(request)
        response.request = request
        return response


async def good(engine: Engine, request: httpx.Request) -> httpx.Response:
    """Answer correctly, as a stream if the request asks for one."""
    if not json.loads(request.content).get("stream"):
        headers = {"X-Attempt-Id": request.headers["X-Attempt-Id"]}
        return httpx.Response(200, headers=headers, content=whole_body())
    first = int(request.headers.get("X-Resume-Tokens", "0"))
    tokens = [token(index) for index in range(first, TOKENS)]
    return engine.stream(request, [opening(), *tokens, *closing()])


def broken_after(count: int, error: Exception) -> Script:
    """Return a script that streams `count` tokens and then raises an error."""

    async def run(engine: Engine, request: httpx.Request) -> httpx.Response:
        first = int(request.headers.get("X-Resume-Tokens", "0"))
        tokens = [token(index) for index in range(first, min(first + count, TOKENS))]
        return engine.stream(request, [opening(), *tokens, error])

    return run


def sends(*pieces: bytes | Exception | float) -> Script:
    """Return a script that streams these pieces."""

    async def run(engine: Engine, request: httpx.Request) -> httpx.Response:
        return engine.stream(request, list(pieces))

    return run


def fails(error: Exception) -> Script:
    """Return a script that raises an error instead of answering."""

    async def run(engine: Engine, request: httpx.Request) -> httpx.Response:
        raise error

    return run


def answers(status: int, body: bytes = b"", **headers: str) -> Script:
    """Return a script that answers with a status, a body and headers."""

    async def run(engine: Engine, request: httpx.Request) -> httpx.Response:
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        # The library adds no length to an empty body, as servers do.
        named.setdefault("Content-Length", str(len(body)))
        return httpx.Response(status, content=body, headers=named)

    return run


def hangs(seconds: float) -> Script:
    """Return a script that answers correctly after a delay."""

    async def run(engine: Engine, request: httpx.Request) -> httpx.Response:
        await anyio.sleep(seconds)
        return await good(engine, request)

    return run
