"""What one change of configuration costs, by the size of the document.

Run it with ``python -m ebonyhold.experiments.configuration_size``.  It
publishes small changes to documents with different numbers of workspaces, in
one process and on stores in memory, and counts bytes and calls; times are
processor times of that process.
"""

from __future__ import annotations

import hashlib
import json
import time
import tracemalloc
from random import Random
from typing import Annotated

import anyio
import attrs
import trio.testing
import typer
from attrs import define, frozen
from rich.console import Console
from rich.progress import track
from rich.table import Table as RichTable

from ebonyhold.configuration import ConfigurationKeeper, VersionStore
from ebonyhold.coordination import CONFIG_HEAD
from ebonyhold.document import (
    ApiKey,
    Backend,
    BackendKind,
    Document,
    ModelRoute,
    Workspace,
    to_yaml,
)
from ebonyhold.standins import MemoryObjects, MemoryTable
from ebonyhold.types import Seconds

DEFAULT_SIZES = [10, 1000, 10_000, 130_000]
DEFAULT_CHANGES = 200
CHANGES_A_DAY = 4800
DAY: Seconds = 86_400.0
SEED = 20


@define
class CountingObjects(MemoryObjects):
    """An object store that counts what passes.

    Attributes:
        bytes_read: Bytes handed out.
        bytes_written: Bytes taken in.
        calls_read: Objects handed out.
        calls_written: Objects taken in.
    """

    bytes_read: int = 0
    bytes_written: int = 0
    calls_read: int = 0
    calls_written: int = 0

    async def get(self, key: str) -> bytes | None:
        """Read an object, and count it."""
        body = await MemoryObjects.get(self, key)
        self.calls_read += 1
        self.bytes_read += len(body or b"")
        return body

    async def put(self, key: str, body: bytes, *, if_absent: bool = False) -> None:
        """Write an object, and count it."""
        await MemoryObjects.put(self, key, body, if_absent=if_absent)
        self.calls_written += 1
        self.bytes_written += len(body)

    def reset(self) -> None:
        """Begin to count anew."""
        self.bytes_read = self.bytes_written = 0
        self.calls_read = self.calls_written = 0


@frozen
class Cost:
    """What one size of document costs.

    Attributes:
        workspaces: Workspaces in the document.
        whole: Bytes of the document as YAML.
        follower_bytes: Bytes that a router reads for one change, head included.
        follower_calls: Objects that a router reads for one change.
        follower_time: Processor seconds for one change in a router.
        publisher_bytes: Bytes that the publisher writes for one change.
        publisher_time: Processor seconds for one change in the publisher.
        start_bytes: Bytes that a router reads when it starts.
        start_calls: Objects that a router reads when it starts.
        start_time: Processor seconds of a router's start.
        held_bytes: Bytes of memory that a router's document and parts take.
    """

    workspaces: int
    whole: int
    follower_bytes: float
    follower_calls: float
    follower_time: Seconds
    publisher_bytes: float
    publisher_time: Seconds
    start_bytes: int
    start_calls: int
    start_time: Seconds
    held_bytes: int

    @property
    def bytes_a_second(self) -> float:
        """Bytes that a router reads each second at the letter's rate of change."""
        return self.follower_bytes * CHANGES_A_DAY / DAY


def make_document(workspaces: int) -> Document:
    """Return a document with that many workspaces."""
    hashes = (hashlib.sha256(str(n).encode()).hexdigest() for n in range(workspaces))
    return Document(
        fleet="measured",
        domains=("a", "b"),
        workspaces=tuple(
            Workspace(f"workspace-{number}", (ApiKey("first", digest),))
            for number, digest in enumerate(hashes)
        ),
        models=(ModelRoute("m"),),
        backends=(Backend("e", BackendKind.ENGINE, "127.0.0.1:1", "a", ("m",)),),
    )


