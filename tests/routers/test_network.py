"""Routers on real sockets."""

from __future__ import annotations

import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import anyio
import pytest

from ebonyhold.coordination import MembershipOptions
from ebonyhold.routers import (
    FateReply,
    FateRequest,
    KeyRing,
    PeerKey,
    PeerMessage,
    PeerNetwork,
)
from ebonyhold.types import RouterId

BACKENDS = ["asyncio", "trio"]
FAST = MembershipOptions(period=0.05, answer_within=0.02)
KEY = PeerKey("k1", b"1" * 32)
GUARD = 20.0


def free_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def network(name: str, seeds: tuple[str, ...] = ()) -> PeerNetwork:
    ring = KeyRing((KEY,))
    return PeerNetwork(name, "d1", free_address(), ring, None, seeds, options=FAST)


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


async def answer(sender: RouterId, message: PeerMessage) -> PeerMessage:
    return FateReply(running=True, known=sender == "a.1")


@pytest.mark.parametrize("backend", BACKENDS)
def test_routers_find_each_other_and_answer(backend: str) -> None:
    async def run() -> None:
        one = network("a.1")
        two = network("b.1", (one.membership.me.address,))
        three = network("c.1", (one.membership.me.address,))
        two.handle(FateRequest, answer)
        async with running(one, two, three):
            await until(lambda: set(one.alive()) == {"b.1", "c.1"})
            await until(lambda: set(three.alive()) == {"a.1", "b.1"})
            reply = await one.ask("b.1", FateRequest("acme", "r"), FateReply, GUARD)
            assert reply == FateReply(running=True, known=True)

    anyio.run(run, backend=backend)
