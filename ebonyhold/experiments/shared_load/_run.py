"""One run of a fleet on a virtual clock."""

from __future__ import annotations

import heapq
import random
import statistics
from collections.abc import Callable, Sequence
from functools import partial
from itertools import count, pairwise

from attrs import define, field, frozen

from ebonyhold.experiments.shared_load._exchange import (
    Exchange,
    RouterView,
    interval,
)
from ebonyhold.experiments.shared_load._load import Arrival, Deployment, arrivals
from ebonyhold.experiments.shared_load._servers import Job, Server
from ebonyhold.forwarding import Backend, BackendState, BackendTable, choose
from ebonyhold.forwarding._shared_choice import WEIGHTS, ChoiceWeights, SharedChoice
from ebonyhold.types import Seconds

WARM_UP: Seconds = 4.0
"""Time at the start that is not measured, as nothing is cached yet."""

SLOW_FROM: Seconds = 6.0
"""When servers become slow."""

LEARNED_IN: Seconds = 3.0
"""Time in which the figures come to state a server's slowness."""

NOISE_SHARE = 0.15
"""Share of the time in which a server is slower, if servers are at times."""

NOISE_FOR: Seconds = 0.6
"""How long it is each time, on average."""

WINDOW: Seconds = 1.0
"""Time over which the servers' work is compared."""


@frozen
class Figures:
    """What a run measured.

    Attributes:
        late: Share of the first events later than the target, by kind.
        again: Shared prompt tokens read per request.
        busiest: Prompt tokens read by the busiest server against the mean, on average
            over windows of a second.
    """

    late: dict[str, float]
    again: float
    busiest: float


