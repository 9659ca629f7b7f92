"""Consumers that send a request in small chunks leave at once."""

from __future__ import annotations

import asyncio
import random
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
    encode,
    new_id,
    now,
    run_case,
)

REQUESTS = 60
CHUNK, CHUNKS = 60, 100
READING, EVENTS = 1.5, 4
"""Seconds until the first event, as for a long prompt, and the number of events."""

closed: dict[str, float] = {}
SEED = 7


async def answer(run: Run, writer: asyncio.StreamWriter) -> bool:
    """Answer with a stream, whose first event comes after some time."""
    fields = {**run.identity(), "content-type": "text/event-stream"}
    await asyncio.sleep(READING)
    writer.write(encode(200, fields, None))
    for number in range(1, EVENTS + 1):
        event = f"id: {number}\ndata: x\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(0.05)
    writer.write(b"0\r\n\r\n")
    return True


async def consume(machine: Machine, record: Record, leaves: bool) -> None:
    """Send a request in chunks; leave at once, or read the answer."""
    reader, writer = await asyncio.open_connection(machine.address, machine.port)
    name = new_id()
    head = "\r\n".join(
        [
            "POST /chat/x HTTP/1.1",
            "host: chat.example",
            f"x-ebonyhold-request-id: {name}",
            "x-ebonyhold-key: key-acme",
            "x-ebonyhold-deadline-milliseconds: 5000",
            "transfer-encoding: chunked",
            "",
            "",
        ]
    ).encode()
    chunk = b"%x\r\n%s\r\n" % (CHUNK, b"a" * CHUNK)
    writer.write(head + chunk * CHUNKS + b"0\r\n\r\n")
    await writer.drain()
    if leaves:
        writer.close()
        closed[name] = now()
        record.line(f"request {name}: sent, and its channel closed")
        return
    data = await reader.read(100)
    while not data.endswith(b"0\r\n\r\n"):
        more = await reader.read(4096)
        if not more:
            break
        data += more
    writer.close()
    record.line(f"request {name}: {data[:15]!r}")


async def case(record: Record, folder: Path, trouble: bool) -> bool:
    """Play the case; return whether GONE held."""
    store = Store(record)
    await store.start()
    engines = [Engine(store, f"i-{n}", "models", answer) for n in range(3)]
    runs: list[Run] = []
    for engine in engines:
        inner = engine.answer

        async def kept(run: Run, writer: asyncio.StreamWriter, inner=inner) -> bool:
            runs.append(run)
            return await inner(run, writer)

        engine.answer = kept
        engine.slots = 64
        await engine.start()
    store.put(
        "op",
        "",
        "config",
        {
            "version": 1,
            "routes": [
                {
                    "name": "chat",
                    "host": "chat.example",
                    "prefix": "/chat/",
                    "kind": "streaming",
                    "timeout-ms": 5000,
                    "target-latency-ms": 500,
                    "priority": 0,
                    "service": "models",
                    "max-attempts": 2,
                    "allow-anonymous": False,
                    "resume-streams": True,
                    "target-gap-ms": 400,
                }
            ],
            "services": [
                {
                    "name": "models",
                    "health-path": "/health",
                    "connection-limit": 630,
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
    machine = Machine(record, folder, 0, store.port, BOUNDS)
    machine.start()
    await machine.until_ready()
    await asyncio.sleep(4)
    chance, tasks = random.Random(SEED), []
    for _ in range(REQUESTS):
        leaves = trouble and chance.random() < 0.3
        tasks.append(asyncio.ensure_future(consume(machine, record, leaves)))
        await asyncio.sleep(0.15)
    await asyncio.gather(*tasks)
    await asyncio.sleep(4)
    reached = [run for run in runs if run.request in closed]
    late = [r for r in reached if r.arrived_at > closed[r.request] + 0.5]
    still = {r.request for r in reached if r.ended_at > closed[r.request] + 0.5}
    record.say(
        f"{len(closed)} of {REQUESTS} consumers left;"
        f" {len(reached)} runs of their requests began,"
        f" {len(late)} over half a second later;"
        f" engines were at work on {len(still)} requests half a second later"
    )
    return not (len(late) > 3 or len(still) > len(closed) / 4)


run_case(HERE, case)
