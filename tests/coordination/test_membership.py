"""The membership view and protocol, on a virtual clock."""

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


def settled(
    size: int = SIZE, network: Network | None = None, seed: int = 1
) -> BeatFleet:
    fleet = start_fleet(size, network or Network(), MembershipOptions(), seed)
    fleet.run(20.0)
    return fleet


def others(fleet: BeatFleet) -> list[Node]:
    return [node for node in fleet.running() if node.membership.me.router != VICTIM]


def verdicts(fleet: BeatFleet, router: str = VICTIM) -> set[MemberStatus]:
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
def test_the_order_of_statements_does_not_matter(
    said: list[MemberUpdate], rng: random.Random
) -> None:
    shuffled = said + said[:3]
    rng.shuffle(shuffled)
    one, other = MemberView(), MemberView()
    for update in said:
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
    """A peer of another release, or with a fault, sends what makes no sense.

    The router stays alive in its own view, counts right, and goes on.
    """
    own = MemberUpdate("me.1", "10.0.0.9:1", "d", MemberStatus.ALIVE)
    part = Membership(own, random.Random(1), 0.0)
    now = 0.0
    for sender, beat in received:
        part.receive(sender, beat, now)
        now = max(now + 0.1, part.wake_at)
        part.tick(now)
    assert part.me.status is MemberStatus.ALIVE
    assert "me.1" not in part.view.members
    assert part.view.present_count == len(part.view.present())
    assert part.wake_at > now
    part.gone(now + 1e4)


@pytest.mark.parametrize("size", [2, 3, 9, 30])
def test_a_fleet_finds_itself(size: int) -> None:
    fleet = settled(size)
    assert all(len(n.membership.alive()) == size - 1 for n in fleet.running())
    assert sum(n.membership.suspicions for n in fleet.running()) == 0


def test_a_dead_router_is_called_gone_everywhere() -> None:
    """A VM loses power.

    Every other router stops turning to it within seconds, calls it gone within
    half a minute, and one of them recovers it; all agree on which.
    """
    fleet = settled()
    fleet.nodes[address(1)].up = False
    fleet.run(fleet.now + 25.0)
    assert verdicts(fleet) == {MemberStatus.GONE}
    fleet.run(fleet.now + 60.0)
    assert {n.membership.gone(fleet.now) for n in others(fleet)} == {(VICTIM,)}
    chosen = {
        responsible(VICTIM, [n.membership.me.router, *n.membership.alive()])
        for n in others(fleet)
    }
    assert len(chosen) == 1


def test_a_router_missing_in_the_list_is_gone_sooner() -> None:
    """The platform has already taken the VM off its list when it falls silent.

    Two sources agree, so the verdict need not wait as long, and recovery may
    begin at once.
    """
    times = []
    for unlisted in (False, True):
        fleet = settled()
        fleet.nodes[address(1)].up = False
        if unlisted:
            entries = [Listed(str(n), address(n)) for n in range(SIZE) if n != 1]
            for node in others(fleet):
                node.membership.read_list(entries)
        start = fleet.now
        while verdicts(fleet) != {MemberStatus.GONE}:
            fleet.run(fleet.now + 0.5)
        times.append(fleet.now - start)
        recovered = {n.membership.gone(fleet.now) for n in others(fleet)}
        assert recovered == ({(VICTIM,)} if unlisted else {()})
    assert times[1] < 0.7 * times[0]


@pytest.mark.parametrize(
    ("pause", "convicted"), [(1.0, False), (3.0, False), (30.0, True)]
)
def test_a_paused_router_comes_back(pause: float, convicted: bool) -> None:
    """A VM is frozen for a while, and goes on as if nothing had happened.

    A short pause is at most a suspicion.  After a long one the others call it
    gone; it hears of that, refutes it, and is alive again for everybody.  It
    itself must not take the time it slept for the others' silence.
    """
    fleet = settled()
    victim = fleet.nodes[address(1)]
    victim.paused_until = fleet.now + pause
    fleet.run(fleet.now + pause - 0.01)
    assert (MemberStatus.GONE in verdicts(fleet)) == convicted
    fleet.run(fleet.now + 30.0)
    assert verdicts(fleet) == {MemberStatus.ALIVE}
    assert victim.membership.suspicions == 0
    assert len(victim.membership.alive()) == SIZE - 1


def test_a_partition_heals() -> None:
    """Two domains lose the other two for two minutes.

    Both sides call the other gone.  When the network is back, nobody has been
    restarted, and every router is alive for every other again.
    """
    fleet = settled()
    side = {address(n) for n in range(4)}
    fleet.cut = lambda sender, receiver: (sender in side) != (receiver in side)
    fleet.run(fleet.now + 120.0)
    assert all(len(n.membership.alive()) < SIZE - 1 for n in fleet.running())
    fleet.cut = lambda sender, receiver: False
    fleet.run(fleet.now + 60.0)
    assert all(len(n.membership.alive()) == SIZE - 1 for n in fleet.running())


def test_a_router_that_is_cut_off_recovers_nobody() -> None:
    """One router's own network card fails, and it still reaches the platform.

    It hears from nobody and calls all the others gone.  If it sealed them, the
    whole fleet would take new incarnations, again and again.
    """
    fleet = settled()
    fleet.cut = lambda sender, receiver: address(1) in (sender, receiver)
    fleet.run(fleet.now + 700.0)
    alone = fleet.nodes[address(1)].membership
    assert alone.alive() == ()
    assert alone.gone(fleet.now) == ()
    assert {n.membership.gone(fleet.now) for n in others(fleet)} == {(VICTIM,)}


