"""How soon an accepted change of configuration is in force in every router.

Run it with ``python -m ebonyhold.experiments.configuration_delay``.  It starts
stand-ins and daemons on loopback, publishes small changes through one router
after the other, and reads each router's version from its metrics.
"""

from __future__ import annotations

import re
import statistics
from pathlib import Path
from typing import Annotated

import anyio
import attrs
import httpx
import typer
from attrs import define, field
from rich.console import Console
from rich.progress import track
from rich.table import Table

from ebonyhold.document import Document, load_document, to_yaml
from ebonyhold.experiments._local_fleet import OPERATOR_KEY, LocalFleet, local_fleet
from ebonyhold.types import Seconds

DEFAULT_ROUTERS = [3, 9]
DEFAULT_CHANGES = 20
LOOK: Seconds = 0.02
LONGEST: Seconds = 30.0
HEADERS = {"Authorization": f"Bearer {OPERATOR_KEY}"}
VERSION = re.compile(r"^ebonyhold_configuration_version (\S+)$", re.MULTILINE)


@define
class Delays:
    """What one fleet showed.

    Attributes:
        routers: How many routers it has.
        accepting: Seconds from the request until the operator had the answer.
        first_half: Seconds from the answer until half of the routers had it.
        everywhere: Seconds from the answer until all of them had it.
    """

    routers: int
    accepting: list[Seconds] = field(factory=list)
    first_half: list[Seconds] = field(factory=list)
    everywhere: list[Seconds] = field(factory=list)


@define
class Measurement:
    """Publishes changes to one fleet and watches them arrive."""

    fleet: LocalFleet
    client: httpx.AsyncClient
    delays: Delays
    document: Document

    async def run(self, changes: int) -> None:
        """Publish changes one after the other."""
        for number in track(range(changes), f"{self.delays.routers} routers"):
            changed = attrs.evolve(
                self.document.workspaces[0], concurrency=100 + number
            )
            workspaces = (changed, *self.document.workspaces[1:])
            self.document = attrs.evolve(self.document, workspaces=workspaces)
            await self.publish(number)

    async def publish(self, number: int) -> None:
        """Publish one change and time its way."""
        router = self.fleet.routers[number % len(self.fleet.routers)]
        began = anyio.current_time()
        response = await self.client.put(
            f"{router.operators_url}/v1/document",
            params={"based_on": str(number + 1)},
            content=to_yaml(self.document).encode(),
        )
        response.raise_for_status()
        accepted = anyio.current_time()
        self.delays.accepting.append(accepted - began)
        arrivals = await self.watch(response.json()["version"])
        self.delays.first_half.append(arrivals[len(arrivals) // 2] - accepted)
        self.delays.everywhere.append(arrivals[-1] - accepted)

    async def watch(self, version: int) -> list[Seconds]:
        """Return when each router had a version, in order."""
        arrivals: list[Seconds] = []

        async def watch_one(url: str) -> None:
            while True:
                if await self.version_of(url) >= version:
                    arrivals.append(anyio.current_time())
                    return
                await anyio.sleep(LOOK)

        with anyio.fail_after(LONGEST):
            async with anyio.create_task_group() as tasks:
                for router in self.fleet.routers:
                    tasks.start_soon(watch_one, router.operators_url)
        return sorted(arrivals)

    async def version_of(self, url: str) -> float:
        """Return the version in force in one router."""
        response = await self.client.get(f"{url}/metrics")
        found = VERSION.search(response.text)
        return float(found.group(1)) if found else 0.0


async def measure(document: Document, routers: int, changes: int) -> Delays:
    """Measure one fleet."""
    delays = Delays(routers)
    async with (
        local_fleet(document, routers) as fleet,
        httpx.AsyncClient(headers=HEADERS, timeout=LONGEST) as client,
    ):
        await Measurement(fleet, client, delays, fleet.document).run(changes)
    return delays


def render(results: list[Delays]) -> Table:
    """Return the delays as a table."""
    table = Table(title="Seconds from an accepted change to its being in force")
    columns = (
        "routers",
        "changes",
        "answer",
        "half, median",
        "all, median",
        "all, most",
    )
    for name in columns:
        table.add_column(name, justify="right")
    for result in results:
        table.add_row(
            str(result.routers),
            str(len(result.everywhere)),
            f"{statistics.median(result.accepting):.3f}",
            f"{statistics.median(result.first_half):.3f}",
            f"{statistics.median(result.everywhere):.3f}",
            f"{max(result.everywhere):.3f}",
        )
    return table


def main(
    document: Annotated[Path, typer.Argument(help="The document to change.")] = Path(
        "examples/lenha-serrana.yaml"
    ),
    routers: Annotated[
        list[int] | None, typer.Option(help="Routers; may be repeated.")
    ] = None,
    changes: Annotated[int, typer.Option(help="Changes of each.")] = DEFAULT_CHANGES,
) -> None:
    """Measure how soon a change is in force in every router."""
    loaded = load_document(document)
    counts = routers or DEFAULT_ROUTERS
    results = [anyio.run(measure, loaded, count, changes) for count in counts]
    Console(width=100).print(render(results))


if __name__ == "__main__":
    typer.run(main)
