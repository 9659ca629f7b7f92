"""Selection of a backend server for a request, by registered policies.

Several routers choose at the same time from the same outdated load reports, and no
policy communicates with other routers.  To keep them from all choosing the same server,
`TwoChoices` and `PrefixAware` sample candidates at random, and add the requests that
their router has sent since the report to the reported load.
"""

from __future__ import annotations

import hashlib
import random
from collections.abc import Callable, Sequence
from typing import Protocol

from attrs import define, frozen

from ebonyhold.types import BackendName, Seconds, Tokens


@frozen
class Candidate:
    """A backend server that may take the request.

    Attributes:
        name: The server.
        slots: The maximum number of requests that it runs at the same time; further
            ones are queued.
        reported: Requests running and queued at its last load report.
        own_at_report: Of those, the requests of this router.
        own: Requests of this router that are running or queued there now.
        reuse: Prompt tokens that its prefix cache is expected to hold.
        distance: One-way network delay to its failure domain, in seconds.
        token_rate: Tokens generated per second at its last report; 0 if unknown.
    """

    name: BackendName
    slots: int
    reported: int = 0
    own_at_report: int = 0
    own: int = 0
    reuse: Tokens = 0
    distance: Seconds = 0.0
    token_rate: float = 0.0

    @property
    def load(self) -> int:
        """The reported load, with this router's part replaced by its current one."""
        others = max(0, self.reported - self.own_at_report)
        return others + self.own


@frozen
class Need:
    """What a request needs from its backend server.

    Attributes:
        prompt: Estimated length of its prompt, in tokens.
        max_tokens: The maximum number of tokens to generate.
        priority: Requests with a larger value are served first.
    """

    prompt: Tokens = 0
    max_tokens: Tokens = 0
    priority: int = 0


class ChoicePolicy(Protocol):
    """Chooses one of several candidates; may keep state between calls."""

    def choose(
        self, need: Need, candidates: Sequence[Candidate], rng: random.Random
    ) -> Candidate:
        """Return the candidate for the request; there is at least one."""
        ...


choice_policies: dict[str, Callable[[], ChoicePolicy]] = {}
"""The registered policies, by their names in the configuration document."""


def choice_policy(
    name: str,
) -> Callable[[type[ChoicePolicy]], type[ChoicePolicy]]:
    """Return a decorator that registers a choice policy under a name."""

    def register(kind: type[ChoicePolicy]) -> type[ChoicePolicy]:
        choice_policies[name] = kind
        return kind

    return register


def make_choice_policy(name: str) -> ChoicePolicy:
    """Return a new instance of a registered policy.

    Raises:
        KeyError: No policy has that name.
    """
    return choice_policies[name]()


@choice_policy("random")
class RandomChoice:
    """Chooses a random candidate; all are equally likely."""

    def choose(
        self, need: Need, candidates: Sequence[Candidate], rng: random.Random
    ) -> Candidate:
        """Return a random candidate."""
        return rng.choice(candidates)


@choice_policy("round_robin")
@define
class RoundRobin:
    """Chooses the candidates in turn, in the order of their names."""

    position: int = -1

    def choose(
        self, need: Need, candidates: Sequence[Candidate], rng: random.Random
    ) -> Candidate:
        """Return the next candidate.

        The first one is random, so that the routers do not choose in lockstep.
        """
        if self.position < 0:
            self.position = rng.randrange(len(candidates))
        self.position += 1
        ordered = sorted(candidates, key=lambda item: item.name)
        return ordered[self.position % len(ordered)]


@choice_policy("least_load")
class LeastLoad:
    """Chooses the candidate with the lowest reported load per slot.

    Ties are broken randomly.
    """

    def choose(
        self, need: Need, candidates: Sequence[Candidate], rng: random.Random
    ) -> Candidate:
        """Return the candidate with the lowest reported load per slot."""
        return min(
            candidates, key=lambda item: (item.reported / item.slots, rng.random())
        )


@choice_policy("two_choices")
class TwoChoices:
    """Chooses the one of two random candidates with the lower load per slot."""

    def choose(
        self, need: Need, candidates: Sequence[Candidate], rng: random.Random
    ) -> Candidate:
        """Return the one of two random candidates that has the lower load per slot."""
        if len(candidates) == 1:
            return candidates[0]
        first, second = rng.sample(candidates, 2)
        if second.load / second.slots < first.load / first.slots:
            return second
        return first


def working_set(
    chooser: str, names: Sequence[BackendName], size: int
) -> frozenset[BackendName]:
    """Return the subset of a large number of servers that one router uses.

    Each router ranks all servers by a hash of its own and the server's name, and keeps
    the first ones.  So every server is used by about the same number of routers, adding
    or removing a server changes few subsets, and each router polls a bounded number of
    servers.

    >>> names = [f"e{number}" for number in range(100)]
    >>> len(working_set("r1", names, 8)), len(working_set("r1", names[:3], 8))
    (8, 3)
    """
    if len(names) <= size:
        return frozenset(names)

    def rank(name: BackendName) -> bytes:
        return hashlib.sha256(f"{chooser}/{name}".encode()).digest()

    return frozenset(sorted(names, key=rank)[:size])


PREFILL_RATE = 8_000.0
"""Prompt tokens that an engine is assumed to process per second."""

MEAN_ANSWER_TOKENS: Tokens = 128
"""Assumed mean length of an answer, to estimate when a slot becomes free."""

SAMPLE_SIZE = 2
"""Number of random candidates that are compared.

The candidate with the longest cached prefix is compared in addition.
"""


@choice_policy("prefix_aware")
class PrefixAware:
    """Chooses the candidate with the lowest expected time to first token.

    Only a few candidates are compared: random ones, and the one whose cache holds most
    of the prompt's prefix.  Random sampling keeps several routers with the same
    outdated report from choosing the same server.
    """

    def choose(
        self, need: Need, candidates: Sequence[Candidate], rng: random.Random
    ) -> Candidate:
        """Return the sampled candidate with the lowest expected time to first token."""
        drawn = list(rng.sample(candidates, min(SAMPLE_SIZE, len(candidates))))
        longest = max(candidates, key=lambda item: (item.reuse, -item.load))
        if longest.reuse > 0 and longest not in drawn:
            drawn.append(longest)
        return min(drawn, key=lambda item: cost(need, item))


def cost(need: Need, item: Candidate) -> float:
    """Return the expected time to first token, in seconds.

    It is the sum of the round-trip delay, the wait for a free slot, and the time to
    process the uncached part of the prompt, which grows with the load.  If the server's
    token rate is unknown, a request is assumed to use its slot for one second.
    """
    uncached = max(0, need.prompt - item.reuse)
    utilization = item.load / item.slots
    waiting = max(0.0, item.load + 1 - item.slots) / item.slots
    turnover = (
        MEAN_ANSWER_TOKENS
        * max(1.0, utilization)
        / max(item.token_rate, 1.0)
        * item.slots
    )
    queue = waiting * (turnover if item.token_rate else 1.0)
    return 2 * item.distance + queue + uncached / PREFILL_RATE * (1.0 + utilization)
