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
    NotFound,
    Receive,
    Request,
    Scope,
    Send,
    answer_lifespan,
)
from ebonyhold.backends import Backends
from ebonyhold.callers._ask import (
    Identity,
    read_identity,
)
from ebonyhold.callers._codes import (
    BODY_TOO_LARGE,
    INTERNAL,
    METHOD_NOT_ALLOWED,
    NOT_FOUND,
    NOT_READY,
    Ran,
)
from ebonyhold.callers._endpoints import Call, endpoints
from ebonyhold.callers._flight import LAST_PATIENCE, Flight, stopped
from ebonyhold.callers._gate import Gate
from ebonyhold.callers._keys import KeyRing
from ebonyhold.callers._refusals import SOON, Refusal, refusal_for
from ebonyhold.callers._watched import Watched, refuse
from ebonyhold.coordination import RetryBudget
from ebonyhold.document import BackendKind
from ebonyhold.exceptions import EbonyholdError
from ebonyhold.fleet import FleetView
from ebonyhold.metrics import Metrics
from ebonyhold.money import Money
from ebonyhold.tracing import context_from, hop
from ebonyhold.types import Seconds

logger = logging.getLogger(__name__)

INTERRUPT_WITHIN: Seconds = LAST_PATIENCE + 3.0
"""How long requests have to say that they end, when a stop cannot wait longer."""


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
        flights: Requests that were admitted and are being answered.
    """

    money: Money
    fleet: FleetView
    backends: Backends
    may_serve: Callable[[], bool] = field(default=lambda: True)
    metrics: Metrics = field(factory=Metrics)
    stopping: bool = False
    flights: set[Flight] = field(factory=set)
    keys: KeyRing = field(init=False)
    gates: dict[tuple[BackendKind, str], Gate] = field(factory=dict)
    retries: RetryBudget = field(factory=RetryBudget)

    def __attrs_post_init__(self) -> None:
        """Connect the parts."""
        self.keys = KeyRing(self.fleet)
        self.backends.changed = self.pump

    @property
    def active(self) -> int:
        """How many admitted requests are being answered."""
        return len(self.flights)

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
        try:
            await self.answer_or_raise(request, watched)
        except CallerGoneError:
            ended = "caller_gone"
        except Refusal as refusal:
            ended = refusal.reason.code
            await refuse(refusal, request, watched)
        except Exception:
            ended = "internal"
            logger.exception("request failed", extra={"request": watched.request})
            if watched.started:
                # A second status cannot follow.  Leaving the answer without its
                # end makes the listener cut the connection, which no caller
                # takes for the end of an answer.
                raise
            await refuse(Refusal(INTERNAL), request, watched)
        finally:
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
                await self.fly(request, identity, send)
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

    async def fly(self, request: Request, identity: Identity, send: Watched) -> None:
        """Handle an admitted request in a way that a stop can end.

        Raises:
            EbonyholdError: The request is refused.
        """
        flight = Flight(send)
        self.flights.add(flight)
        try:
            with flight.scope:
                await self.handle(request, identity, send, flight)
            if flight.scope.cancelled_caught:
                raise stopped(Ran.NO)
        finally:
            self.flights.discard(flight)
            flight.ended.set()

    async def interrupt(self) -> None:
        """End all requests under way with an explicit refusal or error event.

        It is for the end of a stop's patience.  A request that is left out would
        run on while the bills are filed and the grants returned, until the
        listener's end cuts it: its caller sees a bare 500 or no answer, hears
        nothing of whether it ran, and its bill is left to be recovered.
        """
        flights = tuple(self.flights)
        for flight in flights:
            flight.interrupt()
        with anyio.move_on_after(INTERRUPT_WITHIN):
            for flight in flights:
                await flight.ended.wait()

    def check_open(self) -> None:
        """Refuse work while there is no configuration, or at the end.

        Raises:
            Refusal: The router takes no requests now.
        """
        if self.stopping:
            raise stopped(Ran.NO)
        if self.fleet.version == 0 or not self.may_serve():
            raise Refusal(NOT_READY, retry_after=SOON)

    async def handle(
        self, request: Request, identity: Identity, send: Send, flight: Flight
    ) -> None:
        """Find the endpoint and let it answer.

        Raises:
            EbonyholdError: The request is refused.
        """
        found = endpoints.find(request.method, request.path)
        if isinstance(found, NotFound):
            if found.methods:
                raise Refusal(METHOD_NOT_ALLOWED, "use " + ", ".join(found.methods))
            raise Refusal(NOT_FOUND)
        caller = self.keys.caller(request.bearer())
        call = Call(self, request, identity, caller, flight)
        request.parameters = found.parameters
        await found.endpoint.handler(call, request, send)

    def gate(self, kind: BackendKind, name: str) -> Gate:
        """Return the gate of a model or a plain service."""
        if (kind, name) not in self.gates:
            self.gates[kind, name] = Gate(
                lambda: self.backends.free(kind, name),
                lambda: bool(self.backends.usable(kind, name)),
            )
        return self.gates[kind, name]

    def pump(self) -> None:
        """Let waiting requests through after something has changed."""
        for gate in self.gates.values():
            gate.pump()
