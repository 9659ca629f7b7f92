"""Operators race while table and object store fail in every way, on fixed seeds."""

from __future__ import annotations

from random import Random

import anyio
import pytest
from attrs import define, field

from ebonyhold.configuration import ConfigurationKeeper
from ebonyhold.coordination import config_version_key, head_of
from ebonyhold.exceptions import (
    EbonyholdError,
    LostRaceError,
    UnavailableError,
    UnknownOutcomeError,
)
from ebonyhold.standins import Faults, MemoryObjects, MemoryTable
from tests.configuration.test_keeper import keeper_on, named

pytestmark = pytest.mark.anyio

ROUTERS = 4
OPERATORS = 3
STEPS = 12


@define
class World:
    """Routers and operators on one failing platform.

    Each task draws from a stream of its own: with a shared one the order in which
    tasks wake, which hangs on their addresses, would decide what each of them draws,
    and one seed would play several histories.

    Attributes:
        seed: Decides all streams.
        accepted: Content by the version that its operator was told.
        refused: Content whose operator was told that it is not in force.
        seen: The digest that routers had in force, by version.
    """

    seed: int
    table: MemoryTable = field(factory=MemoryTable)
    objects: MemoryObjects = field(factory=MemoryObjects)
    keepers: list[ConfigurationKeeper] = field(factory=list)
    accepted: dict[int, str] = field(factory=dict)
    refused: set[str] = field(factory=set)
    seen: dict[int, str] = field(factory=dict)
    running: bool = True

    def stream(self, task: str) -> Random:
        """Return the chances of one task."""
        return Random(f"{self.seed} {task}")

    async def run(self) -> None:
        self.keepers = [keeper_on(self.table, self.objects) for _ in range(ROUTERS)]
        async with anyio.create_task_group() as everything:
            for index in range(ROUTERS):
                everything.start_soon(self.route, index)
            everything.start_soon(self.break_things)
            async with anyio.create_task_group() as group:
                for index in range(OPERATORS):
                    group.start_soon(self.operate, index)
            self.running = False
            everything.cancel_scope.cancel()

    async def route(self, index: int) -> None:
        """Follow versions, restart at times, and never go back."""
        chances = self.stream(f"route {index}")
        version = 0
        while True:
            keeper = self.keepers[index]
            await keeper.follow()
            assert keeper.version >= version
            version = keeper.version
            if keeper.head is not None:
                digest = self.seen.setdefault(version, keeper.head.digest)
                assert digest == keeper.head.digest
            await anyio.sleep(chances.uniform(0, 5))
            if chances.random() < 0.1:
                self.keepers[index] = keeper_on(self.table, self.objects)
                version = 0

    async def operate(self, operator: int) -> None:
        """Publish changes on top of whatever some router has."""
        chances = self.stream(f"operate {operator}")
        for step in range(STEPS):
            await anyio.sleep(chances.uniform(0, 4))
            keeper = chances.choice(self.keepers)
            content = f"o{operator}-{step}"
            base = keeper.version
            try:
                version = await keeper.publish(named(content), base, content)
                assert self.accepted.setdefault(version, content) == content
            except (LostRaceError, UnavailableError):
                self.refused.add(content)
            except UnknownOutcomeError:
                continue
            except EbonyholdError as error:
                raise AssertionError(f"unexpected: {error}") from error

    async def break_things(self) -> None:
        """Break and mend table and object store."""
        chances = self.stream("break")
        while True:
            await anyio.sleep(chances.uniform(0, 3))
            await self.table.faults.flush()
            self.table.faults = Faults(
                down=chances.random() < 0.25,
                delay=chances.uniform(0.001, 0.2),
                answer_delay=chances.uniform(0, 0.2),
                lose_answers=chances.choice((0, 0, 1, 2)),
                lose_requests=chances.choice((0, 0, 1, 3)),
                late=chances.choice((0, 0, 1)),
                duplicates=chances.choice((0, 1)),
            )
            self.objects.faults.down = chances.random() < 0.25


@pytest.mark.parametrize("seed", range(8))
async def test_no_version_is_lost_doubled_or_reverted(seed: int) -> None:
    """What an operator is told is true, whatever failed while it was told.

    An accepted content has its version for ever, a refused one has none, no
    two routers have different contents of one version, and no router goes back.
    """
    world = World(seed)
    await world.run()
    await world.table.faults.flush()
    rows = world.table.rows
    heads = [head_of(row) for key, row in rows.items() if "config/version/" in key]
    contents = {head.version: head.author for head in heads if head}
    assert world.accepted.items() <= contents.items()
    assert world.refused.isdisjoint(contents.values())
    assert len(set(contents.values())) == len(contents)
    assert sorted(contents) == list(range(1, len(contents) + 1))
    assert len(contents) > 5
    for version, digest in world.seen.items():
        head = head_of(rows[config_version_key(version)])
        assert head is not None
        assert head.digest == digest


async def test_a_seed_plays_one_history() -> None:
    """A seed that found a fault must find it again, wherever tasks lie in memory."""
    ends = []
    for _ in range(3):
        world = World(0)
        await world.run()
        ends.append((world.accepted, world.refused, world.seen))
    assert ends[0] == ends[1] == ends[2]