def test_the_next_incarnation_takes_the_place_of_the_one_before() -> None:
    """A VM is replaced within a second, under the same name and address.

    The incarnation before is gone at once and can be recovered, though the
    platform still lists the name, and nobody suspects the new one.
    """
    fleet = settled()
    fleet.nodes[address(1)].up = False
    entries = [Listed(str(n), address(n)) for n in range(SIZE)]
    fleet.add("1", 2, entries)
    fleet.run(fleet.now + 10.0)
    assert verdicts(fleet) == {MemberStatus.GONE}
    assert verdicts(fleet, "1.2") == {MemberStatus.ALIVE}
    recovered = {n.membership.gone(fleet.now) for n in fleet.running()}
    assert recovered <= {(VICTIM,), ()}
    assert (VICTIM,) in recovered


def test_a_leaving_router_is_not_suspected() -> None:
    """A router stops as planned and says so.

    The others ask nothing more of it, and nobody raises a suspicion while it
    finishes what it has in progress.
    """
    fleet = settled()
    victim = fleet.nodes[address(1)]
    fleet.send(address(1), victim, victim.membership.leave())
    fleet.run(fleet.now + 5.0)
    assert verdicts(fleet) == {MemberStatus.LEAVING}
    assert all(VICTIM not in n.membership.alive() for n in others(fleet))
    assert sum(n.membership.suspicions for n in fleet.running()) == 0


def test_what_the_list_calls_leaving_is_not_turned_to() -> None:
    fleet = settled()
    entries = [Listed(str(n), address(n), leaving=n == 1) for n in range(SIZE)]
    for node in others(fleet):
        node.membership.read_list(entries)
        assert VICTIM not in node.membership.alive()


@pytest.mark.parametrize(
    "network",
    [Network(loss=0.05), Network(lag=0.1), Network(delay=0.1, jitter=0.1)],
    ids=["loss", "busy", "slow"],
)
def test_no_false_verdict_under_load(network: Network) -> None:
    """The fleet is busy or its network poor, and no router has failed.

    Suspicions may be raised, but each is refuted in time.
    """
    fleet = settled(SIZE, network)
    fleet.run(fleet.now + 300.0)
    statuses = {
        member.update.status
        for node in fleet.running()
        for member in node.membership.view.members.values()
    }
    assert MemberStatus.GONE not in statuses


def test_many_that_fall_silent_together_are_left_alone_for_longer() -> None:
    """A region loses the others for two minutes, and all its routers go on serving.

    The larger side calls a third of the fleet gone.  Sealing them would cut their
    streams, and the platform still lists them, so nobody is recovered yet; if the
    silence lasts, they are.
    """
    fleet = settled()
    side = {address(n) for n in range(3)}
    fleet.cut = lambda sender, receiver: (sender in side) != (receiver in side)
    large = fleet.nodes[address(8)].membership
    fleet.run(fleet.now + 120.0)
    assert len(large.alive()) == 5
    assert large.gone(fleet.now) == ()
    fleet.run(fleet.now + 300.0)
    assert set(large.gone(fleet.now)) == {"0.1", "1.1", "2.1"}
    small = fleet.nodes[address(0)].membership
    assert small.gone(fleet.now) == ()


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
def test_rows_of_routers_that_are_not_alive_here(
    router: str, unknown_for: float, allowed: bool
) -> None:
    """The table has open rows of incarnations that heartbeats do not show as alive."""
    fleet = settled()
    leaving = fleet.nodes[address(5)]
    fleet.send(address(5), leaving, leaving.membership.leave())
    fleet.run(fleet.now + 5.0)
    asked = fleet.nodes[address(8)].membership
    assert asked.may_recover(router, unknown_for, fleet.now) == allowed


def test_a_router_that_is_cut_off_recovers_no_rows_either() -> None:
    """One router has been cut off from its peers since it started.

    It reads open rows of the whole fleet in the table and knows nobody.
    """
    fleet = start_fleet(SIZE, Network(), MembershipOptions(), 1)
    fleet.cut = lambda sender, receiver: address(1) in (sender, receiver)
    fleet.run(60.0)
    alone = fleet.nodes[address(1)].membership
    assert not any(alone.may_recover(f"{n}.1", 1e6, 60.0) for n in range(2, SIZE))


def test_traffic_does_not_grow_with_the_fleet() -> None:
    rates = []
    for size in (30, 90):
        fleet = settled(size)
        fleet.run(60.0)
        before = sum(node.sent_bytes for node in fleet.running())
        fleet.run(90.0)
        after = sum(node.sent_bytes for node in fleet.running())
        rates.append((after - before) / 30.0 / size)
    assert max(rates) < 1500.0


def test_jobs_move_only_when_their_router_goes() -> None:
    routers = [f"{n}.1" for n in range(9)]
    jobs = [f"job {n}" for n in range(900)]
    before = {job: responsible(job, routers) for job in jobs}
    after = {job: responsible(job, routers[1:]) for job in jobs}
    moved = {job for job in jobs if before[job] != after[job]}
    assert moved == {job for job in jobs if before[job] == routers[0]}
    assert 60 < len(moved) < 140
    assert responsible("job", []) is None
