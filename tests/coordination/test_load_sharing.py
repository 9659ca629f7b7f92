"""A fleet that shares its load, on a virtual network and clock."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from attrs import define, field

from ebonyhold.coordination import (
    LoadSharing,
    LoadTotal,
    Participant,
    ServerRun,
    ServerShare,
    Stamp,
    rank_collectors,
    run_key,
)
from ebonyhold.coordination._load_sharing import UNCHANGED_INTERVAL
from ebonyhold.coordination._load_totals import TotalView

INTERVAL = 0.1
KEY = run_key(ServerRun("server-1", 1))
FAST = {"a0": 8.0, "a1": 7.0, "b0": 8.0, "b1": 7.0}


def nothing_lost(sender: str, receiver: str) -> bool:
    return False


@define(eq=False)
class Net:
    """Routers of two failure domains, named by the domain and a number.

    Attributes:
        routers: The running routers.
        now: The time.
        requests: The requests of each router at the server.
        lost: Returns whether a message from one router to another is lost.
        sent: Number of messages sent by each router.
    """

    size: int = 4
    routers: dict[str, LoadSharing] = field(factory=dict)
    now: float = 100.0
    requests: int = 1
    lost: Callable[[str, str], bool] = nothing_lost
    sent: dict[str, int] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        for domain in "ab":
            for number in range(self.size):
                self.start(f"{domain}{number}", 1)

    def start(self, name: str, epoch: int) -> None:
        """Start a router, or its next run."""
        names = [f"{domain}{number}" for domain in "ab" for number in range(self.size)]
        fleet = {each: Participant(each[0], FAST.get(each, 1.0)) for each in names}
        self.routers[name] = LoadSharing(name, name[0], epoch)
        self.routers[name].update(fleet, self.now)

    def run(self, seconds: float, frozen: tuple[str, ...] = ()) -> None:
        """Let all routers make their steps, one after the other in each interval."""
        for _ in range(round(seconds / INTERVAL)):
            for name, router in list(self.routers.items()):
                self.now += INTERVAL / len(self.routers)
                if name in frozen:
                    continue
                shares = {KEY: ServerShare(self.requests, 10, 100)}
                for to, message in router.step(shares, self.now, INTERVAL, INTERVAL):
                    self.sent[name] = self.sent.get(name, 0) + 1
                    target = self.routers.get(to)
                    if target and to not in frozen and not self.lost(name, to):
                        target.receive(name, message, self.now)

    def known(self, name: str) -> int | None:
        """Return how many requests of others a router knows of; None if too old."""
        view = self.routers[name].view
        return None if view.age(self.now) is None else view.share(KEY).requests

    def all_known(self) -> set[int | None]:
        return {self.known(name) for name in self.routers}

    def collectors(self) -> list[str]:
        return [name for name, router in self.routers.items() if router.collects]


def test_all_routers_know_the_others_load() -> None:
    net = Net()
    net.run(1.5)
    assert net.all_known() == {7}
    assert net.collectors() == ["a0", "b0"]
    net.sent.clear()
    net.run(10.0)
    # Unchanged reports are sent less often than at each interval.
    most = 10.0 / UNCHANGED_INTERVAL + 1
    assert max(n for name, n in net.sent.items() if name not in ("a0", "b0")) <= most


@pytest.mark.parametrize(
    ("killed", "collectors"),
    [
        (("a0",), ["a1", "b0"]),
        (("a0", "a1"), ["a2", "b0"]),
        (("a0", "a1", "b0", "b1"), ["a2", "b2"]),
    ],
)
def test_killed_collectors_are_replaced(
    killed: tuple[str, ...], collectors: list[str]
) -> None:
    """Presence rows name routers that are dead, as they do for half a minute."""
    net = Net()
    # Equal links would be ranked by hashing.
    for router in net.routers.values():
        fleet = {n: Participant(n[0], 9.0 - int(n[1])) for n in router.participants}
        router.update(fleet, net.now)
    net.run(2.0)
    for name in killed:
        del net.routers[name]
    net.run(4.0)
    assert net.collectors() == collectors
    assert net.all_known() == {7 - len(killed)}


@pytest.mark.parametrize(
    ("lost", "steps"),
    [
        # Outdated totals must not be used.
        (lambda sender, receiver: True, [(0.8, 7), (0.3, None)]),
        # Each failure domain goes on with its own sum.
        (lambda sender, receiver: sender[0] != receiver[0], [(1.0, 7), (1.0, 3)]),
        # A killed router counts for a while.
        (lambda sender, receiver: sender == "b3", [(0.2, 7), (1.6, 6)]),
    ],
    ids=["all", "between domains", "one router"],
)
def test_knowledge_after_messages_are_lost(
    lost: Callable[[str, str], bool], steps: list[tuple[float, int | None]]
) -> None:
    net = Net()
    net.run(2.0)
    net.lost = lost
    for seconds, known in steps:
        net.run(seconds)
        assert net.known("a2") == known
    net.lost = nothing_lost
    net.run(1.0)
    assert net.all_known() == {7}


def test_lost_report_is_repeated() -> None:
    """Otherwise a change that was lost would be known 0.7 s later."""
    net = Net()
    net.run(2.0)
    net.requests = 3
    net.lost = lambda sender, receiver: sender == "a2"
    net.run(INTERVAL)
    net.lost = nothing_lost
    net.run(0.4)
    assert net.known("a3") == 21


def test_load_is_at_least_what_a_server_states() -> None:
    """Routers of older builds report nothing; what they had sent ends some time."""
    net = Net()
    net.run(2.0)
    for requests, known in ((30, 29), (3, 7)):
        for _ in range(10):
            net.routers["b0"].record_stated(KEY, requests, net.now)
            net.run(INTERVAL)
        assert net.all_known() == {known}
    net.routers["b0"].record_stated(KEY, 30, net.now)
    net.run(2.0)
    assert net.all_known() == {7}


def test_returning_collector_causes_no_gap() -> None:
    """Its first totals lack most routers, so they must not be used."""
    net = Net()
    net.run(2.0)
    del net.routers["a0"]
    net.run(3.0)
    net.start("a0", 2)
    seen: set[int | None] = set()
    for _ in range(20):
        net.run(INTERVAL)
        seen |= {net.known(name) for name in ("a1", "a2", "a3", "b1")}
    assert seen <= {6, 7}
    assert set(net.collectors()) == {"a0", "b0"}


def test_resumed_collector_is_not_used_at_once() -> None:
    """Guards against totals that a collector gathered before its VM was frozen."""
    net = Net()
    net.run(2.0)
    seen: set[int | None] = set()
    for _ in range(4):
        net.run(1.5, frozen=("a0",))
        for _ in range(5):
            net.run(INTERVAL)
            seen |= {net.known(name) for name in ("a1", "a2", "a3")}
    assert seen <= {6, 7}
    assert net.collectors() == ["a1", "b0"]


@pytest.mark.parametrize("cut", ["both", "to it"])
def test_router_that_hears_nobody_knows_no_load(cut: str) -> None:
    """It must not take what it alone collects for the load of the fleet."""
    net = Net()
    net.run(2.0)
    net.lost = lambda sender, receiver: (
        receiver == "a3" or (cut == "both" and sender == "a3")
    )
    net.run(5.0)
    assert net.known("a3") is None
    assert {net.known(name) for name in ("a0", "a1", "b3")} <= {6, 7}
    assert set(net.collectors()) <= {"a0", "b0", "a3"}


@pytest.mark.parametrize(
    ("own", "included", "others"),
    [
        (1, Stamp(5, 1), 6),
        (2, Stamp(5, 2), 5),
        # A total that includes no report of this router.
        (0, Stamp(), 7),
    ],
)
def test_own_share_is_that_of_the_included_report(
    own: int, included: Stamp, others: int
) -> None:
    """The total may include another than the last report."""
    router = LoadSharing("a1", "a", 5)
    fleet = {"a0": Participant("a", 2.0), "a1": Participant("a", 1.0)}
    router.update(fleet, 0.0)
    router.step({KEY: ServerShare(1)}, 0.0, INTERVAL, INTERVAL)
    router.step({KEY: ServerShare(2)}, 0.1, INTERVAL, INTERVAL)
    shares = {KEY: ServerShare(7)}
    total = LoadTotal(Stamp(9, 1), True, INTERVAL, included, {}, shares)
    assert router.receive("a0", total, 0.2)
    assert router.view.share(KEY).requests == others
    assert router.view.share(run_key(ServerRun("server-1", 2))).requests == 0


@pytest.mark.parametrize(
    ("stamps", "used"),
    [
        ([(9, 1), (9, 2)], [True, True]),
        ([(9, 2), (9, 1)], [True, False]),
        ([(9, 2), (9, 2)], [True, False]),
        # The sender has been restarted.
        ([(9, 7), (3, 1)], [True, True]),
    ],
)
def test_newest_message_counts(stamps: list[tuple[int, int]], used: list[bool]) -> None:
    """Datagrams are duplicated and overtake each other."""
    view = TotalView()
    totals = [LoadTotal(Stamp(*s), True, 0.1, Stamp(), {}, {}) for s in stamps]
    assert [view.add("a0", total, 1.0) for total in totals] == used


def test_delayed_total_is_dropped() -> None:
    """It waited in the socket's buffer while this process was stopped."""
    router = LoadSharing("a1", "a", 5)
    router.update({"a0": Participant("a", 2.0), "a1": Participant("a")}, 0.0)
    router.step({}, 0.0, INTERVAL, INTERVAL)
    total = LoadTotal(Stamp(9, 1), True, INTERVAL, Stamp(5, 1), {}, {})
    assert not router.receive("a0", total, 10.0)


def test_ranking_is_by_link_rate_and_differs_by_domain() -> None:
    rates = {f"vm-{number}": 1.0 for number in range(8)}
    assert rank_collectors({**rates, "vm-5": 2.0}, "a")[0] == "vm-5"
    assert rank_collectors(rates, "a") != rank_collectors(rates, "b")
