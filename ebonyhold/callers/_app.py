"""The ASGI application that callers talk to."""

from __future__ import annotations

import logging
from collections.abc import Callable

import anyio
from attrs import define, field
from opentelemetry.trace import SpanKind

from ebonyhold._asgi import (
    BodyTooLargeError,
    CallerGoneError,
    Endpoints,
    Message,
    NotFound,
    Receive,
    Request,
    Scope,
    Send,
    answer_lifespan,
    header,
    send_json,
)
from ebonyhold.backends import Backends
from ebonyhold.callers._ask import (
    Identity,
    Urgency,
    read_chat,
    read_identity,
    read_urgency,
)
from ebonyhold.callers._caller import until_gone
from ebonyhold.callers._chat import REQUEST_HEADER, StreamedChat, WholeChat
from ebonyhold.callers._gate import Gate, Waiter
from ebonyhold.callers._keys import Caller, KeyRing
from ebonyhold.callers._pipe import Pipe
from ebonyhold.callers._refusals import (
    BODY_TOO_LARGE,
    INTERNAL,
    METHOD_NOT_ALLOWED,
    NOT_FOUND,
    NOT_READY,
    ROUTER_STOPPING,
    SERVICE_UNKNOWN,
    SOON,
    Refusal,
    refusal_for,
)
from ebonyhold.callers._run import ChatRun
from ebonyhold.callers._services import ServiceRun, read_service
from ebonyhold.coordination import RetryBudget, Share
from ebonyhold.document import BackendKind, Workspace
from ebonyhold.exceptions import EbonyholdError
from ebonyhold.fleet import FleetView
from ebonyhold.metrics import Metrics
from ebonyhold.money import Money
from ebonyhold.tracing import context_from, hop
from ebonyhold.types import Json, RequestId, Seconds

logger = logging.getLogger(__name__)

INTERRUPT_WITHIN: Seconds = 3.0
"""How long streams have to say that they end, when a stop cannot wait longer."""


