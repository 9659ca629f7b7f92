"""Odd rows in all tables of the store, with real gateway processes."""

from __future__ import annotations

import base64
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import anyio
import pytest

from tests.gateway.test_odd_rows import (
    ODD_BUDGETS,
    ODD_LIMITS,
    OUT_OF_RANGE,
    UNREADABLE,
)
from tests.platform.fleet import GATEWAYS, book, calling, gateways, wait_until_ready
from tests.platform.kit import configuration

pytestmark = pytest.mark.anyio

ENTRIES = 1000
"""Number of odd entries in the list of servers."""


@pytest.fixture
def anyio_backend() -> str:
    """Run on asyncio, as the gateways do."""
    return "asyncio"


def raw(value: bytes) -> dict[str, str]:
    """Return a row's value that consists of any bytes."""
    return {"base64": base64.b64encode(value).decode()}


def unreadable_rows() -> dict[str, Any]:
    """Return rows of all tables that are no rows of a router, by key."""
    values = [raw(value) for value in UNREADABLE.values()]
    rows: dict[str, Any] = {}
    for number in range(ENTRIES):
        rows[f"servers//odd-{number}"] = values[number % len(values)]
    for number, value in enumerate(values):
        for place in ("op//", "routers//", "observations//", "versions//"):
            rows[f"{place}odd-{number}"] = value
        rows[f"op//evacuate/odd-{number}"] = value
        rows[f"limits/odd-{number}/row"] = value
        rows[f"prepaid/odd-{number}/budget"] = value
    return rows


def odd_routers() -> dict[str, Any]:
    """Return rows of routers with odd names and values."""
    usual = {"router": "r", "address": "127.0.0.1:1", "relay_key": "k"}
    return {
        f"routers//{name}-{number}": {**usual, **odd}
        for number, (name, odd) in enumerate(OUT_OF_RANGE.values())
    }


ODD_ROWS: dict[str, Callable[[], dict[str, Any]]] = {
    "unreadable": unreadable_rows,
    "routers": odd_routers,
    "budget": lambda: {"prepaid/blue/budget": ODD_BUDGETS["huge"]},
    "evacuation": lambda: {"op//evacuate/\ud800": {}},
    "versions": lambda: {"versions//models": {"versions": ["\ud800", "\r\n"]}},
}
"""Rows that other programs have written, by key; one may hide what others cause."""


def batches(rows: dict[str, Any], size: int) -> list[dict[str, Any]]:
    """Return rows in groups of a size."""
    items = [*rows.items()]
    return [dict(items[at : at + size]) for at in range(0, len(items), size)]


@pytest.mark.parametrize("rows", ODD_ROWS.values(), ids=[*ODD_ROWS])
async def test_odd_rows_end_no_process(
    tmp_path: Path, rows: Callable[[], dict[str, Any]]
) -> None:
    """Processes ended by themselves, or stopped following a table with an odd row."""
    rules = configuration()
    async with gateways(tmp_path) as soak, calling(soak) as answers:
        for some in batches(rows(), 100):
            await soak.post_writes({"rows": some})
        await anyio.sleep(3.0)
        killed_at = time.monotonic()
        odd = {**ODD_LIMITS["rate no number"], "address": soak.gateways[0].address}
        soak.kill(soak.gateways[0])
        await soak.write("limits/vm-0/row", odd)
        soak.start(soak.gateways[0])
        await wait_until_ready(soak)
        ready_at = time.monotonic()
        await soak.write("op//config", {**rules, "version": 2})
        await anyio.sleep(5.0)
        logs = [gateway.log.read_text() for gateway in soak.gateways]
        codes = [gateway.exit_codes for gateway in soak.gateways]
        running = [gateway.process.poll() for gateway in soak.gateways]  # type: ignore[union-attr]
    failed = [
        line for text in logs for line in text.splitlines() if "task failed" in line
    ]
    assert failed == []
    assert (codes[1:], running) == ([[], []], [None] * GATEWAYS)
    lost = [at for at, status in answers if status != 200]
    assert not [at for at in lost if not killed_at <= at <= ready_at]
    for text in logs:
        assert '"rules": 2' in text


@pytest.mark.parametrize("odd", [b"{", b"[" * 5_000], ids=["not JSON", "nested"])
async def test_odd_entry_of_a_live_engine_ends_no_answer(
    tmp_path: Path, odd: bytes
) -> None:
    """An entry that another program has overwritten must not cut its answers."""
    statuses: list[int] = []

    async def call(number: int) -> None:
        gateway = soak.gateways[number % GATEWAYS]
        query = "pause=1.5&sound=1"
        statuses.append(await book(gateway, f"slow-{number}", query))

    async with gateways(tmp_path) as soak:
        async with anyio.create_task_group() as tasks:
            for number in range(18):
                tasks.start_soon(call, number)
            await anyio.sleep(0.5)
            await soak.write("servers//i-0", raw(odd))
        removed_at = time.monotonic()
        async with calling(soak) as answers:
            await anyio.sleep(2.0)
        records = await soak.engine_records()
        logs = [gateway.log.read_text() for gateway in soak.gateways]
    runs = [run for run in records["runs"] if run[7] == "i-0"]
    assert [run for run in runs if run[0].startswith("slow-")]
    assert statuses == [200] * 18
    assert [run for run in runs if run[4] > removed_at]
    assert all("server entry ignored" in text for text in logs)
    assert {status for _, status in answers} == {200}


async def test_process_starts_beside_an_odd_configuration(tmp_path: Path) -> None:
    """A process must wait for a configuration that it can read, and not end."""
    async with gateways(tmp_path) as soak:
        started, running = soak.gateways[0], soak.gateways[1:]
        await soak.write("op//config", raw(b"[" * 5_000))
        await soak.write("op//evacuate/b", {})
        soak.replace(started)
        await anyio.sleep(2.0)
        assert [await book(one, f"odd-{one.number}") for one in running] == [200, 200]
        assert started.process is not None and started.process.poll() is None
        await soak.write("op//config", {**configuration(), "version": 2})
        await wait_until_ready(soak)
        # The process before may have read the configuration in its last moments.
        text = started.log.read_text().rpartition('"starting"')[2]
    assert text.count("configuration rejected") == 1
    assert "task failed" not in text
    assert '"evacuations changed"' in text
