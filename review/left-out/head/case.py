"""Many users come at once, so that engines are full; requests have the method HEAD."""

from __future__ import annotations

import asyncio
import os
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
    read_head,
    run_case,
)

METHOD = os.environ.get("METHOD", "HEAD")
ENGINES, SLOTS, QUEUE = 4, 2, 2
WORK = 0.2
PER_S = 32.0
"""The engines can do 40 a second."""
BURST_X, BURST_FOR = 1.7, 3.0
CONSUMERS = 15
LENGTH = 15.0

working: dict[str, int] = {}
places: dict[str, asyncio.Semaphore] = {}
arrived: set[str] = set()
SEED = 5


async def answer(run: Run, writer: asyncio.StreamWriter) -> bool:
    """Work on a few requests at once, queue a few more, and reject others."""
    arrived.add(run.request)
    if working.get(run.engine, 0) >= SLOTS + QUEUE:
        fields = {
            "x-ebonyhold-request-id": run.request,
            "x-ebonyhold-not-executed": "1",
        }
        writer.write(encode(503, fields, b""))
        return True
    working[run.engine] = working.get(run.engine, 0) + 1
    try:
        async with places.setdefault(run.engine, asyncio.Semaphore(SLOTS)):
            await asyncio.sleep(WORK)
    finally:
        working[run.engine] -= 1
    data = encode(200, run.identity(), b"in stock")
    if run.method == "HEAD":
        data = data.removesuffix(b"in stock")
    writer.write(data)
    return True


class Consumer:
    """Keeps a channel open for many requests, and opens a new one when it is closed."""

    def __init__(self, machine: Machine, record: Record) -> None:
        self.machine, self.record = machine, record
        self.channel: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self.sent = 0
        self.unanswered: list[str] = []
        self.statuses: dict[int, int] = {}
        self.free = asyncio.Lock()

    async def request(self) -> None:
        """Send one request, and read its answer."""
        async with self.free:
            if self.channel is None:
                self.channel = await asyncio.open_connection(
                    self.machine.address, self.machine.port
                )
                self.sent = 0
            reader, writer = self.channel
            name = new_id()
            self.sent += 1
            writer.write(
                "\r\n".join(
                    [
                        f"{METHOD} /stock/x HTTP/1.1",
                        "host: stock.example",
                        f"x-ebonyhold-request-id: {name}",
                        "x-ebonyhold-key: key-acme",
                        "x-ebonyhold-deadline-milliseconds: 1500",
                        "",
                        "",
                    ]
                ).encode()
            )
            try:
                first, fields = await read_head(reader)
            except (asyncio.IncompleteReadError, OSError):
                self.record.line(
                    f"request {name}: channel closed, no answer;"
                    f" arrived {name in arrived}"
                )
                if self.sent > 1 and name in arrived:
                    self.unanswered.append(name)
                writer.close()
                self.channel = None
                return
            status = int(first.split(" ")[1])
            self.statuses[status] = self.statuses.get(status, 0) + 1
            self.record.line(f"request {name}: {status}")
            if METHOD != "HEAD":
                await reader.readexactly(int(fields.get("content-length", "0")))
            if "close" in fields.get("connection", ""):
                writer.close()
                self.channel = None


async def case(record: Record, folder: Path, trouble: bool) -> bool:
    """Play the case; return whether LOST held."""
    store = Store(record)
    await store.start()
    engines = [Engine(store, f"i-{n}", "desk", answer) for n in range(ENGINES)]
    for engine in engines:
        engine.slots = SLOTS
        await engine.start()
    store.put(
        "op",
        "",
        "config",
        {
            "version": 1,
            "routes": [
                {
                    "name": "stock",
                    "host": "stock.example",
                    "prefix": "/stock/",
                    "kind": "safe",
                    "timeout-ms": 1500,
                    "target-latency-ms": 400,
                    "priority": 0,
                    "service": "desk",
                    "max-attempts": 2,
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
    machine = Machine(record, folder, 0, store.port, BOUNDS)
    machine.start()
    await machine.until_ready()
    await asyncio.sleep(4)
    chance = random.Random(SEED)
    consumers = [Consumer(machine, record) for _ in range(CONSUMERS)]
    more = [Consumer(machine, record) for _ in range(CONSUMERS)]
    began, tasks, count = now(), [], 0
    while now() < began + LENGTH:
        bursts = trouble and 6 <= now() - began < 6 + BURST_FOR
        # While many users come at once, there are more of them.
        users = consumers + more if bursts else consumers
        count += 1
        tasks.append(asyncio.ensure_future(users[count % len(users)].request()))
        rate = PER_S * (BURST_X if bursts else 1.0)
        await asyncio.sleep(chance.uniform(0.5, 1.5) / rate)
    await asyncio.gather(*tasks)
    users = consumers + more
    statuses: dict[int, int] = {}
    for user in users:
        for status, number in user.statuses.items():
            statuses[status] = statuses.get(status, 0) + number
    lost = sum(len(user.unanswered) for user in users)
    record.say(
        f"{count} requests, answers {statuses}; {lost} on kept channels reached a"
        " sound engine, and their channel was closed without an answer"
    )
    return lost <= 3


run_case(HERE, case)
