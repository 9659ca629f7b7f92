"""A `CallersApp` with fake money and scripted backend servers."""

from __future__ import annotations

import hashlib
import json
import random
from typing import Any

import anyio
from attrs import define, evolve, field

from ebonyhold._asgi import Message
from ebonyhold.backends import Backends, Timeouts
from ebonyhold.callers import CallersApp
from ebonyhold.coordination import Outcome
from ebonyhold.document import (
    ApiKey,
    Backend,
    BackendKind,
    Document,
    ModelRoute,
    ServiceRoute,
    ServiceRule,
    Workspace,
)
from ebonyhold.fleet import FleetView
from ebonyhold.money import Order, Permit, Replay
from tests.backends.kit import Engine, Fleet

KEY = "key-of-alder"
MESSAGES = [{"role": "user", "content": "is the oak dry"}]
RULES = (
    ServiceRule("GET", "/stock", repeatable=True),
    ServiceRule("GET", "/paid", repeatable=True, price=3),
    ServiceRule("POST", "/bookings", repeatable=False, price=5),
)


@define
class FakeMoney:
    """Grants every order, and records the calls.

    Attributes:
        orders: The orders of first attempts.
        further: The permits of further attempts.
        outcomes: The outcomes of finished requests.
        log: One line for each call, in order.
        error: Raised by `begin` if set.
        replay: Returned by `begin` if set.
        delay: How long `begin` takes, in seconds.
        finished: Set at the first call of `finish`.
    """

    orders: list[Order] = field(factory=list)
    further: list[Permit] = field(factory=list)
    outcomes: list[Outcome] = field(factory=list)
    log: list[str] = field(factory=list)
    error: Exception | None = None
    replay: Replay | None = None
    delay: float = 0.0
    finished: anyio.Event = field(factory=anyio.Event)

    async def begin(self, order: Order) -> Permit | Replay:
        await anyio.sleep(self.delay)
        if self.error is not None:
            raise self.error
        if self.replay is not None:
            return self.replay
        self.orders.append(order)
        self.log.append(f"begin {order.backend}")
        return Permit(order, f"{order.request}.a1")

    async def retry(self, permit: Permit, backend: str, boot: str) -> Permit:
        number = len(self.further) + 2
        order = evolve(permit.order, backend=backend, boot=boot)
        self.log.append(f"again {backend}")
        self.further.append(Permit(order, f"{order.request}.a{number}"))
        return self.further[-1]

    async def finish(
        self, permit: Permit, outcome: Outcome, *, durable_within: float = 0.0
    ) -> None:
        assert permit.attempt == outcome.attempt
        self.log.append(f"finish {durable_within:g}")
        self.outcomes.append(outcome)
        self.finished.set()


@define
class CallerResponse:
    """The response as the caller received it.

    Attributes:
        ended: Whether the last part of the body was received.
    """

    status: int = 0
    headers: dict[str, str] = field(factory=dict)
    body: bytes = b""
    ended: bool = False

    @property
    def error(self) -> dict[str, Any]:
        """The error object of a refusal."""
        error: dict[str, Any] = json.loads(self.body)["error"]
        return error

    @property
    def text(self) -> str:
        """The text of all tokens of a stream."""
        parts = []
        for line in self.body.splitlines():
            if line.startswith(b"data: {"):
                for choice in json.loads(line[6:]).get("choices", []):
                    parts.append(choice["delta"].get("content", ""))
        return "".join(parts)

    @property
    def whole(self) -> bool:
        """Whether a stream ended with ``[DONE]``."""
        return self.ended and self.body.endswith(b"data: [DONE]\n\n")


