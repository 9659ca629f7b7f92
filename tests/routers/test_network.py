"""Routers on real sockets."""

from __future__ import annotations

from pathlib import Path

import anyio
import pynng
import pytest
from trio.testing import MockClock

from ebonyhold.coordination import (
    Listed,
    MemberStatus,
    MemberUpdate,
)
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
from tests.routers.kit import (
    BACKENDS,
    GUARD,
    KEY,
    network,
    pair,
    running,
    until,
)


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