@define(eq=False)
class Play:
    """One run.

    Attributes:
        deployment: The deployment.
        policy: `current`, `new` or `complete`.
        routers: Number of routers.
        seed: The seed of the run.
        slow: How many servers become 5 times slower.
        weights: The constants of the new choice.
    """

    deployment: Deployment
    policy: str
    routers: int
    seed: int
    slow: int
    weights: ChoiceWeights
    now: Seconds = 0.0
    events: list[tuple[Seconds, int, Callable[[Seconds], None]]] = field(factory=list)
    number: count[int] = field(factory=count)
    jobs: list[Job] = field(factory=list)
    chance: random.Random = field(init=False)
    servers: list[Server] = field(init=False)
    exchange: Exchange = field(init=False)
    choices: list[SharedChoice] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.chance = random.Random(self.seed)
        size = self.deployment.servers
        self.servers = [Server(self.deployment, self.at) for _ in range(size)]
        domains = [router % 3 for router in range(self.routers)]
        every = interval(self.routers)
        self.exchange = Exchange(domains, size, every, self.stated_slowness)
        self.choices = [self.choice(router) for router in range(self.routers)]

    def choice(self, router: int) -> SharedChoice:
        """Return the choice of one router, with its own table of the servers."""
        name = self.deployment.service.name
        table = BackendTable(services={name: self.deployment.service})
        table.fleet_load = RouterView(self.exchange, router)
        for server in range(len(self.servers)):
            address, domain = ("127.0.0.1", 1), "abc"[server % 3]
            slots = self.deployment.service.slots
            table.update(
                Backend(
                    f"s{server}", name, address, domain, slots, BackendState.READY, 1
                )
            )
        rng = random.Random(self.seed * 1000 + router)
        return SharedChoice("abc"[router % 3], table, self.weights, rng)

    def at(self, when: Seconds, what: Callable[[Seconds], None]) -> None:
        """Schedule a function."""
        heapq.heappush(self.events, (when, next(self.number), what))

    def run(self, requests: Sequence[Arrival], length: Seconds) -> Figures:
        """Play the requests and return the figures."""
        for arrival in requests:
            self.at(arrival.at, partial(self.place, arrival))
        self.exchange.start(self.at)
        self.at(SLOW_FROM, self.slow_down)
        if self.deployment.noise > 1.0:
            for server in self.servers:
                self.disturb(server, 0.0)
        marks: list[list[int]] = []
        for second in range(int(WARM_UP), int(length) + 1):
            self.at(second * WINDOW, lambda now: marks.append(self.read_tokens()))
        again = [0]
        self.at(WARM_UP, lambda now: again.__setitem__(0, self.shared_read()))
        while self.events and self.events[0][0] <= length:
            self.now, _, what = heapq.heappop(self.events)
            what(self.now)
        measured = [job for job in self.jobs if self.is_measured(job, length)]
        return Figures(
            {
                kind.name: share_late([j for j in measured if j.arrival.kind == kind])
                for kind in self.deployment.kinds
            },
            (self.shared_read() - again[0]) / max(1, len(measured)),
            busiest(marks),
        )

    def is_measured(self, job: Job, length: Seconds) -> bool:
        """Return whether a request arrived late enough, and not too late to end."""
        return WARM_UP <= job.arrival.at <= length - job.arrival.kind.target

    def read_tokens(self) -> list[int]:
        """Return the prompt tokens that each server has read."""
        return [server.read for server in self.servers]

    def shared_read(self) -> int:
        """Return the shared prompt tokens that all servers have read."""
        return sum(server.again for server in self.servers)

    def slow_down(self, now: Seconds) -> None:
        """Make the first servers slow."""
        del now
        for server in self.servers[: self.slow]:
            server.slowness = 5.0

    def disturb(self, server: Server, now: Seconds) -> None:
        """Make a server slower or usual again, and schedule the next change."""
        slower = server.noise == 1.0 and now > 0.0
        server.noise = self.deployment.noise if slower else 1.0
        mean = NOISE_FOR if slower else NOISE_FOR * (1.0 / NOISE_SHARE - 1.0)
        until = now + self.chance.expovariate(1.0 / mean)
        self.at(until, partial(self.disturb, server))

    def stated_slowness(self, server: int) -> float:
        """Return the slowness that the figures state, which rises over some seconds."""
        actual = self.servers[server].slowness
        known = min(1.0, max(0.0, (self.now - SLOW_FROM) / LEARNED_IN))
        return 1.0 + (actual - 1.0) * known

    def place(self, arrival: Arrival, now: Seconds) -> None:
        """Let the router choose a server, and send it the request."""
        choice = self.choices[arrival.router]
        entries = list(choice.backends.entries.values())
        request, name = arrival.request, self.deployment.service.name
        if self.policy == "complete":
            server = self.best_server(arrival)
        else:
            rated = None
            if self.policy == "new":
                rated = choice.choose(request, name, entries, now, now)
            entry = rated.entry if rated is not None else None
            entry = entry or choose(request, entries, choice.domain, now)
            server = int(entry.backend.name[1:])
        entry = entries[server]
        if self.policy == "new":
            choice.record_sent(request, name, entry, now)
        entry.in_flight += 1
        work = entry.work.begin(request, now)
        own = self.exchange.own[arrival.router][server]
        unread, resident = work.unread, work.resident
        for item, more in enumerate((1, unread, resident)):
            own[item] += more

        def first() -> None:
            work.mark_read()
            own[1] -= unread

        def end() -> None:
            work.end()
            entry.in_flight -= 1
            own[0] -= 1
            own[2] -= resident

        job = Job(arrival, first, end)
        self.jobs.append(job)
        self.servers[server].submit(job, now)

    def best_server(self, arrival: Arrival) -> int:
        """Return the server that is expected to write the first event first."""
        kind, service = arrival.kind, self.deployment.service
        parts = arrival.request.prompt_parts[:-1]

        def cost(server: Server) -> float:
            missing = sum(tokens for _, tokens in server.missing(parts))
            full = max(0, server.requests + 1 - service.slots) * kind.own
            ahead = server.unread + kind.own + missing + full
            rate = server.slowness * server.noise
            return ahead * rate * (1 + 0.2 * server.requests / service.slots)

        return min(range(len(self.servers)), key=lambda n: cost(self.servers[n]))


def share_late(jobs: Sequence[Job]) -> float:
    """Return the share of the requests whose first event came late or not at all."""
    late = sum(
        job.first_at is None or job.first_at - job.arrival.at > job.arrival.kind.target
        for job in jobs
    )
    return late / max(1, len(jobs))


def busiest(marks: Sequence[Sequence[int]]) -> float:
    """Return the tokens that the busiest server read against the mean of all."""
    found = []
    for before, after in pairwise(marks):
        read = [b - a for a, b in zip(before, after, strict=True)]
        if sum(read):
            found.append(max(read) * len(read) / sum(read))
    return statistics.fmean(found) if found else 0.0


def run(
    deployment: Deployment,
    policy: str,
    routers: int,
    seed: int = 1,
    length: Seconds = 20.0,
    load: float = 1.0,
    slow: int = 0,
    weights: ChoiceWeights = WEIGHTS,
) -> Figures:
    """Play one run.

    Args:
        deployment: The deployment.
        policy: `current`, `new`, or `complete` for a placer that knows everything.
        routers: Number of routers.
        seed: Seed of the run.
        length: Length of the run, in seconds.
        load: Multiple of the deployment's load.
        slow: How many servers become 5 times slower.
        weights: The constants of the new choice.
    """
    requests = list(arrivals(deployment, routers, length, load, seed))
    return Play(deployment, policy, routers, seed, slow, weights).run(requests, length)
