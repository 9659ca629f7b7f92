"""One run: some routers, some engines, one policy, one seed."""

from __future__ import annotations

import random
from collections.abc import Sequence

import anyio
import httpx
import trio
import trio.testing
from attrs import define, field, frozen

from ebonyhold.backends import Backends, BackendState
from ebonyhold.backends._table import CACHE_POLL_ROUNDS
from ebonyhold.callers import Refusal
from ebonyhold.callers._gate import Gate
from ebonyhold.callers._parsing import read_urgency
from ebonyhold.coordination import AdmissionLimits, Need
from ebonyhold.document import (
    Backend,
    BackendKind,
    Document,
    ModelRoute,
    Policy,
)
from ebonyhold.experiments.choice._engine import EngineShape, FakeEngine, Job
from ebonyhold.experiments.choice._figures import Figures, Served, Tally, figures
from ebonyhold.experiments.choice._scenarios import scenarios
from ebonyhold.experiments.choice._workload import Ask, asks
from ebonyhold.fleet import FleetView
from ebonyhold.types import BackendName, Seconds

MODEL = "assistant"
MOST_ATTEMPTS = 4
SAMPLE: Seconds = 0.25


@frozen
class Deployment:
    """Sizes of one of the brief's deployments.

    Attributes:
        name: Its name.
        engines: Its engines.
        routers: Its routers.
        distance: One-way delay between failure domains, in seconds.
        capacity: Requests a second of this workload that its engines can serve.
    """

    name: str
    engines: int
    routers: int
    distance: Seconds
    capacity: float


deployments = {
    "lenha": Deployment("lenha", 6, 6, 0.0005, 24.0),
    "bagmati": Deployment("bagmati", 9, 9, 0.0015, 36.0),
}
"""The brief's two deployments, in four failure domains each."""

DOMAINS = ("a", "b", "c", "d")


@frozen
class Load:
    """How much is asked.

    Attributes:
        factor: Requests, as a part of the deployment's capacity.
        length: The length of a run, in seconds.
    """

    factor: float = 0.7
    length: Seconds = 40.0


class NoTransport(httpx.AsyncBaseTransport):
    """Carries nothing: the engines here are objects."""


@define(eq=False)
class Router:
    """One router's part of the decisions, all of it the product's own."""

    backends: Backends
    engines: dict[BackendName, FakeEngine]
    tally: Tally
    gate: Gate = field(init=False)
    sequence: int = 0

    def __attrs_post_init__(self) -> None:
        """Open the gate."""
        self.gate = Gate(lambda: self.backends.free_slots(BackendKind.ENGINE, MODEL))

    async def poll(self) -> None:
        """Ask all engines now and then, as the product does."""
        while True:
            await anyio.sleep(self.backends.pause())
            self.sequence += 1
            for name, engine in self.engines.items():
                state = self.backends.states[name]
                if engine.dead:
                    self.backends.ejector.lost(name, anyio.current_time())
                    continue
                self.backends.ejector.reached(name)
                state.record_report(engine.report(self.sequence), anyio.current_time())
                if self.sequence % CACHE_POLL_ROUNDS == 0:
                    state.apply_events(engine.news(state.prefixes.sequence))
            self.gate.pump()

    async def serve(self, ask: Ask) -> None:
        """Serve one request, or refuse it."""
        arrived = anyio.current_time()
        urgency = read_urgency({"x-priority": "live" if ask.live else "batch"}, 0)
        self.tally.asked += 1
        try:
            waiter = self.gate.offer(
                ask.workspace,
                AdmissionLimits(10_000, 10_000),
                urgency.priority,
                urgency.wait_timeout,
                urgency.shed_after,
            )
            if not waiter.event.is_set():
                await self.gate.wait(waiter)
        except Refusal:
            self.tally.refused += 1
            return
        await self.answer(ask, urgency.priority, arrived)
        self.gate.finished(waiter.ticket)

    async def answer(self, ask: Ask, priority: int, arrived: Seconds) -> None:
        """Make attempts until the answer is whole, as the product does."""
        total = Job(ask.hashes, ask.prompt, ask.answer, priority, arrived)
        tried: set[BackendName] = set()
        for attempt in range(MOST_ATTEMPTS):
            state = self.choose(ask, tried)
            if attempt == 0:
                self.gate.server_chosen()
            if state is None:
                break
            tried.add(state.backend.name)
            job = await self.attempt(state, ask, total)
            if job is not None and not job.failed:
                self.tally.served.append(served(total, arrived, state.distance))
                return
        self.tally.cut += total.made > 0
        self.tally.refused += total.made == 0

    async def attempt(self, state: BackendState, ask: Ask, total: Job) -> Job | None:
        """Make one attempt; None when the engine cannot be reached."""
        name = state.backend.name
        engine = self.engines[name]
        if engine.dead:
            self.backends.ejector.lost(name, anyio.current_time())
            return None
        key = str(id(total))
        state.started(key, key, total.arrived)
        state.prefixes.sent(ask.hashes)
        await anyio.sleep(state.distance)
        job = Job(
            ask.hashes,
            ask.prompt + total.made,
            ask.answer - total.made,
            total.priority,
            anyio.current_time(),
        )
        self.tally.resumed += total.made > 0
        engine.submit(job)
        await job.done.wait()
        await anyio.sleep(state.distance)
        state.ended(key)
        if job.failed:
            self.backends.ejector.failed(name, anyio.current_time())
        add_up(total, job)
        return job

    def choose(self, ask: Ask, tried: set[BackendName]) -> BackendState | None:
        """Let the product choose."""
        need = Need(ask.prompt, ask.answer)
        return self.backends.choose(MODEL, need, ask.hashes, tried)


