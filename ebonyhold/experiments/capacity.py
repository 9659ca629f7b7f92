"""Works out docs/CAPACITY.md: slopes measured here, applied to the letter's size.

``make capacity`` measures for some three minutes and rewrites the tables of the
page between their marks; the words around them stay.
"""

from __future__ import annotations

import re
import sys
import time
from collections.abc import Sequence
from pathlib import Path

import anyio
import httpx
import numpy as np
from attrs import evolve, frozen
from rich.console import Console

from ebonyhold.coordination import MembershipOptions
from ebonyhold.env import processor_seconds, resident_bytes
from ebonyhold.experiments import bench
from ebonyhold.experiments._beat_fleet import Network, start_fleet
from ebonyhold.experiments._callers import KEY_PREFIX
from ebonyhold.experiments._capacity_size import (
    BUDGETS,
    BYTES_LIMIT,
    CHANGES_A_DAY,
    DAY,
    DOCUMENT_CHANGES,
    DOCUMENT_SIZES,
    DOMAINS,
    FAILED_A_DAY,
    FLEETS,
    LOAD_SECONDS,
    LOADS,
    MEMORY_LIMIT,
    NODES,
    OPEN_RUNS,
    PROCESS_SIZES,
    REQUESTS,
    SETTLED,
    STEADY,
    TABLE_WRITES,
    TOKENS,
    WORKSPACES,
    WORKSPACES_IN_USE,
    WRITE_RATES,
    Section,
    fit,
    table,
)
from ebonyhold.experiments._local_fleet import local_fleet
from ebonyhold.experiments._memory_fleet import MemoryFleet, order
from ebonyhold.experiments.configuration_size import make_document, run_one
from ebonyhold.experiments.membership import bytes_sent, measure_processor
from ebonyhold.experiments.money_costs import measure_memory, measure_writes, play
from ebonyhold.types import Seconds

PAGE = Path(__file__).parents[2] / "docs" / "CAPACITY.md"


@frozen
class Load:
    """Processor time of one router's process under one load."""

    requests: float
    tokens: float
    core: float


async def measure_load(rate: float, tokens: int) -> Load:
    """Send a paced load of streamed chats through one real router."""
    async with (
        bench.bench_fleet() as fleet,
        httpx.AsyncClient(
            timeout=60, limits=httpx.Limits(max_connections=None)
        ) as client,
    ):
        (router,) = fleet.routers
        workspace = fleet.document.workspaces[0].name
        key = {"Authorization": f"Bearer {KEY_PREFIX}{workspace}"}
        target = bench.Target("router", (router.url,), key)
        calls = bench.Calls(client, target, fleet.document.models[0].model)
        await calls.stream(tokens)
        count = int(rate * LOAD_SECONDS)
        processor = processor_seconds(router.process.pid)
        began = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            for number in range(count):
                await anyio.sleep_until(began + number / rate)
                tasks.start_soon(calls.stream, tokens)
        lasted = anyio.current_time() - began
        used = processor_seconds(router.process.pid) - processor
        return Load(count / lasted, count * tokens / lasted, used / lasted)


def requests_section() -> Section:
    """Measure the request path's processor time."""
    loads = [anyio.run(measure_load, rate, tokens) for rate, tokens in LOADS]
    known = np.array([[1.0, one.requests, one.tokens] for one in loads])
    base, each, token = np.linalg.lstsq(
        known, np.array([one.core for one in loads]), rcond=None
    )[0]
    rate, flow = REQUESTS / NODES, TOKENS / NODES
    total = float(base + each * rate + token * flow)
    rows = [
        (f"{one.requests:.1f}", f"{one.tokens:.0f}", f"{one.core:.3f}") for one in loads
    ]
    measured = table(("requests/s", "tokens/s", "core"), rows)
    result = (
        "",
        f"Fitted: {base:.3f} of a core idle, {each * 1e3:.1f} ms for each request,"
        f" {token * 1e6:.0f} us for each token. At the letter's node ({rate:.1f}"
        f" requests/s, {flow:.0f} tokens/s): **{total:.2f} of a core**.",
    )
    return Section("requests", (*measured, *result))


def budgets_section() -> Section:
    """Measure the memory of budgets in use."""
    costs = [measure_memory(count) for count in WORKSPACES_IN_USE]
    rows = [
        (str(one.in_use), str(one.budgets), f"{one.growth / 1e6:.2f}") for one in costs
    ]
    line = fit([one.in_use for one in costs], [one.growth for one in costs])
    fits = int((MEMORY_LIMIT / 2 - line.base) / line.slope)
    result = (
        "",
        f"Fitted: {line.slope / 1e3:.1f} KB for each budget in use; a budget that is"
        f" not in use takes nothing here. Half of the 32 MB carries {fits:,} budgets"
        f" in use at one router; all {WORKSPACES:,} workspaces at once would take"
        f" {line.at(WORKSPACES) / 1e6:.0f} MB.",
    )
    measured = table(("budgets in use", "budgets in the table", "MB"), rows)
    return Section("budgets", (*measured, *result))


