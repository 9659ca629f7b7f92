"""Routers lose their tokens for good if the config is the last thing they read.

All processes are killed and started again. The store loses the answer to the first read
of the config of each; what each reads and writes besides is answered.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "kit-4"))

from world import TROUBLE, World, ask_once, now, run_case

PREPAID = 178_000
PROMPT, EVENTS, STRIDE = 600, 6, 5
OUTPUT = EVENTS * STRIDE
DOWN = 0.8
LOST_FOR = 4.5
RECOVERY = 12.0
RATE = 24.0
"""Requests a second at all routers together."""


async def chat(world: World, seconds: float, rate: float, label: str) -> list[dict]:
    """Send chats, each on a channel of its own, with one retry each."""
    found: list[dict] = []
    tasks = []

    async def one(number: int) -> None:
        """Send one chat, and once more if it is refused."""
        for attempt in range(2):
            gateway = world.gateways[(number + attempt) % len(world.gateways)]
            answer = await ask_once(
                gateway,
                f"/s/x?events={EVENTS}&pause=0.02",
                prompt=PROMPT,
                output=OUTPUT,
                deadline_ms=5000,
            )
            world.record.add(
                f"{label} {answer['request']} vm {answer['vm']} answered "
                f"{answer['status']} events {answer['events']} "
                f"{answer.get('fault', '')}",
                answer["end"],
            )
            if answer["status"] not in (429, 503):
                break
            await asyncio.sleep(0.06)
        found.append(answer)

    end = now() + seconds
    number = 0
    while now() < end:
        tasks.append(asyncio.create_task(one(number)))
        number += 1
        await asyncio.sleep(1 / rate)
    await asyncio.gather(*tasks)
    return found


def served(found: list[dict]) -> int:
    """Return how many were served whole."""
    return sum(a["status"] == 200 and a["whole"] for a in found)


async def main(world: World) -> int:
    """Run the case; return its exit status."""
    record = world.record
    world.configure(PREPAID)
    await world.add_engines("models", 3)
    await world.add_engines("desk", 1)
    await world.add_gateways(3)
    if not await world.start_gateways():
        return 2
    await asyncio.sleep(6.0)
    before = await chat(world, 9.0, RATE, "before")
    world.configure(PREPAID, version=11)
    record.add("the store has acknowledged config 11; all processes are killed")
    for gateway in world.gateways:
        gateway.send(signal.SIGKILL)
    for gateway in world.gateways:
        await gateway.wait()
    await asyncio.sleep(DOWN)
    back = now()
    record.add("the processes are started again")
    lost: set[int] = set()
    calls = len(world.store.calls)

    def lose(gateway: int, path: str, query: dict, body: bytes) -> float | None:
        """Lose the answer to the first read of the config."""
        first_read = path.endswith("rows-get") and query.get("table") == "op"
        if not first_read or gateway in lost or now() > back + LOST_FOR:
            return None
        lost.add(gateway)
        record.add(f"the answer to vm {gateway}'s first read of table op is lost")
        return 0.0

    if TROUBLE:
        world.store.before = lose
    for gateway in world.gateways:
        gateway.start()
    if not all([await gateway.until_ready() for gateway in world.gateways]):
        return 2
    record.add("all machines are ready again")
    ready = now()
    all_calls = [c for c in world.store.calls[calls:] if c[0] < back + LOST_FOR]
    await asyncio.sleep(max(0.0, ready + RECOVERY - now()))
    after = await chat(world, 3.0, RATE, "after")
    consumed = sum(
        PROMPT + STRIDE * min(EVENTS, run["sent"])
        for run in world.runs
        if run["tenant"] == "acme"
    )
    for run in world.runs:
        record.add(f"{run['request']} runs at {run['engine']}", run["at"])
    for gateway in world.gateways:
        for text in ("grant reclaimed", "grant not reclaimed", "predecessor found"):
            for line in world.grep(gateway, text):
                record.add(f"log: {line}")
    for text in (
        f"before the final fault: {served(before)} of {len(before)} served",
        f"later than recovery-s after the machines are back: {served(after)} of "
        f"{len(after)} served",
        f"the tenant has prepaid {PREPAID} tokens and consumed {consumed}",
        f"lost answers: {len(lost)} of {len(all_calls)} calls in {LOST_FOR} s",
    ):
        record.add(text)
        print(text)
    if served(before) * 4 < len(before):
        return 2
    return 1 if served(after) * 4 < len(after) else 0


run_case(str(Path(__file__).parent), main)
