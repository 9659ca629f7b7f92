"""Measure membership: detection, false suspicions, traffic, processor time.

Run ``python -m ebonyhold.experiments.membership``.  Fleets run on a virtual clock
(`BeatFleet`); the processor time is that of real sockets on loopback.
"""

from __future__ import annotations

import contextlib
import random
import resource
import socket
import statistics
import time
from collections.abc import Callable
from pathlib import Path

import anyio
from attrs import evolve, field, frozen
from rich.console import Console
from rich.table import Table

from ebonyhold.coordination import MembershipOptions, MemberStatus
from ebonyhold.experiments._beat_fleet import BeatFleet, Network, Node, start_fleet
from ebonyhold.routers import (
    KeyRing,
    PeerKey,
    PeerMessage,
    PeerNetwork,
    VersionNotice,
)
from ebonyhold.types import RouterId, Seconds

SIZES = (3, 9, 30, 100, 330)
SEED = 7
STEP: Seconds = 0.1
STEADY: Seconds = 60.0
JOIN_LIMIT: Seconds = 300.0
VERDICT_LIMIT: Seconds = 180.0
DEATHS = 3
MESSAGES = 3000
REAL_SIZES = (9, 30)
REAL_SETTLE: Seconds = 10.0
REAL_TIME: Seconds = 20.0

console = Console(width=110)


@frozen
class Joining:
    """How a fleet found itself after all its routers started within a second."""

    most: Seconds
    all: Seconds
    bytes_per_second: float


@frozen
class Death:
    """How long after a death the others noticed, in seconds."""

    suspected: Seconds
    first_gone: Seconds
    all_gone: Seconds


@frozen
class Trouble:
    """One kind of load without any real failure.

    Attributes:
        name: What it is.
        network: How messages travel.
        pause: For how long a random router is paused, in seconds.
        every: How often that happens, in seconds; 0 for never.
    """

    name: str
    network: Network = field(factory=Network)
    pause: Seconds = 0.0
    every: Seconds = 0.0


TROUBLES = (
    Trouble("none"),
    Trouble("1% lost", Network(loss=0.01)),
    Trouble("5% lost", Network(loss=0.05)),
    Trouble("40 ms away", Network(delay=0.04, jitter=0.02)),
    Trouble("busy, 50 ms late", Network(lag=0.05)),
    Trouble("busy, 200 ms late", Network(lag=0.2)),
    Trouble("pauses of 2 s", pause=2.0, every=10.0),
    Trouble("pauses of 8 s", pause=8.0, every=30.0),
)


def known_part(fleet: BeatFleet) -> float:
    """Return which part of the others the routers know, over all routers."""
    nodes = fleet.running()
    known = sum(len(node.membership.alive()) for node in nodes)
    return known / (len(nodes) * (len(nodes) - 1))


def bytes_sent(fleet: BeatFleet) -> int:
    """Return the bytes that all routers have sent."""
    return sum(node.sent_bytes for node in fleet.running())


def wait_until(fleet: BeatFleet, holds: Callable[[], bool], limit: Seconds) -> Seconds:
    """Let time pass until something holds; return how long it took."""
    start = fleet.now
    while not holds() and fleet.now < start + limit:
        fleet.run(fleet.now + STEP)
    return fleet.now - start


def measure_joining(fleet: BeatFleet) -> Joining:
    """Measure how a fleet that has just started finds itself."""
    most = wait_until(fleet, lambda: known_part(fleet) >= 0.99, JOIN_LIMIT)
    rate = bytes_sent(fleet) / len(fleet.nodes) / fleet.now
    rest = wait_until(fleet, lambda: known_part(fleet) >= 1.0, JOIN_LIMIT)
    return Joining(most, most + rest, rate)


def measure_death(fleet: BeatFleet, number: int, *, unlisted: bool) -> Death:
    """Stop one router and measure when the others notice."""
    victim = fleet.nodes[f"10.0.0.{number}:7300"]
    router = victim.membership.own_update.router
    victim.up = False
    if unlisted:
        drop_from_lists(fleet, str(number))
    start = fleet.now

    def statuses() -> set[MemberStatus]:
        views = [node.membership.view.members for node in fleet.running()]
        return {view[router].update.status for view in views}

    def passed(holds: Callable[[], bool]) -> Seconds:
        wait_until(fleet, holds, VERDICT_LIMIT)
        return fleet.now - start

    return Death(
        passed(lambda: statuses() != {MemberStatus.ALIVE}),
        passed(lambda: MemberStatus.GONE in statuses()),
        passed(lambda: statuses() == {MemberStatus.GONE}),
    )