@define
class CallersApp:
    """Answers callers; the daemon serves it with hypercorn.

    Attributes:
        money: Permits and bills; the daemon replaces it with each incarnation.
        fleet: The document in force and who is leaving.
        backends: The backend servers.
        may_serve: Whether the configuration may be served.
        stopping: Whether new requests are refused because the router stops.
        metrics: Counts requests, attempts and times.
        active: Requests that are being answered.
        streams: Streams that are being sent.
    """

    money: Money
    fleet: FleetView
    backends: Backends
    may_serve: Callable[[], bool] = field(default=lambda: True)
    metrics: Metrics = field(factory=Metrics)
    stopping: bool = False
    active: int = 0
    streams: set[StreamedChat] = field(factory=set)
    keys: KeyRing = field(init=False)
    gates: dict[str, Gate] = field(factory=dict)
    retries: RetryBudget = field(factory=RetryBudget)

    def __attrs_post_init__(self) -> None:
        """Connect the parts."""
        self.keys = KeyRing(self.fleet)
        self.backends.changed = self.pump

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one ASGI scope."""
        if scope["type"] == "lifespan":
            await answer_lifespan(receive, send)
        elif scope["type"] == "http":
            await self.answer(Request(scope, receive), send)

    async def answer(self, request: Request, send: Send) -> None:
        """Answer one request, if only with a refusal."""
        watched = Watched(send)
        ended = "complete"
        self.active += 1
        try:
            await self.answer_or_raise(request, watched)
        except CallerGoneError:
            ended = "caller_gone"
        except Refusal as refusal:
            ended = refusal.reason.code
            await refuse(refusal, watched)
        except Exception:
            ended = "internal"
            logger.exception("request failed", extra={"request": watched.request})
            if watched.started:
                # A second status cannot follow.  Leaving the answer without its
                # end makes the listener cut the connection, which no caller
                # takes for the end of an answer.
                raise
            await refuse(Refusal(INTERNAL), watched)
        finally:
            self.active -= 1
            self.count(request, watched, ended)

    async def answer_or_raise(self, request: Request, send: Watched) -> None:
        """Answer one request within its span.

        Raises:
            Refusal: It is refused.
            CallerGoneError: Nobody is there to be answered.
        """
        try:
            with hop("caller", context_from(request.headers), SpanKind.SERVER) as span:
                identity = read_identity(request.headers)
                send.request = identity.request
                span.set_attribute("request", identity.request)
                self.check_open()
                await self.handle(request, identity, send)
        except BodyTooLargeError as error:
            raise Refusal(BODY_TOO_LARGE, str(error)) from error
        except CallerGoneError:
            raise
        except EbonyholdError as error:
            raise refusal_for(error) from error

    def count(self, request: Request, send: Watched, ended: str) -> None:
        """Count a request that has ended."""
        kind = "service" if request.path.startswith("/services/") else "chat"
        self.metrics.requests.labels(kind, ended).inc()
        if send.first is not None and ended == "complete":
            self.metrics.first_token.observe(send.first - send.arrived)

    async def interrupt(self) -> None:
        """End all streams with an explicit error event, and settle them.

        It is for the end of a stop's patience: without it the listener would
        cut the streams, which a caller might take for their end.
        """
        streams = tuple(self.streams)
        for stream in streams:
            stream.interrupt()
        with anyio.move_on_after(INTERRUPT_WITHIN):
            for stream in streams:
                await stream.ended.wait()

    def check_open(self) -> None:
        """Refuse work while there is no configuration, or at the end.

        Raises:
            Refusal: The router takes no requests now.
        """
        if self.stopping:
            raise Refusal(ROUTER_STOPPING, retry_after=SOON)
        if self.fleet.version == 0 or not self.may_serve():
            raise Refusal(NOT_READY, retry_after=SOON)

    async def handle(self, request: Request, identity: Identity, send: Send) -> None:
        """Find the endpoint and let it answer.

        Raises:
            EbonyholdError: The request is refused.
        """
        found = endpoints.find(request.method, request.path)
        if isinstance(found, NotFound):
            if found.methods:
                raise Refusal(METHOD_NOT_ALLOWED, "use " + ", ".join(found.methods))
            raise Refusal(NOT_FOUND)
        call = Call(self, request, identity, self.keys.caller(request.bearer()))
        request.parameters = found.parameters
        await found.endpoint.handler(call, request, send)

    def gate(self, model: str) -> Gate:
        """Return the gate of a model."""
        if model not in self.gates:
            self.gates[model] = Gate(
                lambda: self.backends.free(model),
                lambda: bool(self.backends.usable(BackendKind.ENGINE, model)),
            )
        return self.gates[model]

    def pump(self) -> None:
        """Let waiting requests through after something has changed."""
        for gate in self.gates.values():
            gate.pump()


@define
class Call:
    """One authenticated request on its way to a handler."""

    app: CallersApp
    request: Request
    identity: Identity
    caller: Caller

    @property
    def workspace(self) -> Workspace:
        """Who pays."""
        return self.caller.workspace


endpoints: Endpoints[Call] = Endpoints()
"""What callers may ask for."""


@endpoints.add("POST", "/v1/chat/completions")
async def answer_chat(call: Call, request: Request, send: Send) -> None:
    """Answer a chat request."""
    app = call.app
    body = await request.body(app.fleet.document.limits.most_body)
    ask = read_chat(body, app.fleet)
    urgency = read_urgency(request.headers, ask.route.priority)
    app.retries.ratio = app.fleet.document.policy.retry_ratio
    gate = app.gate(ask.route.model)
    waiter = await enter(gate, call, urgency)
    run = ChatRun(
        app.money,
        app.backends,
        app.retries,
        call.workspace.name,
        call.identity,
        ask,
        urgency.priority,
        app.metrics,
    )
    run.on_chosen = Arrival(gate)
    try:
        if ask.stream:
            stream = StreamedChat(run, Pipe(app.fleet.document.limits.stream_buffer))
            app.streams.add(stream)
            try:
                await stream.respond(request, send)
            finally:
                app.streams.discard(stream)
                stream.ended.set()
        else:
            await WholeChat(run).respond(request, send)
    finally:
        run.on_chosen()
        gate.left(waiter.ticket)


async def enter(gate: Gate, call: Call, urgency: Urgency) -> Waiter:
    """Wait for a request's turn.

    Raises:
        CallerGoneError: Its caller went away first.
        Refusal: It will not begin in time.
    """
    workspace = call.workspace
    waiter = gate.offer(
        workspace.name,
        share(workspace),
        urgency.priority,
        urgency.patience,
        urgency.shed_after,
    )
    if not waiter.event.is_set():
        gone = await until_gone(call.request, lambda: gate.wait(waiter))
        if gone:
            raise CallerGoneError("the caller went away while it waited")
    return waiter


@endpoints.add("GET", "/v1/models")
async def answer_models(call: Call, request: Request, send: Send) -> None:
    """List the models that callers may ask for."""
    data: list[Json] = [
        {"id": route.model, "object": "model", "created": 0, "owned_by": "ebonyhold"}
        for route in call.app.fleet.document.models
    ]
    mark = header(REQUEST_HEADER, call.identity.request)
    await send_json(send, 200, {"object": "list", "data": data}, [mark])


@endpoints.add("*", "/services/{service}/{path...}")
async def answer_service(call: Call, request: Request, send: Send) -> None:
    """Pass a call through to a plain service."""
    app = call.app
    route = app.fleet.service(request.parameters["service"])
    if route is None:
        raise Refusal(SERVICE_UNKNOWN)
    body = await request.body(route.most_body)
    run = ServiceRun(
        app.money,
        app.backends,
        app.retries,
        call.workspace.name,
        call.identity,
        read_service(request, route, body),
    )
    await run.respond(send)


@define
class Watched:
    """Passes messages on to the listener, and knows whether an answer began.

    Attributes:
        send: The listener's own callable.
        request: The request's identifier, once it is known.
        arrived: When the request came.
        first: When its answer began, or None.
    """

    send: Send
    request: RequestId = ""
    arrived: Seconds = field(factory=anyio.current_time)
    first: Seconds | None = None

    @property
    def started(self) -> bool:
        """Whether the answer began."""
        return self.first is not None

    async def __call__(self, message: Message) -> None:
        """Pass a message on."""
        if self.first is None:
            self.first = anyio.current_time()
        await self.send(message)


@define
class Arrival:
    """Tells a gate once that its request has chosen a server."""

    gate: Gate
    told: bool = False

    def __call__(self) -> None:
        """Tell it, the first time."""
        if not self.told:
            self.told = True
            self.gate.arrived()


def share(workspace: Workspace) -> Share:
    """Return a workspace's bounds."""
    return Share(workspace.concurrency, workspace.queue, workspace.weight)


async def refuse(refusal: Refusal, send: Watched) -> None:
    """Send a refusal."""
    headers = [*refusal.headers(), header(REQUEST_HEADER, send.request)]
    value = refusal.value(send.request)
    await send_json(send, refusal.reason.status, value, headers)