def add_up(total: Job, job: Job) -> None:
    """Add what one attempt made to the whole answer."""
    if job.made and not total.made:
        total.first = job.first
        total.reused = job.reused
    total.made += job.made
    total.last = job.last if job.made else total.last


def served(job: Job, arrived: Seconds, distance: Seconds) -> Served:
    """Return what one answer counts."""
    gap = (job.last - job.first) / max(1, job.made - 1)
    return Served(
        job.first + distance - arrived, gap, job.prompt, job.reused, job.priority == 0
    )


@frozen
class Stage:
    """What a scenario acts on."""

    length: Seconds
    all_engines: dict[BackendName, FakeEngine]
    routers: Sequence[Router]

    @property
    def engines(self) -> Sequence[FakeEngine]:
        """All engines."""
        return list(self.all_engines.values())

    @property
    def fleets(self) -> Sequence[FleetView]:
        """What each router knows of the fleet."""
        return [router.backends.fleet for router in self.routers]

    def domain(self, name: BackendName) -> str:
        """Return an engine's failure domain."""
        return self.routers[0].backends.states[name].backend.domain


def document(deployment: Deployment, policy: str, slots: int) -> Document:
    """Return the deployment's document."""
    backends = tuple(
        Backend(
            f"e{index}",
            BackendKind.ENGINE,
            "0.0.0.0:0",
            DOMAINS[index % len(DOMAINS)],
            (MODEL,),
            slots=slots,
        )
        for index in range(deployment.engines)
    )
    return Document(
        deployment.name,
        DOMAINS,
        models=(ModelRoute(MODEL),),
        backends=backends,
        policy=Policy(choice=policy),
    )


async def sample(engines: Sequence[FakeEngine], tally: Tally) -> None:
    """Note now and then how unevenly the engines are loaded."""
    while True:
        await anyio.sleep(SAMPLE)
        loads = [len(item.running) + len(item.waiting) for item in engines]
        if sum(loads) >= len(loads):
            tally.imbalance.append(max(loads) * len(loads) / sum(loads))


async def play(
    deployment: Deployment,
    policy: str,
    load: Load,
    seed: int,
    shape: EngineShape,
    scenario: str,
) -> Figures:
    """Play one run on the virtual clock."""
    tally = Tally(load.length)
    chance = random.Random(seed)
    engines = {
        f"e{index}": FakeEngine(
            f"e{index}", shape, random.Random(seed * 100 + index), tally.gaps
        )
        for index in range(deployment.engines)
    }
    plan = asks(chance, deployment.capacity * load.factor, load.length)
    described = document(deployment, policy, shape.slots)
    routers = [
        make_router(described, deployment, index, seed, engines, tally)
        for index in range(deployment.routers)
    ]
    start = anyio.current_time()
    async with anyio.create_task_group() as group:
        for engine in engines.values():
            group.start_soon(engine.run)
        for router in routers:
            group.start_soon(router.poll)
        group.start_soon(sample, list(engines.values()), tally)
        group.start_soon(scenarios[scenario], Stage(load.length, engines, routers))
        async with anyio.create_task_group() as requests:
            for ask in plan:
                await anyio.sleep_until(start + ask.at)
                requests.start_soon(chance.choice(routers).serve, ask)
        group.cancel_scope.cancel()
    for engine in engines.values():
        tally.late_work += engine.late_work
        tally.emptied += engine.emptied
    return figures(tally)


def make_router(
    described: Document,
    deployment: Deployment,
    index: int,
    seed: int,
    engines: dict[BackendName, FakeEngine],
    tally: Tally,
) -> Router:
    """Return one router, with a source of chance of its own."""
    domain = DOMAINS[index % len(DOMAINS)]
    backends = Backends(
        FleetView(described, 1, domain),
        rng=random.Random(seed * 1000 + index),
        transport=NoTransport(),
    )
    backends.refresh()
    for state in backends.states.values():
        near = state.backend.domain == domain
        state.distance = 0.0001 if near else deployment.distance
    return Router(backends, engines, tally)


def run_once(
    deployment: Deployment,
    policy: str,
    load: Load,
    seed: int,
    shape: EngineShape | None = None,
    scenario: str = "normal",
) -> Figures:
    """Run one combination and return its figures."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    played: Figures = trio.run(
        play,
        deployment,
        policy,
        load,
        seed,
        shape or EngineShape(),
        scenario,
        clock=clock,
        strict_exception_groups=True,
    )
    return played