def bills_section() -> Section:
    """Measure the row writes of intents and bills."""
    costs = [measure_writes(rate, 1000) for rate in WRITE_RATES]
    rows = [
        (
            f"{one.rate:.0f}",
            f"{one.writes:.1f}",
            f"{one.segments:.1f}",
            f"{one.added_p95 * 1e3:.1f}",
        )
        for one in costs
    ]
    line = fit([one.rate for one in costs], [one.writes for one in costs])
    need = NODES * line.at(REQUESTS / NODES)
    carried = TABLE_WRITES / line.slope
    result = (
        "",
        f"Fitted: {line.slope:.2f} row writes for each request. The letter's fleet"
        f" would write {need:,.0f} rows/s; a table of {TABLE_WRITES:.0f} row writes/s"
        f" carries **{carried:.0f} requests/s in all**.",
    )
    headers = ("requests/s", "row writes/s", "segments/s", "added p95, ms")
    return Section("bills", (*table(headers, rows), *result))


def configuration_section() -> Section:
    """Measure what a change costs by the document's size."""
    costs = [run_one(size, DOCUMENT_CHANGES) for size in DOCUMENT_SIZES]
    rows = [
        (
            f"{one.workspaces:,}",
            f"{one.follower_bytes:,.0f}",
            f"{one.follower_time * 1e3:.2f}",
            f"{one.publisher_time * 1e3:.1f}",
            f"{one.held_bytes / 1e6:.1f}",
            f"{one.start_bytes / 1e6:.2f}",
        )
        for one in costs
    ]
    sizes = [one.workspaces for one in costs]
    held = fit(sizes, [one.held_bytes for one in costs]).at(WORKSPACES)
    read = fit(sizes, [one.follower_bytes for one in costs]).at(WORKSPACES)
    spent = fit(sizes, [one.follower_time for one in costs]).at(WORKSPACES)
    result = (
        "",
        f"At {WORKSPACES:,} workspaces and {CHANGES_A_DAY:,} changes a day, for each"
        f" router: {read * CHANGES_A_DAY / DAY:.0f} B/s,"
        f" {spent * CHANGES_A_DAY / DAY * 100:.3f}% of a core,"
        f" {held / 1e6:.1f} MB held.",
    )
    headers = (
        "workspaces",
        "B read a change",
        "router, ms",
        "publisher, ms",
        "MB held",
        "MB read at start",
    )
    return Section("configuration", (*table(headers, rows), *result))


@frozen
class Beats:
    """Heartbeats of one router in a fleet of one size, each second."""

    routers: int
    bytes_sent: float
    messages: float


def measure_beats(size: int) -> Beats:
    """Let a fleet beat under a virtual clock."""
    fleet = start_fleet(size, Network(), MembershipOptions(), seed=7)
    fleet.run(fleet.now + 2 * STEADY)
    sent, messages = bytes_sent(fleet), sum(node.sent for node in fleet.running())
    fleet.run(fleet.now + STEADY)
    share = STEADY * size
    total = sum(node.sent for node in fleet.running())
    return Beats(size, (bytes_sent(fleet) - sent) / share, (total - messages) / share)


def membership_section() -> Section:
    """Measure the traffic of heartbeats by fleet size."""
    beats = [measure_beats(size) for size in FLEETS]
    notice, _ = anyio.run(measure_processor)
    rows = [
        (str(one.routers), f"{one.bytes_sent:.0f}", f"{one.messages:.1f}")
        for one in beats
    ]
    # The traffic grows with the logarithm of the fleet, as suspicions last.
    sizes = [float(np.log2(one.routers)) for one in beats]
    at = float(np.log2(NODES))
    flow = fit(sizes, [one.bytes_sent for one in beats]).at(at)
    messages = fit(sizes, [one.messages for one in beats]).at(at)
    core = 2 * messages * notice / 1e6
    result = (
        "",
        f"Fitted over the logarithm of the fleet's size, at {NODES} routers:"
        f" {flow:.0f} B/s sent ({100 * flow / BYTES_LIMIT:.0f}% of the limit),"
        f" {messages:.1f} messages/s; at {notice:.0f} us for each message sent or"
        f" received that is {core * 100:.2f}% of a core.",
    )
    headers = ("routers", "B/s sent by each", "messages/s sent by each")
    return Section("membership", (*table(headers, rows), *result))


@frozen
class RecoveryCost:
    """What it took to recover a router with so many open runs."""

    runs: int
    rows: int
    seconds: Seconds
    processor: Seconds