def change_one(document: Document, random: Random) -> Document:
    """Return a document with one workspace changed."""
    index = random.randrange(len(document.workspaces))
    workspaces = list(document.workspaces)
    changed = workspaces[index]
    concurrency = changed.concurrency % 1000 + random.randrange(1, 1000)
    workspaces[index] = attrs.evolve(changed, concurrency=concurrency)
    return attrs.evolve(document, workspaces=tuple(workspaces))


async def measure(workspaces: int, changes: int) -> Cost:
    """Publish changes to a document of one size and count."""
    table, objects = MemoryTable(), CountingObjects()
    store = VersionStore(objects)
    publisher = ConfigurationKeeper(table, store, random=Random(SEED))
    follower = ConfigurationKeeper(table, store, random=Random(SEED))
    random = Random(SEED)
    document = make_document(workspaces)
    await publisher.publish(document, 0, "measure")
    await follower.refresh()
    read_bytes = read_calls = written = 0
    publishing = following = 0.0
    for _ in track(range(changes), f"{workspaces:,} workspaces"):
        document = change_one(document, random)
        objects.reset()
        began = time.process_time()
        await publisher.publish(document, publisher.version, "measure")
        publishing += time.process_time() - began
        written += objects.bytes_written
        objects.reset()
        began = time.process_time()
        await follower.refresh()
        following += time.process_time() - began
        read_bytes += objects.bytes_read + len(
            json.dumps(table.rows[CONFIG_HEAD].value)
        )
        read_calls += objects.calls_read
    objects.reset()
    began = time.process_time()
    await ConfigurationKeeper(table, store).refresh()
    starting = time.process_time() - began
    return Cost(
        workspaces,
        len(to_yaml(document)),
        read_bytes / changes,
        read_calls / changes,
        following / changes,
        written / changes,
        publishing / changes,
        objects.bytes_read,
        objects.calls_read,
        starting,
        await weigh(table, store),
    )


async def weigh(table: MemoryTable, store: VersionStore) -> int:
    """Return the memory of a router's keeper, as Python's allocator counts it."""
    keeper = ConfigurationKeeper(table, store)
    tracemalloc.start()
    await keeper.refresh()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held


def run_one(workspaces: int, changes: int) -> Cost:
    """Measure one size on a virtual clock, so that pauses take no time."""
    options = {"clock": trio.testing.MockClock(autojump_threshold=0)}
    return anyio.run(
        measure, workspaces, changes, backend="trio", backend_options=options
    )


def render(costs: list[Cost]) -> RichTable:
    """Return the costs as a table."""
    table = RichTable(title="One change, by workspaces in the document")
    columns = (
        "workspaces",
        "whole document, B",
        "a router reads, B",
        "objects",
        "B/s at 4,800 a day",
        "router, ms",
        "publisher writes, B",
        "publisher, ms",
        "start reads, B",
        "objects",
        "start, ms",
        "held, MB",
    )
    for name in columns:
        table.add_column(name, justify="right")
    for cost in costs:
        table.add_row(
            f"{cost.workspaces:,}",
            f"{cost.whole:,}",
            f"{cost.follower_bytes:,.0f}",
            f"{cost.follower_calls:.2f}",
            f"{cost.bytes_a_second:,.0f}",
            f"{cost.follower_time * 1000:,.1f}",
            f"{cost.publisher_bytes:,.0f}",
            f"{cost.publisher_time * 1000:,.1f}",
            f"{cost.start_bytes:,}",
            f"{cost.start_calls:,}",
            f"{cost.start_time * 1000:,.0f}",
            f"{cost.held_bytes / 1e6:,.1f}",
        )
    return table


def main(
    size: Annotated[
        list[int] | None, typer.Option(help="Workspaces; may be repeated.")
    ] = None,
    changes: Annotated[
        int, typer.Option(help="Changes of each size.")
    ] = DEFAULT_CHANGES,
) -> None:
    """Measure what one change of configuration costs."""
    costs = [run_one(each, changes) for each in size or DEFAULT_SIZES]
    Console(width=200).print(render(costs))


if __name__ == "__main__":
    typer.run(main)
