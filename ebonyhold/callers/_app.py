"""The ASGI application that answers the requests of callers."""

from __future__ import annotations

import logging
from collections.abc import Callable

import anyio
from attrs import define, field
from opentelemetry.trace import SpanKind

from ebonyhold._asgi import (
    BodyTooLargeError,
    CallerGoneError,
    NotFound,
    Receive,
    Request,
    Scope,
    Send,
    answer_lifespan,
)
from ebonyhold.backends import Backends
from ebonyhold.callers._codes import (
    BODY_TOO_LARGE,
    INTERNAL,
    METHOD_NOT_ALLOWED,
    NOT_FOUND,
    NOT_READY,
    Ran,
)
from ebonyhold.callers._endpoints import Call, endpoints
from ebonyhold.callers._gate import Gate
from ebonyhold.callers._keys import KeyRing
from ebonyhold.callers._open_request import STOP_GRACE, OpenRequest, stop_refusal
from ebonyhold.callers._parsing import (
    Identity,
    read_identity,
)
from ebonyhold.callers._refusals import SOON, Refusal, refusal_for
from ebonyhold.callers._response import Response, refuse
from ebonyhold.coordination import RetryBudget
from ebonyhold.document import BackendKind
from ebonyhold.exceptions import EbonyholdError
from ebonyhold.fleet import FleetView
from ebonyhold.metrics import Metrics
from ebonyhold.money import Money
from ebonyhold.tracing import context_from, hop
from ebonyhold.types import Seconds

logger = logging.getLogger(__name__)

INTERRUPT_TIMEOUT: Seconds = STOP_GRACE + 3.0
"""How long `CallersApp.interrupt` waits: 3 s more than `STOP_GRACE`."""


