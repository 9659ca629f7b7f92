"""Forwards a caller's request to backend servers until it has an answer."""

from __future__ import annotations

import logging
from collections.abc import Callable
from functools import partial
from typing import Protocol

import anyio
from attrs import Factory, define, field

from ebonyhold.exceptions import (
    BudgetExhaustedError,
    BudgetUnreachableError,
    EbonyholdError,
    MalformedRequestError,
)
from ebonyhold.forwarding._backends import BackendTable
from ebonyhold.forwarding._caller import CallerConnection, RequestHead
from ebonyhold.forwarding._crash_detection import CrashDetector
from ebonyhold.forwarding._deadlines import answer_deadline
from ebonyhold.forwarding._dialect import Dialect
from ebonyhold.forwarding._dispatcher import Dispatcher
from ebonyhold.forwarding._endings import AnswerEnding
from ebonyhold.forwarding._exchange import CutCause, Exchange
from ebonyhold.forwarding._flow_control import FlowControl
from ebonyhold.forwarding._paths import Paths
from ebonyhold.forwarding._place_queue import PlaceQueue
from ebonyhold.forwarding._refusals import Refusal, own_answer
from ebonyhold.forwarding._restart_watch import RestartWatch
from ebonyhold.forwarding._retries import FleetRetryBudget
from ebonyhold.forwarding._routes import (
    Match,
    NoRouteError,
    UnknownKeyError,
    match_request,
)
from ebonyhold.forwarding._runs import RunChecks
from ebonyhold.forwarding._shutdown import Shutdown
from ebonyhold.forwarding._silence import SilenceRecorder
from ebonyhold.forwarding._streams import StreamVersions
from ebonyhold.forwarding._token_waits import TokenWaits
from ebonyhold.forwarding._types import CallerRequest, Headers, RouteKind, Ruleset
from ebonyhold.types import RequestId, Seconds, Tokens, WorkspaceName

log = logging.getLogger(__name__)

ANSWER_MARGIN: Seconds = 0.03
"""How long after a request's deadline to wait for the server's own timeout answer."""

STATES_RETRY = frozenset(
    {Refusal.SERVERS_LIMITED, Refusal.SERVERS_BUSY, Refusal.MEMORY_FULL}
)
"""The refusals whose Retry-After depends on the state of the servers."""

DELIVERED = "delivered"
"""The outcome of a request whose caller got a complete answer from a server."""


class RequestHold(Protocol):
    """Sets aside tokens of one workspace's budget for requests."""

    async def hold(self, amount: Tokens, request: RequestId) -> None:
        """Set tokens aside for a request.

        Raises:
            BudgetExhaustedError: The budget cannot cover the request.
            BudgetUnreachableError: The budget may cover the request, but this router
                cannot get the tokens now.
        """
        ...

    def settle(self, hold: Tokens, charge: Tokens) -> None:
        """End a hold, and charge the tokens that the request cost."""
        ...


class Refused(EbonyholdError):
    """The router refuses the request.

    Attributes:
        refusal: The reason.
    """

    code = "refused"

    def __init__(self, refusal: Refusal, detail: str = "") -> None:
        super().__init__(detail or refusal.code)
        self.refusal = refusal


