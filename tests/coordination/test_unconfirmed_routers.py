"""Unconfirmed routers: those known only from a row in the table."""

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
UNCONFIRMED = "9.1"
SOON: Seconds = 60.0
"""Longer than a suspicion plus the delay before a listed router is recovered."""


def row(router: str, started: int = 1) -> MemberUpdate:
    name = router.rpartition(".")[0]
    return MemberUpdate(
        router, f"10.0.0.{name}:7300", "domain-1", MemberStatus.ALIVE, started=started
    )


def converged(listed: bool = True) -> BeatFleet:
    """Return a fleet whose routers all know each other.

    Args:
        listed: Whether the platform lists the unconfirmed router, besides the others.
            Otherwise its list contains only the others.
    """
    fleet = start_fleet(SIZE, Network(), MembershipOptions(), 1)
    if listed:
        entries = [Listed(f"{n}", f"10.0.0.{n}:7300") for n in range(SIZE + 1)]
        for node in fleet.running():
            node.membership.update_list(entries)
    fleet.run(20.0)
    return fleet


@pytest.mark.parametrize("readers", [1, SIZE], ids=["read by one", "read by all"])
@pytest.mark.parametrize("listed", [True, False], ids=["listed", "not listed"])
def test_router_that_crashed_before_any_contact(readers: int, listed: bool) -> None:
    """Guards against a late recovery of a router that crashed before any contact.

    The router's bills are not settled until it is recovered.
    """
    fleet = converged(listed)
    for node in fleet.running()[:readers]:
        node.membership.add_row(row(UNCONFIRMED), fleet.now)
        assert UNCONFIRMED not in node.membership.alive()
    fleet.run(fleet.now + SOON)
    for node in fleet.running()[:readers]:
        assert node.membership.recoverable(fleet.now) == (UNCONFIRMED,)
        assert node.membership.may_recover(UNCONFIRMED, 0.0, fleet.now)


def test_running_unconfirmed_router_becomes_alive() -> None:
    """Guards against recovering a router that has only just registered."""
    fleet = converged()
    others = fleet.running()
    entries = [Listed(f"{n}", f"10.0.0.{n}:7300") for n in range(SIZE + 1)]
    fleet.add("9", 1, entries)
    others[0].membership.add_row(row(UNCONFIRMED), fleet.now)
    fleet.run(fleet.now + SOON)
    assert all(UNCONFIRMED in node.membership.alive() for node in others)
    assert all(node.membership.recoverable(fleet.now) == () for node in others)


def test_leaving_unconfirmed_router_is_not_recovered() -> None:
    """Guards against sealing a leaving router, which would cut its last streams."""
    fleet = converged()
    leaving = fleet.add("9", 1, [])
    leaving.membership.leave()
    reader = fleet.running()[0].membership
    reader.add_row(row(UNCONFIRMED), fleet.now)
    fleet.run(fleet.now + SOON)
    assert reader.view.members[UNCONFIRMED].update.status is MemberStatus.LEAVING
    assert reader.recoverable(fleet.now) == ()


def test_introduction_takes_effect_immediately() -> None:
    """Guards against a new router that gets no requests for seconds after its start."""
    fleet = converged()
    joined = fleet.add("9", 1, [])
    for n in range(SIZE):
        joined.membership.add_row(row(f"{n}.1"), fleet.now)
    fleet.send("10.0.0.9:7300", joined, joined.membership.introduce())
    fleet.run(fleet.now + 0.1)
    informed = [
        node for node in fleet.running() if UNCONFIRMED in node.membership.alive()
    ]
    assert len(informed) >= MembershipOptions().relays


def test_partition_while_a_router_is_unconfirmed() -> None:
    """Guards against sealing routers that are cut off by a partition but serving."""
    fleet = converged()
    side = {f"10.0.0.{n}:7300" for n in range(3)}
    fleet.cut = lambda sender, receiver: (sender in side) != (receiver in side)
    large = fleet.running()[-1].membership
    large.add_row(row(UNCONFIRMED), fleet.now)
    fleet.run(fleet.now + 2 * SOON)
    assert large.recoverable(fleet.now) == ()


def test_isolated_new_router_recovers_no_rows() -> None:
    """Guards against a router without a network that recovers all others as gone.

    The router has been cut off since its start, but reads the rows of the others.
    """
    fleet = start_fleet(SIZE, Network(), MembershipOptions(), 1)
    fleet.cut = lambda sender, receiver: "10.0.0.1:7300" in (sender, receiver)
    isolated = fleet.nodes["10.0.0.1:7300"].membership
    for n in range(2, SIZE):
        isolated.add_row(row(f"{n}.1"), 0.0)
    for _ in range(10):
        fleet.run(fleet.now + SOON)
        assert isolated.recoverable(fleet.now) == ()


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
    """Guards against a row that replaces an incarnation which is still serving."""
    view = MemberView()
    first = row("1.1")
    view.merge(
        MemberUpdate(first.router, first.address, first.domain, known, 0, 1), 0.0
    )
    view.add_unconfirmed(read, 1.0)
    assert (read.router in view.members) is member


def test_new_incarnation_that_crashes_immediately() -> None:
    """Guards against unsettled bills of a new incarnation that crashed at its start."""
    fleet = converged(listed=False)
    fleet.nodes["10.0.0.1:7300"].up = False
    fleet.run(fleet.now + SOON)
    survivors = fleet.running()
    for node in survivors:
        node.membership.add_row(row("1.2", 2), fleet.now)
    fleet.run(fleet.now + SOON)
    for node in survivors:
        assert set(node.membership.recoverable(fleet.now)) == {"1.1", "1.2"}


def test_routers_find_each_other_despite_rows_of_predecessors() -> None:
    """Guards against routers that do not find each other after a total restart.

    The table still holds the open rows of all previous incarnations, which have the
    same names and addresses.
    """
    fleet = BeatFleet(Network(), MembershipOptions(), random.Random(1))
    entries = [Listed(f"{n}", f"10.0.0.{n}:7300") for n in range(SIZE)]
    for entry in entries:
        started = fleet.add(entry.name, 2, entries).membership
        for n in range(SIZE):
            started.add_row(row(f"{n}.1"), 0.0)
    fleet.run(5.0)
    for node in fleet.running():
        assert len(node.membership.alive()) == SIZE - 1
        others = {f"{n}.1" for n in range(SIZE)} - {
            f"{node.membership.own_update.name}.1"
        }
        assert set(node.membership.recoverable(fleet.now)) == others


def test_rows_do_not_count_as_present_members() -> None:
    """Guards against a member count that includes unconfirmed routers."""
    view = MemberView()
    view.add_unconfirmed(row("1.1"), 0.0)
    assert view.present_count == 0
    view.confirm(view.members["1.1"])
    assert view.present_count == 1
    view.forget(view.members["1.1"])
    assert view.present_count == 0
