"""Forwards calls to plain services."""

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
from ebonyhold.callers._chat import REQUEST_HEADER, send_kept, to_kept_answer
from ebonyhold.callers._codes import (
    BACKEND_FAILED,
    NO_BACKEND,
    OUTCOME_UNKNOWN,
    PARAMETER_INVALID,
    Ran,
)
from ebonyhold.callers._open_request import stop_deadline, stop_refusal
from ebonyhold.callers._parsing import Identity
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

MAX_ATTEMPTS = 3
"""Maximum number of attempts of one call, including those that were not sent."""

DURABLE_TIMEOUT: Seconds = 2.0
"""How long a response waits until its outcome is durable; then it is sent anyway."""

CHARGED_BELOW = 400
"""Calls that are answered with a status below this are charged."""

DEFAULT_RULE = ServiceRule("*", "", repeatable=False)
"""The rule of a call that no rule of its service matches."""


@frozen
class ServiceRequest:
    """A parsed call to a plain service.

    Attributes:
        route: The route of the service.
        rule: The first rule of the route that matches the call, or `DEFAULT_RULE`.
        method: The HTTP method.
        target: Path and query for the service, in the caller's encoding.
        headers: The headers that are forwarded.
        body: The body that is forwarded.
    """

    route: ServiceRoute
    rule: ServiceRule
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes

    @property
    def digest(self) -> str:
        """SHA-256 of method, target and body, in hexadecimal."""
        start = f"{self.method} {self.target}\n".encode()
        return hashlib.sha256(start + self.body).hexdigest()

    @property
    def kind(self) -> RequestKind:
        """REPEATABLE if the call may be repeated, else BOOKING."""
        if self.rule.repeatable:
            return RequestKind.REPEATABLE
        return RequestKind.BOOKING


def rule_for(route: ServiceRoute, method: str, path: str) -> ServiceRule:
    """Return the first matching rule of a route, or `DEFAULT_RULE`."""
    for rule in route.rules:
        if rule.method in ("*", method) and path.startswith(rule.path):
            return rule
    return DEFAULT_RULE


def read_service(request: Request, route: ServiceRoute, body: bytes) -> ServiceRequest:
    """Parse a call.

    Raises:
        Refusal: The path has dot segments.  If the service resolved them, it could run
            another path than the rules were matched with, and that path may be one
            that must not be repeated.
    """
    path = "/" + request.parameters["path"]
    if any(segment in (".", "..") for segment in path.split("/")):
        raise Refusal(PARAMETER_INVALID, "the path has dot segments", param="path")
    query = request.raw_query.decode("latin-1")
    raw = tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in request.raw_headers
    )
    return ServiceRequest(
        route,
        rule_for(route, request.method, path),
        request.method,
        raw_target(request) + (f"?{query}" if query else ""),
        request_headers(raw),
        body,
    )


def raw_target(request: Request) -> str:
    """Return the path after the service's name, in the caller's percent-encoding."""
    raw = request.scope.get("raw_path") or quote(request.path).encode()
    return "/" + bytes(raw).decode("latin-1").split("/", 3)[3].partition("?")[0]


