"""The deployments of docs/design/hard-load.md, and the requests of their callers."""

from __future__ import annotations

import math
import random
from collections.abc import Iterator

from attrs import evolve, frozen

from ebonyhold.forwarding import CallerRequest, Service
from ebonyhold.types import Seconds, Tokens

WORKSPACES = tuple([30, 20, 12, 8] + [2] * 20)
"""The share of the requests of each of 24 workspaces, a few of them large."""


@frozen
class Kind:
    """One kind of requests.

    Attributes:
        name: Its name.
        rate: Requests per second, on average.
        shared: Prompt tokens that requests have in common with others.
        own: Prompt tokens of a single request.
        output: Tokens written.
        target: Latest time of the first event that is on time, in seconds.
        deadline: Latest time of the end, in seconds.
        variants: The tokens and the number of variants of each shared part; empty if
            there is one part for each workspace.
    """

    name: str
    rate: float
    shared: Tokens
    own: Tokens
    output: Tokens
    target: Seconds
    deadline: Seconds
    variants: tuple[tuple[Tokens, int], ...] = ()

    def parts(self, rng: random.Random) -> tuple[tuple[str, Tokens], ...]:
        """Return the shared parts of a request, each named with those before it."""
        if not self.variants:
            workspace = rng.choices(range(len(WORKSPACES)), WORKSPACES)[0]
            return ((f"{self.name}/{workspace}", self.shared),)
        last = rng.randrange(self.variants[-1][1])
        return tuple(
            (f"{self.name}/{place}/{last % count}", tokens)
            for place, (tokens, count) in enumerate(self.variants)
        )


@frozen
class Deployment:
    """A deployment: its servers and its requests.

    Attributes:
        name: Its name.
        service: The settings of the service.
        reading: Prompt tokens that a server reads per second.
        step: The shortest step, in seconds.
        kinds: The kinds of requests.
        period: Period of the waves of the load, in seconds.
        swing: Height of the waves, as a share of the mean.
        bursts: How many times the usual load a burst is; empty if there are none.
        servers: Number of servers.
        noise: How many times slower each server is now and then.
    """

    name: str
    service: Service
    reading: float
    step: Seconds
    kinds: tuple[Kind, ...]
    period: Seconds
    swing: float
    bursts: tuple[float, ...]
    servers: int = 30
    noise: float = 1.0


DEPLOYMENTS = {
    "A": Deployment(
        "A",
        Service("text", 200, event_tokens=3, slots=96, memory=258_964),
        32_400.0,
        0.006_12,
        (
            Kind("long", 34, 6_300, 2_890, 51, 2.035, 8.141),
            Kind("medium", 78, 568, 1_800, 24, 0.619, 4.126),
            Kind("short", 46, 172, 543, 240, 0.515, 15.447),
        ),
        11.0,
        0.27,
        (2.4, 1.5),
    ),
    "B": Deployment(
        "B",
        Service("text", 200, event_tokens=6, slots=64, memory=565_833),
        81_900.0,
        0.003_74,
        (
            Kind("long", 120, 6_300, 2_890, 54, 0.535, 5.353),
            Kind("medium", 133, 568, 1_800, 24, 0.419, 3.142),
            Kind("short", 54, 172, 543, 282, 0.315, 15.745),
        ),
        15.0,
        0.55,
        (),
    ),
}


VARIANTS = {
    "long": ((2_520, 4), (3_780, 1_036)),
    "medium": ((341, 16), (227, 2_564)),
    "short": ((103, 80), (69, 1_042)),
}
"""Shared parts of which each is used rarely, after first parts that are not."""

for _name in tuple(DEPLOYMENTS):
    _many = tuple(
        evolve(kind, variants=VARIANTS[kind.name]) for kind in DEPLOYMENTS[_name].kinds
    )
    DEPLOYMENTS[f"{_name}-many"] = evolve(
        DEPLOYMENTS[_name], name=f"{_name}-many", kinds=_many, noise=2.5
    )


@frozen
class Arrival:
    """One request of a caller, and the router that gets it."""

    at: Seconds
    kind: Kind
    request: CallerRequest
    router: int


def factor(deployment: Deployment, at: Seconds) -> float:
    """Return the load at a time as a multiple of the mean.

    Each burst lasts 3 s, and there are 5 s between two of them. The first peak of the
    waves comes at 7 s, so that short runs include it and a burst.
    """
    phase = 2.0 * math.pi * (at - 7.0) / deployment.period
    wave = 1.0 + deployment.swing * math.cos(phase)
    number, into = divmod(at, 8.0)
    if deployment.bursts and into >= 5.0:
        wave *= deployment.bursts[int(number) % len(deployment.bursts)]
    return wave


def arrivals(
    deployment: Deployment, routers: int, length: Seconds, load: float, seed: int
) -> Iterator[Arrival]:
    """Yield the requests of a run in order; they do not depend on who places them.

    Args:
        deployment: The deployment.
        routers: Number of routers.
        length: Length of the run, in seconds.
        load: Multiple of the deployment's load.
        seed: Seed of the run.
    """
    rng = random.Random(seed)
    kinds = deployment.kinds
    peak = 1.0 + deployment.swing
    peak *= max(deployment.bursts, default=1.0)
    rate = load * peak * sum(kind.rate for kind in kinds)
    at, number = 0.0, 0
    while (at := at + rng.expovariate(rate)) < length:
        if rng.random() * peak > factor(deployment, at):
            continue
        kind = rng.choices(kinds, [one.rate for one in kinds])[0]
        number += 1
        parts = (*kind.parts(rng), (f"r{number}", kind.own))
        request = CallerRequest(
            f"r{number}",
            prompt_tokens=kind.shared + kind.own,
            max_output=kind.output,
            prompt_parts=parts,
        )
        yield Arrival(at, kind, request, rng.randrange(routers))
