"""Benchmarks of one router process against direct calls, each a ratio in one run."""

from __future__ import annotations

import collections
import os
import sys
import time
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import anyio
import httpx
from attrs import evolve, frozen
from hdrh.histogram import HdrHistogram
from rich.console import Console
from rich.table import Table

from ebonyhold.document import Document, load_document
from ebonyhold.env import processor_seconds
from ebonyhold.experiments._callers import KEY_PREFIX
from ebonyhold.experiments._local_fleet import LocalFleet, local_fleet
from ebonyhold.types import Seconds, Tokens

EXAMPLE = Path(__file__).parents[2] / "examples" / "lenha-serrana.yaml"
ENGINES = 3
WARM_UP = 30
LATENCY_CALLS = 300
THROUGHPUT_CALLS = 600
THROUGHPUT_AT_ONCE = 32
STREAMS = 24
STREAM_TOKENS: Tokens = 335
LETTER_RATE = 20.0
"""Requests a second at one node, in the users' letter: 6,400 / 330."""

LETTER_SECONDS: Seconds = 10.0
TARGET_CORE = 0.5
MICROSECONDS = 1_000_000
FAST_ENGINE = (
    "--step",
    "0.002",
    "--step-each",
    "0",
    "--prefill-rate",
    "10000000",
    "--least",
    str(STREAM_TOKENS),
    "--most",
    str(STREAM_TOKENS),
)


@frozen
class Target:
    """Where to send chats: a router, or an engine itself."""

    name: str
    urls: tuple[str, ...]
    headers: dict[str, str]


@frozen
class Latency:
    """Percentiles of one target, in seconds."""

    p50: Seconds
    p99: Seconds


@frozen
class Flow:
    """What went through in a time.

    Attributes:
        requests: Answers.
        chunks: Streamed chunks.
        seconds: The time.
        processor: Processor seconds of the router's process.
    """

    requests: int
    chunks: int
    seconds: Seconds
    processor: Seconds = 0.0


class Calls:
    """Sends chats to a target, and numbers them so that no two prompts are equal."""

    def __init__(self, client: httpx.AsyncClient, target: Target, model: str) -> None:
        self.client = client
        self.target = target
        self.model = model
        self.serial = 0
        self.refused: collections.Counter[str] = collections.Counter()

    def request(self, tokens: Tokens, *, stream: bool) -> httpx.Request:
        """Build the next chat."""
        self.serial += 1
        url = self.target.urls[self.serial % len(self.target.urls)]
        body = {
            "model": self.model,
            "messages": [{"role": "user", "content": f"oak {self.serial}"}],
            "max_tokens": tokens,
            "stream": stream,
        }
        attempt = {"X-Attempt-Id": f"bench~{os.getpid()}~{id(self)}~{self.serial}"}
        return self.client.build_request(
            "POST",
            f"{url}/v1/chat/completions",
            json=body,
            headers={**self.target.headers, **attempt},
        )

    async def whole(self, tokens: Tokens = 1) -> None:
        """Ask for a whole answer."""
        response = await self.client.send(self.request(tokens, stream=False))
        if response.is_error:
            self.refused[str(response.json()["error"]["code"])] += 1

    async def stream(self, tokens: Tokens) -> int:
        """Ask for a streamed answer; return its chunks."""
        chunks = 0
        request = self.request(tokens, stream=True)
        response = await self.client.send(request, stream=True)
        if response.is_error:
            await response.aread()
            self.refused[str(response.json()["error"]["code"])] += 1
            return 0
        async for part in response.aiter_raw():
            chunks += part.count(b"data: ")
        await response.aclose()
        return chunks


async def measure_latency(calls: Calls) -> Latency:
    """Send short whole chats one after the other."""
    for _ in range(WARM_UP):
        await calls.whole()
    histogram = HdrHistogram(1, 60 * MICROSECONDS, 3)
    for _ in range(LATENCY_CALLS):
        began = time.perf_counter()
        await calls.whole()
        histogram.record_value(int((time.perf_counter() - began) * MICROSECONDS))
    return Latency(
        histogram.get_value_at_percentile(50) / MICROSECONDS,
        histogram.get_value_at_percentile(99) / MICROSECONDS,
    )


async def measure_requests(calls: Calls, pid: int) -> Flow:
    """Send short whole chats, many at once."""
    left = THROUGHPUT_CALLS

    async def work() -> None:
        nonlocal left
        while left > 0:
            left -= 1
            await calls.whole()

    return await timed(work, THROUGHPUT_AT_ONCE, pid, lambda: (THROUGHPUT_CALLS, 0))


async def measure_streams(calls: Calls, pid: int) -> Flow:
    """Stream long answers, many at once, as fast as they come."""
    chunks = 0

    async def work() -> None:
        nonlocal chunks
        for _ in range(2):
            got = await calls.stream(STREAM_TOKENS)
            chunks += got

    return await timed(work, STREAMS, pid, lambda: (2 * STREAMS, chunks))