def drop_from_lists(fleet: BeatFleet, name: str) -> None:
    """Give all routers a list without one name."""
    for node in fleet.running():
        listed = node.membership.view.listed or {}
        entries = [entry for entry in listed.values() if entry.name != name]
        node.membership.update_list(entries)


def mean_death(deaths: list[Death]) -> Death:
    """Return the mean of several deaths."""
    return Death(
        statistics.mean(death.suspected for death in deaths),
        statistics.mean(death.first_gone for death in deaths),
        statistics.mean(death.all_gone for death in deaths),
    )


def show_fleets() -> None:
    """Measure joining, traffic and detection by fleet size."""
    table = Table(
        "routers", "99% known s", "all known s", "joining B/s", "steady B/s",
        "messages/s", "suspected s", "first gone s", "all gone s", "unlisted: all s",
        title="One router of each fleet, means; 1 to 2 ms apart",
    )  # fmt: skip
    for size in SIZES:
        fleet = start_fleet(size, Network(), MembershipOptions(), SEED)
        joining = measure_joining(fleet)
        fleet.run(fleet.now + STEADY)
        before, messages = bytes_sent(fleet), sum(n.sent for n in fleet.running())
        fleet.run(fleet.now + STEADY)
        share = STEADY * size
        rate = (bytes_sent(fleet) - before) / share
        sent = (sum(n.sent for n in fleet.running()) - messages) / share
        deaths = min(DEATHS, (size - 1) // 2)
        listed = [measure_death(fleet, n, unlisted=False) for n in range(deaths)]
        mean = mean_death(listed)
        unlisted = measure_death(fleet, deaths, unlisted=True)
        figures = (joining.most, joining.all, joining.bytes_per_second, rate, sent)
        times = (mean.suspected, mean.first_gone, mean.all_gone, unlisted.all_gone)
        table.add_row(str(size), *(f"{x:.1f}" for x in (*figures, *times)))
    console.print(table)


def show_troubles() -> None:
    """Count suspicions and verdicts where nothing has failed."""
    table = Table(
        "trouble", "routers", "suspicions/h/router", "gone verdicts",
        "seen gone at the end",
        title="Ten minutes without a failure",
    )  # fmt: skip
    for trouble in TROUBLES:
        for size in (9, 100):
            table.add_row(trouble.name, str(size), *measure_trouble(trouble, size))
    console.print(table)


def measure_trouble(trouble: Trouble, size: int) -> tuple[str, str, str]:
    """Run a fleet in trouble and count what it believes wrongly."""
    fleet = start_fleet(size, trouble.network, MembershipOptions(), SEED)
    fleet.run(60.0)
    before = sum(node.membership.suspicion_count for node in fleet.running())
    rng = random.Random(SEED)
    verdicts: set[tuple[RouterId, int]] = set()
    end = fleet.now + 600.0
    next_pause = fleet.now
    while fleet.now < end:
        if trouble.every and fleet.now >= next_pause:
            victim = rng.choice(fleet.running())
            victim.paused_until = fleet.now + trouble.pause
            next_pause += trouble.every
        fleet.run(fleet.now + 1.0)
        verdicts |= gone_verdicts(fleet.running())
    raised = sum(node.membership.suspicion_count for node in fleet.running()) - before
    left = len(gone_verdicts(fleet.running()))
    return f"{raised * 6 / size:.1f}", str(len(verdicts)), str(left)


def gone_verdicts(nodes: list[Node]) -> set[tuple[RouterId, int]]:
    """Return which incarnations somebody takes for gone, at which revision."""
    return {
        (member.update.router, member.update.revision)
        for node in nodes
        for member in node.membership.view.members.values()
        if not member.present
    }


def free_address() -> str:
    """Return a free port on loopback.

    It is below the range from which systems choose ports by themselves, where
    another process may take it before it is used.
    """
    while True:
        address = f"127.0.0.1:{random.randrange(20_000, 30_000)}"
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind(("127.0.0.1", int(address.rpartition(":")[2])))
            return address


async def measure_processor() -> tuple[float, float]:
    """Return processor microseconds for a notice and for a question answered."""
    ring = KeyRing((PeerKey("k1", b"1" * 32),))
    quiet = MembershipOptions(period=0.05, answer_timeout=0.02)
    one = PeerNetwork("a.1", "d", free_address(), ring, None, options=quiet)
    seeds = (one.membership.own_update.address,)
    two = PeerNetwork("b.1", "d", free_address(), ring, None, seeds, options=quiet)
    heard = anyio.Event()
    count = 0

    async def answer(sender: RouterId, message: PeerMessage) -> PeerMessage:
        nonlocal count
        count += 1
        if count == MESSAGES:
            heard.set()
        return message

    two.handle(VersionNotice, answer)
    async with anyio.create_task_group() as tasks:
        await tasks.start(one.run)
        await tasks.start(two.run)
        while not (one.alive() and two.alive()):  # noqa: ASYNC110 - no event for it
            await anyio.sleep(0.01)
        for network in (one, two):
            slow = evolve(network.membership.options, period=5.0)
            network.membership.options = slow
        await anyio.sleep(0.2)
        notice = VersionNotice(7, "d" * 64)
        start = time.process_time()
        for number in range(MESSAGES):
            await one.send("b.1", notice)
            if number % 16 == 0:
                await anyio.sleep(0.002)
        with anyio.move_on_after(5):
            await heard.wait()
        notices = (time.process_time() - start) / max(count, 1)
        start = time.process_time()
        for _ in range(MESSAGES // 3):
            await one.ask("b.1", notice, VersionNotice, 5.0)
        questions = (time.process_time() - start) / (MESSAGES // 3)
        tasks.cancel_scope.cancel()
    return notices * 1e6, questions * 1e6


async def measure_real_fleet(size: int) -> tuple[float, float]:
    """Run routers on real sockets in this process.

    Returns:
        The part of a core that one takes, and its memory in MB.
    """
    ring = KeyRing((PeerKey("k1", b"1" * 32),))
    before = resident()
    first = PeerNetwork("0.1", "d", free_address(), ring, None)
    seeds = (first.membership.own_update.address,)
    rest = [
        PeerNetwork(f"{number}.1", "d", free_address(), ring, None, seeds)
        for number in range(1, size)
    ]
    networks = [first, *rest]
    async with anyio.create_task_group() as tasks:
        for network in networks:
            await tasks.start(network.run)
        while any(len(one.alive()) < size - 1 for one in networks):  # noqa: ASYNC110
            await anyio.sleep(0.1)
        await anyio.sleep(REAL_SETTLE)
        start = time.process_time()
        await anyio.sleep(REAL_TIME)
        share = (time.process_time() - start) / REAL_TIME / size
        memory = (resident() - before) / size
        tasks.cancel_scope.cancel()
    return share, memory


def resident() -> float:
    """Return this process's resident memory, in MB."""
    pages = int(Path("/proc/self/statm").read_text(encoding="ascii").split()[1])
    return pages * resource.getpagesize() / 1e6


def measure_state(size: int) -> tuple[float, float]:
    """Return processor microseconds of one router for a tick and a received beat."""
    fleet = start_fleet(size, Network(), MembershipOptions(), SEED)
    fleet.run(30.0)
    node, other = fleet.running()[:2]
    target = node.membership
    start = time.process_time()
    rounds = 300
    for number in range(rounds):
        target.tick(fleet.now + number)
    tick = (time.process_time() - start) / rounds
    (out,) = other.membership.leave()[:1]
    start = time.process_time()
    for number in range(rounds):
        target.receive(other.membership.own_update.router, out.beat, fleet.now + number)
    return tick * 1e6, (time.process_time() - start) / rounds * 1e6


def show_processor() -> None:
    """Measure processor time."""
    notice, question = anyio.run(measure_processor)
    table = Table("what", "µs, or as said", title="Processor time, both ends together")
    table.add_row("notice, from send to handler", f"{notice:.0f}")
    table.add_row("question and answer", f"{question:.0f}")
    for size in (9, 330):
        tick, beat = measure_state(size)
        table.add_row(f"protocol: tick, {size} routers", f"{tick:.0f}")
        table.add_row(f"protocol: heartbeat received, {size} routers", f"{beat:.0f}")
    for size in REAL_SIZES:
        share, memory = anyio.run(measure_real_fleet, size)
        table.add_row(f"{size} real routers: part of a core each", f"{share:.2%}")
        table.add_row(f"{size} real routers: memory each", f"{memory:.2f} MB")
    console.print(table)


def main() -> None:
    """Measure all and print the tables."""
    show_processor()
    show_troubles()
    show_fleets()


if __name__ == "__main__":
    main()
