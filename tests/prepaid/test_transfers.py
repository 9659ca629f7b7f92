"""Transfers bring tokens to the router whose request needs them."""

from __future__ import annotations

from collections.abc import Sequence

import anyio
import pytest
from attrs import define, field

from ebonyhold.exceptions import BudgetUnreachableError
from ebonyhold.prepaid import Offer, choose_givers
from ebonyhold.standins import RowHistory
from tests.prepaid.kit import Peers, Router, budget, grants
from tests.virtual import anyio_backend

pytestmark = pytest.mark.anyio
__all__ = ["anyio_backend"]

PREPAID = 60_000


@define(eq=False)
class Fleet:
    """Three routers that share one budget and can reach each other."""

    history: RowHistory = field(factory=RowHistory)
    routers: dict[str, Router] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        for number in range(3):
            vm = f"vm-{number}"
            self.routers[vm] = Router(self.history, vm, f"{vm}.a", [PREPAID])
        for vm, router in self.routers.items():
            router.grant.peers = Peers(vm, self.routers)

    async def start(self, *available: int) -> list[Router]:
        """Start the routers, each with at least the given available tokens."""
        for router, amount in zip(self.routers.values(), available, strict=True):
            await router.renewals.step()
            if amount:
                await router.grant.hold(amount, "first")
                router.grant.settle(amount, 0)
            await router.renew()
        return list(self.routers.values())

    def disconnect_store(self) -> None:
        """Disconnect all routers from the store."""
        for router in self.routers.values():
            router.store.faults.down = True


async def disconnect_until_limits_grow(fleet: Fleet) -> None:
    """Disconnect the store long enough for the limits to grow by the outage demand."""
    fleet.disconnect_store()
    for router in fleet.routers.values():
        for _ in range(2):
            await router.renew()
    await anyio.sleep(8.0)


@pytest.mark.parametrize(
    ("available", "wanted", "served"),
    [
        ((0, 6_000, 0), 4_000, True),
        ((500, 3_000, 3_000), 5_000, True),
        ((0, 6_000, 6_000), 30_000, False),
    ],
)
async def test_transfers_serve_an_empty_grant_in_an_outage(
    available: tuple[int, ...], wanted: int, served: bool
) -> None:
    """Guards against refusals while other reachable routers have unused tokens.

    A router has an empty grant because it restarts just before all routers lose the
    store.
    """
    fleet = Fleet()
    one, *others = await fleet.start(*available)
    await disconnect_until_limits_grow(fleet)
    before = [other.grant.state.ledger.available for other in others]
    if served:
        await one.grant.hold(wanted, "r")
    else:
        with pytest.raises(BudgetUnreachableError):
            await one.grant.hold(wanted, "r")
        # All offers together are too small, so nothing is transferred; the tokens may
        # serve smaller requests at the other routers.
        assert [o.grant.state.ledger.available for o in others] == before


async def test_disconnected_router_draws_through_another() -> None:
    """One router loses the store; another one draws on the full budget for it."""
    fleet = Fleet()
    one, _, _ = await fleet.start(0, 1_000, 0)
    one.store.faults.down = True
    for _ in range(2):
        await one.renew()
    await one.grant.hold(9_000, "r")


async def test_transfers_are_filed_at_both_ends() -> None:
    """Guards against grant rows that do not add up to the outstanding tokens."""
    fleet = Fleet()
    one, two, three = await fleet.start(0, 6_000, 0)
    await disconnect_until_limits_grow(fleet)
    await one.grant.hold(4_000, "r")
    one.grant.settle(4_000, 1_500)
    for router in (one, two, three):
        router.store.faults.down = False
        await router.renew()
        await router.grant.tick()
    for router in (one, two, three):
        await router.grant.close()
    rows = grants(fleet.history)
    assert rows["vm-1.a"].transferred_out == rows["vm-0.a"].transferred_in >= 4_000
    assert sum(row.held for row in rows.values()) == 0
    after = budget(fleet.history).budget
    assert (after.spent, after.outstanding) == (1_500, 0)


async def test_stopping_router_gives_no_tokens() -> None:
    """Guards against tokens that are given away and also returned to the budget."""
    fleet = Fleet()
    _, two, _ = await fleet.start(0, 6_000, 0)
    await two.grant.close()
    assert two.grant.offer == 0
    assert await two.grant.give(1_000) == 0


@pytest.mark.parametrize(
    ("offers", "lacking", "givers"),
    [
        ([], 1, []),
        ([("a", 5)], 5, ["a"]),
        ([("a", 5), ("b", 9)], 6, ["b"]),
        ([("a", 5), ("b", 9)], 14, ["b", "a"]),
        ([("a", 5), ("b", 9)], 15, []),
        ([("a", 5)], 0, []),
    ],
)
def test_choose_givers(
    offers: Sequence[tuple[str, int]], lacking: int, givers: list[str]
) -> None:
    assert choose_givers([Offer(*offer) for offer in offers], lacking) == givers
