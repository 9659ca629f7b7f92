"""Choosing a backend server for a request, by registered policies.

Several routers choose at once on the same late reports.  No policy asks
another router anything: the herd is avoided by chance (two random choices) and
by each router's knowledge of what it sent since the report.
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
        slots: Requests it runs at once before it queues them.
        reported: Requests it ran and queued at its last load report.
        own_at_report: Of those, this router's.
        own: Requests of this router that it runs or queues now.
        reuse: Tokens of the prompt that its prefix cache is expected to hold.
        distance: One-way delay to its failure domain.
        token_rate: Tokens a second it generated at its last report; 0 if unknown.
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
        """The reported load, corrected by what this router did since."""
        others = max(0, self.reported - self.own_at_report)
        return others + self.own


@frozen
class Need:
    """What the request needs of its backend server.

    Attributes:
        prompt: The length of its prompt, in tokens, as estimated.
        most: The most tokens it may generate.
        priority: Larger is served first.
    """

    prompt: Tokens = 0
    most: Tokens = 0
    priority: int = 0


class ChoicePolicy(Protocol):
    """Picks one of several candidates; it may keep state between calls."""

    def choose(
        self, need: Need, candidates: Sequence[Candidate], rng: random.Random
    ) -> Candidate:
        """Return the candidate that gets the request; there is at least one."""
        ...


choice_policies: dict[str, Callable[[], ChoicePolicy]] = {}
"""The registered policies by the name that the document uses."""


def choice_policy(
    name: str,
) -> Callable[[type[ChoicePolicy]], type[ChoicePolicy]]:
    """Register the decorated class as a choice policy."""

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
    """Any candidate, each as likely as the others."""

    def choose(
        self, need: Need, candidates: Sequence[Candidate], rng: random.Random
    ) -> Candidate:
        """Return a random candidate."""
        return rng.choice(candidates)


@choice_policy("round_robin")
@define
class RoundRobin:
    """One candidate after the other, in the order of their names."""

    turn: int = -1

    def choose(
        self, need: Need, candidates: Sequence[Candidate], rng: random.Random
    ) -> Candidate:
        """Return the next candidate; the first one is random, or routers march."""
        if self.turn < 0:
            self.turn = rng.randrange(len(candidates))
        self.turn += 1
        ordered = sorted(candidates, key=lambda item: item.name)
        return ordered[self.turn % len(ordered)]


@choice_policy("least_load")
class LeastLoad:
    """The candidate whose last report was the lowest; ties by chance."""

    def choose(
        self, need: Need, candidates: Sequence[Candidate], rng: random.Random
    ) -> Candidate:
        """Return the candidate with the least reported load."""
        return min(
            candidates, key=lambda item: (item.reported / item.slots, rng.random())
        )


@choice_policy("two_choices")
class TwoChoices:
    """The less loaded of two random candidates, by the corrected load."""

    def choose(
        self, need: Need, candidates: Sequence[Candidate], rng: random.Random
    ) -> Candidate:
        """Return the better of two random candidates."""
        if len(candidates) == 1:
            return candidates[0]
        first, second = rng.sample(candidates, 2)
        if second.load / second.slots < first.load / first.slots:
            return second
        return first


def working_set(
    chooser: str, names: Sequence[BackendName], size: int
) -> frozenset[BackendName]:
    """Return the servers that one router works with, where there are very many.

    Each router ranks all servers by a hash of both names and keeps the first
    ones.  So every server has about as many routers, a server that comes or
    goes changes few sets, and a router's state and polls stay bounded.

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
"""Prompt tokens a second that an engine reads when it is not known."""

MEAN_ANSWER: Tokens = 128
"""Tokens of a usual answer, for the time that a slot takes to become free."""

SAMPLED = 2
"""Candidates that are drawn by chance beside the one with the longest prefix."""


@choice_policy("prefix_aware")
class PrefixAware:
    """The least expected time to the first token among a few candidates.

    The candidates are a few random ones and the one that holds most of the
    prompt's prefix.  Drawing by chance keeps several routers with the same late
    report from choosing the same server.
    """

    def choose(
        self, need: Need, candidates: Sequence[Candidate], rng: random.Random
    ) -> Candidate:
        """Return the candidate with the least expected cost."""
        drawn = list(rng.sample(candidates, min(SAMPLED, len(candidates))))
        longest = max(candidates, key=lambda item: (item.reuse, -item.load))
        if longest.reuse > 0 and longest not in drawn:
            drawn.append(longest)
        return min(drawn, key=lambda item: cost(need, item))


def cost(need: Need, item: Candidate) -> float:
    """Return the expected time to the first token, in seconds.

    It is the way there and back, the wait for a slot, and the part of the
    prompt that the cache does not hold, read while others want the engine too.
    """
    fresh = max(0, need.prompt - item.reuse)
    share = item.load / item.slots
    waiting = max(0.0, item.load + 1 - item.slots) / item.slots
    turnover = MEAN_ANSWER * max(1.0, share) / max(item.token_rate, 1.0) * item.slots
    queue = waiting * (turnover if item.token_rate else 1.0)
    return 2 * item.distance + queue + fresh / PREFILL_RATE * (1.0 + share)
