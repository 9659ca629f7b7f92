"""The endpoints of callers and their handlers."""

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
from ebonyhold.callers._chat import StreamedChat, WholeChat
from ebonyhold.callers._codes import (
    BODY_TIMEOUT,
    SERVICE_UNKNOWN,
)
from ebonyhold.callers._disconnect import run_until_disconnect
from ebonyhold.callers._gate import Gate, Waiter
from ebonyhold.callers._keys import Caller
from ebonyhold.callers._open_request import OpenRequest
from ebonyhold.callers._parsing import Identity, Urgency, read_chat, read_urgency
from ebonyhold.callers._pipe import Pipe
from ebonyhold.callers._refusals import Refusal
from ebonyhold.callers._response import REQUEST_HEADER
from ebonyhold.callers._run import ChatRun
from ebonyhold.callers._services import ServiceRun, read_service
from ebonyhold.callers._serving import Serving
from ebonyhold.coordination import AdmissionLimits
from ebonyhold.document import BackendKind, Workspace
from ebonyhold.types import Json, Seconds

BODY_READ_TIMEOUT: Seconds = 30.0
"""How long a caller may take to send the body of a request."""


@define
class Call:
    """One authenticated request, as it is passed to its handler."""

    app: Serving
    request: Request
    identity: Identity
    caller: Caller
    open_request: OpenRequest

    @property
    def workspace(self) -> Workspace:
        """The workspace that pays for the request."""
        return self.caller.workspace


@define
class Admission:
    """An admitted request; its gate counts it as pending until a server is chosen.

    Attributes:
        gate: The gate that admitted the request.
        reported: Whether the gate no longer counts the request as pending.
    """

    gate: Gate
    reported: bool = False

    def server_chosen(self) -> None:
        """Report to the gate that a server is chosen; later calls do nothing."""
        if not self.reported:
            self.reported = True
            self.gate.server_chosen()


endpoints: Endpoints[Call] = Endpoints()
"""All endpoints of callers."""


@endpoints.add("POST", "/v1/chat/completions")
async def answer_chat(call: Call, request: Request, send: Send) -> None:
    """Answer a chat request, with a whole answer or a stream of events."""
    app = call.app
    body = await read_body(request, app.fleet.document.limits.most_body)
    parsed = read_chat(body, app.fleet)
    urgency = read_urgency(request.headers, parsed.route.priority)
    app.retries.ratio = app.fleet.document.policy.retry_ratio
    async with admitted(
        app.gate(BackendKind.ENGINE, parsed.route.model), call, urgency
    ) as admission:
        run = ChatRun(
            app.money,
            app.backends,
            app.retries,
            call.workspace.name,
            call.identity,
            parsed,
            urgency.priority,
            app.metrics,
            admission.server_chosen,
        )
        chat: StreamedChat | WholeChat = WholeChat(run)
        if parsed.stream:
            chat = StreamedChat(run, Pipe(app.fleet.document.limits.stream_buffer))
        call.open_request.begin(chat)
        await chat.respond(request, send)


@asynccontextmanager
async def admitted(
    gate: Gate, call: Call, urgency: Urgency
) -> AsyncIterator[Admission]:
    """Wait for admission at the gate, and report the end of the request to the gate.

    Raises:
        CallerGoneError: The caller closed the connection while the request waited.
        Refusal: The request cannot start in time; it did not run.
    """
    waiter = await wait_for_admission(gate, call, urgency)
    admission = Admission(gate)
    try:
        yield admission
    finally:
        admission.server_chosen()
        gate.finished(waiter.ticket)


async def wait_for_admission(gate: Gate, call: Call, urgency: Urgency) -> Waiter:
    """Queue a request at the gate and wait until it is admitted.

    Raises:
        CallerGoneError: The caller closed the connection while the request waited.
        Refusal: The request cannot start in time; it did not run.
    """
    workspace = call.workspace
    waiter = gate.offer(
        workspace.name,
        admission_limits(workspace),
        urgency.priority,
        urgency.wait_timeout,
        urgency.shed_after,
    )
    if not waiter.event.is_set():
        gone = await run_until_disconnect(call.request, lambda: gate.wait(waiter))
        if gone:
            raise CallerGoneError(
                "the caller closed the connection while its request waited"
            )
    return waiter


@endpoints.add("GET", "/v1/models")
async def answer_models(call: Call, request: Request, send: Send) -> None:
    """List the models that callers may use."""
    data: list[Json] = [
        {"id": route.model, "object": "model", "created": 0, "owned_by": "ebonyhold"}
        for route in call.app.fleet.document.models
    ]
    mark = header(REQUEST_HEADER, call.identity.request)
    await send_json(send, 200, {"object": "list", "data": data}, [mark])


@endpoints.add("*", "/services/{service}/{path...}")
async def answer_service(call: Call, request: Request, send: Send) -> None:
    """Forward a call to a plain service."""
    app = call.app
    route = app.fleet.service(request.parameters["service"])
    if route is None:
        raise Refusal(SERVICE_UNKNOWN)
    parsed = read_service(request, route, await read_body(request, route.most_body))
    urgency = read_urgency(request.headers, 0)
    async with admitted(
        app.gate(BackendKind.SERVICE, route.service), call, urgency
    ) as admission:
        run = ServiceRun(
            app.money,
            app.backends,
            app.retries,
            call.workspace.name,
            call.identity,
            parsed,
            admission.server_chosen,
        )
        call.open_request.begin(run)
        await run.respond(send)


async def read_body(request: Request, max_size: int) -> bytes:
    """Read the body of a request, which may have at most `max_size` bytes.

    Without the time limit, a caller that sends very slowly could keep a connection
    and its memory in use forever.

    Raises:
        Refusal: The body did not arrive within `BODY_READ_TIMEOUT`.
        BodyTooLargeError: The body is larger than `max_size`.
        CallerGoneError: The connection ended before the body was complete.
    """
    try:
        with anyio.fail_after(BODY_READ_TIMEOUT):
            return await request.body(max_size)
    except TimeoutError as error:
        raise Refusal(BODY_TIMEOUT) from error


def admission_limits(workspace: Workspace) -> AdmissionLimits:
    """Return the admission limits of a workspace."""
    return AdmissionLimits(workspace.concurrency, workspace.queue, workspace.weight)
