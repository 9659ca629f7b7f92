"""Passing calls through to plain services."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from urllib.parse import quote

import anyio
from attrs import define, field, frozen

from ebonyhold._asgi import Request, Send, header, send_body
from ebonyhold.backends import (
    Answer,
    Backends,
    BackendState,
    ServiceCall,
    UnreachableError,
    request_headers,
)
from ebonyhold.callers._ask import Identity
from ebonyhold.callers._chat import REQUEST_HEADER, keep, send_kept
from ebonyhold.callers._codes import (
    BACKEND_FAILED,
    NO_BACKEND,
    OUTCOME_UNKNOWN,
    PARAMETER_INVALID,
    Ran,
)
from ebonyhold.callers._flight import last_moment, stopped
from ebonyhold.callers._refusals import SOON, Refusal
from ebonyhold.coordination import (
    Outcome,
    RequestKind,
    RequestState,
    RetryBudget,
)
from ebonyhold.document import ServiceRoute, ServiceRule
from ebonyhold.exceptions import BackendError
from ebonyhold.money import Money, Order, Permit, Replay
from ebonyhold.tracing import context_headers, hop
from ebonyhold.types import AttemptId, BackendName, Seconds, Tokens, WorkspaceName

MOST_ATTEMPTS = 3

DURABLE_WITHIN: Seconds = 2.0
"""How long an answer waits for its outcome to be durable."""

CHARGED_BELOW = 400
"""Statuses below this mean that the call did what it was for."""

UNRULED = ServiceRule("*", "", repeatable=False)
"""A call that no rule matches may not be repeated."""


@frozen
class ServiceAsk:
    """A call to a plain service, read and bounded."""

    route: ServiceRoute
    rule: ServiceRule
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes

    @property
    def digest(self) -> str:
        """SHA-256 of method, target and body."""
        start = f"{self.method} {self.target}\n".encode()
        return hashlib.sha256(start + self.body).hexdigest()

    @property
    def kind(self) -> RequestKind:
        """What may be repeated."""
        if self.rule.repeatable:
            return RequestKind.REPEATABLE
        return RequestKind.BOOKING


def rule_for(route: ServiceRoute, method: str, path: str) -> ServiceRule:
    """Return the first rule that matches a call."""
    for rule in route.rules:
        if rule.method in ("*", method) and path.startswith(rule.path):
            return rule
    return UNRULED


def read_service(request: Request, route: ServiceRoute, body: bytes) -> ServiceAsk:
    """Read a call.

    Raises:
        Refusal: Its path has dot segments.  A service that resolves them could
            be led from a path that may be repeated to one that may not.
    """
    path = "/" + request.parameters["path"]
    if any(segment in (".", "..") for segment in path.split("/")):
        raise Refusal(PARAMETER_INVALID, "the path has dot segments", param="path")
    query = request.raw_query.decode("latin-1")
    raw = tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in request.raw_headers
    )
    return ServiceAsk(
        route,
        rule_for(route, request.method, path),
        request.method,
        raw_target(request) + (f"?{query}" if query else ""),
        request_headers(raw),
        body,
    )


def raw_target(request: Request) -> str:
    """Return the path behind the service's name, as the caller encoded it."""
    raw = request.scope.get("raw_path") or quote(request.path).encode()
    return "/" + bytes(raw).decode("latin-1").split("/", 3)[3].partition("?")[0]


