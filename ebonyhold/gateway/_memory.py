"""Memory of servers between gateways: the client side and the server side.

A lease is requested by a POST to `LEASES_TARGET` with a `WantedLease` as JSON and
answered with a `LeaseAnswer`, for a request that waits when it is decided.  Leases
that have ended are returned by a POST to `RETURNS_TARGET`, which is repeated until the
lender confirms it or `RETURN_EXPIRY` has passed.  An older gateway answers neither with
a `LeaseAnswer` nor a `ReturnsAnswer`, which counts as no answer.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

import anyio
from attrs import define, field, frozen

from ebonyhold.coordination import (
    LeaseAnswer,
    LeaseOutcome,
    MemoryLender,
    WantedLease,
)
from ebonyhold.exceptions import BackendLostError, MalformedMessageError
from ebonyhold.gateway._memory_roles import MemoryRoles
from ebonyhold.gateway._transfers import GatewayPeers
from ebonyhold.types import Seconds

log = logging.getLogger(__name__)

LEASES_TARGET = b"/memory/leases"

RETURNS_TARGET = b"/memory/returns"

LEASE_TIMEOUT: Seconds = 0.1
"""Timeout of a request for a lease, in addition to what the request waits."""

RETURN_TIMEOUT: Seconds = 0.4
"""Timeout of a message that returns leases."""

BATCH_DELAY: Seconds = 0.1
"""Delay before leases are returned, so that several share a message.

It is short, since nobody can use the memory until the lender receives the message.
"""

RETURN_EXPIRY: Seconds = 20.0
"""Time after which an unconfirmed return is dropped; the lease has expired by then."""

AVOIDED_FOR: Seconds = 0.5
"""Time for which a lender that did not answer is not asked for leases.

