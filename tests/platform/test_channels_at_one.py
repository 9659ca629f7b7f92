"""Most new connections of callers at one gateway, for some seconds."""

from __future__ import annotations

import random
import signal
import time
from pathlib import Path

import anyio
import httpx
import pytest

from tests.platform.fleet import CONTACT_TIME, running_gateways, wait_until_ready
from tests.platform.kit import Gateway, configuration

pytestmark = pytest.mark.anyio

FLEET = 5
"""Number of gateways."""

ENGINES = "a" * 6
"""The failure domains of the engines."""

AT_ONE = 0.9
"""Share of the new connections that one gateway gets."""

USUAL_RATE = 10.0
"""Requests per second before, each on a connection of its own; three times as many
while most are at one gateway."""

TIME = 8.0
"""Seconds for which most new connections are at one gateway."""

SERVED = 0.75
"""Share of the usual first attempts that are to be served meanwhile."""


@pytest.fixture
def anyio_backend() -> str:
    """Run on asyncio, as the gateways do."""
    return "asyncio"


async def ask(gateway: Gateway, key: str, request: str, found: list[bool]) -> None:
    """Ask for a stream of 115 tokens, and record whether it was served whole."""
    headers = {
        "host": "chat.example",
        "x-ebonyhold-request-id": request,
        "x-ebonyhold-key": key,
        "x-ebonyhold-deadline-milliseconds": "4000",
        "x-ebonyhold-token-counts": "100,15",
    }
    url = f"http://{gateway.address}:{gateway.port}/chat/x?pause=0.03&sound=1"
    async with httpx.AsyncClient(verify=False) as client:
        answer = await client.post(url, headers=headers)
    found.append(answer.status_code == 200 and "data: end" in answer.text)


@pytest.mark.parametrize(
    ("key", "restarts"),
    [("key-acme", False), ("key-vast", True)],
    ids=["budget nearly spent", "gateway just started"],
)
async def test_gateway_that_gets_most_connections_serves_them(
    tmp_path: Path, key: str, restarts: bool
) -> None:
    """Guards against a gateway that lacks tokens or servers for all callers at once."""
    rng, before, meanwhile = random.Random(115), list[bool](), list[bool]()
    async with running_gateways(tmp_path, FLEET, configuration(), ENGINES) as soak:
        await wait_until_ready(soak)
        await anyio.sleep(CONTACT_TIME)
        one = soak.gateways[0]
        async with anyio.create_task_group() as tasks:
            for number in range(int(2 * USUAL_RATE)):
                gateway = rng.choice(soak.gateways)
                tasks.start_soon(ask, gateway, key, f"before-{number}", before)
                await anyio.sleep(1 / USUAL_RATE)
        if restarts:
            one.send(signal.SIGKILL)
            await anyio.sleep(0.5)
            soak.start(one)
            await wait_until_ready(soak)
        began = time.monotonic()
        async with anyio.create_task_group() as tasks:
            for number in range(int(TIME * 3 * USUAL_RATE)):
                at_one = rng.random() < AT_ONE
                gateway = one if at_one else rng.choice(soak.gateways[1:])
                tasks.start_soon(ask, gateway, key, f"most-{number}", meanwhile)
                due = began + (number + 1) / (3 * USUAL_RATE)
                await anyio.sleep(max(0.0, due - time.monotonic()))
    usual = sum(before) / len(before)
    assert sum(meanwhile) / len(meanwhile) >= SERVED * usual
