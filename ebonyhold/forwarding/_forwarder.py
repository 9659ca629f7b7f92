"""Forwards a caller's request to backend servers until it has an answer."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Protocol

import anyio
from attrs import Factory, define, field

from ebonyhold.exceptions import (
    BudgetExhaustedError,
    BudgetUnreachableError,
    EbonyholdError,
    MalformedRequestError,
)
from ebonyhold.forwarding._attempt import Attempt
from ebonyhold.forwarding._backends import BackendTable
from ebonyhold.forwarding._caller import CallerConnection, RequestHead
from ebonyhold.forwarding._choice import choose, with_fewest_suspects
from ebonyhold.forwarding._crash_detection import CrashDetector
from ebonyhold.forwarding._dialect import Dialect
from ebonyhold.forwarding._endings import AnswerEnding
from ebonyhold.forwarding._entry import BackendEntry
from ebonyhold.forwarding._exchange import AttemptEnd, AttemptResult, Exchange
from ebonyhold.forwarding._paths import Paths
from ebonyhold.forwarding._place_queue import PlaceQueue, wait_until
from ebonyhold.forwarding._refusals import Refusal, own_answer
from ebonyhold.forwarding._retries import FleetRetryBudget
from ebonyhold.forwarding._routes import (
    Match,
    NoRouteError,
    UnknownKeyError,
    match_request,
)
from ebonyhold.forwarding._shutdown import Shutdown
from ebonyhold.forwarding._types import CallerRequest, Headers, Ruleset
from ebonyhold.types import RequestId, Seconds, Tokens, WorkspaceName

log = logging.getLogger(__name__)

ANSWER_MARGIN: Seconds = 0.03
"""How long after a request's deadline to wait for the server's own timeout answer."""

MIN_TIME_LEFT: Seconds = 0.005
"""Minimum time left before the deadline for a request to be sent to a server."""

DELIVERED = "delivered"
"""The outcome of a request whose caller got a complete answer from a server."""

MAX_CONNECTS = 4
"""Number of failed connections after which a request is refused.

