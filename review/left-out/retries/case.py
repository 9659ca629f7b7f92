"""All processes are killed at once while a service is full."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parents[1] / "kit-3"))
from world import (  # noqa: E402
    BOUNDS,
    Engine,
    Machine,
    Record,
    Run,
    Store,
    ask,
    encode,
    new_id,
    now,
    run_case,
)

MACHINES = 3
ENGINES = 4
PER_S = 6.0
WORK = 2.0
END = 34.0
busy: dict[str, int] = {}
arrivals: list[tuple[float, str]] = []
sent: list[float] = []


async def answer(run: Run, writer: asyncio.StreamWriter) -> bool:
    """Work on one request at a time; turn the others away."""
    arrivals.append((now(), run.request))
    if busy.get(run.engine):
        fields = {
            "x-ebonyhold-request-id": run.request,
            "x-ebonyhold-not-executed": "1",
        }
        writer.write(encode(503, fields, b""))
        return True
    busy[run.engine] = 1
    try:
        await asyncio.sleep(WORK)
    finally:
        busy[run.engine] = 0
    writer.write(encode(200, run.identity(), b"booked"))
    return True


async def consume(machines: list[Machine], at: int, record: Record) -> None:
    """Send a request, and once more to the next machine if it is refused."""
    first = now()
    for attempt in range(2):
        left = 4.0 - (now() - first)
        machine = machines[(at + attempt) % len(machines)]
        name = new_id()
        sent.append(now())
        reply = await ask(
            machine,
            [
                "POST /book/x HTTP/1.1",
                "host: book.example",
                f"x-ebonyhold-request-id: {name}",
                "x-ebonyhold-key: key-acme",
                f"x-ebonyhold-deadline-milliseconds: {int(left * 1000)}",
            ],
            b"abc",
            left,
        )
        record.line(
            f"request {name} to {machine.name}: {reply.status} whole={reply.whole}"
        )
        if reply.status not in (0, 429, 503):
            break
        try:
            await asyncio.sleep(
                min(float(reply.fields.get("retry-after", "0.05")), left / 3)
            )
        except ValueError:
            break


def most_over(record: Record, start: float, end: float) -> float:
    """Return by how much the arrivals beyond the first were over the rule, at most."""
    window, seen, again = BOUNDS["budget-window-s"], set(), []
    for at, request in sorted(arrivals):
        if request in seen:
            again.append(at)
        seen.add(request)

    def requests(since: float) -> int:
        return sum(since <= at < since + window for at in sent)

    worst = -1e9
    for at in again:
        since = at - 1e-9
        count = sum(since <= one < since + window for one in again)
        most = max(
            requests(since), requests(since - window), requests(since - window / 2)
        )
        allowed = BOUNDS["retry-budget-ratio"] * most + BOUNDS["budget-extra-retries"]
        if count - allowed > worst:
            worst = count - allowed
            text = (
                f"in the 10 s from {since - record.began:.1f} s: {count} arrivals"
                f" beyond the first, {most} requests, allowed {allowed:.1f}"
            )
    if again:
        record.say(f"most over the rule {text}")
    return worst


async def case(record: Record, folder: Path, trouble: bool) -> bool:
    """Play the case; return whether BUDGET held."""
    store = Store(record)
    await store.start()
    for number in range(ENGINES):
        engine = Engine(store, f"i-{number}", "desk", answer)
        engine.slots = 1
        await engine.start()
    store.put(
        "op",
        "",
        "config",
        {
            "version": 1,
            "routes": [
                {
                    "name": "book",
                    "host": "book.example",
                    "prefix": "/book/",
                    "kind": "unsafe",
                    "timeout-ms": 4000,
                    "target-latency-ms": 2500,
                    "priority": 0,
                    "service": "desk",
                    "max-attempts": 3,
                    "allow-anonymous": False,
                }
            ],
            "services": [
                {
                    "name": "desk",
                    "health-path": "/health",
                    "connection-limit": 110,
                    "protocol": "h1",
                }
            ],
            "limits": {
                "header-bytes": 16384,
                "body-bytes": 4194304,
                "header-timeout-ms": 3000,
                "idle-timeout-ms": 15000,
            },
            "tenants": [{"name": "acme", "api-keys": ["key-acme"], "priority": 1}],
        },
    )
    machines = [Machine(record, folder, n, store.port, BOUNDS) for n in range(MACHINES)]
    for machine in machines:
        machine.start()
    for machine in machines:
        await machine.until_ready()
    # The machines start some seconds before the traffic, and find each other.
    await asyncio.sleep(8)
    began, count, tasks, killed = now(), 0, [], False

    async def herd_kill() -> None:
        record.say("all processes are killed")
        for machine in machines:
            machine.signal(signal.SIGKILL)
        for machine in machines:
            await machine.until_exit(1)
        await asyncio.sleep(0.3)
        for machine in machines:
            machine.start()

    while now() < began + END:
        count += 1
        tasks.append(asyncio.ensure_future(consume(machines, count, record)))
        await asyncio.sleep(1 / PER_S)
        if trouble and not killed and now() > began + END / 2:
            killed = True
            tasks.append(asyncio.ensure_future(herd_kill()))
    await asyncio.gather(*tasks)
    return most_over(record, began, now()) <= 0


run_case(HERE, case)