@define
class Bench:
    """The application, its fake money and its scripted servers.

    Attributes:
        money: Records orders and outcomes.
        servers: The scripted servers by name.
        app: The application.
        gone_after: Number of body messages after which the caller disconnects;
            -1 for never.
        slow_after: Number of body messages after which the caller reads nothing
            more; -1 for never.
    """

    money: FakeMoney
    servers: dict[str, Engine]
    app: CallersApp
    gone_after: int = -1
    slow_after: int = -1

    async def ask(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        *,
        key: str = KEY,
        gone: anyio.Event | None = None,
        never: bool = False,
        **headers: str,
    ) -> CallerResponse:
        """Send one request and return its response.

        Args:
            method: The HTTP method.
            path: Path and query.
            body: The request's body.
            key: The API key; empty for none.
            gone: The caller disconnects when this event is set.
            never: Whether the body of the request never arrives.
            headers: Further headers, with underscores instead of hyphens.
        """
        response = CallerResponse()
        gone = gone or anyio.Event()
        sent = False
        pieces = 0

        async def receive() -> Message:
            nonlocal sent
            if not sent and not never:
                sent = True
                return {"type": "http.request", "body": body, "more_body": False}
            await gone.wait()
            return {"type": "http.disconnect"}

        async def send(message: Message) -> None:
            nonlocal pieces
            if message["type"] == "http.response.start":
                response.status = message["status"]
                response.headers = {
                    name.decode(): value.decode() for name, value in message["headers"]
                }
                return
            if pieces == self.slow_after:
                await anyio.sleep_forever()
            response.body += message.get("body", b"")
            response.ended = not message.get("more_body", False)
            pieces += 1
            if pieces == self.gone_after:
                gone.set()
                await anyio.sleep(0.01)

        named = {name.replace("_", "-"): value for name, value in headers.items()}
        if key:
            named["authorization"] = f"Bearer {key}"
        target, _, query = path.partition("?")
        scope: Message = {
            "type": "http",
            "method": method,
            "path": target,
            "raw_path": target.encode(),
            "query_string": query.encode(),
            "headers": [(k.encode(), v.encode("latin-1")) for k, v in named.items()],
        }
        await self.app(scope, receive, send)
        return response

    async def chat(self, *, stream: bool = True, **extra: Any) -> CallerResponse:
        """Send a chat request; `extra` holds arguments of `ask` and JSON fields."""
        headers = {
            name: extra.pop(name)
            for name in (
                "gone",
                "key",
                "idempotency_key",
                "x_priority",
                "x_deadline_ms",
            )
            if name in extra
        }
        value = {"model": "assistant", "messages": MESSAGES, "stream": stream, **extra}
        return await self.ask(
            "POST", "/v1/chat/completions", json.dumps(value).encode(), **headers
        )


def make_document(engines: int = 2, service_count: int = 2, **changes: Any) -> Document:
    """Return a document with the given numbers of engines and of service servers.

    `changes` replace further attributes of the document.
    """
    backends = [
        Backend(
            f"e{index}",
            BackendKind.ENGINE,
            f"10.0.0.{index}:8000",
            f"d{index % 2}",
            models=("assistant",),
        )
        for index in range(engines)
    ] + [
        Backend(
            f"s{index}",
            BackendKind.SERVICE,
            f"10.0.1.{index}:8000",
            f"d{index % 2}",
            service="booking",
        )
        for index in range(service_count)
    ]
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    document = Document(
        "test",
        ("d0", "d1"),
        (Workspace("alder", (ApiKey("k", digest),)),),
        (ModelRoute("assistant"),),
        (ServiceRoute("booking", RULES, timeout=2.0, most_body=4096),),
        tuple(backends),
    )
    return evolve(document, **changes)


def make_bench(document: Document | None = None) -> Bench:
    """Return an application, with a scripted server for each server of the document."""
    document = document or make_document()
    servers = {backend.name: Engine() for backend in document.backends}
    transport = Fleet(
        {backend.address: servers[backend.name] for backend in document.backends}
    )
    fleet = FleetView(document, version=1, domain="d0")
    backends = Backends(
        fleet,
        rng=random.Random(7),
        timeouts=Timeouts(0.5, 5.0, 2.0, 1.0),
        transport=transport,
    )
    money = FakeMoney()
    return Bench(money, servers, CallersApp(money, fleet, backends))
