"""From a caller's request to its one answer."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Protocol

import anyio
from attrs import define, field

from ebonyhold.exceptions import (
    BudgetExhaustedError,
    BudgetUnreachableError,
    EbonyholdError,
    MalformedRequestError,
)
from ebonyhold.forwarding._attempt import Attempt
from ebonyhold.forwarding._backends import BackendTable, Entry
from ebonyhold.forwarding._caller import CallerConnection, RequestHead
from ebonyhold.forwarding._choice import choose
from ebonyhold.forwarding._departure import Departure
from ebonyhold.forwarding._dialect import Dialect
from ebonyhold.forwarding._exchange import AttemptEnd, AttemptResult, Exchange
from ebonyhold.forwarding._pool import ChannelPool
from ebonyhold.forwarding._refusals import Refusal, own_answer
from ebonyhold.forwarding._retries import FleetRetries
from ebonyhold.forwarding._routes import (
    Match,
    NoRouteError,
    UnknownKeyError,
    match_request,
)
from ebonyhold.forwarding._types import CallerRequest, Headers, Ruleset
from ebonyhold.types import RequestId, Seconds, Tokens, WorkspaceName

log = logging.getLogger(__name__)

ANSWER_MARGIN: Seconds = 0.03
"""How long after a deadline a server's own word on it is awaited."""

LEAST_TIME: Seconds = 0.005
"""The time left below which a request is not sent any more."""

DELIVERED = "delivered"
"""How a request ended whose caller got a server's whole answer."""

MOST_CONNECTS = 4
"""Servers that are tried in vain before a request is refused.

A failed connection costs the caller up to a quarter of a second.
"""


class Purse(Protocol):
    """One workspace's prepaid tokens, as a request needs them."""

    async def hold(self, amount: Tokens, request: RequestId) -> None:
        """Set tokens aside for a request.

        Raises:
            BudgetExhaustedError: The budget surely cannot cover it.
            BudgetUnreachableError: Tokens may exist, but not here and now.
        """
        ...

    def settle(self, hold: Tokens, charge: Tokens) -> None:
        """End a hold with what the request cost."""
        ...


class Refused(EbonyholdError):
    """The router answers itself.

    Attributes:
        refusal: Why.
    """

    code = "refused"

    def __init__(self, refusal: Refusal, detail: str = "") -> None:
        super().__init__(detail or refusal.code)
        self.refusal = refusal


