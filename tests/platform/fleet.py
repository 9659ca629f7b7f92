"""Gateway processes that know each other, and bookings that callers send to them."""

from __future__ import annotations

import signal
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import anyio
import httpx

from tests.platform.kit import ROOT, Gateway, LinkGrid, configuration
from tests.platform.soak._run import PROGRAM, SoakRun

GATEWAYS = 3

CONTACT_TIME = 3.0
"""Seconds within which the platform expects routers to learn from each other."""


CALL_PAUSE = 0.05
"""Seconds between two bookings of one caller."""


def most_within(seconds: float, times: Sequence[float]) -> int:
    """Return the maximum number of times within some seconds."""
    return max(
        (sum(first <= time < first + seconds for time in times) for first in times),
        default=0,
    )


def start_platform(
    port: int, domains: str = "aaa", links: LinkGrid | None = None
) -> subprocess.Popen[bytes]:
    """Start the stand-in of the platform, with an engine in each of some domains."""
    command = [sys.executable, "-m", "tests.platform.standin", str(port), domains]
    return subprocess.Popen([*command, *(links.arguments if links else [])], cwd=ROOT)


@asynccontextmanager
async def running_gateways(
    folder: Path,
    count: int,
    rules: dict[str, Any],
    domains: str = "aaa",
    links: LinkGrid | None = None,
    program: str = PROGRAM,
) -> AsyncIterator[SoakRun]:
    """Run gateways with the stand-in of the platform; kill all at the end."""
    soak = SoakRun(0, 0.0, folder, program, links=links)
    platform = start_platform(soak.base, domains, links)
    try:
        await soak.write("op//config", rules)
        async with anyio.create_task_group() as tasks:
            soak.start_fleet(tasks, count)
            yield soak
            tasks.cancel_scope.cancel()
    finally:
        for gateway in soak.gateways:
            gateway.send(signal.SIGKILL)
            if gateway.process is not None:
                gateway.process.wait()
        platform.kill()
        platform.wait()


@asynccontextmanager
async def gateways(
    folder: Path, domains: str = "aaa", rules: dict[str, Any] | None = None
) -> AsyncIterator[SoakRun]:
    """Run gateways that know each other, and wait until each answers a booking.

    Args:
        folder: Holds the settings files and logs.
        domains: The failure domain of each engine, one letter each.
        rules: The operator's configuration; None for the usual one.
    """
    used = configuration() if rules is None else rules
    async with running_gateways(folder, GATEWAYS, used, domains) as soak:
        await wait_until_ready(soak)
        yield soak


async def wait_until_ready(soak: SoakRun) -> None:
    """Wait until each gateway answers a booking."""
    with anyio.fail_after(20.0):
        for gateway in soak.gateways:
            number = 0
            while await book(gateway, f"first-{gateway.number}-{number}") != 200:
                number += 1
                await anyio.sleep(0.1)


@asynccontextmanager
async def calling(soak: SoakRun) -> AsyncIterator[list[tuple[float, int]]]:
    """Send bookings to all gateways; yield the time and status of each answer.

    The ids of the bookings begin with ``call-`` and the gateway's number.
    """
    answers: list[tuple[float, int]] = []

    async def call(gateway: int) -> None:
        number = 0
        while True:
            number += 1
            status = await book(soak.gateways[gateway], f"call-{gateway}-{number}")
            answers.append((time.monotonic(), status))
            await anyio.sleep(CALL_PAUSE)

    async with anyio.create_task_group() as tasks:
        for gateway in range(GATEWAYS):
            tasks.start_soon(call, gateway)
        yield answers
        tasks.cancel_scope.cancel()


async def book(
    gateway: Gateway, request: str, query: str = "sound=1", path: str = "/book/x"
) -> int:
    """Send a booking, and return the status of its answer; 0 if there is none."""
    return (await booking(gateway, request, query, path))[0]


async def booking(
    gateway: Gateway, request: str, query: str = "sound=1", path: str = "/book/x"
) -> tuple[int, str]:
    """Send a booking, and return the status and Retry-After of its answer."""
    headers = {
        "host": "book.example",
        "x-ebonyhold-request-id": request,
        "x-ebonyhold-key": "key-vast",
        "x-ebonyhold-deadline-milliseconds": "2500",
    }
    url = f"http://{gateway.address}:{gateway.port}{path}?{query}"
    async with httpx.AsyncClient(verify=False) as client:
        try:
            answer = await client.post(url, headers=headers, content=b"same content")
        except httpx.TransportError:
            return 0, ""
    return answer.status_code, answer.headers.get("retry-after", "")
