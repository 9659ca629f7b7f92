"""Many membership parts on one virtual clock, with delays, losses and pauses.

It drives the product's own state machine and codec; only sockets and clocks are
replaced, by one queue of events.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable

from attrs import define, field, frozen

from ebonyhold.coordination import (
    Listed,
    Membership,
    MembershipOptions,
    MemberStatus,
    MemberUpdate,
    Outgoing,
)
from ebonyhold.routers._exchange import Frame, Purpose
from ebonyhold.routers._wire import Gossip, encode
from ebonyhold.types import RouterId, Seconds

ENVELOPE_BYTES = 106
"""What header and seal add to a frame, measured with names of this length."""

PACKET_BYTES = 92
"""TCP, IP and nng headers, and half an acknowledgement, for each message."""


@frozen
class Network:
    """How messages travel.

    Attributes:
        delay: One way, in seconds.
        jitter: The most that is added, in seconds.
        loss: The part of the messages that is lost.
        lag: The mean time by which a busy process acts late, in seconds.
    """

    delay: Seconds = 0.001
    jitter: Seconds = 0.001
    loss: float = 0.0
    lag: Seconds = 0.0


@define
class Node:
    """One router of the fleet."""

    membership: Membership
    up: bool = True
    paused_until: Seconds = 0.0
    sent: int = 0
    sent_bytes: int = 0


@define
class BeatFleet:
    """The fleet and its clock.

    Attributes:
        network: How messages travel.
        options: The protocol's times and bounds.
        rng: Where all randomness comes from.
        now: The time, in seconds.
        nodes: The routers by address.
        cut: Says between which addresses nothing arrives.
        list_lag: How late the platform's list is, in seconds.
    """

    network: Network
    options: MembershipOptions
    rng: random.Random
    now: Seconds = 0.0
    nodes: dict[str, Node] = field(factory=dict)
    cut: Callable[[str, str], bool] = lambda sender, receiver: False
    events: list[tuple[Seconds, int, Callable[[], None]]] = field(factory=list)
    numbers: itertools.count[int] = field(factory=itertools.count)

    def add(self, name: str, boot: int, listed: list[Listed]) -> Node:
        """Start a router that has read this list."""
        address = f"10.0.0.{name}:7300"
        me = MemberUpdate(
            f"{name}.{boot}",
            address,
            f"domain-{int(name) % 17}",
            MemberStatus.ALIVE,
            started=boot,
        )
        rng = random.Random(self.rng.random())
        node = Node(Membership(me, rng, self.now, self.options))
        node.membership.update_list(listed)
        self.nodes[address] = node
        self.at(node.membership.wake_at, lambda: self.tick(address, node))
        return node

    def at(self, when: Seconds, action: Callable[[], None]) -> None:
        """Do something later."""
        heapq.heappush(self.events, (when, next(self.numbers), action))

    def run(self, until: Seconds) -> None:
        """Let time pass."""
        while self.events and self.events[0][0] <= until:
            self.now, _, action = heapq.heappop(self.events)
            action()
        self.now = until

    def tick(self, address: str, node: Node) -> None:
        """Run one router's timer, late if it is busy or paused."""
        if not node.up:
            return
        if self.now < node.paused_until:
            self.at(node.paused_until, lambda: self.tick(address, node))
            return
        self.send(address, node, node.membership.tick(self.now))
        wake = max(node.membership.wake_at, self.now) + self.lag()
        self.at(wake, lambda: self.tick(address, node))

    def send(self, address: str, node: Node, beats: list[Outgoing]) -> None:
        """Put heartbeats on their way."""
        sender = node.membership.own_update.router
        for out in beats:
            size = len(encode(Frame(Purpose.NOTICE, 0, Gossip(out.beat))))
            node.sent += 1
            node.sent_bytes += size + ENVELOPE_BYTES + PACKET_BYTES
            if self.rng.random() < self.network.loss:
                continue
            wait = self.network.delay + self.network.jitter * self.rng.random()
            wait += self.lag()
            self.at(self.now + wait, self.delivery(address, sender, out))

    def delivery(
        self, source: str, sender: RouterId, out: Outgoing
    ) -> Callable[[], None]:
        """Return what happens when a heartbeat arrives."""

        def deliver() -> None:
            node = self.nodes.get(out.address)
            if node is None or not node.up or self.cut(source, out.address):
                return
            if self.now < node.paused_until:
                self.at(node.paused_until, deliver)
                return
            if out.to not in ("", node.membership.own_update.router):
                return
            answers = node.membership.receive(
                sender, out.beat, self.now, to_this_incarnation=bool(out.to)
            )
            self.send(out.address, node, answers)

        return deliver

    def lag(self) -> Seconds:
        """Return by how much a process acts late this time."""
        mean = self.network.lag
        return self.rng.expovariate(1 / mean) if mean else 0.0

    def running(self) -> list[Node]:
        """Return the routers that are up."""
        return [node for node in self.nodes.values() if node.up]


def start_fleet(
    size: int, network: Network, options: MembershipOptions, seed: int
) -> BeatFleet:
    """Start a fleet whose routers all read the same list, within one second."""
    fleet = BeatFleet(network, options, random.Random(seed))
    listed = [
        Listed(f"{n}", f"10.0.0.{n}:7300", f"domain-{n % 17}") for n in range(size)
    ]
    for entry in listed:
        fleet.add(entry.name, 1, listed)
    return fleet
