"""The fleet status that one router reports to operators."""

from __future__ import annotations

from typing import Any, cast

import pytest
from attrs import define, field

from ebonyhold.backends import Backends
from ebonyhold.backends._state import BackendState
from ebonyhold.configuration import Evidence
from ebonyhold.coordination import MemberStatus
from ebonyhold.daemon._messages import BackendUse, StatusReply
from ebonyhold.daemon._status import MAX_GRANTS, FleetStatusSource
from ebonyhold.document import Backend, BackendKind, Document
from ebonyhold.exceptions import PeerError, UnavailableError
from ebonyhold.fleet import FleetView
from ebonyhold.operators import BackendStatus, GrantStatus
from ebonyhold.routers import PeerMessage, PeerStatus
from ebonyhold.types import RouterId, Seconds
from tests.virtual import anyio_backend

__all__ = ["anyio_backend"]

pytestmark = pytest.mark.anyio

OWN, OTHER, SILENT = "a.1", "b.1", "c.1"
ENGINE = Backend("engine-1", BackendKind.ENGINE, "10.0.0.9:1", "d1", models=("m",))
DOCUMENT = Document("fleet", ("d1",), backends=(ENGINE,))


@define
class MoneyStatus:
    """The status of a grant manager, with grants that a test sets."""

    grants: tuple[GrantStatus, ...]


@define
class FakeRouter:
    """One fake for all components from which the status is collected.

    Attributes:
        router: The incarnation of the router.
        journal: Anything if the router is registered, else None.
        sealed: Whether the incarnation was sealed.
        held: The grants of the router.
        document: The document in force; None before the first.
        servable: Whether the policy allows serving that document.
        version: The configuration version in force.
        active: Number of requests in flight.
        leaving: Whether the router is stopping.
        peers: The membership status of the other routers.
        replies: The replies of the other routers; those without one don't reply.
        stranded: Stranded tokens by incarnation.
    """

    router: RouterId = OWN
    journal: object | None = "journal"
    sealed: bool = False
    held: tuple[GrantStatus, ...] = ()
    document: Document | None = DOCUMENT
    servable: bool = True
    version: int = 3
    active: int = 0
    leaving: bool = False
    peers: tuple[PeerStatus, ...] = ()
    replies: dict[RouterId, StatusReply] = field(factory=dict)
    stranded: dict[RouterId, int] = field(factory=dict)

    @property
    def current(self) -> FakeRouter:
        return self

    def may_serve(self) -> bool:
        return self.servable

    def own_evidence(self) -> Evidence:
        return Evidence(self.version, "digest", 1.0)

    def status(self) -> Any:
        if self.journal is None:
            raise UnavailableError("not registered yet")
        return MoneyStatus(self.held)

    async def ask(
        self, to: RouterId, message: PeerMessage, kind: type, timeout: Seconds
    ) -> StatusReply:
        if to not in self.replies:
            raise PeerError(f"{to} did not answer")
        return self.replies[to]


@define
class Network:
    """A fake network; apart from `FakeRouter`, whose `status` is that of the grants."""

    fake: FakeRouter

    def status(self) -> tuple[PeerStatus, ...]:
        return self.fake.peers

    async def ask(self, *arguments: Any) -> StatusReply:
        return await self.fake.ask(*arguments)


def source_of(fake: FakeRouter, fleet: FleetView | None = None) -> FleetStatusSource:
    part = cast(Any, fake)
    backends = Backends(fleet or FleetView(DOCUMENT, domain="d1"))
    network = cast(Any, Network(fake))
    return FleetStatusSource("d1", part, network, part, part, backends, part, part)


def peer(router: RouterId, status: MemberStatus, age: Seconds | None) -> PeerStatus:
    return PeerStatus(router, "10.0.0.1:1", "d2", status, True, age)


def reply(router: RouterId, *, stopping: bool = False, used: int = 0) -> StatusReply:
    uses = (BackendUse("engine-1", used),) if used else ()
    return StatusReply(router, "d2", 3, stopping, used, 1.0, (), uses)


@pytest.mark.parametrize(
    ("fake", "reason"),
    [
        (FakeRouter(), ""),
        (FakeRouter(document=None), "no document"),
        (FakeRouter(servable=False), "stale"),
        (FakeRouter(journal=None), "not registered"),
        (FakeRouter(sealed=True), "sealed"),
        (FakeRouter(leaving=True), "stopping"),
    ],
)
def test_readiness(fake: FakeRouter, reason: str) -> None:
    readiness = source_of(fake).readiness()
    assert readiness.ready is not bool(reason)
    assert reason in " ".join(readiness.reasons)


async def test_status_while_the_router_is_not_registered() -> None:
    """Guards against a status request that fails while the router isn't registered.

    Its own grants are empty, and the status of the other routers is complete.
    """
    fake = FakeRouter(
        journal=None,
        peers=(peer(OTHER, MemberStatus.ALIVE, 0.5),),
        replies={OTHER: reply(OTHER)},
    )
    status = await source_of(fake).fleet()
    assert [one.router for one in status.routers] == [OWN, OTHER]
    assert status.routers[0].grants == ()


async def test_routers_without_a_reply_are_listed() -> None:
    """Guards against omitting routers that don't reply and may still hold tokens."""
    fake = FakeRouter(
        peers=(
            peer(SILENT, MemberStatus.SUSPECT, 9.0),
            peer(OTHER, MemberStatus.ALIVE, 0.5),
            peer("d.1", MemberStatus.GONE, None),
        ),
        replies={OTHER: reply(OTHER, stopping=True)},
        stranded={"d.1": 70},
    )
    _, other, silent, gone = (await source_of(fake).fleet()).routers
    assert (other.router, other.state) == (OTHER, "leaving")
    assert (silent.state, silent.seen_age, silent.domain) == ("suspect", 9.0, "d2")
    assert (gone.state, gone.seen_age, gone.stranded) == ("gone", -1.0, 70)


def test_largest_grants_come_first() -> None:
    held = tuple(GrantStatus(f"w{n}", n) for n in range(MAX_GRANTS + 50))
    grants = source_of(FakeRouter(held=held)).own_status().grants
    assert len(grants) == MAX_GRANTS
    assert grants[0].workspace == f"w{MAX_GRANTS + 49}"


@pytest.mark.parametrize(
    ("leaving", "used", "state"),
    [
        (False, 0, "serving"),
        (False, 2, "serving"),
        (True, 2, "leaving"),
        (True, 0, "stopped"),
    ],
)
async def test_state_and_users_of_a_backend_server(
    leaving: bool, used: int, state: str
) -> None:
    """Guards against a leaving server whose remaining requests aren't listed."""
    fleet = FleetView(DOCUMENT, domain="d1")
    fleet.leaving = frozenset({"engine-1"} if leaving else ())
    fake = FakeRouter(
        peers=(peer(OTHER, MemberStatus.ALIVE, 0.5),),
        replies={OTHER: reply(OTHER, used=used)},
    )
    source = source_of(fake, fleet)
    source.backends.states["engine-1"] = BackendState(ENGINE)
    status = await source.fleet()
    holders = (OTHER,) if used else ()
    assert status.backends == (BackendStatus("engine-1", "d1", state, used, holders),)
