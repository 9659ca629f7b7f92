"""Routers of which only a row in the table tells, on a virtual clock."""

from __future__ import annotations

import random

import pytest

from ebonyhold.coordination import (
    Listed,
    MembershipOptions,
    MemberStatus,
    MemberUpdate,
    MemberView,
)
from ebonyhold.experiments._beat_fleet import BeatFleet, Network, start_fleet
from ebonyhold.types import Seconds

SIZE = 9
UNMET = "9.1"
SOON: Seconds = 60.0
"""Time for a suspicion, and for the patience with a router that is still listed."""


def row(router: str, started: int = 1) -> MemberUpdate:
    name = router.rpartition(".")[0]
    return MemberUpdate(
        router, f"10.0.0.{name}:7300", "domain-1", MemberStatus.ALIVE, started=started
    )


def settled(listed: bool = True) -> BeatFleet:
    """Return a fleet that has met; the unmet router may be on the platform's list."""
    fleet = start_fleet(SIZE, Network(), MembershipOptions(), 1)
    if listed:
        entries = [Listed(f"{n}", f"10.0.0.{n}:7300") for n in range(SIZE + 1)]
        for node in fleet.running():
            node.membership.read_list(entries)
    fleet.run(20.0)
    return fleet


@pytest.mark.parametrize("readers", [1, SIZE], ids=["read by one", "read by all"])
@pytest.mark.parametrize("listed", [True, False], ids=["listed", "not listed"])
def test_router_that_died_before_anybody_met_it(readers: int, listed: bool) -> None:
    """Guards against bills that wait minutes for a router which nobody had met."""
    fleet = settled(listed)
    for node in fleet.running()[:readers]:
        node.membership.read_row(row(UNMET), fleet.now)
        assert UNMET not in node.membership.alive()
    fleet.run(fleet.now + SOON)
    for node in fleet.running()[:readers]:
        assert node.membership.gone(fleet.now) == (UNMET,)
        assert node.membership.may_recover(UNMET, 0.0, fleet.now)


def test_living_router_that_nobody_has_met_is_met() -> None:
    """Guards against recovering a router that has only just registered."""
    fleet = settled()
    others = fleet.running()
    entries = [Listed(f"{n}", f"10.0.0.{n}:7300") for n in range(SIZE + 1)]
    fleet.add("9", 1, entries)
    others[0].membership.read_row(row(UNMET), fleet.now)
    fleet.run(fleet.now + SOON)
    assert all(UNMET in node.membership.alive() for node in others)
    assert all(node.membership.gone(fleet.now) == () for node in others)


def test_leaving_router_that_nobody_has_met_is_not_recovered() -> None:
    """Guards against cutting the last streams of a router that is on its way out."""
    fleet = settled()
    leaving = fleet.add("9", 1, [])
    leaving.membership.leave()
    reader = fleet.running()[0].membership
    reader.read_row(row(UNMET), fleet.now)
    fleet.run(fleet.now + SOON)
    assert reader.view.members[UNMET].update.status is MemberStatus.LEAVING
    assert reader.gone(fleet.now) == ()


def test_introduction_is_heard_at_once() -> None:
    """Guards against a start after which nobody knows the router for seconds."""
    fleet = settled()
    joined = fleet.add("9", 1, [])
    for n in range(SIZE):
        joined.membership.read_row(row(f"{n}.1"), fleet.now)
    fleet.send("10.0.0.9:7300", joined, joined.membership.introduce())
    fleet.run(fleet.now + 0.1)
    knowing = [node for node in fleet.running() if UNMET in node.membership.alive()]
    assert len(knowing) >= MembershipOptions().relays


def test_region_cut_from_a_router_that_nobody_has_met() -> None:
    """Guards against sealing routers that serve on in a region which is cut off."""
    fleet = settled()
    side = {f"10.0.0.{n}:7300" for n in range(3)}
    fleet.cut = lambda sender, receiver: (sender in side) != (receiver in side)
    large = fleet.running()[-1].membership
    large.read_row(row(UNMET), fleet.now)
    fleet.run(fleet.now + 2 * SOON)
    assert large.gone(fleet.now) == ()


def test_cut_off_newcomer_recovers_none_of_the_rows_that_it_reads() -> None:
    """Guards against a router without a network that seals the whole fleet."""
    fleet = start_fleet(SIZE, Network(), MembershipOptions(), 1)
    fleet.cut = lambda sender, receiver: "10.0.0.1:7300" in (sender, receiver)
    alone = fleet.nodes["10.0.0.1:7300"].membership
    for n in range(2, SIZE):
        alone.read_row(row(f"{n}.1"), 0.0)
    for _ in range(10):
        fleet.run(fleet.now + SOON)
        assert alone.gone(fleet.now) == ()


@pytest.mark.parametrize(
    ("known", "read", "member"),
    [
        (MemberStatus.ALIVE, row("1.2", 2), False),
        (MemberStatus.LEAVING, row("1.2", 2), False),
        (MemberStatus.GONE, row("1.2", 2), True),
        (MemberStatus.ALIVE, row("2.1"), True),
    ],
    ids=["namesake alive", "namesake leaving", "namesake gone", "other name"],
)
def test_row_of_another_incarnation(
    known: MemberStatus, read: MemberUpdate, member: bool
) -> None:
    """Guards against a row that replaces the incarnation which is still served by."""
    view = MemberView()
    first = row("1.1")
    view.merge(
        MemberUpdate(first.router, first.address, first.domain, known, 0, 1), 0.0
    )
    view.add_unmet(read, 1.0)
    assert (read.router in view.members) is member


def test_new_incarnation_that_dies_at_once() -> None:
    """Guards against bills of a router that was sealed and died as its successor."""
    fleet = settled(listed=False)
    fleet.nodes["10.0.0.1:7300"].up = False
    fleet.run(fleet.now + SOON)
    survivors = fleet.running()
    for node in survivors:
        node.membership.read_row(row("1.2", 2), fleet.now)
    fleet.run(fleet.now + SOON)
    for node in survivors:
        assert set(node.membership.gone(fleet.now)) == {"1.1", "1.2"}


def test_routers_meet_soon_although_they_read_rows_of_their_predecessors() -> None:
    """Guards against a total restart after which routers ask for those before."""
    fleet = BeatFleet(Network(), MembershipOptions(), random.Random(1))
    entries = [Listed(f"{n}", f"10.0.0.{n}:7300") for n in range(SIZE)]
    for entry in entries:
        started = fleet.add(entry.name, 2, entries).membership
        for n in range(SIZE):
            started.read_row(row(f"{n}.1"), 0.0)
    fleet.run(5.0)
    for node in fleet.running():
        assert len(node.membership.alive()) == SIZE - 1
        others = {f"{n}.1" for n in range(SIZE)} - {f"{node.membership.me.name}.1"}
        assert set(node.membership.gone(fleet.now)) == others


def test_rows_do_not_count_as_members_that_were_met() -> None:
    """Guards against counting rows as contact with the fleet."""
    view = MemberView()
    view.add_unmet(row("1.1"), 0.0)
    assert view.present_count == 0
    view.meet(view.members["1.1"])
    assert view.present_count == 1
    view.forget(view.members["1.1"])
    assert view.present_count == 0
