"""Helpers for tests with routers on real sockets."""

from __future__ import annotations

import contextlib
import random
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import anyio

from ebonyhold.coordination import MembershipOptions
from ebonyhold.routers import KeyRing, PeerKey, PeerNetwork

BACKENDS = ["asyncio", "trio"]
FAST = MembershipOptions(period=0.05, answer_timeout=0.02)
KEY = PeerKey("k1", b"1" * 32)
TEST_TIMEOUT = 20.0


def free_address() -> str:
    """Return a loopback address with a free port.

    The port is below the ephemeral range, so that no outgoing connection of another
    process takes it before it is used.
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
    """Return two routers; the second has the keys in `ring`, by default the same key.

    The address of the first router is a seed of the second.
    """
    one = network("a.1")
    return one, network("b.1", (one.membership.own_update.address,), ring)


@asynccontextmanager
async def running(*networks: PeerNetwork) -> AsyncIterator[None]:
    """Run routers; fail if the block takes longer than `TEST_TIMEOUT`."""
    with anyio.fail_after(TEST_TIMEOUT):
        async with anyio.create_task_group() as tasks:
            for one in networks:
                await tasks.start(one.run)
            yield
            tasks.cancel_scope.cancel()


async def until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds, checking it every 10 ms."""
    while not condition():  # noqa: ASYNC110 - the views have no event to wait for
        await anyio.sleep(0.01)
