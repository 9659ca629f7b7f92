"""Routers on real sockets."""

from __future__ import annotations

import contextlib
import logging
import random
import socket
import types
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import anyio
import pynng
import pytest
from attrs import evolve
from trio.testing import MockClock

from ebonyhold.coordination import (
    Listed,
    MembershipOptions,
    MemberStatus,
    MemberUpdate,
)
from ebonyhold.exceptions import UnavailableError
from ebonyhold.routers import (
    KeyRing,
    PeerKey,
    PeerMessage,
    PeerNetwork,
    TransferGiven,
    TransferRequest,
    VersionNotice,
    _network,
)
from ebonyhold.routers._exchange import Frame, Purpose
from ebonyhold.routers._wire import encode
from ebonyhold.types import RouterId

BACKENDS = ["asyncio", "trio"]
FAST = MembershipOptions(period=0.05, answer_within=0.02)
KEY = PeerKey("k1", b"1" * 32)
GUARD = 20.0


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


def network(
    name: str, seeds: tuple[str, ...] = (), ring: KeyRing | None = None
) -> PeerNetwork:
    keys = ring or KeyRing((KEY,))
    return PeerNetwork(name, "d1", free_address(), keys, None, seeds, options=FAST)


def pair(ring: KeyRing | None = None) -> tuple[PeerNetwork, PeerNetwork]:
    """Return two routers, of which the second knows the first's address."""
    one = network("a.1")
    return one, network("b.1", (one.membership.me.address,), ring)


@asynccontextmanager
async def running(*networks: PeerNetwork) -> AsyncIterator[None]:
    with anyio.fail_after(GUARD):
        async with anyio.create_task_group() as tasks:
            for one in networks:
                await tasks.start(one.run)
            yield
            tasks.cancel_scope.cancel()


async def until(condition: Callable[[], bool]) -> None:
    while not condition():  # noqa: ASYNC110 - the views offer no event to wait for
        await anyio.sleep(0.01)


def push(address: str, *messages: bytes) -> None:
    """Send raw messages, as anybody on the network can."""
    with pynng.Push0(dial=f"tcp://{address}", block_on_dial=True) as sender:
        for message in messages:
            sender.send(message)


async def answer(sender: RouterId, message: PeerMessage) -> PeerMessage:
    return TransferGiven("acme", "t1", 5 if sender == "a.1" else 0)


@pytest.mark.parametrize("backend", BACKENDS)
def test_routers_find_each_other_and_answer(backend: str) -> None:
    async def run() -> None:
        one = network("a.1")
        two = network("b.1", (one.membership.me.address,))
        three = network("c.1", (one.membership.me.address,))
        two.handle(TransferRequest, answer)
        async with running(one, two, three):
            await until(lambda: set(one.alive()) == {"b.1", "c.1"})
            await until(lambda: set(three.alive()) == {"a.1", "b.1"})
            reply = await one.ask(
                "b.1", TransferRequest("acme", 5), TransferGiven, GUARD
            )
            assert reply == TransferGiven("acme", "t1", 5)

    anyio.run(run, backend=backend)


@pytest.mark.parametrize(
    ("listed", "alive", "least", "most"),
    [
        (0, 0, 0.0, 0.0),
        (8, 8, 0.0, 0.0),
        (8, 4, 0.0, 0.0),
        (8, 3, 1.5, 1.5 + 8 / 30),
        (329, 0, 1.5, 1.5 + 329 / 30),
        (None, 0, 1.5, 1.5 + 9 / 30),
    ],
)
def test_a_start_waits_for_its_turn(
    listed: int | None, alive: int, least: float, most: float
) -> None:
    """All routers start after a power cut, or only this one does.

    Alone it starts at once; among many it takes its part of the time that all
    of them need.
    """

    async def run() -> None:
        keys = KeyRing((KEY,))
        one = PeerNetwork("a.1", "d1", "127.0.0.1:1", keys, None)
        view = one.membership.view
        if listed is not None:
            view.listed = {
                str(n): Listed(str(n), f"10.0.0.{n}:1") for n in range(listed)
            }
        for number in range(alive):
            update = MemberUpdate(f"{number}.1", "10.0.0.1:1", "d", MemberStatus.ALIVE)
            view.merge(update, 0.0)
        start = anyio.current_time()
        await one.wait_for_start()
        assert least <= anyio.current_time() - start <= most + 0.001

    options = {"clock": MockClock(autojump_threshold=0)}
    anyio.run(run, backend="trio", backend_options=options)


