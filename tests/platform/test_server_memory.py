"""The memory of servers, with real gateway processes under more load than fits."""

from __future__ import annotations

import math
import time
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import anyio
import httpx
import pytest

from tests.platform.fleet import GATEWAYS, gateways
from tests.platform.kit import Gateway, configuration, settings
from tests.platform.soak import _run

pytestmark = pytest.mark.anyio

PROMPT, MAX_OUTPUT = 800, 200
"""Tokens of each request."""

MEMORY = 12_000
"""Tokens that an engine's memory holds: 12 requests.

An own share holds one of them, and a lender's quarter three: nine in all.
"""

CALLERS = 12
"""Callers at each gateway, three times as many as fit into all engines."""

TARGET = "/chat/x?events=8&pause=0.05&sound=1"

HOST_HEADERS = {
    "host": "chat.example",
    "x-ebonyhold-key": "key-vast",
    "x-ebonyhold-deadline-milliseconds": "4000",
    "x-ebonyhold-token-counts": f"{PROMPT},{MAX_OUTPUT}",
}


@pytest.fixture
def anyio_backend() -> str:
    """Run on asyncio, as the gateways do."""
    return "asyncio"


def rules() -> dict[str, Any]:
    """Return the usual configuration, with engines whose memory is stated."""
    found = configuration()
    for service in found["services"]:
        service["engine"].update({"slots": 64, "kv-cache-tokens": MEMORY})
    return found


def pressed_settings(*arguments: Any) -> str:
    """Return the usual settings, where servers crash above their memory."""
    return 'contracts = ["pressure"]\n' + settings(*arguments)


async def call(gateway: Gateway, caller: int, answers: list[tuple[float, str]]) -> None:
    """Ask one gateway for streams until cancelled; record the outcomes."""
    url = f"http://{gateway.address}:{gateway.port}{TARGET}"
    async with httpx.AsyncClient(verify=False, timeout=6.0) as client:
        number = 0
        while True:
            number += 1
            name = f"memory-{gateway.number}-{caller}-{number}"
            headers = {**HOST_HEADERS, "x-ebonyhold-request-id": name}
            try:
                answer = await client.post(url, headers=headers)
            except httpx.TransportError:
                outcome = "none"
            else:
                code = answer.status_code
                outcome = "200" if code == 200 else answer.json()["error"]
            answers.append((time.monotonic(), outcome))
            await anyio.sleep(0.02 if outcome == "200" else 0.1)


def most_used(runs: Sequence[Sequence[Any]]) -> Counter[str]:
    """Return the most memory that runs used at once, by engine."""
    changes: list[tuple[float, int, str]] = []
    for _, _, _, _, began, ended, _, engine in runs:
        size = PROMPT + MAX_OUTPUT
        changes += [(began, size, engine), (ended or time.monotonic(), -size, engine)]
    used, most = Counter[str](), Counter[str]()
    for _, change, engine in sorted(changes):
        used[engine] += change
        most[engine] = max(most[engine], used[engine])
    return most


async def test_engines_never_get_more_than_fits_while_a_lender_is_killed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The next process of a lender knows none of the leases of the one before."""
    monkeypatch.setattr(_run, "settings", pressed_settings)
    answers: list[tuple[float, str]] = []
    async with (
        gateways(tmp_path, "abc", rules()) as soak,
        anyio.create_task_group() as tasks,
    ):
        # By then the gateways have counted each other three times.
        await anyio.sleep(7.0)
        for gateway in soak.gateways:
            for caller in range(CALLERS):
                tasks.start_soon(call, gateway, caller, answers)
        await anyio.sleep(4.0)
        killed_at = time.monotonic()
        soak.replace(soak.gateways[0])
        await anyio.sleep(6.0)
        records = await soak.engine_records()
        tasks.cancel_scope.cancel()
    runs = [run for run in records["runs"] if run[0].startswith("memory-")]
    whole, before, after = (
        most_used([run for run in runs if begin <= run[4] < end])
        for begin, end in (
            (0.0, math.inf),
            (0.0, killed_at),
            (killed_at + 2.0, math.inf),
        )
    )
    outcomes = Counter(code for _, code in answers)
    assert max(whole.values()) <= MEMORY, (whole, outcomes)
    # More than the own shares of all gateways together were in flight: leases work.
    shares = GATEWAYS * (PROMPT + MAX_OUTPUT)
    assert max(before.values()) > shares, (before, outcomes)
    assert max(after.values()) > shares, (after, outcomes)
    assert outcomes["servers_memory_full"], outcomes