async def measure_letter(calls: Calls, pid: int) -> Flow:
    """Send the load of one node of the letter, at its pace."""
    chunks = 0
    count = int(LETTER_RATE * LETTER_SECONDS)

    async def one() -> None:
        nonlocal chunks
        got = await calls.stream(STREAM_TOKENS)
        chunks += got

    async def paced() -> None:
        began = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            for number in range(count):
                await anyio.sleep_until(began + number / LETTER_RATE)
                tasks.start_soon(one)

    return await timed(paced, 1, pid, lambda: (count, chunks))


async def timed(
    work: Callable[[], Coroutine[Any, Any, None]],
    at_once: int,
    pid: int,
    counted: Callable[[], tuple[int, int]],
) -> Flow:
    """Run a piece of work so many times at once, and take the time of it."""
    processor = processor_seconds(pid)
    began = time.perf_counter()
    async with anyio.create_task_group() as tasks:
        for _ in range(at_once):
            tasks.start_soon(work)
    seconds = time.perf_counter() - began
    requests, chunks = counted()
    return Flow(requests, chunks, seconds, processor_seconds(pid) - processor)


@asynccontextmanager
async def bench_fleet() -> AsyncIterator[LocalFleet]:
    """Run one router before a few fast engines."""
    async with local_fleet(bench_document(), 1, FAST_ENGINE) as fleet:
        yield fleet


def bench_document() -> Document:
    """Return an example's document, for a few engines with room for all streams."""
    document = load_document(EXAMPLE)
    engines = tuple(evolve(one, slots=64) for one in document.backends[:ENGINES])
    # One router has the whole table here, so nothing but the table bounds it.
    limits = evolve(document.limits, table_writes=300.0, table_reads=2000.0)
    return evolve(document, backends=engines, services=(), limits=limits)


async def run(console: Console) -> None:
    """Run all benchmarks and print their table."""
    limits = httpx.Limits(max_connections=None)
    async with (
        bench_fleet() as fleet,
        httpx.AsyncClient(timeout=60, limits=limits) as client,
    ):
        (router,) = fleet.routers
        workspace = fleet.document.workspaces[0].name
        model = fleet.document.models[0].model
        direct = Calls(
            client,
            Target("direct", tuple(one.url for one in fleet.backends.values()), {}),
            model,
        )
        key = {"Authorization": f"Bearer {KEY_PREFIX}{workspace}"}
        routed = Calls(client, Target("router", (router.url,), key), model)
        pid = router.process.pid
        latencies = [await measure_latency(one) for one in (direct, routed)]
        requests = [await measure_requests(one, pid) for one in (direct, routed)]
        streams = [await measure_streams(one, pid) for one in (direct, routed)]
        letter = await measure_letter(routed, pid)
    print_table(console, latencies, requests, streams, letter)
    refused = ", ".join(f"{code}: {n}" for code, n in routed.refused.items())
    console.print(f"requests refused by the router: {refused or 'none'}")


def print_table(
    console: Console,
    latencies: list[Latency],
    requests: list[Flow],
    streams: list[Flow],
    letter: Flow,
) -> None:
    """Print the figures of direct calls, of the router, and their ratio."""
    table = Table(title="one router process against direct calls")
    for name in ("figure", "direct", "router", "ratio"):
        table.add_column(name, justify="left" if name == "figure" else "right")

    def row(name: str, direct: float, router: float, form: str) -> None:
        table.add_row(
            name, form.format(direct), form.format(router), f"{router / direct:.2f}"
        )

    row("latency p50, ms", latencies[0].p50 * 1e3, latencies[1].p50 * 1e3, "{:.2f}")
    row("latency p99, ms", latencies[0].p99 * 1e3, latencies[1].p99 * 1e3, "{:.2f}")
    rates = [flow.requests / flow.seconds for flow in requests]
    row("whole chats a second", rates[0], rates[1], "{:.0f}")
    flows = [flow.chunks / flow.seconds for flow in streams]
    row("streamed chunks a second", flows[0], flows[1], "{:.0f}")
    console.print(table)
    routed = streams[1]
    per_token = routed.processor / routed.chunks * 1e6
    console.print(f"processor time per streamed token, router: {per_token:.1f} us")
    per_chat = requests[1].processor / requests[1].requests * 1e3
    console.print(f"processor time per short whole chat, router: {per_chat:.2f} ms")
    core = letter.processor / letter.seconds
    console.print(
        f"the letter's node, {LETTER_RATE:.0f} requests/s of {STREAM_TOKENS} tokens for"
        f" {LETTER_SECONDS:.0f} s: {letter.chunks / letter.seconds:.0f} chunks/s,"
        f" {core:.2f} of a core (target {TARGET_CORE}: {core / TARGET_CORE:.1f} times)"
    )


def main() -> int:
    """Run the benchmarks."""
    anyio.run(run, Console())
    return 0


if __name__ == "__main__":
    sys.exit(main())
