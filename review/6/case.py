"""A router that is stopped takes a long stream that it cannot finish, and cuts it.

The request comes on a kept channel more than 3 s after SIGTERM. It is as long as the
sheet allows for its kind, and longer than the ones before it.
"""

from __future__ import annotations

import asyncio
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "kit-4"))

from world import GRACE, TROUBLE, Channel, World, now, run_case

PAUSE = 0.025
"""Seconds between two events: 5 tokens at 5 ms."""

LONG = 190
"""The largest number of events of a delivery window chat, by the site file."""

SENT_AFTER = 3.2


async def chat(channel: Channel, events: int, found: list, label: str) -> dict:
    """Send one chat."""
    answer = await channel.ask(
        f"/s/x?events={events}&pause={PAUSE}",
        prompt=715,
        output=events * 5,
        deadline_ms=15000,
    )
    answer["asked"] = events
    answer["label"] = label
    found.append(answer)
    return answer


async def consume(gateway, until: float, found: list) -> None:
    """Send chats of usual sizes one after the other, on kept channels."""
    channel = Channel(gateway)
    while now() < until:
        if channel.writer is None and not await channel.open():
            await asyncio.sleep(0.05)
            continue
        answer = await chat(channel, random.randrange(25, 57), found, "usual")
        if answer["close"] or not answer["whole"]:
            channel.close()
            channel = Channel(gateway)
    channel.close()


async def main(world: World) -> int:
    """Run the case; return its exit status."""
    record = world.record
    world.configure(None)
    await world.add_engines("models", 3)
    await world.add_gateways(2)
    if not await world.start_gateways():
        return 2
    await asyncio.sleep(3.0)
    gateway = world.gateways[0]
    found: list[dict] = []
    kept = [Channel(gateway) for _ in range(4)]
    stop_at = now() + 13.0
    callers = [
        asyncio.create_task(consume(gateway, stop_at + 2.5, found)) for _ in range(10)
    ]
    await asyncio.sleep(11.0)
    for channel in kept:
        if not await channel.open():
            return 2
        await chat(channel, 30, found, "first on its kept channel")
    await asyncio.sleep(max(0.0, stop_at - now()))
    stopped = now()
    if TROUBLE:
        gateway.send(signal.SIGTERM)
        record.add("SIGTERM")
    # Another consumer's chat is under way, so the router isn't idle meanwhile.
    await asyncio.sleep(2.3)
    other = asyncio.create_task(chat(kept[-1], 56, found, "other"))
    await asyncio.sleep(max(0.0, stopped + SENT_AFTER - now()))
    long = [
        asyncio.create_task(chat(channel, LONG, found, "long")) for channel in kept[:-1]
    ]
    await asyncio.gather(other, *long)
    await asyncio.gather(*callers)
    for channel in kept:
        channel.close()
    if TROUBLE:
        record.add(f"exit status {await gateway.wait()}")
    for run in world.runs:
        record.add(
            f"{run['request']} runs at {run['engine']}, events sent {run['sent']}, "
            f"whole {run['whole']}",
            run["at"],
        )
    for answer in found:
        record.add(
            f"{answer['request']} {answer['label']}, {answer['asked']} events asked, "
            f"sent {answer['sent'] - stopped:.2f} s after the stop, answered "
            f"{answer['status']}, {answer['events']} events, whole {answer['whole']}, "
            f"{answer.get('fault', '')}",
            answer["end"],
        )
    lost = [
        a
        for a in found
        if a["sent"] > stopped + 3.0
        and a["end"] < stopped + GRACE + 1.0
        and a["status"] in (0, 200)
        and not a["whole"]
    ]
    usual = [a for a in found if a["label"] == "usual"]
    good = sum(a["whole"] for a in usual)
    record.add(f"usual chats: {len(usual)}, whole {good}")
    record.add(
        f"sent later than 3 s after SIGTERM, read, passed on and cut: {len(lost)}"
    )
    print(record.lines[-2][1], "|", record.lines[-1][1])
    if good < len(usual):
        record.add("usual chats were cut, too")
    if len(usual) < 70:
        return 2
    return 1 if lost else 0


run_case(str(Path(__file__).parent), main)
