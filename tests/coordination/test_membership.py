"""The membership view and protocol, in a simulated fleet with a virtual clock."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ebonyhold.coordination import (
    Beat,
    BeatKind,
    Listed,
    Membership,
    MembershipOptions,
    MemberStatus,
    MemberUpdate,
    MemberView,
    responsible,
)
from ebonyhold.experiments._beat_fleet import BeatFleet, Network, Node, start_fleet

SIZE = 9
VICTIM = "1.1"


def address(number: int) -> str:
    return f"10.0.0.{number}:7300"


def converged(
    size: int = SIZE, network: Network | None = None, seed: int = 1
) -> BeatFleet:
    fleet = start_fleet(size, network or Network(), MembershipOptions(), seed)
    fleet.run(20.0)
    return fleet


def others(fleet: BeatFleet) -> list[Node]:
    return [
        node for node in fleet.running() if node.membership.own_update.router != VICTIM
    ]


def statuses_of(fleet: BeatFleet, router: str = VICTIM) -> set[MemberStatus]:
    views = [node.membership.view.members for node in others(fleet)]
    return {view[router].update.status for view in views if router in view}


updates = st.builds(
    MemberUpdate,
    router=st.sampled_from(["a.1", "a.2", "b.1"]),
    address=st.just("10.0.0.1:1"),
    domain=st.just("d"),
    status=st.sampled_from(MemberStatus),
    revision=st.integers(0, 3),
).map(
    lambda u: MemberUpdate(
        u.router, u.address, u.domain, u.status, u.revision, int(u.router[-1])
    )
)


@settings(max_examples=60, derandomize=True, deadline=None)
@given(st.lists(updates, max_size=8), st.randoms(use_true_random=False))
def test_the_order_of_updates_does_not_matter(
    received: list[MemberUpdate], rng: random.Random
) -> None:
    shuffled = received + received[:3]
    rng.shuffle(shuffled)
    one, other = MemberView(), MemberView()
    for update in received:
        one.merge(update, 0.0)
    for update in shuffled:
        other.merge(update, 0.0)
    assert {r: m.update for r, m in one.members.items()} == {
        r: m.update for r, m in other.members.items()
    }
    assert one.present_count == len(one.present())


beats = st.builds(
    Beat,
    kind=st.sampled_from(BeatKind),
    sequence=st.integers(-1, 5),
    updates=st.lists(updates, max_size=4).map(tuple),
    target=st.sampled_from(["", "a.1", "b.1", "me.1", "nobody"]),
    address=st.sampled_from(["", "10.0.0.1:1", "no address"]),
    after=st.none() | st.sampled_from(["", "a.2", "zzz"]),
    known=st.integers(-1, 1000),
    page_end=st.sampled_from(["", "a.1"]),
)


@settings(max_examples=100, derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.sampled_from(["a.1", "b.1", "x"]), beats), max_size=12))
def test_no_message_of_a_peer_breaks_the_protocol(
    received: list[tuple[str, Beat]],
) -> None:
    """Guards against a failure caused by meaningless messages from a faulty peer.

    The router must not adopt a false status of its own, must count its members
    correctly, and must continue to probe.
    """
    own = MemberUpdate("me.1", "10.0.0.9:1", "d", MemberStatus.ALIVE)
    membership = Membership(own, random.Random(1), 0.0)
    now = 0.0
    for sender, beat in received:
        membership.receive(sender, beat, now)
        now = max(now + 0.1, membership.wake_at)
        membership.tick(now)
    assert membership.own_update.status is MemberStatus.ALIVE
    assert "me.1" not in membership.view.members
    assert membership.view.present_count == len(membership.view.present())
    assert membership.wake_at > now
    membership.recoverable(now + 1e4)


@pytest.mark.parametrize("size", [2, 3, 9, 30])
def test_all_routers_of_a_fleet_find_each_other(size: int) -> None:
    fleet = converged(size)
    assert all(len(n.membership.alive()) == size - 1 for n in fleet.running())
    assert sum(n.membership.suspicion_count for n in fleet.running()) == 0


def test_a_crashed_router_is_declared_gone_everywhere() -> None:
    """The VM of one router loses power.

    Every other router declares the router gone within 25 seconds, and all choose the
    same router to recover it.
    """
    fleet = converged()
    fleet.nodes[address(1)].up = False
    fleet.run(fleet.now + 25.0)
    assert statuses_of(fleet) == {MemberStatus.GONE}
    fleet.run(fleet.now + 60.0)
    assert {n.membership.recoverable(fleet.now) for n in others(fleet)} == {(VICTIM,)}
    chosen = {
        responsible(VICTIM, [n.membership.own_update.router, *n.membership.alive()])
        for n in others(fleet)
    }
    assert len(chosen) == 1


def test_a_router_missing_in_the_list_is_declared_gone_sooner() -> None:
    """A router that crashes is no longer in the platform's list.

    Its absence from the list confirms the crash, so the router is declared gone sooner
    than a listed one, and it may be recovered immediately.
    """
    times = []
    for unlisted in (False, True):
        fleet = converged()
        fleet.nodes[address(1)].up = False
        if unlisted:
            entries = [Listed(str(n), address(n)) for n in range(SIZE) if n != 1]
            for node in others(fleet):
                node.membership.update_list(entries)
        start = fleet.now
        while statuses_of(fleet) != {MemberStatus.GONE}:
            fleet.run(fleet.now + 0.5)
        times.append(fleet.now - start)
        recovered = {n.membership.recoverable(fleet.now) for n in others(fleet)}
        assert recovered == ({(VICTIM,)} if unlisted else {()})
    assert times[1] < 0.7 * times[0]


@pytest.mark.parametrize(
    ("pause", "declared_gone"), [(1.0, False), (3.0, False), (30.0, True)]
)
def test_a_paused_router_becomes_alive_again(pause: float, declared_gone: bool) -> None:
    """The VM of one router is paused and then continues.

    A short pause causes at most a suspicion.  In a long one the other routers declare
    the router gone; it refutes this, and all consider it alive again.  It must not
    suspect the others because of its own pause.
    """
    fleet = converged()
    victim = fleet.nodes[address(1)]
    victim.paused_until = fleet.now + pause
    fleet.run(fleet.now + pause - 0.01)
    assert (MemberStatus.GONE in statuses_of(fleet)) == declared_gone
    fleet.run(fleet.now + 30.0)
    assert statuses_of(fleet) == {MemberStatus.ALIVE}
    assert victim.membership.suspicion_count == 0
    assert len(victim.membership.alive()) == SIZE - 1


def test_a_partition_heals() -> None:
    """Four of the nine routers are cut off from the others for two minutes.

    Each side declares the routers of the other gone.  After the connection is back,
    every router is alive in every view, without a restart.
    """
    fleet = converged()
    side = {address(n) for n in range(4)}
    fleet.cut = lambda sender, receiver: (sender in side) != (receiver in side)
    fleet.run(fleet.now + 120.0)
    assert all(len(n.membership.alive()) < SIZE - 1 for n in fleet.running())
    fleet.cut = lambda sender, receiver: False
    fleet.run(fleet.now + 60.0)
    assert all(len(n.membership.alive()) == SIZE - 1 for n in fleet.running())


def test_an_isolated_router_recovers_no_other() -> None:
    """One router's network card fails, but it still reaches the platform.

    It receives no messages and declares all the others gone.  If it sealed them, the
    whole fleet would have to start new incarnations, and this would repeat.
    """
    fleet = converged()
    fleet.cut = lambda sender, receiver: address(1) in (sender, receiver)
    fleet.run(fleet.now + 700.0)
    isolated = fleet.nodes[address(1)].membership
    assert isolated.alive() == ()
    assert isolated.recoverable(fleet.now) == ()
    assert {n.membership.recoverable(fleet.now) for n in others(fleet)} == {(VICTIM,)}


def test_a_new_incarnation_replaces_the_previous_one() -> None:
    """A router is replaced within a second, with the same name and address.

    Its previous incarnation is gone as soon as the new one is known, and may be
    recovered although the platform still lists the name.  The new one stays alive.
    """
    fleet = converged()
    fleet.nodes[address(1)].up = False
    entries = [Listed(str(n), address(n)) for n in range(SIZE)]
    fleet.add("1", 2, entries)
    fleet.run(fleet.now + 10.0)
    assert statuses_of(fleet) == {MemberStatus.GONE}
    assert statuses_of(fleet, "1.2") == {MemberStatus.ALIVE}
    recovered = {n.membership.recoverable(fleet.now) for n in fleet.running()}
    assert recovered <= {(VICTIM,), ()}
    assert (VICTIM,) in recovered


def test_a_leaving_router_is_not_suspected() -> None:
    """A router stops as planned and announces its stop.

    The others send no new requests to that router, and none suspects it while it
    finishes its requests.
    """
    fleet = converged()
    victim = fleet.nodes[address(1)]
    fleet.send(address(1), victim, victim.membership.leave())
    fleet.run(fleet.now + 5.0)
    assert statuses_of(fleet) == {MemberStatus.LEAVING}
    assert all(VICTIM not in n.membership.alive() for n in others(fleet))
    assert sum(n.membership.suspicion_count for n in fleet.running()) == 0


def test_a_router_listed_as_leaving_gets_no_requests() -> None:
    fleet = converged()
    entries = [Listed(str(n), address(n), leaving=n == 1) for n in range(SIZE)]
    for node in others(fleet):
        node.membership.update_list(entries)
        assert VICTIM not in node.membership.alive()


@pytest.mark.parametrize(
    "network",
    [Network(loss=0.05), Network(lag=0.1), Network(delay=0.1, jitter=0.1)],
    ids=["loss", "busy", "slow"],
)
def test_no_running_router_is_declared_gone_under_load(network: Network) -> None:
    """Messages are lost or delayed, or the processes are slow, but none has failed.

    Suspicions may be raised, but each is refuted before it times out.
    """
    fleet = converged(SIZE, network)
    fleet.run(fleet.now + 300.0)
    statuses = {
        member.update.status
        for node in fleet.running()
        for member in node.membership.view.members.values()
    }
    assert MemberStatus.GONE not in statuses


def test_recovery_waits_longer_when_many_are_gone() -> None:
    """Three of nine routers are cut off from the others but keep serving.

    The six others declare them gone.  Sealing would cut the streams of these three, and
    the platform still lists them, so none is recovered within two minutes.  They may be
    recovered after seven minutes.  The three never recover any of the six.
    """
    fleet = converged()
    side = {address(n) for n in range(3)}
    fleet.cut = lambda sender, receiver: (sender in side) != (receiver in side)
    large = fleet.nodes[address(8)].membership
    fleet.run(fleet.now + 120.0)
    assert len(large.alive()) == 5
    assert large.recoverable(fleet.now) == ()
    fleet.run(fleet.now + 300.0)
    assert set(large.recoverable(fleet.now)) == {"0.1", "1.1", "2.1"}
    small = fleet.nodes[address(0)].membership
    assert small.recoverable(fleet.now) == ()


@pytest.mark.parametrize(
    ("router", "unknown_for", "allowed"),
    [
        ("1.1", 1e6, False),
        ("1.0", 10.0, False),
        ("1.0", 25.0, True),
        ("8.0", 10.0, False),
        ("8.0", 25.0, True),
        ("77.1", 25.0, True),
        ("5.1", 1e6, False),
    ],
    ids=[
        "alive",
        "just opened under a known name",
        "an older one of a known name",
        "just opened under the own name",
        "an older one of the own name",
        "not listed",
        "leaving",
    ],
)
def test_which_open_rows_may_be_recovered(
    router: str, unknown_for: float, allowed: bool
) -> None:
    """An open row is never recovered while its incarnation is a present member.

    The row of an incarnation that is not a member may be recovered after the grace
    period of 20 seconds.
    """
    fleet = converged()
    leaving = fleet.nodes[address(5)]
    fleet.send(address(5), leaving, leaving.membership.leave())
    fleet.run(fleet.now + 5.0)
    reader = fleet.nodes[address(8)].membership
    assert reader.may_recover(router, unknown_for, fleet.now) == allowed


def test_an_isolated_router_recovers_no_rows() -> None:
    """One router has been cut off from its peers since it started.

    It reads the open rows of the whole fleet in the table.  As it has received no
    message from any other router, it must not recover these rows.
    """
    fleet = start_fleet(SIZE, Network(), MembershipOptions(), 1)
    fleet.cut = lambda sender, receiver: address(1) in (sender, receiver)
    fleet.run(60.0)
    isolated = fleet.nodes[address(1)].membership
    assert not any(isolated.may_recover(f"{n}.1", 1e6, 60.0) for n in range(2, SIZE))


def test_traffic_per_router_does_not_grow_with_the_fleet() -> None:
    rates = []
    for size in (30, 90):
        fleet = converged(size)
        fleet.run(60.0)
        before = sum(node.sent_bytes for node in fleet.running())
        fleet.run(90.0)
        after = sum(node.sent_bytes for node in fleet.running())
        rates.append((after - before) / 30.0 / size)
    assert max(rates) < 1500.0


def test_jobs_move_only_when_their_router_leaves() -> None:
    routers = [f"{n}.1" for n in range(9)]
    jobs = [f"job {n}" for n in range(900)]
    before = {job: responsible(job, routers) for job in jobs}
    after = {job: responsible(job, routers[1:]) for job in jobs}
    moved = {job for job in jobs if before[job] != after[job]}
    assert moved == {job for job in jobs if before[job] == routers[0]}
    assert 60 < len(moved) < 140
    assert responsible("job", []) is None