@define(eq=False)
class Forwarder:
    """Forwards callers' requests to backend servers.

    Attributes:
        domain: The failure domain of this router.
        dialect: Decodes and encodes header fields.
        backends: The known servers.
        paths: Opens the ways to servers.
        retries: The retry budget.
        rules: Returns the current rules, or None until some were read.
        open_hold: Opens a hold on a workspace's budget; None if the workspace has no
            limit.
        on_end: Called at the end of each request with its route, outcome and duration
            in seconds, for metrics.
        on_answer: Called with how each answer of a server has ended, for metrics.
        on_cut: Called with why an answer was cut, for metrics.
        ages: Returns the age of each cached input in seconds, for logs.
        loop_delay: Returns the mean delay of the event loop, in seconds.
        shutdown: Decides which requests are accepted during a shutdown.
        places: The requests that wait for a place at a brittle server.
        crashes: Detects crashes of servers and rejects requests that cause them.
        streams: Keeps which software version each stream belongs to.
        checks: Asks servers which run a connection leads to; None if none is asked.
        waits: The requests that wait for tokens.
        flow: Bounds what is buffered, and recognises pauses of streams.
        silences: Logs and counts silences of servers.
        dispatcher: Sends requests to servers.
    """

    domain: str
    dialect: Dialect
    backends: BackendTable
    paths: Paths
    retries: FleetRetryBudget
    rules: Callable[[], Ruleset | None]
    open_hold: Callable[[WorkspaceName], RequestHold | None]
    on_end: Callable[[str, str, Seconds], None]
    on_answer: Callable[[AnswerEnding], None] = lambda ending: None
    on_cut: Callable[[CutCause], None] = lambda cause: None
    ages: Callable[[], dict[str, Seconds]] = dict
    loop_delay: Callable[[], Seconds] = lambda: 0.0
    shutdown: Shutdown = field(factory=Shutdown)
    places: PlaceQueue = field(factory=PlaceQueue)
    crashes: CrashDetector = Factory(
        lambda self: CrashDetector(self.paths, self.backends), takes_self=True
    )
    streams: StreamVersions = Factory(
        lambda self: StreamVersions(self.backends), takes_self=True
    )
    checks: RunChecks | None = None
    waits: TokenWaits = field(factory=TokenWaits)
    flow: FlowControl[CallerConnection] = field(factory=FlowControl)
    silences: SilenceRecorder = Factory(
        lambda self: SilenceRecorder(self.backends), takes_self=True
    )
    dispatcher: Dispatcher = field(init=False)

    def __attrs_post_init__(self) -> None:
        if self.checks is not None:
            self.streams.use_checks(self.checks)
        watch = RestartWatch(self.paths, self.backends)
        self.paths.pool.on_unused_end = watch.unused_ended
        self.dispatcher = Dispatcher(
            self.domain,
            self.dialect,
            self.backends,
            self.paths,
            self.retries,
            self.places,
            self.crashes,
            self.ages,
            self.streams,
            silences=self.silences,
        )

    async def serve(
        self, connection: CallerConnection, head: RequestHead, body: bytes
    ) -> None:
        """Forward or refuse one request, and report its end to `on_end`.

        A request whose headers are malformed is refused without a report. The outcome
        is "left" if the caller disconnects, which cancels this call, or if an
        unexpected error ends it.
        """
        started = anyio.current_time()
        try:
            caller = self.dialect.read_request(head.headers)
        except MalformedRequestError:
            await self.refuse(connection, CallerRequest(""), Refusal.MALFORMED)
            return
        route, outcome = "", "left"
        exchange: Exchange | None = None
        try:
            exchange = self.prepare(connection, head, body, caller)
            route = exchange.match.route.name
            outcome = await self.hold_and_forward(exchange)
        except Refused as error:
            outcome = error.refusal.code
            await self.refuse(connection, caller, error.refusal, route)
        finally:
            if exchange is not None:
                exchange.release_bytes()
            duration = anyio.current_time() - started
            self.on_end(route, outcome, duration)
            if outcome == DELIVERED and exchange is not None:
                first = exchange.first_event_at
                reading = 0.0 if first is None else first - started
                size = exchange.size
                self.shutdown.times.record(route, duration, size, reading)
            if outcome == "left":
                fields = {"request": caller.request_id, "route": route}
                log.info("caller left", extra=fields)

    def prepare(
        self,
        connection: CallerConnection,
        head: RequestHead,
        body: bytes,
        caller: CallerRequest,
    ) -> Exchange:
        """Match a request with the rules, and return it as an exchange.

        Raises:
            Refused: No rules were read yet, no route matches, or the key is unknown or
                missing.
        """
        rules = self.rules()
        if rules is None:
            raise Refused(Refusal.NO_RULES)
        try:
            match = match_request(rules, head.headers, head.target, caller)
        except NoRouteError as error:
            raise Refused(Refusal.NO_ROUTE) from error
        except UnknownKeyError as error:
            raise Refused(Refusal.UNKNOWN_KEY) from error
        service = rules.services.get(match.service)
        return Exchange(
            connection,
            head,
            body,
            caller,
            match,
            answer_deadline(
                head.arrived_at, time_limit_of(caller, match), self.loop_delay()
            ),
            event_tokens=service.event_tokens if service else 1,
            flow=self.flow,
            need=self.backends.memory.need(match.service, caller),
        )

    def check_shutdown(self, exchange: Exchange, priced: bool) -> None:
        """Check whether a request is accepted during a shutdown.

        Raises:
            Refused: It is not accepted, and has not run.
        """
        accepted = self.shutdown.admits(
            exchange.caller.request_id,
            exchange.match.route,
            priced,
            exchange.connection.received_at,
            exchange.size,
            exchange.deadline + ANSWER_MARGIN,
            exchange.connection.more_received,
        )
        if not accepted:
            raise Refused(Refusal.STOPPING)

    async def hold_and_forward(self, exchange: Exchange) -> str:
        """Hold a request's maximum cost, forward it, and charge the actual cost.

        No tokens are held if the request costs none or its workspace has no limit.

        Returns:
            The outcome.

        Raises:
            Refused: The request crashes servers, the router is stopping, or the tokens
                are not available.
        """
        if self.crashes.is_rejected(exchange):
            raise Refused(Refusal.CRASHES_SERVERS)
        workspace = exchange.match.workspace
        max_charge = exchange.caller.max_charge
        hold = self.open_hold(workspace.name) if workspace and max_charge else None
        self.check_shutdown(exchange, priced=hold is not None)
        if hold is None:
            return await self.forward_in_time(exchange)
        if await self.hold_in_time(exchange, hold, max_charge):
            return Refusal.NOT_STARTED.code
        try:
            return await self.forward_in_time(exchange)
        finally:
            hold.settle(max_charge, exchange.charge)

    async def hold_in_time(
        self, exchange: Exchange, hold: RequestHold, amount: Tokens
    ) -> bool:
        """Hold tokens for a request; return whether it was refused meanwhile.

        Raises:
            Refused: The tokens are not available.
        """
        cutoff = exchange.deadline + ANSWER_MARGIN
        refuse = partial(self.refuse_waiting, exchange)
        error: Refused | None = None
        with self.waits.wait(refuse, partial(self.shutdown.has_passed, cutoff)) as wait:
            try:
                await hold.hold(amount, exchange.caller.request_id)
            except BudgetExhaustedError:
                error = Refused(Refusal.BUDGET_EXHAUSTED)
            except BudgetUnreachableError:
                error = Refused(Refusal.BUDGET_UNREACHABLE)
        if wait.is_refused:
            if error is None:
                hold.settle(amount, 0)
            await wait.answered.wait()
            return True
        if error is not None:
            raise error
        return False

    async def refuse_waiting(self, exchange: Exchange) -> None:
        """Refuse a request that waits for tokens, and take no other one behind it.

        That its caller then leaves does not end the wait.
        """
        connection = exchange.connection
        connection.inbox.on_end = None
        connection.final = True
        route = exchange.match.route.name
        await self.refuse(connection, exchange.caller, Refusal.NOT_STARTED, route)
        await connection.stream.send_eof()

    async def forward_in_time(self, exchange: Exchange) -> str:
        """Forward a request and return its outcome.

        The request is given up ANSWER_MARGIN after its deadline or, during a shutdown,
        at the time of the last answer if that is earlier.

        Nothing that the caller sends behind a stream is read until it has ended: if the
        stream is cut, nothing else can be answered on its connection.
        """
        if exchange.match.route.kind is not RouteKind.STREAM:
            return await self.forward_bounded(exchange)
        with exchange.connection.inbox.held_back():
            return await self.forward_bounded(exchange)

    async def forward_bounded(self, exchange: Exchange) -> str:
        """Forward a request, and give it up when its time has passed."""
        outcome = ""
        cutoff = exchange.deadline + ANSWER_MARGIN
        with self.shutdown.bounded(cutoff):
            refusal = await self.dispatcher.dispatch(exchange)
            if refusal is None:
                outcome = DELIVERED
            elif not self.shutdown.has_passed(cutoff):
                outcome = await self.give_up(exchange, refusal)
        if not outcome:
            exchange.stopped = self.shutdown.last_answer_at < cutoff
            if exchange.stopped:
                self.record_stopped(exchange)
            refusal = (
                Refusal.NO_ANSWER if exchange.may_have_run else Refusal.NOT_STARTED
            )
            outcome = await self.give_up(exchange, refusal)
        self.log_end(exchange, outcome)
        return outcome

    def record_stopped(self, exchange: Exchange) -> None:
        """Count and log a request that is given up because the router stops."""
        route, now = exchange.match.route, anyio.current_time()
        self.shutdown.given_up += 1
        log.warning(
            "request outlasted the stop",
            extra={
                "request": exchange.caller.request_id,
                "route": route.name,
                "ms": round((now - exchange.head.arrived_at) * 1000),
                "ms_estimated": round(
                    self.shutdown.times.estimate(route, exchange.size) * 1000
                ),
                "ms_limit": round((exchange.deadline - now) * 1000),
                "events": exchange.events,
                "started": exchange.connection.started,
                "waits_for_caller": exchange.connection.write_pending,
            },
        )

    async def give_up(self, exchange: Exchange, refusal: Refusal) -> str:
        """End a request without a complete answer from a server; return the outcome.

        The caller gets the last error answer of a server or, if there is none, the
        refusal. If a part of an answer was sent, the connection is closed instead.
        """
        if exchange.connection.started:
            # The caller has a part of the answer. Closing the connection before the end
            # is the only way to show that the rest is missing.
            exchange.connection.last = True
            self.on_cut(cut_cause(exchange, refusal))
            await exchange.connection.abort()
            return f"cut: {refusal.code}"
        if exchange.failure is not None:
            await exchange.deliver(exchange.failure)
            return "server_failure"
        await self.refuse(
            exchange.connection,
            exchange.caller,
            refusal,
            exchange.match.route.name,
            exchange.retry_after if refusal in STATES_RETRY else None,
        )
        return refusal.code

    def identify(self, head: RequestHead) -> Headers:
        """Return the fields that identify a request in the router's own answer.

        There are none if the request's headers are malformed.
        """
        try:
            caller = self.dialect.read_request(head.headers)
        except MalformedRequestError:
            return []
        return self.dialect.refusal_headers(caller.request_id)

    async def refuse(
        self,
        connection: CallerConnection,
        caller: CallerRequest,
        refusal: Refusal,
        route: str = "",
        retry_after: Seconds | None = None,
    ) -> None:
        """Log a refusal, and send it to the caller."""
        identity = self.dialect.refusal_headers(caller.request_id)
        answer = own_answer(refusal, identity, retry_after)
        fields = {"request": caller.request_id, "code": refusal.code, "route": route}
        log.info("refused", extra=fields)
        await connection.answer(answer.status, answer.headers, answer.body)

    def log_end(self, exchange: Exchange, outcome: str) -> None:
        """Log how a request ended, and count how servers' answers to it did."""
        for ending in exchange.endings:
            self.on_answer(ending)
        match, now = exchange.match, anyio.current_time()
        rules = self.rules()
        log.info(
            "request ended",
            extra={
                "request": exchange.caller.request_id,
                "outcome": outcome,
                "stopped": exchange.stopped,
                "route": match.route.name,
                "service": match.service,
                "workspace": match.workspace.name if match.workspace else "",
                "servers": exchange.tried,
                "reasons": exchange.reasons,
                "endings": [ending.value for ending in exchange.endings],
                "events": exchange.events,
                "charge": exchange.charge,
                "ms": round((now - exchange.head.arrived_at) * 1000),
                "ms_unread": round(exchange.head.unread_for * 1000),
                "ms_over": round(max(0.0, now - exchange.deadline) * 1000),
                "rules": rules.version if rules else 0,
            },
        )


def cut_cause(exchange: Exchange, refusal: Refusal) -> CutCause:
    """Return why an answer is cut, a part of which was passed on."""
    if exchange.stopped:
        return CutCause.STOP
    if refusal in (Refusal.NO_ANSWER, Refusal.NOT_STARTED):
        return CutCause.DEADLINE
    return CutCause.SILENCE if exchange.left_silent else CutCause.SERVER


def time_limit_of(caller: CallerRequest, match: Match) -> Seconds:
    """Return the time of a request: the caller's limit or, if shorter, the route's."""
    time_limit = match.route.timeout
    if caller.time_limit is not None:
        time_limit = min(time_limit, caller.time_limit)
    return time_limit
