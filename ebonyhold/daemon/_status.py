"""The status of the fleet, collected from the other routers for operators."""

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

REQUEST_TIMEOUT: Seconds = 1.0
MAX_GRANTS = 200
"""Maximum number of grants in one reply, which limits the size of the message."""


@frozen
class PeerReply:
    """The reply of another router.

    Attributes:
        router: The router to which the request was sent.
        reply: Its reply; None if none arrived in time.
    """

    router: RouterId
    reply: StatusReply | None


@define
class FleetStatusSource:
    """Reports the status of this router and collects that of the others.

    Attributes:
        domain: The failure domain of this router.
        money: Has the grants of this router.
        network: Sends requests to the other routers, and has their membership status.
        keeper: Has the configuration in force.
        callers: Has the number of requests in flight.
        backends: Has the requests at each backend server.
        recoveries: Has the stranded tokens of failed routers.
        lifecycle: Has the progress of this router's stop.
    """

    domain: str
    money: Incarnations
    network: PeerNetwork
    keeper: ConfigurationKeeper
    callers: CallersApp
    backends: Backends
    recoveries: Recoveries
    lifecycle: Lifecycle

    def own_status(self) -> StatusReply:
        """Return the status of this router, also before it is registered."""
        return StatusReply(
            router=self.money.current.router,
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
        """Return the `MAX_GRANTS` largest grants of this router, largest first.

        The result is empty until the incarnation is registered, because there is no
        status of grants before. Operators can thus read the fleet status while a
        start waits for an unavailable table.
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
            for one in grants[:MAX_GRANTS]
        )

    async def answer(self, peer: RouterId, message: PeerMessage) -> PeerMessage | None:
        """Return the status of this router, in reply to another router's request."""
        return self.own_status()

    async def fleet(self) -> FleetStatus:
        """Return the status of all known routers and backend servers.

        A router that doesn't reply is shown with its membership state, without grants.
        """
        answers = await self.request_all()
        replies = [self.own_status(), *(one.reply for one in answers if one.reply)]
        routers = [
            to_router_status(self.own_status()),
            *(self.peer_status(one) for one in answers),
        ]
        return FleetStatus(tuple(routers), self.backend_statuses(replies))

    async def request_all(self) -> list[PeerReply]:
        """Request the status of all other members; return replies sorted by router."""
        answers: list[PeerReply] = []

        async def ask(router: RouterId) -> None:
            try:
                reply = await self.network.ask(
                    router, StatusRequest(), StatusReply, REQUEST_TIMEOUT
                )
            except PeerError:
                answers.append(PeerReply(router, None))
            else:
                answers.append(PeerReply(router, reply))

        async with anyio.create_task_group() as tasks:
            for peer in self.network.status():
                tasks.start_soon(ask, peer.router)
        return sorted(answers, key=lambda one: one.router)

    def peer_status(self, answer: PeerReply) -> RouterStatus:
        """Return another router's status, from its reply or else its membership.

        A router that is no longer a member is shown as gone.
        """
        peer = next(
            (one for one in self.network.status() if one.router == answer.router), None
        )
        status = peer.status if peer else MemberStatus.GONE
        stranded = self.recoveries.stranded.get(answer.router, 0)
        if answer.reply is not None:
            return to_router_status(answer.reply, status.name.lower(), stranded)
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
        """Return the status of each backend server, with the routers that still use it.

        A server that accepts no new work is ``leaving`` if any of the replies lists
        requests there, else ``stopped``. Others are ``ejected`` or ``serving``.
        """
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
                condition = "leaving" if uses else "stopped"
            else:
                condition = "ejected" if name in ejected else "serving"
            statuses.append(
                BackendStatus(
                    name,
                    state.backend.domain,
                    condition,
                    sum(count for _, count in uses),
                    tuple(router for router, _ in uses),
                )
            )
        return tuple(statuses)

    def readiness(self) -> Readiness:
        """Return whether this router can accept requests, and if not, the reasons."""
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


def to_router_status(
    reply: StatusReply, state: str = "alive", stranded: int = 0
) -> RouterStatus:
    """Convert a router's reply into the form for operators.

    Args:
        reply: The reply.
        state: The membership state; ``leaving`` replaces it if the router is stopping.
        stranded: Tokens that the last recovery of the router could not return.
    """
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
