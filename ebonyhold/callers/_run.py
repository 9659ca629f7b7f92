"""Runs the attempts of one chat request and computes its cost."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable

import anyio
from attrs import define, field, frozen

from ebonyhold.backends import (
    Backends,
    BackendState,
    BrokenStreamError,
    EngineCall,
    RefusedError,
    StreamCheck,
    UnreachableError,
    Usage,
    read_usage,
)
from ebonyhold.callers._codes import (
    ANSWER_INCOMPLETE,
    BACKEND_FAILED,
    BACKEND_REJECTED,
    NO_BACKEND,
    Ran,
)
from ebonyhold.callers._parsing import ChatRequest, Identity
from ebonyhold.callers._refusals import SOON, Refusal
from ebonyhold.coordination import (
    AttemptState,
    AttemptStatus,
    Backoff,
    Need,
    Outcome,
    RequestKind,
    RequestState,
    RetryBudget,
)
from ebonyhold.exceptions import BackendError
from ebonyhold.metrics import Metrics
from ebonyhold.money import Money, Order, Permit, Replay
from ebonyhold.tracing import context_headers, hop
from ebonyhold.types import AttemptId, BackendName, RequestId, Tokens, WorkspaceName

MAX_ATTEMPTS = 4
"""Maximum number of attempts of one request, including those that ran nothing."""

Dispatch = Callable[[BackendState, EngineCall], Awaitable[None]]


@frozen
class UnclosedAttempt:
    """An attempt to be closed at its engine: it may still run, or its usage is unknown.

    Attributes:
        backend: The engine.
        attempt: The attempt's identifier.
        boot: The engine's boot identifier that the attempt was sent with.
    """

    backend: BackendName
    attempt: AttemptId
    boot: str


class ReplayedError(Exception):
    """An earlier request with the same key has a stored answer."""

    def __init__(self, replay: Replay) -> None:
        super().__init__()
        self.replay = replay


@define
class ChatRun:
    """Runs a chat request on one engine after another until it has its answer.

    Attributes:
        money: Takes holds and claims, and files bills.
        backends: The engines.
        retries: Limits the attempts that may repeat work.
        workspace: The workspace that pays.
        identity: The request's identifier.
        parsed: The parsed request.
        priority: Requests with a larger priority start first.
        metrics: Counts attempts and measures times.
        on_chosen: Called for each attempt, when its engine is chosen.
        backoff: Computes the delay after a failed attempt that may have run.
        check: Checks the events of a streamed answer across attempts.
        usage: The usage stated in a whole answer; None without it and for streams.
        boot: The boot identifier of the engine of the last attempt.
        permit: The permit of the last attempt.
        unclosed: Attempts that `settle` must close at their engines.
        tried: Engines that failed an attempt; the others are preferred.
        excluded: Engines whose failed attempt certainly did not run; they are not
            chosen again.
        attempts: Number of attempts so far.
        complete: Whether the answer is complete.
        aborted: Whether this router ended an attempt because the caller closed the
            connection or is too slow, or because the router stopped during a stream.
    """

    money: Money
    backends: Backends
    retries: RetryBudget
    workspace: WorkspaceName
    identity: Identity
    parsed: ChatRequest
    priority: int = 0
    metrics: Metrics = field(factory=Metrics)
    on_chosen: Callable[[], None] = field(default=lambda: None)
    backoff: Backoff = field(factory=Backoff)
    check: StreamCheck = field(init=False)
    usage: Usage | None = None
    boot: str = ""
    permit: Permit | None = None
    unclosed: list[UnclosedAttempt] = field(factory=list)
    tried: set[BackendName] = field(factory=set)
    excluded: set[BackendName] = field(factory=set)
    attempts: int = 0
    complete: bool = False
    aborted: bool = False

    def __attrs_post_init__(self) -> None:
        """Create the `StreamCheck` that follows the answer across attempts."""
        self.check = StreamCheck(self.parsed.usage_wanted)

    @property
    def request(self) -> RequestId:
        """The request's identifier."""
        return self.identity.request

    async def run(self, dispatch: Dispatch) -> None:
        """Make attempts until one of them completes the answer.

        Raises:
            Refusal: No attempt succeeded, and no further one is allowed.
            ReplayedError: An earlier request with the same key has an answer.
        """
        while True:
            state = self.choose()
            self.attempts += 1
            # The engine may restart while the intent is written; the dispatch must
            # name the same boot identifier as the intent.
            boot = self.boot = state.boot
            permit = await self.reserve(state, boot)
            state.started(permit.attempt, self.request, anyio.current_time())
            state.prefixes.sent(self.parsed.hashes)
            try:
                with hop("engine"):
                    await dispatch(state, self.call(permit, boot))
            except BackendError as error:
                self.count(state, error.code)
                await self.handle_failure(state, permit, error)
            except BaseException:
                self.aborted = True
                self.add_unclosed(state, permit)
                raise
            else:
                self.count(state, "complete")
                if self.usage is None and self.check.usage is None:
                    # The answer states no usage, so its price is unknown.  `settle`
                    # gets the usage from the engine by closing the attempt.
                    self.add_unclosed(state, permit)
                self.backends.ejector.succeeded(state.backend.name)
                self.complete = True
                return
            finally:
                state.ended(permit.attempt)
                self.backends.on_change()

    def count(self, state: BackendState, result: str) -> None:
        """Count an attempt by engine and result."""
        self.metrics.attempts.labels(state.backend.name, result).inc()

    def choose(self) -> BackendState:
        """Choose the next engine, preferably one that has not failed an attempt.

        Raises:
            Refusal: No engine is left.
        """
        need = Need(self.parsed.word_count, self.parsed.max_output, self.priority)
        for avoided in (self.tried, self.excluded):
            state = self.backends.choose(
                self.parsed.route.model, need, self.parsed.hashes, avoided
            )
            if state is not None:
                return state
        raise self.refusal()

    def refusal(self) -> Refusal:
        """Return the refusal of a request that gets no further attempt.

        Its code depends on whether a part of the answer was sent to the caller and, if
        not, on whether an attempt may have run.
        """
        if self.check.has_output:
            return Refusal(ANSWER_INCOMPLETE)
        if self.unclosed:
            return Refusal(BACKEND_FAILED, retry_after=SOON)
        return Refusal(NO_BACKEND, retry_after=SOON)

    async def reserve(self, state: BackendState, boot: str) -> Permit:
        """Write the intent of the next attempt durably and return its permit.

        The call is shielded from cancellation.  If a disconnect of the caller
        cancelled it, the hold would remain without a permit by which to release it,
        and its tokens could not be used until this router stops.

        Raises:
            ReplayedError: An earlier request with the same key has an answer.
            EbonyholdError: The attempt may not be dispatched.
        """
        state.reserved += 1
        self.on_chosen()
        try:
            with (
                anyio.CancelScope(shield=True),
                hop("money"),
                self.metrics.permit.time(),
            ):
                permit = await self.next_permit(state, boot)
                self.permit = permit
        finally:
            state.reserved -= 1
        return permit

    async def next_permit(self, state: BackendState, boot: str) -> Permit:
        """Return the permit of an attempt; the first one takes the hold and the claim.

        Raises:
            ReplayedError: An earlier request with the same key has an answer.
            EbonyholdError: The attempt may not be dispatched.
        """
        if self.permit is not None:
            return await self.money.retry(self.permit, state.backend.name, boot)
        self.retries.first_attempt()
        answer = await self.money.begin(self.order(state, boot))
        if isinstance(answer, Replay):
            raise ReplayedError(answer)
        return answer

    def order(self, state: BackendState, boot: str) -> Order:
        """Return the order for a hold, a claim and an intent."""
        return Order(
            self.workspace,
            self.request,
            RequestKind.CHAT,
            self.parsed.digest,
            self.identity.keyed,
            self.parsed.hold,
            state.backend.name,
            boot,
        )

    def call(self, permit: Permit, boot: str) -> EngineCall:
        """Return the call of one attempt, as sent to the engine."""
        return EngineCall(
            permit.attempt,
            self.parsed.body,
            self.parsed.stream,
            self.priority,
            self.check.expected,
            context_headers().get("traceparent", ""),
            boot,
        )

    async def handle_failure(
        self, state: BackendState, permit: Permit, error: BackendError
    ) -> None:
        """Record a failed attempt; return only if another attempt may follow.

        Before returning this waits for a backoff, unless the attempt did not run or
        the caller already has a part of the answer.

        Raises:
            Refusal: No further attempt is allowed.
        """
        self.tried.add(state.backend.name)
        if not error.ran:
            self.excluded.add(state.backend.name)
        self.report_error(state, error)
        if error.ran:
            self.add_unclosed(state, permit)
        if (
            isinstance(error, RefusedError)
            and error.permanent
            and not self.check.has_output
        ):
            message = error.body.decode("utf-8", "replace")
            raise Refusal(BACKEND_REJECTED, engine_message(message)) from error
        if self.attempts >= MAX_ATTEMPTS or not self.may_repeat(error):
            raise self.refusal() from error
        if error.ran and not self.check.has_output:
            await anyio.sleep(
                self.backoff.wait(self.attempts, self.backends.rng.random())
            )

    def report_error(self, state: BackendState, error: BackendError) -> None:
        """Report an error to the ejector.

        Refusals of engines are left out: they may be due to the request.
        """
        name = state.backend.name
        if isinstance(error, UnreachableError):
            self.backends.ejector.lost(name, anyio.current_time())
        elif not isinstance(error, RefusedError):
            self.backends.ejector.failed(name, anyio.current_time())

    def may_repeat(self, error: BackendError) -> bool:
        """Return whether another attempt may follow an error.

        An attempt that certainly did not run cost no engine any work, so it may
        always be repeated.  A stream of which the caller has a part is resumed at
        another engine, if its tokens are numbered.  Any other attempt takes from the
        retry budget: in an outage every request fails, and unlimited retries would
        keep the engines too busy to recover.
        """
        if not error.ran:
            return True
        if self.check.has_output:
            return self.check.resumable
        return self.retries.take()

    def add_unclosed(self, state: BackendState, permit: Permit) -> None:
        """Record an attempt that `settle` must close at its engine."""
        self.unclosed.append(
            UnclosedAttempt(state.backend.name, permit.attempt, self.boot)
        )

    async def settle(self) -> Ran:
        """Close open attempts, settle the request, and return whether it may have run.

        The call is shielded from cancellation: a caller that disconnects would
        otherwise cancel the settlement, and the hold would stay until this router's
        process ends.
        """
        with anyio.CancelScope(shield=True):
            statuses = await self.close_attempts()
            ran = Ran.UNKNOWN if self.complete or may_have_run(statuses) else Ran.NO
            if self.permit is not None:
                await self.money.finish(self.permit, self.outcome(statuses, ran))
        return ran

    async def close_attempts(self) -> list[AttemptStatus]:
        """Close the recorded attempts concurrently; return the reported statuses."""
        statuses: list[AttemptStatus] = []

        async def close(item: UnclosedAttempt) -> None:
            status = await self.backends.close_attempt(item.backend, item.attempt)
            statuses.append(trusted_status(status, item.boot))

        async with anyio.create_task_group() as group:
            for item in self.unclosed:
                group.start_soon(close, item)
        return statuses

    def outcome(self, statuses: list[AttemptStatus], ran: Ran) -> Outcome:
        """Return the outcome of the request with its charge.

        The charge is at most the bounds of prompt and answer; tokens above them are
        recorded as overshoot.
        """
        assert self.permit is not None
        prompt, completion = self.ran_tokens(statuses)
        charge = min(self.parsed.max_prompt, prompt) + min(
            self.parsed.max_output, completion
        )
        state = RequestState.COMPLETE if self.complete else RequestState.INTERRUPTED
        if ran is Ran.NO:
            state = RequestState.NOT_RUN
        return Outcome(
            self.workspace,
            self.request,
            self.permit.attempt,
            state,
            charge,
            prompt,
            completion,
            prompt + completion - charge,
        )

    def ran_tokens(self, statuses: list[AttemptStatus]) -> tuple[Tokens, Tokens]:
        """Return the tokens of the prompt and of the answer that count for the bill.

        With usage, the engine's numbers count.  Without usage, the numbers in the
        attempt statuses count if the answer is complete or this router ended it.  In
        both cases the answer counts at least the tokens that the caller was sent.
        Otherwise only the tokens sent count, and the prompt if anything was sent: the
        operator pays for tokens that ran twice after an engine failed.
        """
        usage = self.usage or self.check.usage
        if usage is not None:
            return usage.prompt_tokens, max(
                usage.completion_tokens, self.check.expected
            )
        prompt = max((status.prompt_tokens for status in statuses), default=0)
        completion = max((status.completion_tokens for status in statuses), default=0)
        if self.complete or self.aborted:
            return prompt, max(completion, self.check.expected)
        return (prompt if self.check.has_output else 0), self.check.expected


