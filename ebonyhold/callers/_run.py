"""One chat request: its attempts, and what it costs in the end."""

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
from ebonyhold.callers._ask import ChatAsk, Identity
from ebonyhold.callers._codes import (
    ANSWER_INCOMPLETE,
    BACKEND_FAILED,
    BACKEND_REJECTED,
    NO_BACKEND,
    Ran,
)
from ebonyhold.callers._refusals import SOON, Refusal
from ebonyhold.coordination import (
    AttemptState,
    AttemptTruth,
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

MOST_ATTEMPTS = 4
"""Attempts of one request, however little each of them cost."""

Dispatch = Callable[[BackendState, EngineCall], Awaitable[None]]


@frozen
class Dangling:
    """An attempt that ended without a whole answer."""

    backend: BackendName
    attempt: AttemptId
    boot: str


class ReplayedError(Exception):
    """The request has its answer already."""

    def __init__(self, replay: Replay) -> None:
        super().__init__()
        self.replay = replay


@define
class ChatRun:
    """Runs a chat request on one engine after another until it has its answer.

    Attributes:
        money: Holds, claims and bills.
        backends: The engines.
        retries: Bounds attempts that may repeat work.
        workspace: Who pays.
        identity: The request's identifier.
        ask: What is asked.
        priority: Larger is served first.
        metrics: Counts attempts and times.
        check: How far a streamed answer has come.
        tried: Engines that failed an attempt; others come first.
        barred: Engines that cannot be reached or do not want the request.
        usage: What a whole answer took, once it is there.
        ended: Whether the answer is whole.
        given_up: Whether it was this side that ended an attempt: the caller has
            gone or is too slow, or the router stops.
    """

    money: Money
    backends: Backends
    retries: RetryBudget
    workspace: WorkspaceName
    identity: Identity
    ask: ChatAsk
    priority: int = 0
    metrics: Metrics = field(factory=Metrics)
    on_chosen: Callable[[], None] = field(default=lambda: None)
    backoff: Backoff = field(factory=Backoff)
    check: StreamCheck = field(init=False)
    usage: Usage | None = None
    boot: str = ""
    permit: Permit | None = None
    dangling: list[Dangling] = field(factory=list)
    tried: set[BackendName] = field(factory=set)
    barred: set[BackendName] = field(factory=set)
    attempts: int = 0
    ended: bool = False
    given_up: bool = False

    def __attrs_post_init__(self) -> None:
        """Start the answer at its first token."""
        self.check = StreamCheck(self.ask.usage_wanted)

    @property
    def request(self) -> RequestId:
        """The request's identifier."""
        return self.identity.request

    async def run(self, dispatch: Dispatch) -> None:
        """Make attempts until one of them completes the answer.

        Raises:
            Refusal: None did, and no further attempt is allowed.
            ReplayedError: The request has ended before.
        """
        while True:
            state = self.choose()
            self.attempts += 1
            # The engine may be restarted while the intent becomes durable; the
            # dispatch must name the life that the intent names.
            boot = self.boot = state.boot
            permit = await self.reserve(state, boot)
            state.started(permit.attempt, self.request, anyio.current_time())
            state.prefixes.sent(self.ask.hashes)
            try:
                with hop("engine"):
                    await dispatch(state, self.call(permit, boot))
            except BackendError as error:
                self.count(state, error.code)
                await self.failed(state, permit, error)
            except BaseException:
                self.given_up = True
                self.dangle(state, permit)
                raise
            else:
                self.count(state, "complete")
                if self.usage is None and self.check.usage is None:
                    # The usage was left out.  The engine is asked for it, since
                    # the answer would otherwise have no price.
                    self.dangle(state, permit)
                self.backends.ejector.succeeded(state.backend.name)
                self.ended = True
                return
            finally:
                state.ended(permit.attempt)
                self.backends.changed()

    def count(self, state: BackendState, result: str) -> None:
        """Count an attempt."""
        self.metrics.attempts.labels(state.backend.name, result).inc()

    def choose(self) -> BackendState:
        """Choose the next engine, best one that was not tried yet.

        Raises:
            Refusal: None is left.
        """
        need = Need(self.ask.words, self.ask.most, self.priority)
        for avoided in (self.tried, self.barred):
            state = self.backends.choose(
                self.ask.route.model, need, self.ask.hashes, avoided
            )
            if state is not None:
                return state
        raise self.refusal()

    def refusal(self) -> Refusal:
        """Return why the request cannot go on."""
        if self.check.opened:
            return Refusal(ANSWER_INCOMPLETE)
        if self.dangling:
            return Refusal(BACKEND_FAILED, retry_after=SOON)
        return Refusal(NO_BACKEND, retry_after=SOON)

    async def reserve(self, state: BackendState, boot: str) -> Permit:
        """Make the next attempt durable.

        It is shielded: a caller that goes away while the money is at work would
        otherwise leave a hold that nobody knows of, and its tokens would be out
        of reach until this router stops.

        Raises:
            ReplayedError: The request has ended before.
            EbonyholdError: It may not be dispatched.
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
        """Return leave for an attempt at an engine."""
        if self.permit is not None:
            return await self.money.again(self.permit, state.backend.name, boot)
        self.retries.first_attempt()
        answer = await self.money.begin(self.order(state, boot))
        if isinstance(answer, Replay):
            raise ReplayedError(answer)
        return answer

    def order(self, state: BackendState, boot: str) -> Order:
        """Return what is asked of the money."""
        return Order(
            self.workspace,
            self.request,
            RequestKind.CHAT,
            self.ask.digest,
            self.identity.keyed,
            self.ask.hold,
            state.backend.name,
            boot,
        )

    def call(self, permit: Permit, boot: str) -> EngineCall:
        """Return the attempt as the engine gets it."""
        return EngineCall(
            permit.attempt,
            self.ask.body,
            self.ask.stream,
            self.priority,
            self.check.expected,
            context_headers().get("traceparent", ""),
            boot,
        )

    async def failed(
        self, state: BackendState, permit: Permit, error: BackendError
    ) -> None:
        """Note a failed attempt, and return if another one may follow.

        Raises:
            Refusal: None may.
        """
        self.tried.add(state.backend.name)
        if not error.ran:
            self.barred.add(state.backend.name)
        self.note(state, error)
        if error.ran:
            self.dangle(state, permit)
        if isinstance(error, RefusedError) and error.final and not self.check.opened:
            message = error.body.decode("utf-8", "replace")
            raise Refusal(BACKEND_REJECTED, engine_message(message)) from error
        if self.attempts >= MOST_ATTEMPTS or not self.may_repeat(error):
            raise self.refusal() from error
        if error.ran and not self.check.opened:
            await anyio.sleep(
                self.backoff.wait(self.attempts, self.backends.rng.random())
            )

    def note(self, state: BackendState, error: BackendError) -> None:
        """Tell the ejector, which judges servers and not requests."""
        name = state.backend.name
        if isinstance(error, UnreachableError):
            self.backends.ejector.lost(name, anyio.current_time())
        elif not isinstance(error, RefusedError):
            self.backends.ejector.failed(name, anyio.current_time())

    def may_repeat(self, error: BackendError) -> bool:
        """Return whether another attempt may follow an error.

        What provably did not run costs no engine anything, so it may always be
        tried elsewhere.  A stream that the caller has begun to read goes on
        elsewhere, unless its engine did not number its tokens.  All else takes
        from the retry budget: in an outage every request fails, and unbounded
        retries would keep the engines too busy to recover.
        """
        if not error.ran:
            return True
        if self.check.opened:
            return self.check.resumable
        return self.retries.take()

    def dangle(self, state: BackendState, permit: Permit) -> None:
        """Remember an attempt whose engine must still be asked."""
        self.dangling.append(Dangling(state.backend.name, permit.attempt, self.boot))

    async def settle(self) -> Ran:
        """Close what was left open, file the outcome, and say whether it ran.

        It is shielded: a caller that goes away would otherwise cancel its own
        bill, and its hold would stay taken for as long as this router lives.
        """
        with anyio.CancelScope(shield=True):
            truths = await self.close_dangling()
            ran = Ran.UNKNOWN if self.ended or may_have_run(truths) else Ran.NO
            if self.permit is not None:
                await self.money.finish(self.permit, self.outcome(truths, ran))
        return ran

    async def close_dangling(self) -> list[AttemptTruth]:
        """Ask every engine that may still be at work to stop, all at once."""
        truths: list[AttemptTruth] = []

        async def close(item: Dangling) -> None:
            truth = await self.backends.close_attempt(item.backend, item.attempt)
            truths.append(same_boot(truth, item.boot))

        async with anyio.create_task_group() as group:
            for item in self.dangling:
                group.start_soon(close, item)
        return truths

    def outcome(self, truths: list[AttemptTruth], ran: Ran) -> Outcome:
        """Return what the request costs.

        A whole answer costs what its engine says.  A cut one costs what reached
        the caller, or what the engine ran if the caller went away: tokens that
        were run twice because an engine died are the operator's.
        """
        assert self.permit is not None
        prompt, completion = self.ran_tokens(truths)
        charge = min(self.ask.bound, prompt) + min(self.ask.most, completion)
        state = RequestState.COMPLETE if self.ended else RequestState.INTERRUPTED
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

    def ran_tokens(self, truths: list[AttemptTruth]) -> tuple[Tokens, Tokens]:
        """Return the prompt's and the answer's tokens that are to be paid."""
        usage = self.usage or self.check.usage
        if usage is not None:
            return usage.prompt_tokens, max(
                usage.completion_tokens, self.check.expected
            )
        prompt = max((truth.prompt_tokens for truth in truths), default=0)
        completion = max((truth.completion_tokens for truth in truths), default=0)
        if self.ended or self.given_up:
            return prompt, max(completion, self.check.expected)
        return (prompt if self.check.opened else 0), self.check.expected


def may_have_run(truths: list[AttemptTruth]) -> bool:
    """Return whether any attempt may have run."""
    return any(truth.state is not AttemptState.NEVER_RAN for truth in truths)


def same_boot(truth: AttemptTruth, boot: str) -> AttemptTruth:
    """Trust a server's "never ran" only within the life it was sent to.

    A server that restarted has forgotten what it ran; its word shows as another
    boot identifier, and counts as not knowing.
    """
    if truth.state is AttemptState.NEVER_RAN and truth.boot != boot:
        return AttemptTruth(AttemptState.UNKNOWN, boot=truth.boot)
    return truth


def engine_message(body: str) -> str:
    """Return an engine's own words, out of its JSON if that is what it sent."""
    try:
        return str(json.loads(body)["error"]["message"])
    except (ValueError, KeyError, TypeError):
        return body[:500]


def read_whole(body: bytes) -> Usage | None:
    """Return the usage of a whole answer, or None where it is left out.

    Raises:
        BrokenStreamError: It is not the JSON it should be.
    """
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise BrokenStreamError("the answer is not JSON") from error
    if not isinstance(value, dict) or not value.get("choices"):
        raise BrokenStreamError("the answer has no choices")
    usage = value.get("usage")
    return read_usage(usage) if usage else None