def measure_recovery(runs: int) -> RecoveryCost:
    """Kill a router with open runs and let another recover it."""
    found: list[RecoveryCost] = []

    async def story(fleet: MemoryFleet) -> None:
        fleet.table.faults.delay = 0.002
        for number in range(10):
            await fleet.top_up(f"w{number}", 10_000_000, "t")
        manager = await fleet.start("a.1")
        async with anyio.create_task_group() as callers:
            for number in range(runs):
                wish = order(f"w{number % 10}", f"r{number}")
                callers.start_soon(manager.begin, wish)
        fleet.kill("a.1")
        written = fleet.table.writes.used
        began, processor = anyio.current_time(), time.process_time()
        report = await fleet.recover("a.1")
        assert report.closed
        found.append(
            RecoveryCost(
                runs,
                fleet.table.writes.used - written,
                anyio.current_time() - began,
                time.process_time() - processor,
            )
        )

    play(story)
    return found[0]


def recovery_section() -> Section:
    """Measure recovery by the number of open runs."""
    costs = [measure_recovery(runs) for runs in OPEN_RUNS]
    rows = [
        (
            str(one.runs),
            str(one.rows),
            f"{one.seconds:.2f}",
            f"{one.processor * 1e3:.0f}",
        )
        for one in costs
    ]
    line = fit([one.runs for one in costs], [one.rows for one in costs])
    # Requests last some seconds, so a node of the letter has this many open.
    runs = REQUESTS / NODES * TOKENS / REQUESTS * 0.051
    each = line.at(runs)
    rack = NODES / DOMAINS
    result = (
        "",
        f"A node of the letter has {runs:.0f} runs open (51 ms a token), so its"
        f" recovery writes {each:.0f} rows. {FAILED_A_DAY} deaths a day are"
        f" {FAILED_A_DAY * each / DAY:.2f} rows/s; a lost domain ({rack:.0f} routers)"
        f" is {rack * each:,.0f} rows: {rack * each / TABLE_WRITES:.0f} s of the whole"
        " table at once.",
    )
    headers = ("open runs", "rows written", "virtual s at 2 ms a call", "processor, ms")
    return Section("recovery", (*table(headers, rows), *result))


async def measure_process(workspaces: int) -> int:
    """Return the memory of an idle daemon whose document has so many workspaces."""
    document = evolve(
        bench.bench_document(), workspaces=make_document(workspaces).workspaces
    )
    async with local_fleet(document, 1) as fleet:
        await anyio.sleep(SETTLED)
        return resident_bytes(fleet.routers[0].process.pid)


def memory_section() -> Section:
    """Measure the memory of a daemon's process by the document's size."""
    found = [anyio.run(measure_process, size) for size in PROCESS_SIZES]
    rows = [
        (f"{size:,}", f"{held / 1e6:.1f}")
        for size, held in zip(PROCESS_SIZES, found, strict=True)
    ]
    line = fit([float(size) for size in PROCESS_SIZES], [float(one) for one in found])
    result = (
        "",
        f"Fitted: {line.base / 1e6:.0f} MB for an idle process, of which the"
        f" interpreter and the libraries are nearly all, and"
        f" {line.slope / 1e3:.2f} KB for each workspace of the document:"
        f" {line.at(WORKSPACES) / 1e6:.0f} MB at {WORKSPACES:,} workspaces and"
        f" {line.at(BUDGETS) / 1e6:.0f} MB if each of {BUDGETS:,} budgets were one"
        " (extrapolated). Budgets that stand in the table only take nothing.",
    )
    headers = ("workspaces, each with a budget", "the process's own MB")
    return Section("memory", (*table(headers, rows), *result))


SECTIONS = {
    "memory": memory_section,
    "requests": requests_section,
    "budgets": budgets_section,
    "bills": bills_section,
    "configuration": configuration_section,
    "membership": membership_section,
    "recovery": recovery_section,
}


def replace(page: str, section: Section) -> str:
    """Put a section's lines between its marks.

    Raises:
        ValueError: The page has no such marks.
    """
    begin, end = f"<!-- measured: {section.name} -->", f"<!-- end: {section.name} -->"
    pattern = re.compile(f"{re.escape(begin)}.*?{re.escape(end)}", re.DOTALL)
    if not pattern.search(page):
        raise ValueError(f"the page has no marks for {section.name}")
    text = "\n".join((begin, *section.lines, end))
    return pattern.sub(lambda _: text, page)


def main(names: Sequence[str]) -> int:
    """Measure the named sections, or all, and rewrite the page."""
    console = Console()
    for name in names or SECTIONS:
        section = SECTIONS[name]()
        console.print(f"[bold]{name}[/bold]")
        console.print("\n".join(section.lines), markup=False)
        PAGE.write_text(replace(PAGE.read_text("utf-8"), section), "utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