def test_garbage_does_not_stop_the_listener() -> None:
    """Somebody who can reach the port sends noise, and a lot of it.

    The router counts it and goes on talking to its peers.
    """

    async def run() -> None:
        one, two = pair()
        two.handle(TransferRequest, answer)
        async with running(one, two):
            noise = [b"", b"x" * 50, b"\x00" * 3000, b"\x93" * 70_000]
            address = two.membership.me.address
            await anyio.to_thread.run_sync(push, address, *noise)
            await until(lambda: two.refused["malformed"] >= 3)
            await until(lambda: two.refused["oversized"] == 1)
            await until(lambda: one.alive() == ("b.1",))
            await one.ask("b.1", TransferRequest("acme", 5), TransferGiven, GUARD)

    anyio.run(run)


def test_a_router_with_a_wrong_key_is_refused() -> None:
    """One VM was set up with the wrong key.

    Neither side takes it for alive, and both count what they refused.
    """

    async def run() -> None:
        one, two = pair(KeyRing((PeerKey("k9", b"9" * 32),)))
        async with running(one, two):
            await until(lambda: one.refused["unknown_key"] >= 3)
            assert one.alive() == two.alive() == ()

    anyio.run(run)


def test_keys_rotate_without_a_stop(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Operators bring a new key to both routers, then take the old one away.

    The routers never lose each other: nobody is suspected at any step.
    """
    monkeypatch.setattr(_network, "KEYS_PERIOD", 0.02)
    old, new = "k1:" + "01" * 32, "k2:" + "02" * 32
    files = [tmp_path / "one", tmp_path / "two"]
    for path in files:
        path.write_text(old, encoding="ascii")

    async def put(path: Path, ring: KeyRing, *lines: str) -> None:
        await anyio.Path(path).write_text("\n".join(lines), encoding="ascii")
        names = tuple(line.split(":")[0] for line in lines)
        await until(lambda: ring.identifiers == names)

    async def run() -> None:
        rings = [KeyRing.load(path) for path in files]
        one = network("a.1", (), rings[0])
        two = network("b.1", (one.membership.me.address,), rings[1])
        async with running(one, two):
            await until(lambda: one.alive() == ("b.1",) and two.alive() == ("a.1",))
            steps = [(0, (new, old)), (1, (new, old)), (0, (new,)), (1, (new,))]
            for place, lines in steps:
                await put(files[place], rings[place], *lines)
                received = one.received, two.received
                await until(lambda r=received: one.received > r[0] + 3)  # type: ignore[misc]
                await until(lambda r=received: two.received > r[1] + 3)  # type: ignore[misc]
            assert one.alive() == ("b.1",)
            assert two.alive() == ("a.1",)

    anyio.run(run)


def test_a_message_for_the_incarnation_before_is_refused() -> None:
    """A router is sealed while a peer's message to it is under way.

    It goes on at once as a new incarnation on the same address.  The message
    arrives there and is refused; the peer soon knows the new one, and takes the
    old one for gone.
    """

    async def run() -> None:
        one, two = pair()
        async with running(one, two):
            await until(lambda: one.alive() == ("b.1",))
            late = one.envelopes.seal(b"", "b.1", "")
            two.become("b.2")
            await anyio.to_thread.run_sync(push, two.membership.me.address, late)
            await until(lambda: two.refused["other_receiver"] >= 1)
            await until(lambda: one.alive() == ("b.2",))
            old = one.membership.view.members["b.1"]
            assert old.update.status is MemberStatus.GONE
            assert one.gone() == ("b.1",)

    anyio.run(run)


def test_a_doubled_message_is_handled_once() -> None:
    """A message is recorded on the network and sent again."""
    heard = []

    async def hear(sender: RouterId, message: PeerMessage) -> None:
        heard.append(message)

    async def run() -> None:
        one, two = pair()
        two.handle(VersionNotice, hear)
        async with running(one, two):
            await until(lambda: one.alive() == ("b.1",))
            frame = Frame(Purpose.NOTICE, 0, VersionNotice(3, "d"))
            sealed = one.envelopes.seal(encode(frame), "b.1", "")
            address = two.membership.me.address
            await anyio.to_thread.run_sync(push, address, sealed, sealed, sealed)
            await until(lambda: two.refused["replayed"] == 2)
            await until(lambda: len(heard) > 0)

    anyio.run(run)
    assert heard == [VersionNotice(3, "d")]


def test_a_flood_of_questions_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """A peer asks faster than the handlers answer.

    What exceeds the bound is dropped and counted; heartbeats go on.
    """
    monkeypatch.setattr(_network, "MAX_HANDLERS", 2)

    async def run() -> None:
        one, two = pair()
        release = anyio.Event()

        async def wait(sender: RouterId, message: PeerMessage) -> None:
            await release.wait()

        two.handle(VersionNotice, wait)
        async with running(one, two):
            await until(lambda: one.alive() == ("b.1",))
            for number in range(10):
                await one.send("b.1", VersionNotice(number, ""))
            await until(lambda: two.refused["busy"] == 8)
            received = two.received
            await until(lambda: two.received > received + 3)
            release.set()
            await until(lambda: two.running == 0)

    anyio.run(run)


def test_the_list_brings_routers_together() -> None:
    """Routers know each other only by the platform's list, which has engines too."""

    def entry(name: str, address: str, role: str) -> types.SimpleNamespace:
        return types.SimpleNamespace(
            name=name, address=address, domain="d", state="live", role=role
        )

    async def run() -> None:
        one, two = network("a.1"), network("b.1")
        entries = [
            entry("a", one.membership.me.address, "entry"),
            entry("b", two.membership.me.address, "entry"),
            entry("e", "127.0.0.1:9", "backend"),
        ]

        async def source() -> list[types.SimpleNamespace]:
            return entries

        one.source = source
        async with running(one, two):
            await until(lambda: one.alive() == ("b.1",) and two.alive() == ("a.1",))
            (status,) = one.status()
            assert status.listed
            assert status.heard_ago is not None
            two.leave()
            await until(lambda: one.status()[0].status is MemberStatus.LEAVING)

    anyio.run(run)


def test_list_is_read_again_soon_after_a_failure() -> None:
    """Guards against routers that serve for seconds before they know each other."""
    one = network("a.1")
    reads: list[float] = []

    async def source() -> list[types.SimpleNamespace]:
        reads.append(anyio.current_time())
        if len(reads) < 2:
            raise UnavailableError("the membership list was not read yet")
        return []

    async def run() -> None:
        with anyio.move_on_after(10.0):
            await one.follow_list(source)

    anyio.run(
        run,
        backend="trio",
        backend_options={"clock": MockClock(autojump_threshold=0)},
    )
    first, second, third = reads[:3]
    assert second - first < 0.2
    assert third - second > 3.0


def test_changes_of_belief_are_logged(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against logs from which nobody can tell why a router was not recovered."""
    one = network("a.1")

    async def run() -> None:
        update = MemberUpdate("b.1", "10.0.0.1:1", "d", MemberStatus.ALIVE, started=1)
        for changed in (
            update,
            update,
            evolve(update, status=MemberStatus.SUSPECT),
            evolve(update, router="b.2", started=2),
        ):
            one.membership.learn(changed, anyio.current_time())

    with caplog.at_level(logging.INFO):
        anyio.run(run)
    lines = [one for one in caplog.records if one.msg == "router status changed"]
    told = [
        (vars(line)["member"], vars(line)["before"], vars(line)["status"])
        for line in lines
    ]
    assert told == [
        ("b.1", None, "alive"),
        ("b.1", "alive", "suspect"),
        ("b.2", None, "alive"),
        ("b.1", "suspect", "gone"),
    ]


@pytest.mark.parametrize("backend", BACKENDS)
def test_a_dead_peer_does_not_end_the_others(backend: str) -> None:
    """One of three routers dies, and the others go on sending to it.

    Its socket takes nothing, its queue fills up, and what does not fit is
    dropped; the other two call it gone and still hear each other.
    """

    async def run() -> None:
        one, two = pair()
        three = network("c.1", (one.membership.me.address,))
        async with running(one, two):
            async with anyio.create_task_group() as tasks:
                await tasks.start(three.run)
                await until(lambda: set(one.alive()) == {"b.1", "c.1"})
                tasks.cancel_scope.cancel()
            for number in range(200):
                await one.send("c.1", VersionNotice(number, ""))
            await until(lambda: one.counters.dropped > 0)
            await until(lambda: one.alive() == ("b.1",) and two.alive() == ("a.1",))
            received = one.received
            await until(lambda: one.received > received + 3)

    anyio.run(run, backend=backend)