Each of them delays the answer by up to a quarter of a second.
"""


MAY_WAIT = frozenset({Refusal.SERVERS_LIMITED, Refusal.SERVER_LOST})
"""The refusals for want of a server, which a place that becomes free may spare."""

MIN_LIMIT_WAIT: Seconds = 0.05
"""Minimum Retry-After of a request that no server may get now."""

MAX_LIMIT_WAIT: Seconds = 1.0
"""Maximum Retry-After of such a request: limits and rests differ between routers."""


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
        ages: Returns the age of each cached input in seconds, for logs.
        shutdown: Decides which requests are accepted during a shutdown.
        places: The requests that wait for a place at a brittle server.
        crashes: Detects crashes of servers and rejects requests that cause them.
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
    ages: Callable[[], dict[str, Seconds]] = dict
    shutdown: Shutdown = field(factory=Shutdown)
    places: PlaceQueue = field(factory=PlaceQueue)
    crashes: CrashDetector = Factory(
        lambda self: CrashDetector(self.paths, self.backends), takes_self=True
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
        try:
            exchange = self.prepare(connection, head, body, caller)
            route = exchange.match.route.name
            outcome = await self.hold_and_forward(exchange)
        except Refused as error:
            outcome = error.refusal.code
            await self.refuse(connection, caller, error.refusal, route)
        finally:
            duration = anyio.current_time() - started
            self.on_end(route, outcome, duration)
            if outcome == DELIVERED:
                self.shutdown.times.record(route, duration)
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
            deadline_of(head, caller, match),
            event_tokens=service.event_tokens if service else 1,
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
        try:
            await hold.hold(max_charge, exchange.caller.request_id)
        except BudgetExhaustedError as error:
            raise Refused(Refusal.BUDGET_EXHAUSTED) from error
        except BudgetUnreachableError as error:
            raise Refused(Refusal.BUDGET_UNREACHABLE) from error
        try:
            return await self.forward_in_time(exchange)
        finally:
            hold.settle(max_charge, exchange.charge)

    async def forward_in_time(self, exchange: Exchange) -> str:
        """Forward a request and return its outcome.

        The request is given up ANSWER_MARGIN after its deadline or, during a shutdown,
        at the time of the last answer if that is earlier.
        """
        outcome = ""
        cutoff = exchange.deadline + ANSWER_MARGIN
        with self.shutdown.bounded(cutoff):
            outcome = await self.forward(exchange)
        if not outcome:
            refusal = (
                Refusal.NO_ANSWER if exchange.may_have_run else Refusal.NOT_STARTED
            )
            outcome = await self.give_up(exchange, refusal)
        self.log_end(exchange, outcome)
        return outcome

    async def forward(self, exchange: Exchange) -> str:
        """Send a request to servers in turn, and return the outcome.

        This ends when an answer was passed on or the request is given up.
        """
        while True:
            depth = self.crashes.depth(exchange)
            suspect = depth > 0 or bool(exchange.losses)
            entry = self.next_entry(exchange, suspect)
            if isinstance(entry, Refusal):
                if entry in MAY_WAIT and await self.wait_for_place(exchange):
                    continue
                return await self.give_up(exchange, entry)
            attempt = Attempt(
                exchange, entry, self.paths, self.backends, self.dialect, suspect
            )
            if not exchange.reasons:
                self.retries.request(exchange.match.service, anyio.current_time())
            self.log_dispatch(exchange, entry)
            try:
                result = await attempt.run()
            finally:
                self.places.free(exchange.match.service)
            if result.end is AttemptEnd.DELIVERED:
                self.crashes.answered(exchange)
                return DELIVERED
            if result.broken:
                self.crashes.lost(exchange, entry, depth)
            self.record_failure(exchange, entry.backend.name, result)
            if result.end is AttemptEnd.NOT_SENT:
                await self.settle_reach(exchange)
            refusal = self.check_retry(exchange, result)
            if refusal is not None:
                return await self.give_up(exchange, refusal)

    async def wait_for_place(self, exchange: Exchange) -> bool:
        """Wait until a request at a brittle server has ended; return whether one has.

        Requests wait here, since one that a brittle server turns away may cost all that
        are there. As many may wait as are in flight, so each waits for about one.
        """
        now, match = anyio.current_time(), exchange.match
        if not self.backends.waits_for_place(match.service, now):
            return False
        if exchange.waits_until is None:
            target, deadline = match.route.target, exchange.deadline
            exchange.waits_until = wait_until(now, target, deadline)
        in_flight = self.backends.in_flight(match.service)
        freed = await self.places.wait(
            match.service, match.priority, exchange.waits_until, in_flight
        )
        if freed:
            exchange.retry_after = None
        return freed

    async def settle_reach(self, exchange: Exchange) -> None:
        """Wait until it is known whether a server or this router cannot be reached.

        If it is this router, the servers may be tried again by way of another one.
        """
        was_connected = self.paths.reach.is_connected
        await self.paths.reach.settle()
        if was_connected and self.paths.uses_relays:
            exchange.try_again_elsewhere()

    def log_dispatch(self, exchange: Exchange, entry: BackendEntry) -> None:
        """Log the server that was chosen, and the data used for the choice."""
        now = anyio.current_time()
        log.info(
            "dispatched",
            extra={
                "request": exchange.caller.request_id,
                "backend": entry.backend.name,
                "attempt": exchange.sends + 1,
                "in_flight": entry.in_flight,
                "work": round(entry.work.waiting),
                "ms_left": round((exchange.deadline - now) * 1000),
                "version": entry.backend.version,
                "after_event": exchange.last_event,
                "resumes": exchange.caller.resumes,
                **self.ages(),
            },
        )

    def next_entry(self, exchange: Exchange, suspect: bool) -> BackendEntry | Refusal:
        """Return the next server to try, or a refusal if there is none.

        Args:
            exchange: The request.
            suspect: Whether it may crash the server.
        """
        if self.crashes.is_rejected(exchange):
            return Refusal.CRASHES_SERVERS
        now = anyio.current_time()
        if exchange.deadline - now < MIN_TIME_LEFT:
            ran = exchange.may_have_run
            return Refusal.NO_ANSWER if ran else Refusal.NOT_STARTED
        service = exchange.match.service
        relayed = self.paths.uses_relays
        entries = self.backends.usable(service, now, exchange.tried, relayed)
        if not entries:
            wait = self.backends.next_allowed(service, now)
            if wait is not None:
                exchange.retry_after = min(max(wait, MIN_LIMIT_WAIT), MAX_LIMIT_WAIT)
            return self.no_server_left(exchange)
        if suspect:
            entries = with_fewest_suspects(entries)
        return choose(exchange.caller, entries, self.domain, now)

    def no_server_left(self, exchange: Exchange) -> Refusal:
        """Return the refusal for a request when no untried server is left.

        SERVERS_FULL means that each server that got the request declined it, and
        SERVERS_LIMITED that a server may get requests again later.
        """
        if exchange.may_have_run:
            return Refusal.SERVER_LOST
        if exchange.retry_after is not None:
            return Refusal.SERVERS_LIMITED
        return Refusal.SERVERS_FULL if exchange.sends else Refusal.NO_SERVER

    def record_failure(
        self, exchange: Exchange, backend: str, result: AttemptResult
    ) -> None:
        """Store why an attempt failed, and the server's error answer if any."""
        exchange.reasons.append(f"{backend}: {result.reason}")
        if result.answer is not None:
            exchange.failure = result.answer
        if result.end in (AttemptEnd.NOT_SENT, AttemptEnd.NO_PATH):
            exchange.connects += 1
        if result.end is AttemptEnd.NOT_SENT:
            exchange.tried.append(backend)
            exchange.unreached.append(backend)
        if result.end is AttemptEnd.WITHHELD and self.paths.uses_relays:
            # The relay decided, and would decide the same again.
            exchange.tried.append(backend)

    def check_retry(self, exchange: Exchange, result: AttemptResult) -> Refusal | None:
        """Return None if another server may be tried, or else the refusal.

        Another try uses the retry budget, unless no connection could be made.
        """
        if result.end is AttemptEnd.WITHHELD:
            return None
        if result.end in (AttemptEnd.NOT_SENT, AttemptEnd.NO_PATH):
            # Nothing was sent, so no retry budget is used.
            if exchange.connects < MAX_CONNECTS:
                return None
            return self.no_server_left(exchange)
        lost = result.end in (AttemptEnd.LOST, AttemptEnd.FAILED)
        refusal = Refusal.SERVER_LOST if exchange.may_have_run else Refusal.SERVERS_FULL
        if lost and not exchange.match.route.idempotent:
            return refusal
        if not (exchange.attempts_left and self.crashes.may_retry(exchange)):
            return refusal
        now = anyio.current_time()
        if not self.retries.take(exchange.match.service, now):
            exchange.reasons.append("no retry left in the budget")
            return refusal
        return None

    async def give_up(self, exchange: Exchange, refusal: Refusal) -> str:
        """End a request without a complete answer from a server; return the outcome.

        The caller gets the last error answer of a server or, if there is none, the
        refusal. If a part of an answer was sent, the connection is closed instead.
        """
        if exchange.connection.started:
            # The caller has a part of the answer. Closing the connection before the end
            # is the only way to show that the rest is missing.
            exchange.connection.last = True
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
            exchange.retry_after if refusal is Refusal.SERVERS_LIMITED else None,
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
        match = exchange.match
        rules = self.rules()
        log.info(
            "request ended",
            extra={
                "request": exchange.caller.request_id,
                "outcome": outcome,
                "route": match.route.name,
                "service": match.service,
                "workspace": match.workspace.name if match.workspace else "",
                "servers": exchange.tried,
                "reasons": exchange.reasons,
                "endings": [ending.value for ending in exchange.endings],
                "events": exchange.events,
                "charge": exchange.charge,
                "ms": round((anyio.current_time() - exchange.head.arrived_at) * 1000),
                "rules": rules.version if rules else 0,
            },
        )


def deadline_of(head: RequestHead, caller: CallerRequest, match: Match) -> Seconds:
    """Return the deadline: the earlier of the caller's time limit and the route's."""
    time_limit = match.route.timeout
    if caller.time_limit is not None:
        time_limit = min(time_limit, caller.time_limit)
    return head.arrived_at + time_limit
