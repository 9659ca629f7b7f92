"""Routers on real sockets: discovery, refused messages, key rotation and faults."""

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
    KEY,
    TEST_TIMEOUT,
    network,
    pair,
    running,
    until,
)


def push(address: str, *messages: bytes) -> None:
    """Send raw bytes as messages, as anyone who can reach the port may do."""
    with pynng.Push0(dial=f"tcp://{address}", block_on_dial=True) as sender:
        for message in messages:
            sender.send(message)


async def answer(sender: RouterId, message: PeerMessage) -> PeerMessage:
    return TransferGiven("acme", "t1", 5 if sender == "a.1" else 0)


@pytest.mark.parametrize("backend", BACKENDS)
def test_routers_find_each_other_and_answer(backend: str) -> None:
    async def run() -> None:
        one = network("a.1")
        two = network("b.1", (one.membership.own_update.address,))
        three = network("c.1", (one.membership.own_update.address,))
        two.handle(TransferRequest, answer)
        async with running(one, two, three):
            await until(lambda: set(one.alive()) == {"b.1", "c.1"})
            await until(lambda: set(three.alive()) == {"a.1", "b.1"})
            reply = await one.ask(
                "b.1", TransferRequest("acme", 5), TransferGiven, TEST_TIMEOUT
            )
            assert reply == TransferGiven("acme", "t1", 5)

    anyio.run(run, backend=backend)


@pytest.mark.parametrize(
    ("listed", "alive", "min_delay", "max_delay"),
    [
        (0, 0, 0.0, 0.0),
        (8, 8, 0.0, 0.0),
        (8, 4, 0.0, 0.0),
        (8, 3, 1.5, 1.5 + 8 / 30),
        (329, 0, 1.5, 1.5 + 329 / 30),
        (None, 0, 1.5, 1.5 + 9 / 30),
    ],
)
def test_startup_delay(
    listed: int | None, alive: int, min_delay: float, max_delay: float
) -> None:
    """One router starts alone, or all start at the same time after a power failure.

    If at least half of the listed routers are alive, the router starts at once.
    Otherwise it checks for 1.5 seconds, and then waits for a random time of up to 1/30
    of a second per listed router, so that the routers do not all read from the platform
    at the same time.
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
        assert min_delay <= anyio.current_time() - start <= max_delay + 0.001

    options = {"clock": MockClock(autojump_threshold=0)}
    anyio.run(run, backend="trio", backend_options=options)


def test_malformed_messages_do_not_stop_the_receiver() -> None:
    """Someone who can reach the port sends malformed and oversized messages.

    The router must count them and continue to communicate with its peers.
    """

    async def run() -> None:
        one, two = pair()
        two.handle(TransferRequest, answer)
        async with running(one, two):
            noise = [b"", b"x" * 50, b"\x00" * 3000, b"\x93" * 70_000]
            address = two.membership.own_update.address
            await anyio.to_thread.run_sync(push, address, *noise)
            await until(lambda: two.refused["malformed"] >= 3)
            await until(lambda: two.refused["oversized"] == 1)
            await until(lambda: one.alive() == ("b.1",))
            await one.ask(
                "b.1", TransferRequest("acme", 5), TransferGiven, TEST_TIMEOUT
            )

    anyio.run(run)


def test_a_router_with_a_wrong_key_is_refused() -> None:
    """One of two VMs has a wrong key.

    The refusals must be counted, and neither router may mark the other as alive.
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
    """Operators add a new key to both routers and then remove the old one.

    After each step both routers must still receive messages.
    """
    monkeypatch.setattr(_network, "KEYS_INTERVAL", 0.02)
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
        two = network("b.1", (one.membership.own_update.address,), rings[1])
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


def test_a_message_to_an_earlier_incarnation_is_refused() -> None:
    """A router is sealed while a peer's message to it is under way.

    The router continues as a new incarnation on the same address, which must refuse the
    message.  The peer then learns of the new incarnation and marks the old one as gone.
    """

    async def run() -> None:
        one, two = pair()
        async with running(one, two):
            await until(lambda: one.alive() == ("b.1",))
            late = one.envelopes.seal(b"", "b.1", "")
            two.start_incarnation("b.2")
            await anyio.to_thread.run_sync(
                push, two.membership.own_update.address, late
            )
            await until(lambda: two.refused["other_receiver"] >= 1)
            await until(lambda: one.alive() == ("b.2",))
            old = one.membership.view.members["b.1"]
            assert old.update.status is MemberStatus.GONE
            assert one.recoverable() == ("b.1",)

    anyio.run(run)


def test_a_replayed_message_is_handled_once() -> None:
    """Someone on the network records a message and sends it three times."""
    received = []

    async def receive(sender: RouterId, message: PeerMessage) -> None:
        received.append(message)

    async def run() -> None:
        one, two = pair()
        two.handle(VersionNotice, receive)
        async with running(one, two):
            await until(lambda: one.alive() == ("b.1",))
            frame = Frame(Purpose.NOTICE, 0, VersionNotice(3, "d"))
            sealed = one.envelopes.seal(encode(frame), "b.1", "")
            address = two.membership.own_update.address
            await anyio.to_thread.run_sync(push, address, sealed, sealed, sealed)
            await until(lambda: two.refused["replayed"] == 2)
            await until(lambda: len(received) > 0)

    anyio.run(run)
    assert received == [VersionNotice(3, "d")]


def test_running_handlers_are_limited(monkeypatch: pytest.MonkeyPatch) -> None:
    """A peer sends messages faster than the handlers finish.

    Messages above the limit must be refused and counted, and heartbeats continue.
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
            await until(lambda: two.running_handlers == 0)

    anyio.run(run)


@pytest.mark.parametrize("backend", BACKENDS)
def test_a_crashed_peer_does_not_end_the_others(backend: str) -> None:
    """One of three routers crashes, and the others continue to send to it.

    The queue to the crashed router fills up, and further messages are dropped.  The
    other two must mark it as not alive and still receive each other's messages.
    """

    async def run() -> None:
        one, two = pair()
        three = network("c.1", (one.membership.own_update.address,))
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
