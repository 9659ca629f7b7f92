"""What happens to the engines while a run lasts, by registered scenarios."""

from __future__ import annotations

from collections.abc import Callable, Coroutine, Sequence
from typing import Any, Protocol, TypeAlias

import anyio

from ebonyhold.experiments.choice._engine import FakeEngine
from ebonyhold.fleet import FleetView
from ebonyhold.types import BackendName, Seconds

DEAD_FROM = 0.3
"""The part of a run after which something dies."""

DEAD_FOR: Seconds = 10.0
RESTART: Seconds = 2.0
NEWS_LAG: Seconds = 1.0
"""How late the membership list tells routers that a server leaves."""


class Stage(Protocol):
    """What a scenario acts on."""

    @property
    def length(self) -> Seconds:
        """The length of the run."""
        ...

    @property
    def engines(self) -> Sequence[FakeEngine]:
        """All engines."""
        ...

    @property
    def fleets(self) -> Sequence[FleetView]:
        """What each router knows of the fleet."""
        ...

    def domain(self, name: BackendName) -> str:
        """Return an engine's failure domain."""
        ...


Scenario: TypeAlias = Callable[[Stage], Coroutine[Any, Any, None]]

scenarios: dict[str, Scenario] = {}
"""The registered scenarios by name."""


def scenario(name: str) -> Callable[[Scenario], Scenario]:
    """Register the decorated function as a scenario."""

    def register(play: Scenario) -> Scenario:
        scenarios[name] = play
        return play

    return register


@scenario("normal")
async def nothing(stage: Stage) -> None:
    """Leave all engines alone."""


@scenario("engine_dead")
async def one_engine_dies(stage: Stage) -> None:
    """Kill one engine without warning; it comes back empty."""
    await anyio.sleep(stage.length * DEAD_FROM)
    await die(stage.engines[:1])


@scenario("domain_dead")
async def one_domain_dies(stage: Stage) -> None:
    """Kill every engine of one failure domain at the same moment."""
    await anyio.sleep(stage.length * DEAD_FROM)
    domain = stage.domain(stage.engines[0].name)
    await die([item for item in stage.engines if stage.domain(item.name) == domain])


async def die(engines: Sequence[FakeEngine]) -> None:
    """Kill engines, and bring them back after a while."""
    for engine in engines:
        engine.kill()
    await anyio.sleep(DEAD_FOR)
    for engine in engines:
        engine.revive()


@scenario("rolling_stops")
async def engines_stop_in_turn(stage: Stage) -> None:
    """Restart each engine in turn: leaving, empty, restarted, back."""
    for engine in stage.engines:
        engine.leaving_since = anyio.current_time()
        await anyio.sleep(NEWS_LAG)
        for fleet in stage.fleets:
            fleet.leaving = frozenset({engine.name})
        await engine.wait_empty()
        engine.emptied.append(anyio.current_time() - engine.leaving_since)
        engine.kill()
        await anyio.sleep(RESTART)
        engine.revive()
        for fleet in stage.fleets:
            fleet.leaving = frozenset()