It is still asked for tokens, for which a longer time-out applies: a busy gateway may
not answer in `LEASE_TIMEOUT`.
"""

DECISION_INTERVAL: Seconds = 0.05
"""Interval between two looks at the requests that wait here."""

IDLE_INTERVAL: Seconds = 0.25
"""The same if none waits."""

MAX_LINES = 20
"""Number of log lines per second about leases; more are not written."""


@frozen
class MemoryReturns:
    """The leases that have ended."""

    leases: list[str]


@frozen
class ReturnsAnswer:
    """A lender's confirmation of returns.

    Attributes:
        confirmed: True; a required field, by which the answer of an older build to an
            unknown message differs.
    """

    confirmed: bool


@define(eq=False)
class WaitingLease:
    """A request for a lease that waits here for its answer."""

    decided: anyio.Event = field(factory=anyio.Event)
    answer: LeaseAnswer | None = None


@define(eq=False)
class MemoryLines:
    """Writes log lines about leases, at most MAX_LINES per second."""

    second: int = 0
    written: int = 0

    def write(self, message: str, fields: dict[str, object]) -> None:
        """Write a line, unless too many were written in this second."""
        second = int(anyio.current_time())
        if second != self.second:
            self.second, self.written = second, 0
        self.written += 1
        if self.written <= MAX_LINES:
            log.info(message, extra=fields)


@define(eq=False)
class LeaseServer:
    """Decides on the leases that other gateways and this one ask this one for.

    Attributes:
        roles: Of which servers this gateway is a lender.
        closing: Returns whether this gateway is about to stop.
        lender: The leases.
        waiting: The requests that wait, by lease.
        lines: Writes log lines.
    """

    roles: MemoryRoles
    closing: Callable[[], bool]
    lender: MemoryLender = field(factory=MemoryLender)
    waiting: dict[str, WaitingLease] = field(factory=dict)
    lines: MemoryLines = field(factory=MemoryLines)

    async def lend(self, wanted: WantedLease) -> LeaseAnswer:
        """Decide on a lease, for a request that can wait when there is room for it.

        If the asker leaves, the call is cancelled and nothing stays leased.
        """
        now = anyio.current_time()
        size = self.roles.lent_size(wanted.server)
        if not size or self.closing() or not self.roles.may_lend(wanted.server, now):
            return LeaseAnswer(LeaseOutcome.UNAVAILABLE)
        max_time = self.roles.max_time()
        answer = self.lender.ask(wanted, size, max_time, now)
        if answer is None:
            answer = await self.wait(wanted.lease)
        self.log_answer(wanted, answer, anyio.current_time() - now)
        return answer

    async def wait(self, lease: str) -> LeaseAnswer:
        """Wait until a lease is decided."""
        self.waiting[lease] = waiting = WaitingLease()
        try:
            await waiting.decided.wait()
            return waiting.answer or LeaseAnswer(LeaseOutcome.UNAVAILABLE)
        except BaseException:
            self.give_back([lease])
            raise
        finally:
            del self.waiting[lease]

    def give_back(self, leases: list[str]) -> None:
        """End leases, and decide on the requests that wait."""
        self.lender.give_back(leases, anyio.current_time())
        self.decide()

    def decide(self) -> None:
        """Answer the requests that need not wait any longer."""
        for decision in self.lender.decide(anyio.current_time()):
            waiting = self.waiting.get(decision.lease)
            if waiting is None:
                self.lender.give_back([decision.lease], anyio.current_time())
                continue
            waiting.answer = decision.answer
            waiting.decided.set()

    def log_answer(
        self, wanted: WantedLease, answer: LeaseAnswer, waited: Seconds
    ) -> None:
        """Log a lease that was refused or waited for."""
        if answer.outcome is LeaseOutcome.GRANTED and not waited:
            return
        known = self.lender.servers.get(wanted.server)
        self.lines.write(
            "memory lease decided",
            {
                "lease": wanted.lease,
                "backend": wanted.server,
                "outcome": answer.outcome.value,
                "need": wanted.need.total,
                "lent": known.pool.used if known else 0,
                "size": known.pool.size if known else 0,
                "waiting": len(known.queue) if known else 0,
                "ms_waited": round(waited * 1000),
                "ms_expected": round(answer.wait * 1000),
            },
        )

    async def run(self) -> None:
        """Decide on the requests that wait at intervals, until cancelled."""
        while True:
            waits = DECISION_INTERVAL if self.waiting else IDLE_INTERVAL
            await anyio.sleep(waits)
            self.decide()


@define(eq=False)
class LeaseClient:
    """Asks lenders for leases, and returns those that have ended.

    Attributes:
        router: This gateway's VM.
        peers: Sends messages to the other gateways.
        lease_server: Decides where this gateway is the lender itself.
        count: Called with the outcome of each request for a lease.
        pending: When each lease that is not returned yet ended, by lender.
        due: Set when there are leases to return.
        avoided: Until when lenders that did not answer are not asked.
    """

    router: str
    peers: GatewayPeers
    lease_server: LeaseServer
    count: Callable[[LeaseOutcome], None] = lambda outcome: None
    pending: dict[str, dict[str, Seconds]] = field(factory=dict)
    due: anyio.Event = field(factory=anyio.Event)
    avoided: dict[str, Seconds] = field(factory=dict)

    async def ask(self, lender: str, wanted: WantedLease) -> LeaseAnswer:
        """Request a lease, and count the outcome; UNAVAILABLE without an answer."""
        if lender == self.router:
            answer = await self.lease_server.lend(wanted)
        else:
            answer = await self.request(lender, wanted)
        self.count(answer.outcome)
        return answer

    async def request(self, lender: str, wanted: WantedLease) -> LeaseAnswer:
        """Request a lease from another gateway; UNAVAILABLE without a valid answer.

        One that was not answered may have been or may yet be granted: it is returned.
        """
        now = anyio.current_time()
        avoided = now < self.avoided.get(lender, 0.0)
        if avoided or not self.peers.is_available(lender, now):
            return LeaseAnswer(LeaseOutcome.UNAVAILABLE)
        timeout = LEASE_TIMEOUT + wanted.waits
        answer = None
        try:
            answer = await self.peers.send(
                lender, LEASES_TARGET, wanted, LeaseAnswer, timeout
            )
        except (BackendLostError, MalformedMessageError) as error:
            fields: dict[str, object] = {"peer": lender, "detail": str(error)}
            self.lease_server.lines.write("lender silent", fields)
        finally:
            if answer is None:
                self.give_back(lender, wanted.lease)
        if answer is None:
            self.avoided[lender] = anyio.current_time() + AVOIDED_FOR
            return LeaseAnswer(LeaseOutcome.UNAVAILABLE)
        self.avoided.pop(lender, None)
        return answer

    def give_back(self, lender: str, lease: str, delay: Seconds = 0.0) -> None:
        """Return a lease, which is repeated until it is confirmed or has expired.

        Args:
            lender: The lender.
            lease: The lease.
            delay: How long to wait before it is returned.
        """
        if lender == self.router and not delay:
            self.lease_server.give_back([lease])
            return
        ended_at = anyio.current_time() + delay
        self.pending.setdefault(lender, {})[lease] = ended_at
        self.due.set()

    async def run(self) -> None:
        """Return leases, and repeat unconfirmed returns, until cancelled."""
        while True:
            await self.due.wait()
            await anyio.sleep(BATCH_DELAY)
            self.due = anyio.Event()
            await self.send_all()
            if self.pending:
                self.due.set()

    async def send_all(self) -> None:
        """Return the leases of each lender once, all concurrently."""
        async with anyio.create_task_group() as tasks:
            for lender in list(self.pending):
                tasks.start_soon(self.send_pending, lender)

    async def send_pending(self, lender: str) -> None:
        """Return the leases of one lender that have ended; without a reply, keep them.

        Nothing is sent while the lender is being avoided.
        """
        now = anyio.current_time()
        pending = self.pending.get(lender, {})
        for lease, ended_at in list(pending.items()):
            if now - ended_at >= RETURN_EXPIRY:
                del pending[lease]
        ended = [lease for lease, ended_at in pending.items() if ended_at <= now]
        confirmed = False
        if lender == self.router:
            self.lease_server.give_back(ended)
            confirmed = True
        elif ended and self.peers.is_available(lender, now, RETURN_TIMEOUT):
            message = MemoryReturns(ended)
            answer = await self.peers.post(
                lender, RETURNS_TARGET, message, ReturnsAnswer, RETURN_TIMEOUT
            )
            confirmed = answer is not None
        if confirmed:
            for lease in ended:
                pending.pop(lease, None)
        if not pending and self.pending.get(lender) is pending:
            del self.pending[lender]
