"""An old report of an engine makes routers send to it again while it drains.

The store loses the answer to one report of an engine, and performs the call seconds
later. By then the engine has reported that it drains; the old report says `ready`, with
a lower `sequence`.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "kit-4"))

from world import HEARTBEAT, TROUBLE, Channel, World, now, run_case

CONTACT = 3.0
DRAIN = 2.0
LATE = 6.0
"""Seconds after which the call is performed whose answer was lost."""

STABLE_AFTER = 3.4
"""Seconds from the lost answer until the engine reports that it drains."""

SERVES_ON = 3.3
"""Seconds for which it serves after that: drain-ms and 1.3 s."""


async def book(gateway, until: float, found: list) -> None:
    """Place bookings on kept channels, one every 50 ms."""
    channel = Channel(gateway)
    while now() < until:
        if channel.writer is None and not await channel.open():
            await asyncio.sleep(0.05)
            continue
        answer = await channel.ask(
            "/b/x?work=0.1", host="book.example", deadline_ms=1500
        )
        found.append(answer)
        if answer["close"] or not answer["whole"]:
            channel.close()
            channel = Channel(gateway)
        await asyncio.sleep(0.05)
    channel.close()


async def main(world: World) -> int:
    """Run the case; return its exit status."""
    record = world.record
    world.configure(None)
    await world.add_engines("models", 1)
    desks = await world.add_engines("desk", 4)
    leaving = desks[0]
    await world.add_gateways(3)
    if not await world.start_gateways():
        return 2
    await asyncio.sleep(5.0)
    found: list[dict] = []
    end = now() + STABLE_AFTER + SERVES_ON + 2.0
    callers = [
        asyncio.create_task(book(gateway, end, found))
        for gateway in world.gateways
        for _ in range(4)
    ]
    lost_at = now()
    old = leaving.entry()
    if TROUBLE:
        record.add(
            f"the answer to a report of {leaving.name} is lost (ready, sequence "
            f"{old['sequence']}); it is performed {LATE} s later"
        )

        def perform_late() -> None:
            """Perform the call whose answer was lost."""
            world.store.put("servers", leaving.name, old)
            record.add(f"that report of {leaving.name} is performed")

        asyncio.get_running_loop().call_later(LATE, perform_late)
    await asyncio.sleep(STABLE_AFTER)
    leaving.beat.cancel()
    drained = now()
    while now() < drained + SERVES_ON:
        entry = leaving.entry("draining")
        world.store.put("servers", leaving.name, entry)
        record.add(f"{leaving.name} reports draining, sequence {entry['sequence']}")
        await asyncio.sleep(min(HEARTBEAT, max(0.0, drained + SERVES_ON - now())))
    world.store.remove("servers", leaving.name)
    leaving.exit()
    record.add(f"{leaving.name} exits")
    await asyncio.gather(*callers)
    sent = {answer["request"]: answer for answer in found}
    bound = max(drained + DRAIN, lost_at + CONTACT)
    late = []
    for answer in found:
        record.add(
            f"{answer['request']} vm {answer['vm']} answered {answer['status']} "
            f"{answer.get('fault', '')}",
            answer["end"],
        )
    for run in world.runs:
        record.add(f"{run['request']} runs at {run['engine']}", run["at"])
        answer = sent.get(run["request"])
        if run["engine"] != leaving.name or answer is None:
            continue
        if run["at"] > bound and answer["sent"] > bound:
            late.append((run, answer))
    between = [
        run for run in leaving.runs if drained + 1.0 < run["at"] < drained + DRAIN
    ]
    for gateway in world.gateways:
        for line in world.grep(gateway, "server changed"):
            record.add(f"log: {line}")
    for run, answer in late:
        record.add(
            f"late: {run['request']} by vm {answer['vm']}, "
            f"{run['at'] - drained:.2f} s after the report, "
            f"answered {answer['status']}",
            run["at"],
        )
    served = sum(answer["status"] == 200 for answer in found)
    lost = sum(answer["status"] != 200 for _, answer in late)
    for text in (
        f"bookings: {len(found)}, answered with success: {served}",
        f"bookings at {leaving.name} from 1 s after its report to drain-ms: "
        f"{len(between)}",
        f"bookings that reached {leaving.name} later than drain-ms after its report, "
        f"by machines in touch: {len(late)}, of these without success: {lost}",
    ):
        record.add(text)
        print(text)
    if served < len(found) // 2:
        return 2
    return 1 if late else 0


run_case(str(Path(__file__).parent), main)