@define
class ServiceRun:
    """Runs a call; one that may not be repeated runs at most once.

    Attributes:
        money: Takes holds and claims, and files bills.
        backends: The backend servers.
        retries: Limits the attempts that may repeat work.
        workspace: The workspace that pays.
        identity: The request's identifier.
        parsed: The parsed call.
        on_chosen: Called for each attempt, when its server is chosen.
        permit: The permit of the last attempt; None for free calls that may be
            repeated, which need neither a claim nor a bill.
        answer: The answer of the service, once it is complete.
        tried: Servers that failed an attempt; they are not chosen again.
        attempts: Number of attempts so far.
        may_have_run: Whether an attempt without an answer may have run.
        running: Cancels the attempts.
    """

    money: Money
    backends: Backends
    retries: RetryBudget
    workspace: WorkspaceName
    identity: Identity
    parsed: ServiceRequest
    on_chosen: Callable[[], None] = field(default=lambda: None)
    permit: Permit | None = None
    answer: Answer | None = None
    tried: set[BackendName] = field(factory=set)
    attempts: int = 0
    may_have_run: bool = False
    running: anyio.CancelScope = field(factory=anyio.CancelScope)

    def interrupt(self) -> None:
        """Cancel the call at `stop_deadline`, even if it may not be repeated."""
        self.running.deadline = stop_deadline()

    async def respond(self, send: Send) -> None:
        """Run the call and send its answer.

        A call that may not be repeated goes on when its caller disconnects: it
        cannot be undone, and a retry with the same key gets the stored answer.

        Raises:
            Refusal: There is no answer.
            EbonyholdError: The call may not be dispatched.
        """
        with anyio.CancelScope(shield=not self.parsed.rule.repeatable):
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
        """Make attempts and settle the call.

        Returns:
            The stored answer of an earlier call with the same key, or None if
            `answer` is set.

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
        """Make attempts until one sets `answer`.

        Returns:
            The stored answer of an earlier call with the same key, or None if
            `answer` is set.

        Raises:
            Refusal: There is no answer, and no further attempt is allowed.
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
        """Return the refusal of a call that was ended by the router's stop."""
        if not self.may_have_run:
            return stop_refusal(Ran.NO)
        if not self.parsed.rule.repeatable:
            return Refusal(OUTCOME_UNKNOWN, "this router stopped before the answer")
        return stop_refusal(Ran.UNKNOWN)

    def choose(self) -> BackendState:
        """Choose the next server, never one that failed an attempt.

        Raises:
            Refusal: No server is left.
        """
        state = self.backends.choose_service(self.parsed.route.service, self.tried)
        if state is not None:
            return state
        if self.may_have_run:
            raise Refusal(BACKEND_FAILED, retry_after=SOON)
        raise Refusal(NO_BACKEND, retry_after=SOON)

    async def reserve(self, state: BackendState) -> Replay | None:
        """Write the intent of the next attempt durably, unless the call is free.

        If an earlier call with the same key has a stored answer, return that instead.
        """
        if self.is_free:
            return None
        if self.permit is not None:
            self.permit = await self.money.retry(
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
        return self.parsed.rule.repeatable and self.parsed.rule.price == 0

    def order(self, state: BackendState) -> Order:
        """Return the order for a hold, a claim and an intent.

        A booking needs a claim unless the service honours the caller's key.
        """
        honoured = self.identity.keyed and self.parsed.route.honours_idempotency_key
        booking = self.parsed.kind is RequestKind.BOOKING
        return Order(
            self.workspace,
            self.identity.request,
            self.parsed.kind,
            self.parsed.digest,
            self.identity.keyed,
            self.parsed.rule.price,
            state.backend.name,
            state.boot,
            claim_needed=booking and not honoured,
        )

    async def attempt(self, state: BackendState) -> None:
        """Make one attempt; if it fails, return only if another one may follow.

        Raises:
            Refusal: The attempt failed, and no further one is allowed.
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
            self.check_attempts()
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
            self.backends.on_change()

    def check_repeat(self, error: BackendError) -> None:
        """Check whether another attempt may follow one that may have run.

        A service may have carried out a booking whose answer was lost; another
        attempt could book twice.  Such a call ends here with an unknown outcome.

        Raises:
            Refusal: No further attempt is allowed.
        """
        if not self.parsed.rule.repeatable:
            raise Refusal(OUTCOME_UNKNOWN, str(error)) from error
        if not self.retries.take():
            raise Refusal(BACKEND_FAILED, str(error), retry_after=SOON) from error
        self.check_attempts()

    def check_attempts(self) -> None:
        """Check that the maximum number of attempts is not reached.

        Raises:
            Refusal: The maximum is reached.
        """
        if self.attempts < MAX_ATTEMPTS:
            return
        if self.may_have_run:
            raise Refusal(BACKEND_FAILED, retry_after=SOON)
        raise Refusal(NO_BACKEND, retry_after=SOON)

    def call(self) -> ServiceCall:
        """Return the call of one attempt, as sent to the service."""
        return ServiceCall(
            self.attempt_id(),
            self.parsed.method,
            self.parsed.target,
            (*self.parsed.headers, *context_headers().items()),
            self.parsed.body,
            self.parsed.route.timeout,
            self.parsed.route.most_body,
            self.identity.request if self.identity.keyed else "",
        )

    def attempt_id(self) -> AttemptId:
        """Return the permit's attempt identifier, or a new one for a free call."""
        if self.permit is not None:
            return self.permit.attempt
        return f"{self.identity.request}.{self.attempts}"

    async def settle(self) -> None:
        """Settle the call; wait at most `DURABLE_TIMEOUT` for a durable outcome.

        Without a permit there is nothing to settle.
        """
        if self.permit is None:
            return
        await self.money.finish(
            self.permit, self.outcome(), durable_within=DURABLE_TIMEOUT
        )

    def outcome(self) -> Outcome:
        """Return the outcome of the call, with the answer if the request has a key."""
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
            answer=to_kept_answer(self.answer) if keyed and self.answer else None,
        )

    def charge(self) -> Tokens:
        """Return the price of a call answered with a status below `CHARGED_BELOW`.

        Any other call is charged 0 tokens.  If its outcome is unknown, recovery or an
        operator settles it later.
        """
        if self.answer is None or self.answer.status >= CHARGED_BELOW:
            return 0
        return self.parsed.rule.price
