"""A late extra answer to a rejected request is taken for the next request's answer."""

from __future__ import annotations

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standin import Engine, World, call, main

SHARE = 0.03
"""Most of an engine's answers in that time that come once more, by the site's `x`."""

TROUBLE_TIME = 5.0
"""Seconds for which engines do so, by the site's `for_s`."""

FAULTY = 2
"""Engines that do so, of 4: the site's `share` is 0.6."""

BURSTS = 12
BURST = 320
"""Bookings that are sent at once, more than the engines take."""

PAUSE = 0.8

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "confirm",
            "host": "desk.example",
            "prefix": "/confirm/",
            "kind": "unsafe",
            "timeout-ms": 2500,
            "target-latency-ms": 200,
            "priority": 2,
            "service": "desk",
            "max-attempts": 2,
            "allow-anonymous": True,
            "sticky-sessions": False,
            "resume-streams": False,
        }
    ],
    "services": [
        {
            "name": "desk",
            "health-path": "/health",
            "connection-limit": 96,
            "protocol": "h1",
            "transport-security": False,
        }
    ],
    "limits": {
        "header-bytes": 16384,
        "body-bytes": 4194304,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 15000,
    },
    "tenants": [{"name": "home", "api-keys": ["key-home"], "priority": 1}],
}


async def book(world: World, number: int, statuses: dict[str, int]) -> None:
    """Send one booking, and record its answer."""
    gateway = world.gateways[number % len(world.gateways)]
    name = f"{number:016x}"
    head = [
        "POST /confirm/2f HTTP/1.1",
        "Host: desk.example",
        f"X-Ebonyhold-Request-Id: {name}",
        "X-Ebonyhold-Deadline-Milliseconds: 2500",
        "X-Ebonyhold-Key: key-home",
    ]
    world.record.write("consumer sends", request=name)
    answer = await call((gateway.address, gateway.port), head, b"slot")
    statuses[name] = answer.status
    world.record.write("consumer gets", request=name, status=answer.status)


async def case(world: World) -> bool:
    """Return whether a booking ran twice, or ran though it was answered 429 or 503."""
    times = random.Random(7)

    def work() -> float:
        return times.uniform(0.02, 0.04)

    engines = [Engine(f"i-{n}", "desk", world.record, work=work) for n in range(4)]
    await world.begin(CONFIG, engines, 2)
    loop = asyncio.get_running_loop()
    began = loop.time() + 3 * PAUSE

    before: dict[str, int] = {}

    def begin_trouble() -> None:
        before.update({engine.name: engine.answers for engine in engines})

    def repeats(engine: Engine) -> bool:
        if not before or loop.time() > began + TROUBLE_TIME:
            return False
        answers = engine.answers - before[engine.name]
        return engine.extras + 1 <= SHARE * answers and not engine.is_full

    if world.trouble:
        loop.call_at(began, begin_trouble)
        for engine in engines[:FAULTY]:
            engine.repeats = repeats
    statuses: dict[str, int] = {}
    sent: list[asyncio.Task[None]] = []
    for burst in range(BURSTS):
        for number in range(BURST):
            task = book(world, burst * BURST + number, statuses)
            sent.append(asyncio.create_task(task))
        await asyncio.sleep(PAUSE)
    await asyncio.gather(*sent)
    await asyncio.sleep(1.0)
    runs = Counter(name for engine in engines for name in engine.runs)
    twice = [name for name, count in runs.items() if count > 1]
    refused = [name for name in runs if statuses[name] in (408, 421, 429, 503)]
    world.record.write(
        "verdict",
        twice=twice,
        refused_and_run=refused,
        statuses=Counter(statuses.values()),
        answers=[engine.answers for engine in engines],
        extras=[engine.extras for engine in engines],
    )
    return bool(twice)


main(case, Path(__file__).resolve().parent)
