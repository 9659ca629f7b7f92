"""How the fleet is, gathered from the other routers for operators."""

from __future__ import annotations

from collections.abc import Sequence

import anyio
from attrs import define, frozen

from ebonyhold.backends import Backends
from ebonyhold.callers import CallersApp
from ebonyhold.configuration import ConfigurationKeeper
from ebonyhold.coordination import MemberStatus
from ebonyhold.daemon._lifecycle import Lifecycle
from ebonyhold.daemon._messages import (
    BackendUse,
    HeldGrant,
    StatusReply,
    StatusRequest,
)
from ebonyhold.daemon._recoveries import Recoveries
from ebonyhold.exceptions import PeerError
from ebonyhold.money import Incarnations
from ebonyhold.operators import (
    BackendStatus,
    FleetStatus,
    GrantStatus,
    Readiness,
    RouterStatus,
)
from ebonyhold.routers import PeerMessage, PeerNetwork
from ebonyhold.types import RouterId, Seconds

ASK_WITHIN: Seconds = 1.0
MOST_GRANTS = 200
"""Grants in one reply, the largest first, so that it stays a small message."""


@frozen
class Answer:
    """One router's reply, or None when it did not answer in time."""

    router: RouterId
    reply: StatusReply | None


@define
class FleetStatusSource:
    """Answers how this router is, and asks the others.

    Attributes:
        domain: The failure domain of this router.
        money: The grants held here.
        network: The other routers.
        keeper: The configuration in force.
        callers: Requests in flight.
        backends: What is in progress where.
        recoveries: Tokens that wait for recovery.
        lifecycle: Whether this router is on its way out.
    """

    domain: str
    money: Incarnations
    network: PeerNetwork
    keeper: ConfigurationKeeper
    callers: CallersApp
    backends: Backends
    recoveries: Recoveries
    lifecycle: Lifecycle

    def own(self) -> StatusReply:
        """Describe this router, also while it is not registered yet."""
        return StatusReply(
            router=self.money.current.me,
            domain=self.domain,
            version=self.keeper.version,
            stopping=self.lifecycle.leaving,
            in_flight=self.callers.active,
            confirmed_age=self.keeper.own_evidence().confirmed_age,
            grants=self.own_grants(),
            uses=tuple(
                BackendUse(name, len(state.running))
                for name, state in sorted(self.backends.states.items())
                if state.running
            ),
        )

    def own_grants(self) -> tuple[HeldGrant, ...]:
        """Return the largest grants held here.

        While the table is away at the start, the incarnation is not registered
        and has no status of its money.  Operators ask just then how the fleet is;
        without this they would be refused.
        """
        if self.money.current.journal is None:
            return ()
        grants = sorted(
            self.money.current.status().grants,
            key=lambda one: one.available + one.held,
            reverse=True,
        )
        return tuple(
            HeldGrant(one.workspace, one.available, one.held)
            for one in grants[:MOST_GRANTS]
        )

    async def answer(self, peer: RouterId, message: PeerMessage) -> PeerMessage | None:
        """Answer another router's question."""
        return self.own()

    async def fleet(self) -> FleetStatus:
        """Return what is known of all routers and backend servers."""
        answers = await self.ask_all()
        replies = [self.own(), *(one.reply for one in answers if one.reply)]
        routers = [as_router(self.own()), *(self.describe(one) for one in answers)]
        return FleetStatus(tuple(routers), self.backend_statuses(replies))

    async def ask_all(self) -> list[Answer]:
        """Ask every router that is not known to be gone."""
        answers: list[Answer] = []

        async def ask(router: RouterId) -> None:
            try:
                reply = await self.network.ask(
                    router, StatusRequest(), StatusReply, ASK_WITHIN
                )
            except PeerError:
                answers.append(Answer(router, None))
            else:
                answers.append(Answer(router, reply))

        async with anyio.create_task_group() as tasks:
            for peer in self.network.status():
                tasks.start_soon(ask, peer.router)
        return sorted(answers, key=lambda one: one.router)

    def describe(self, answer: Answer) -> RouterStatus:
        """Return one other router as operators see it."""
        peer = next(
            (one for one in self.network.status() if one.router == answer.router), None
        )
        status = peer.status if peer else MemberStatus.GONE
        stranded = self.recoveries.stranded.get(answer.router, 0)
        if answer.reply is not None:
            return as_router(answer.reply, status.name.lower(), stranded)
        return RouterStatus(
            router=answer.router,
            domain=peer.domain if peer else "",
            version=0,
            state=status.name.lower(),
            seen_age=peer.heard_ago if peer and peer.heard_ago is not None else -1.0,
            stranded=stranded,
        )

    def backend_statuses(
        self, replies: Sequence[StatusReply]
    ) -> tuple[BackendStatus, ...]:
        """Return every backend server, and which routers still use it."""
        domains = {
            name: state.backend.domain for name, state in self.backends.states.items()
        }
        ejected = self.backends.ejector.ejected(domains, anyio.current_time())
        statuses: list[BackendStatus] = []
        for name, state in sorted(self.backends.states.items()):
            uses = [
                (reply.router, use.in_flight)
                for reply in replies
                for use in reply.uses
                if use.backend == name
            ]
            if not self.backends.fleet.accepts(state.backend):
                word = "leaving" if uses else "stopped"
            else:
                word = "ejected" if name in ejected else "serving"
            statuses.append(
                BackendStatus(
                    name,
                    state.backend.domain,
                    word,
                    sum(count for _, count in uses),
                    tuple(router for router, _ in uses),
                )
            )
        return tuple(statuses)

    def readiness(self) -> Readiness:
        """Tell whether this router can take requests."""
        reasons: list[str] = []
        if self.keeper.document is None:
            reasons.append("no document is in force yet")
        elif not self.keeper.may_serve():
            reasons.append("the document in force is stale")
        if self.money.current.journal is None:
            reasons.append("this incarnation is not registered in the table yet")
        elif self.money.current.sealed:
            reasons.append("this incarnation was sealed; the next is on its way")
        if self.lifecycle.leaving:
            reasons.append("this router is stopping")
        return Readiness(not reasons, tuple(reasons))


def as_router(
    reply: StatusReply, state: str = "alive", stranded: int = 0
) -> RouterStatus:
    """Turn a router's own reply into what operators see."""
    return RouterStatus(
        router=reply.router,
        domain=reply.domain,
        version=reply.version,
        state="leaving" if reply.stopping else state,
        in_flight=reply.in_flight,
        grants=tuple(
            GrantStatus(one.workspace, one.available, one.held) for one in reply.grants
        ),
        confirmed_age=reply.confirmed_age,
        stranded=stranded,
    )