@define
class ServiceRun:
    """Runs a call, at most once if it may not be repeated.

    Attributes:
        money: Claims and bills.
        backends: The servers.
        retries: Bounds attempts that may repeat work.
        workspace: Who pays.
        identity: The request's identifier.
        ask: The call.
        permit: Leave for the last attempt; None for free calls that may be
            repeated, which need neither a claim nor a bill.
    """

    money: Money
    backends: Backends
    retries: RetryBudget
    workspace: WorkspaceName
    identity: Identity
    ask: ServiceAsk
    on_chosen: Callable[[], None] = field(default=lambda: None)
    permit: Permit | None = None
    answer: Answer | None = None
    tried: set[BackendName] = field(factory=set)
    attempts: int = 0
    may_have_run: bool = False
    running: anyio.CancelScope = field(factory=anyio.CancelScope)

    def interrupt(self) -> None:
        """End the call soon, also one that may not be repeated."""
        self.running.deadline = last_moment()

    async def respond(self, send: Send) -> None:
        """Run the call and send its answer.

        A call that may not be repeated goes on when its caller goes away: it
        cannot be taken back, and a retry with its key will want the answer.

        Raises:
            Refusal: There is no answer.
            EbonyholdError: It may not be dispatched.
        """
        with anyio.CancelScope(shield=not self.ask.rule.repeatable):
            replay = await self.complete()
        if replay is not None:
            await send_kept(replay.answer, self.identity.request, send)
            return
        assert self.answer is not None
        mark = header(REQUEST_HEADER, self.identity.request)
        passed = [header(*item) for item in self.answer.headers]
        await send_body(
            send,
            self.answer.status,
            self.answer.body,
            self.answer.content_type,
            [mark, *passed],
        )

    async def complete(self) -> Replay | None:
        """Make attempts and record the outcome before anything is answered.

        Raises:
            Refusal: There is no answer.
        """
        replay: Replay | None = None
        try:
            with self.running:
                replay = await self.run()
            if self.running.cancelled_caught:
                raise self.refusal_of_stop()
        finally:
            with anyio.CancelScope(shield=True):
                await self.settle()
        return replay

    async def run(self) -> Replay | None:
        """Make attempts until there is an answer.

        Raises:
            Refusal: There is none, and no further attempt is allowed.
        """
        self.retries.first_attempt()
        while self.answer is None:
            state = self.choose()
            self.attempts += 1
            state.reserved += 1
            self.on_chosen()
            try:
                replay = await self.reserve(state)
            finally:
                state.reserved -= 1
            if replay is not None:
                return replay
            await self.attempt(state)
        return None

    def refusal_of_stop(self) -> Refusal:
        """Return what the caller hears when the router's stop has ended the call."""
        if not self.may_have_run:
            return stopped(Ran.NO)
        if not self.ask.rule.repeatable:
            return Refusal(OUTCOME_UNKNOWN, "this router stopped before the answer")
        return stopped(Ran.UNKNOWN)

    def choose(self) -> BackendState:
        """Choose the next server.

        Raises:
            Refusal: None is left.
        """
        state = self.backends.choose_service(self.ask.route.service, self.tried)
        if state is not None:
            return state
        if self.may_have_run:
            raise Refusal(BACKEND_FAILED, retry_after=SOON)
        raise Refusal(NO_BACKEND, retry_after=SOON)

    async def reserve(self, state: BackendState) -> Replay | None:
        """Make the next attempt durable, or find that it has its answer."""
        if self.is_free:
            return None
        if self.permit is not None:
            self.permit = await self.money.again(
                self.permit, state.backend.name, state.boot
            )
            return None
        with anyio.CancelScope(shield=True):
            answer = await self.money.begin(self.order(state))
            if isinstance(answer, Replay):
                return answer
            self.permit = answer
        return None

    @property
    def is_free(self) -> bool:
        """Whether the call needs neither a claim nor a bill."""
        return self.ask.rule.repeatable and self.ask.rule.price == 0

    def order(self, state: BackendState) -> Order:
        """Return what is asked of the money."""
        honoured = self.identity.keyed and self.ask.route.honours_idempotency_key
        booking = self.ask.kind is RequestKind.BOOKING
        return Order(
            self.workspace,
            self.identity.request,
            self.ask.kind,
            self.ask.digest,
            self.identity.keyed,
            self.ask.rule.price,
            state.backend.name,
            state.boot,
            claim_needed=booking and not honoured,
        )

    async def attempt(self, state: BackendState) -> None:
        """Make one attempt.

        Raises:
            Refusal: It failed, and no further one is allowed.
        """
        name = state.backend.name
        call = self.call()
        state.started(call.attempt, self.identity.request, anyio.current_time())
        try:
            with hop("service"):
                self.answer = await self.backends.services.call(state.backend, call)
        except UnreachableError:
            self.backends.ejector.lost(name, anyio.current_time())
            self.tried.add(name)
            self.check_bound()
        except BackendError as error:
            self.backends.ejector.failed(name, anyio.current_time())
            self.tried.add(name)
            self.may_have_run = True
            self.check_repeat(error)
        except BaseException:
            self.may_have_run = True
            raise
        else:
            self.backends.ejector.succeeded(name)
        finally:
            state.ended(call.attempt)
            self.backends.changed()

    def check_repeat(self, error: BackendError) -> None:
        """Let another attempt follow one whose answer was lost, or not.

        The service may have made the booking and its answer was lost on the
        way; another attempt would make a second one.  So the call ends here,
        and its record says that nobody knows.

        Raises:
            Refusal: No attempt may follow.
        """
        if not self.ask.rule.repeatable:
            raise Refusal(OUTCOME_UNKNOWN, str(error)) from error
        if not self.retries.take():
            raise Refusal(BACKEND_FAILED, str(error), retry_after=SOON) from error
        self.check_bound()

    def check_bound(self) -> None:
        """End the attempts at a bound.

        Raises:
            Refusal: The bound is reached.
        """
        if self.attempts < MOST_ATTEMPTS:
            return
        if self.may_have_run:
            raise Refusal(BACKEND_FAILED, retry_after=SOON)
        raise Refusal(NO_BACKEND, retry_after=SOON)

    def call(self) -> ServiceCall:
        """Return the attempt as the service gets it."""
        return ServiceCall(
            self.attempt_id(),
            self.ask.method,
            self.ask.target,
            (*self.ask.headers, *context_headers().items()),
            self.ask.body,
            self.ask.route.timeout,
            self.ask.route.most_body,
            self.identity.request if self.identity.keyed else "",
        )

    def attempt_id(self) -> AttemptId:
        """Return the attempt's identifier."""
        if self.permit is not None:
            return self.permit.attempt
        return f"{self.identity.request}.{self.attempts}"

    async def settle(self) -> None:
        """Record the outcome, durably before the answer if that can be had."""
        if self.permit is None:
            return
        await self.money.finish(
            self.permit, self.outcome(), durable_within=DURABLE_WITHIN
        )

    def outcome(self) -> Outcome:
        """Return how the call ended."""
        assert self.permit is not None
        state = RequestState.COMPLETE
        if self.answer is None:
            state = RequestState.NOT_RUN
            if self.may_have_run:
                state = RequestState.UNKNOWN
        keyed = self.identity.keyed and self.answer is not None
        return Outcome(
            self.workspace,
            self.identity.request,
            self.permit.attempt,
            state,
            self.charge(),
            answer=keep(self.answer) if keyed and self.answer else None,
        )

    def charge(self) -> Tokens:
        """Return the price, if the call did what it was for.

        A call that nobody knows the outcome of is not billed here: recovery or
        an operator settles it.
        """
        if self.answer is None or self.answer.status >= CHARGED_BELOW:
            return 0
        return self.ask.rule.price