@define(eq=False)
class Forwarder:
    """Takes requests from callers to backend servers.

    Attributes:
        rules: Returns the rules in force; None before the first ones.
        purse: Returns a workspace's tokens; None if it has no bound.
        ended: Is told how each request ended, for metrics.
        ages: Returns how old what is believed is, in seconds, for logs.
        departure: Says whether a stopping router still takes a request.
    """

    domain: str
    dialect: Dialect
    backends: BackendTable
    pool: ChannelPool
    retries: FleetRetries
    rules: Callable[[], Ruleset | None]
    purse: Callable[[WorkspaceName], Purse | None]
    ended: Callable[[str, str, Seconds], None]
    ages: Callable[[], dict[str, Seconds]] = dict
    departure: Departure = field(factory=Departure)

    async def serve(
        self, connection: CallerConnection, head: RequestHead, body: bytes
    ) -> None:
        """Answer one request."""
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
            outcome = await self.pay_and_forward(exchange)
        except Refused as error:
            outcome = error.refusal.code
            await self.refuse(connection, caller, error.refusal, route)
        finally:
            length = anyio.current_time() - started
            self.ended(route, outcome, length)
            if outcome == DELIVERED:
                self.departure.times.note(route, length)
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
        """Find out what the rules say of a request.

        Raises:
            Refused: They forbid it, or there are none yet.
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

    def check_departure(self, exchange: Exchange, priced: bool) -> None:
        """Refuse at once what cannot end before a stopping router does.

        Raises:
            Refused: It would be cut, and has not run.
        """
        taken = self.departure.admits(
            exchange.caller.request_id,
            exchange.match.route,
            priced,
            exchange.connection.received_at,
        )
        if not taken:
            raise Refused(Refusal.STOPPING)

    async def pay_and_forward(self, exchange: Exchange) -> str:
        """Hold the most a request can cost, forward it, and settle."""
        workspace = exchange.match.workspace
        most = exchange.caller.most
        purse = self.purse(workspace.name) if workspace and most else None
        self.check_departure(exchange, priced=purse is not None)
        if purse is None:
            return await self.forward_in_time(exchange)
        try:
            await purse.hold(most, exchange.caller.request_id)
        except BudgetExhaustedError as error:
            raise Refused(Refusal.BUDGET_EXHAUSTED) from error
        except BudgetUnreachableError as error:
            raise Refused(Refusal.BUDGET_UNREACHABLE) from error
        try:
            return await self.forward_in_time(exchange)
        finally:
            purse.settle(most, exchange.charge)

    async def forward_in_time(self, exchange: Exchange) -> str:
        """Forward a request, and answer at its deadline at the latest."""
        outcome = ""
        cutoff = exchange.deadline + ANSWER_MARGIN
        with self.departure.bounded(cutoff):
            outcome = await self.forward(exchange)
        if not outcome:
            refusal = (
                Refusal.NO_ANSWER if exchange.may_have_run else Refusal.NOT_STARTED
            )
            outcome = await self.give_up(exchange, refusal)
        self.log_end(exchange, outcome)
        return outcome

    async def forward(self, exchange: Exchange) -> str:
        """Send a request to servers until one answers or no other may be asked."""
        while True:
            entry = self.next_entry(exchange)
            if isinstance(entry, Refusal):
                return await self.give_up(exchange, entry)
            attempt = Attempt(exchange, entry, self.pool, self.backends, self.dialect)
            if exchange.sends == 0:
                self.retries.request(exchange.match.service, anyio.current_time())
            self.log_dispatch(exchange, entry)
            result = await attempt.run()
            if result.end is AttemptEnd.DELIVERED:
                return DELIVERED
            self.note_failure(exchange, entry.backend.name, result)
            refusal = self.verdict(exchange, result)
            if refusal is not None:
                return await self.give_up(exchange, refusal)

    def log_dispatch(self, exchange: Exchange, entry: Entry) -> None:
        """Write the line that says where a request goes, and on what grounds."""
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
                **self.ages(),
            },
        )

    def next_entry(self, exchange: Exchange) -> Entry | Refusal:
        """Return the next server to ask, or why there is none."""
        now = anyio.current_time()
        if exchange.deadline - now < LEAST_TIME:
            ran = exchange.may_have_run
            return Refusal.NO_ANSWER if ran else Refusal.NOT_STARTED
        service = exchange.match.service
        entries = self.backends.usable(service, now, exchange.tried)
        if not entries:
            return self.nobody_left(exchange)
        return choose(exchange.caller, entries, self.domain, now)

    def nobody_left(self, exchange: Exchange) -> Refusal:
        """Return why no server is left to ask."""
        if exchange.may_have_run:
            return Refusal.SERVER_LOST
        return Refusal.SERVERS_FULL if exchange.sends else Refusal.NO_SERVER

    def note_failure(
        self, exchange: Exchange, backend: str, result: AttemptResult
    ) -> None:
        """Remember how an attempt failed."""
        exchange.reasons.append(f"{backend}: {result.reason}")
        if result.answer is not None:
            exchange.failure = result.answer
        if result.end is AttemptEnd.NOT_SENT:
            exchange.connects += 1
            exchange.tried.append(backend)

    def verdict(self, exchange: Exchange, result: AttemptResult) -> Refusal | None:
        """Decide whether another server may be asked; None if so."""
        if result.end is AttemptEnd.NOT_SENT:
            # Nothing reached a server, so this costs no part of any budget.
            if exchange.connects < MOST_CONNECTS:
                return None
            return self.nobody_left(exchange)
        lost = result.end in (AttemptEnd.LOST, AttemptEnd.FAILED)
        refusal = Refusal.SERVER_LOST if exchange.may_have_run else Refusal.SERVERS_FULL
        if lost and not exchange.match.route.idempotent:
            return refusal
        if not exchange.attempts_left:
            return refusal
        now = anyio.current_time()
        if not self.retries.take(exchange.match.service, now):
            exchange.reasons.append("no retry left in the budget")
            return refusal
        return None

    async def give_up(self, exchange: Exchange, refusal: Refusal) -> str:
        """Give the final answer to a request that no server answers."""
        if exchange.connection.started:
            # The caller has a part of the answer.  Only a connection that closes
            # before the end tells it that the rest is missing.
            exchange.connection.last = True
            await exchange.connection.close()
            return f"cut: {refusal.code}"
        if exchange.failure is not None:
            await exchange.deliver(exchange.failure)
            return "server_failure"
        route = exchange.match.route.name
        await self.refuse(exchange.connection, exchange.caller, refusal, route)
        return refusal.code

    def identify(self, head: RequestHead) -> Headers:
        """Return the fields by which our own answer names its request."""
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
    ) -> None:
        """Write an answer of the router's own."""
        answer = own_answer(refusal, self.dialect.refusal_headers(caller.request_id))
        fields = {"request": caller.request_id, "code": refusal.code, "route": route}
        log.info("refused", extra=fields)
        await connection.answer(answer.status, answer.headers, answer.body)

    def log_end(self, exchange: Exchange, outcome: str) -> None:
        """Write the line that tells how a request went."""
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
                "events": exchange.events,
                "charge": exchange.charge,
                "ms": round((anyio.current_time() - exchange.head.arrived_at) * 1000),
                "rules": rules.version if rules else 0,
            },
        )


def deadline_of(head: RequestHead, caller: CallerRequest, match: Match) -> Seconds:
    """Return when there must be an answer: the caller's patience or the route's."""
    patience = match.route.timeout
    if caller.patience is not None:
        patience = min(patience, caller.patience)
    return head.arrived_at + patience
