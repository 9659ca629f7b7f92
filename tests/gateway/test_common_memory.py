"""Requests that use the common half of a server's memory need no lender."""

from __future__ import annotations

from typing import Any, cast

import pytest
from attrs import define, field

from ebonyhold.coordination import (
    LeaseOutcome,
    MemoryNeed,
    ServerLoad,
    ServerRun,
    WantedLease,
)
from ebonyhold.forwarding import BackendEntry, MemoryRoom, RoomRequest
from ebonyhold.gateway._server_memory import GatewayMemory
from ebonyhold.types import Seconds, Tokens
from tests.forwarding.kit import Server
from tests.forwarding.test_attempts import good

pytestmark = pytest.mark.anyio

MEMORY: Tokens = 260_000
LONG = MemoryNeed(2_941, {"a": 2_520, "ab": 3_780})


@define(eq=False)
class FakeFleet:
    """The load of the other routers at every server; None if it is unknown."""

    resident: Tokens | None

    def is_on(self, service: str) -> bool:
        return True

    def load(self, run: ServerRun, now: Seconds) -> ServerLoad | None:
        return None if self.resident is None else ServerLoad(0, 0, self.resident)


@define(eq=False)
class FakeTable:
    """The table of servers, of which only the load is used."""

    fleet_load: FakeFleet


@define(eq=False)
class FakeView:
    """Two lenders of each server."""

    def lenders(self, server: str) -> tuple[str, ...]:
        return ("vm-1", "vm-2")


@define(eq=False)
class FakeRoles:
    """The roles in a fleet of 90 routers."""

    backends: FakeTable
    view: FakeView = field(factory=FakeView)
    has_leases: bool = False

    def memory_of(self, server: str) -> Tokens:
        return MEMORY

    def own_size(self, memory: Tokens) -> Tokens:
        return 1_348


@define(eq=False)
class QuietLenders:
    """Lenders that lend nothing, as after a restart; counts the messages to them."""

    asked: int = 0

    async def ask(self, lender: str, lease: WantedLease) -> Any:
        self.asked += 1
        return cast(Any, type("Answer", (), {"outcome": LeaseOutcome.UNAVAILABLE}))


def entry() -> BackendEntry:
    return BackendEntry(Server("s", good).backend())


def memory(resident: Tokens | None) -> tuple[GatewayMemory, QuietLenders]:
    """Return the memory of a gateway by the load of the others, and its lenders."""
    lenders = QuietLenders()
    roles = FakeRoles(FakeTable(FakeFleet(resident)))
    return GatewayMemory("vm-0.1", cast(Any, roles), cast(Any, lenders)), lenders


@pytest.mark.parametrize(
    ("resident", "served"),
    [
        pytest.param(26_000, 31, id="tenth of the memory"),
        pytest.param(100_000, 5, id="below half"),
        pytest.param(125_000, 0, id="half"),
        pytest.param(None, 0, id="unknown"),
    ],
)
async def test_requests_need_no_lender_below_half_of_the_memory(
    resident: Tokens | None, served: int
) -> None:
    """Guards against refusals while lenders lend nothing and memory is free."""
    gateway, lenders = memory(resident)
    server, rooms = entry(), list[MemoryRoom]()
    while room := await gateway.get(server, RoomRequest(LONG, 9.0, "w", 1)):
        rooms.append(room)
    assert len(rooms) == served
    assert lenders.asked == 2
    for room in rooms:
        gateway.free(room, ended=True)
    assert not gateway.memory.common_tokens()