@define
class CallersApp:
    """Answers the requests of callers; the daemon serves it with hypercorn.

    Attributes:
        money: Issues permits and files bills; the daemon replaces it when a new
            incarnation starts.
        fleet: The document in force, its version, and the servers that are leaving.
        backends: The backend servers and their state.
        may_serve: Returns whether the configuration in force may be served.
        stopping: Whether new requests are refused because the router stops.
        metrics: Counts requests and attempts, and measures times.
        open_requests: Requests that passed `check_accepting` and have not ended,
            including those that wait in the queue of a gate.
        keys: The API keys of the workspaces.
        gates: The gate of each model and plain service that was requested.
        retries: The budget of attempts that may repeat work, shared by all requests.
    """

    money: Money
    fleet: FleetView
    backends: Backends
    may_serve: Callable[[], bool] = field(default=lambda: True)
    metrics: Metrics = field(factory=Metrics)
    stopping: bool = False
    open_requests: set[OpenRequest] = field(factory=set)
    keys: KeyRing = field(init=False)
    gates: dict[tuple[BackendKind, str], Gate] = field(factory=dict)
    retries: RetryBudget = field(factory=RetryBudget)

    def __attrs_post_init__(self) -> None:
        """Create the key ring, and call `pump` when a backend server changes."""
        self.keys = KeyRing(self.fleet)
        self.backends.on_change = self.pump

    @property
    def active(self) -> int:
        """The number of accepted requests that have not ended."""
        return len(self.open_requests)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one ASGI scope; types other than HTTP and lifespan are ignored."""
        if scope["type"] == "lifespan":
            await answer_lifespan(receive, send)
        elif scope["type"] == "http":
            await self.answer(Request(scope, receive), send)

    async def answer(self, request: Request, send: Send) -> None:
        """Answer one request, turn each error into a refusal, and count the request.

        Nothing is sent if the caller has closed the connection.

        Raises:
            Exception: An unexpected error came after the response had started.
        """
        response = Response(send)
        ended = "complete"
        try:
            await self.answer_or_raise(request, response)
        except CallerGoneError:
            ended = "caller_gone"
        except Refusal as refusal:
            ended = refusal.reason.code
            await refuse(refusal, request, response)
        except Exception:
            ended = "internal"
            logger.exception("request failed", extra={"request": response.request})
            if response.started:
                # A second status cannot be sent.  Because the response has no end,
                # the listener closes its connection, and the caller does not take
                # the response for complete.
                raise
            await refuse(Refusal(INTERNAL), request, response)
        finally:
            self.count(request, response, ended)

    async def answer_or_raise(self, request: Request, send: Response) -> None:
        """Answer one request within its tracing span.

        Raises:
            Refusal: The request is refused.
            CallerGoneError: The caller closed the connection.
        """
        try:
            with hop("caller", context_from(request.headers), SpanKind.SERVER) as span:
                identity = read_identity(request.headers)
                send.request = identity.request
                span.set_attribute("request", identity.request)
                self.check_accepting()
                await self.handle_interruptibly(request, identity, send)
        except BodyTooLargeError as error:
            raise Refusal(BODY_TOO_LARGE, str(error)) from error
        except CallerGoneError:
            raise
        except EbonyholdError as error:
            raise refusal_for(error) from error

    def count(self, request: Request, send: Response, ended: str) -> None:
        """Count an ended request by kind and result.

        For a complete answer, also observe the time until its response started.
        """
        kind = "service" if request.path.startswith("/services/") else "chat"
        self.metrics.requests.labels(kind, ended).inc()
        if send.first is not None and ended == "complete":
            self.metrics.first_token.observe(send.first - send.arrived)

    async def handle_interruptibly(
        self, request: Request, identity: Identity, send: Response
    ) -> None:
        """Handle an accepted request so that `interrupt` can end it.

        Raises:
            EbonyholdError: The request is refused, or `interrupt` cancelled it
                before any of it ran.
        """
        open_request = OpenRequest(send)
        self.open_requests.add(open_request)
        try:
            with open_request.scope:
                await self.handle(request, identity, send, open_request)
            if open_request.scope.cancelled_caught:
                raise stop_refusal(Ran.NO)
        finally:
            self.open_requests.discard(open_request)
            open_request.ended.set()

    async def interrupt(self) -> None:
        """Interrupt all open requests; wait for them at most `INTERRUPT_TIMEOUT`.

        The stop of the router calls this before it files the last bills and returns
        the grants.  A request that continued would be cut when the listener closes:
        its caller would get a bare 500 or no answer, without the information whether
        the request ran, and its bill would have to be recovered.
        """
        open_requests = tuple(self.open_requests)
        for open_request in open_requests:
            open_request.interrupt()
        with anyio.move_on_after(INTERRUPT_TIMEOUT):
            for open_request in open_requests:
                await open_request.ended.wait()

    def check_accepting(self) -> None:
        """Check that the router accepts new requests.

        Raises:
            Refusal: The router is stopping, or has no configuration that it may serve.
        """
        if self.stopping:
            raise stop_refusal(Ran.NO)
        if self.fleet.version == 0 or not self.may_serve():
            raise Refusal(NOT_READY, retry_after=SOON)

    async def handle(
        self,
        request: Request,
        identity: Identity,
        send: Send,
        open_request: OpenRequest,
    ) -> None:
        """Find the endpoint, authenticate the caller and call the handler.

        Raises:
            EbonyholdError: The request is refused.
        """
        found = endpoints.find(request.method, request.path)
        if isinstance(found, NotFound):
            if found.methods:
                raise Refusal(METHOD_NOT_ALLOWED, "use " + ", ".join(found.methods))
            raise Refusal(NOT_FOUND)
        caller = self.keys.caller(request.bearer())
        call = Call(self, request, identity, caller, open_request)
        request.parameters = found.parameters
        await found.endpoint.handler(call, request, send)

    def gate(self, kind: BackendKind, name: str) -> Gate:
        """Return the gate of a model or a plain service, created at first use."""
        if (kind, name) not in self.gates:
            self.gates[kind, name] = Gate(
                lambda: self.backends.free_slots(kind, name),
                lambda: bool(self.backends.usable(kind, name)),
            )
        return self.gates[kind, name]

    def pump(self) -> None:
        """Admit or refuse waiting requests after a change of servers or free slots."""
        for gate in self.gates.values():
            gate.pump()