def may_have_run(statuses: list[AttemptStatus]) -> bool:
    """Return whether any attempt may have run: its status is not NEVER_RAN."""
    return any(status.state is not AttemptState.NEVER_RAN for status in statuses)


def trusted_status(status: AttemptStatus, boot: str) -> AttemptStatus:
    """Return the status, or UNKNOWN if a restarted server reports NEVER_RAN.

    A restarted server has lost the record of what it ran.  It is recognised by a boot
    identifier other than `boot`, with which the attempt was sent.
    """
    if status.state is AttemptState.NEVER_RAN and status.boot != boot:
        return AttemptStatus(AttemptState.UNKNOWN, boot=status.boot)
    return status


def engine_message(body: str) -> str:
    """Return an engine's JSON error message, or the body's first 500 characters."""
    try:
        return str(json.loads(body)["error"]["message"])
    except (ValueError, KeyError, TypeError):
        return body[:500]


def read_answer_usage(body: bytes) -> Usage | None:
    """Return the usage of a whole answer, or None if the answer states none.

    Raises:
        BrokenStreamError: The answer is not JSON with choices, or the usage is invalid.
    """
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise BrokenStreamError("the answer is not JSON") from error
    if not isinstance(value, dict) or not value.get("choices"):
        raise BrokenStreamError("the answer has no choices")
    usage = value.get("usage")
    return read_usage(usage) if usage else None
