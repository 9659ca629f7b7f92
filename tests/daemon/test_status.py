"""How the fleet is, as operators see it from one router."""

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

ME, OTHER, SILENT = "a.1", "b.1", "c.1"
ENGINE = Backend("engine-1", BackendKind.ENGINE, "10.0.0.9:1", "d1", models=("m",))
DOCUMENT = Document("fleet", ("d1",), backends=(ENGINE,))


@define
class Grants:
    """The money side's own view."""

    grants: tuple[GrantStatus, ...]


@define
class Parts:
    """The parts that a status is gathered from, as one fake.

    Attributes:
        journal: None while the router is not registered.
        sealed: Whether this incarnation is over.
        held: What is held here.
        document: The document in force.
        fresh: Whether that may be served.
        leaving: Whether this router is stopping.
        peers: What is believed of the others.
        replies: What the others answer; the absent ones do not.
    """

    me: RouterId = ME
    journal: object | None = "journal"
    sealed: bool = False
    held: tuple[GrantStatus, ...] = ()
    document: Document | None = DOCUMENT
    fresh: bool = True
    version: int = 3
    active: int = 0
    leaving: bool = False
    peers: tuple[PeerStatus, ...] = ()
    replies: dict[RouterId, StatusReply] = field(factory=dict)
    stranded: dict[RouterId, int] = field(factory=dict)

    @property
    def current(self) -> Parts:
        return self

    def may_serve(self) -> bool:
        return self.fresh

    def own_evidence(self) -> Evidence:
        return Evidence(self.version, "digest", 1.0)

    def status(self) -> Any:
        if self.journal is None:
            raise UnavailableError("not registered yet")
        return Grants(self.held)

    async def ask(
        self, to: RouterId, message: PeerMessage, kind: type, timeout: Seconds
    ) -> StatusReply:
        if to not in self.replies:
            raise PeerError(f"{to} did not answer")
        return self.replies[to]


@define
class Network:
    """The other routers; its `status` is not the money's."""

    parts: Parts

    def status(self) -> tuple[PeerStatus, ...]:
        return self.parts.peers

    async def ask(self, *arguments: Any) -> StatusReply:
        return await self.parts.ask(*arguments)


def source_of(parts: Parts, fleet: FleetView | None = None) -> FleetStatusSource:
    part = cast(Any, parts)
    backends = Backends(fleet or FleetView(DOCUMENT, domain="d1"))
    network = cast(Any, Network(parts))
    return FleetStatusSource("d1", part, network, part, part, backends, part, part)


def peer(router: RouterId, status: MemberStatus, heard: Seconds | None) -> PeerStatus:
    return PeerStatus(router, "10.0.0.1:1", "d2", status, True, heard)


def reply(router: RouterId, *, stopping: bool = False, used: int = 0) -> StatusReply:
    uses = (BackendUse("engine-1", used),) if used else ()
    return StatusReply(router, "d2", 3, stopping, used, 1.0, (), uses)


@pytest.mark.parametrize(
    ("parts", "reason"),
    [
        (Parts(), ""),
        (Parts(document=None), "no document"),
        (Parts(fresh=False), "stale"),
        (Parts(journal=None), "not registered"),
        (Parts(sealed=True), "sealed"),
        (Parts(leaving=True), "stopping"),
    ],
)
def test_readiness(parts: Parts, reason: str) -> None:
    readiness = source_of(parts).readiness()
    assert readiness.ready is not bool(reason)
    assert reason in " ".join(readiness.reasons)


async def test_status_while_the_router_is_not_registered() -> None:
    """The table is away, and an operator asks a router that just started.

    It has no money side yet; what it knows of the others must still come.
    """
    parts = Parts(
        journal=None,
        peers=(peer(OTHER, MemberStatus.ALIVE, 0.5),),
        replies={OTHER: reply(OTHER)},
    )
    status = await source_of(parts).fleet()
    assert [one.router for one in status.routers] == [ME, OTHER]
    assert status.routers[0].grants == ()


async def test_routers_that_do_not_answer_are_shown() -> None:
    """A router is silent, and operators do not see that it holds tokens."""
    parts = Parts(
        peers=(
            peer(SILENT, MemberStatus.SUSPECT, 9.0),
            peer(OTHER, MemberStatus.ALIVE, 0.5),
            peer("d.1", MemberStatus.GONE, None),
        ),
        replies={OTHER: reply(OTHER, stopping=True)},
        stranded={"d.1": 70},
    )
    _, other, silent, gone = (await source_of(parts).fleet()).routers
    assert (other.router, other.state) == (OTHER, "leaving")
    assert (silent.state, silent.seen_age, silent.domain) == ("suspect", 9.0, "d2")
    assert (gone.state, gone.seen_age, gone.stranded) == ("gone", -1.0, 70)


def test_largest_grants_come_first() -> None:
    held = tuple(GrantStatus(f"w{n}", n) for n in range(MAX_GRANTS + 50))
    grants = source_of(Parts(held=held)).own_status().grants
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
async def test_what_still_holds_a_backend_server(
    leaving: bool, used: int, state: str
) -> None:
    """Operators wait for a server to be empty and cannot see who still uses it."""
    fleet = FleetView(DOCUMENT, domain="d1")
    fleet.leaving = frozenset({"engine-1"} if leaving else ())
    parts = Parts(
        peers=(peer(OTHER, MemberStatus.ALIVE, 0.5),),
        replies={OTHER: reply(OTHER, used=used)},
    )
    source = source_of(parts, fleet)
    source.backends.states["engine-1"] = BackendState(ENGINE)
    status = await source.fleet()
    holders = (OTHER,) if used else ()
    assert status.backends == (BackendStatus("engine-1", "d1", state, used, holders),)
