"""Which routers of a failure domain collect the reports of its routers' load."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping

from attrs import define, field

from ebonyhold.types import Seconds

MISSED_INTERVALS = 3
"""Intervals without a total after which a router turns to the next collector."""


def rank_collectors(rates: Mapping[str, float], domain: str) -> tuple[str, ...]:
    """Return the routers of a failure domain, the preferred collector first.

    A collector sends a total to each router of its domain, so those with the fastest
    links come first; equal ones are in the order of rendezvous hashing.

    Args:
        rates: The rate of each router's link in bytes per second; 0 if unknown.
        domain: The failure domain.
    """

    def key(name: str) -> tuple[float, bytes]:
        text = f"collector/{domain}\n{name}".encode()
        return -rates[name], hashlib.blake2b(text, digest_size=8).digest()

    return tuple(sorted(rates, key=key))


@define(eq=False)
class CollectorChoice:
    """To which router of its failure domain a router reports.

    Attributes:
        name: This router's name.
        ranking: The routers of the domain, the preferred collector first.
        index: The rank of the current collector.
        since: When it was chosen or last heard.
        heard: When each router of the domain was last heard as a collector.
    """

    name: str
    ranking: tuple[str, ...] = ()
    index: int = 0
    since: Seconds = 0.0
    heard: dict[str, Seconds] = field(factory=dict)

    @property
    def current(self) -> str:
        """The current collector; this router if no other is known."""
        return self.ranking[self.index] if self.ranking else self.name

    def update(self, ranking: tuple[str, ...], now: Seconds) -> None:
        """Use a new ranking; another router that is the collector stays it.

        A router that joins with a faster link collects once its totals are heard. A
        router that was its own collector starts from the first rank, as it has known
        too few others.
        """
        if ranking == self.ranking:
            return
        current = self.current
        self.ranking = ranking
        self.heard = {n: at for n, at in self.heard.items() if n in ranking}
        if current != self.name and current in ranking:
            self.index = ranking.index(current)
        else:
            self.index, self.since = 0, now

    def record(self, sender: str, now: Seconds) -> None:
        """Record a total; one from a higher rank makes its sender the collector."""
        if sender not in self.ranking:
            return
        self.heard[sender] = now
        rank = self.ranking.index(sender)
        if rank <= self.index:
            self.index, self.since = rank, now

    def review(self, now: Seconds, interval: Seconds, able: bool = True) -> None:
        """Turn to the next router in rank if the current one is silent.

        After the last one follows the first. A router that is its own collector stays
        with it, until it hears one of a higher rank or is not able to collect.

        Args:
            now: The time.
            interval: The interval at which totals are expected.
            able: Whether this router itself may collect.
        """
        if self.current == self.name and able:
            self.since = now
        elif now - self.since > MISSED_INTERVALS * interval and self.ranking:
            self.index = (self.index + 1) % len(self.ranking)
            self.since = now

    def hears_higher(self, now: Seconds, interval: Seconds) -> bool:
        """Return whether a router of a higher rank is heard as a collector."""
        for name in self.ranking:
            if name == self.name:
                return False
            if now - self.heard.get(name, -1e9) <= MISSED_INTERVALS * interval:
                return True
        return False
