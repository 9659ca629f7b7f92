"""What callers may ask for, and what answers it."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
from attrs import define

from ebonyhold._asgi import (
    CallerGoneError,
    Endpoints,
    Request,
    Send,
    header,
    send_json,
)
from ebonyhold.callers._ask import Identity, Urgency, read_chat, read_urgency
from ebonyhold.callers._caller import until_gone
from ebonyhold.callers._chat import StreamedChat, WholeChat
from ebonyhold.callers._codes import (
    BODY_TIMEOUT,
    SERVICE_UNKNOWN,
)
from ebonyhold.callers._flight import Flight
from ebonyhold.callers._gate import Gate, Waiter
from ebonyhold.callers._keys import Caller
from ebonyhold.callers._pipe import Pipe
from ebonyhold.callers._refusals import Refusal
from ebonyhold.callers._run import ChatRun
from ebonyhold.callers._services import ServiceRun, read_service
from ebonyhold.callers._serving import Serving
from ebonyhold.callers._watched import REQUEST_HEADER
from ebonyhold.coordination import Share
from ebonyhold.document import BackendKind, Workspace
from ebonyhold.types import Json, Seconds

BODY_WITHIN: Seconds = 30.0
"""How long a caller may take to send its body."""


@define
class Call:
    """One authenticated request on its way to a handler."""

    app: Serving
    request: Request
    identity: Identity
    caller: Caller
    flight: Flight

    @property
    def workspace(self) -> Workspace:
        """Who pays."""
        return self.caller.workspace


@define
class Turn:
    """A request's turn: until it has chosen a server, its gate counts it."""

    gate: Gate
    told: bool = False

    def server_chosen(self) -> None:
        """Tell the gate, the first time."""
        if not self.told:
            self.told = True
            self.gate.arrived()


endpoints: Endpoints[Call] = Endpoints()
"""What callers may ask for."""


@endpoints.add("POST", "/v1/chat/completions")
async def answer_chat(call: Call, request: Request, send: Send) -> None:
    """Answer a chat request."""
    app = call.app
    body = await read_body(request, app.fleet.document.limits.most_body)
    ask = read_chat(body, app.fleet)
    urgency = read_urgency(request.headers, ask.route.priority)
    app.retries.ratio = app.fleet.document.policy.retry_ratio
    async with turn(app.gate(BackendKind.ENGINE, ask.route.model), call, urgency) as at:
        run = ChatRun(
            app.money,
            app.backends,
            app.retries,
            call.workspace.name,
            call.identity,
            ask,
            urgency.priority,
            app.metrics,
            at.server_chosen,
        )
        chat: StreamedChat | WholeChat = WholeChat(run)
        if ask.stream:
            chat = StreamedChat(run, Pipe(app.fleet.document.limits.stream_buffer))
        call.flight.begin(chat)
        await chat.respond(request, send)


@asynccontextmanager
async def turn(gate: Gate, call: Call, urgency: Urgency) -> AsyncIterator[Turn]:
    """Wait for a request's turn, and give its place back at the end.

    Raises:
        CallerGoneError: Its caller went away first.
        Refusal: It will not begin in time.
    """
    waiter = await enter(gate, call, urgency)
    taken = Turn(gate)
    try:
        yield taken
    finally:
        taken.server_chosen()
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
    ask = read_service(request, route, await read_body(request, route.most_body))
    urgency = read_urgency(request.headers, 0)
    async with turn(app.gate(BackendKind.SERVICE, route.service), call, urgency) as at:
        run = ServiceRun(
            app.money,
            app.backends,
            app.retries,
            call.workspace.name,
            call.identity,
            ask,
            at.server_chosen,
        )
        call.flight.begin(run)
        await run.respond(send)


async def read_body(request: Request, most: int) -> bytes:
    """Read a request's body.

    Raises:
        Refusal: It does not come in time.  A caller that trickles its body
            would otherwise hold a connection and its memory for ever.
        BodyTooLargeError: It is larger than allowed.
        CallerGoneError: The connection ended first.
    """
    try:
        with anyio.fail_after(BODY_WITHIN):
            return await request.body(most)
    except TimeoutError as error:
        raise Refusal(BODY_TIMEOUT) from error


def share(workspace: Workspace) -> Share:
    """Return a workspace's bounds."""
    return Share(workspace.concurrency, workspace.queue, workspace.weight)
