"""Random histories: all routers together never exceed the memory of a server.

Variants that leave out one rule each are run too, to show that the check notices.
"""

from __future__ import annotations

from collections.abc import Callable

import pytest

from ebonyhold.coordination import MemoryLender, MemoryPool, own_share
from ebonyhold.types import Tokens
from tests.coordination.memory_fleet import MEMORY, Guards, MemoryFleet

DURATION = 150.0


@pytest.mark.parametrize("seed", range(8))
def test_servers_never_have_more_than_fits(seed: int) -> None:
    """A server that gets more than its memory holds crashes, with all requests."""
    fleet = MemoryFleet(seed)
    fleet.run(DURATION)
    assert fleet.granted > 100


class UncountedPool(MemoryPool):
    """A pool that frees a shared part with the first request that ends."""

    __slots__ = ()

    def remove(self, name: str) -> Tokens | None:
        """Remove a request and all its shared parts."""
        occupant = self.occupants.get(name)
        if occupant is not None:
            for key in occupant.need.shared:
                if key in self.shared and self.shared[key].users > 1:
                    self.used -= self.shared[key].tokens
                    self.shared[key].tokens = 0
        return super().remove(name)


class Uncounting(MemoryLender):
    """A lender with such pools."""

    __slots__ = ()

    def ask(self, *args, **kwargs):  # type: ignore[no-untyped-def]
        """Ask, with the pools replaced."""
        for server in self.servers.values():
            server.pool.__class__ = UncountedPool
        return super().ask(*args, **kwargs)


VARIANTS: dict[str, Callable[[], Guards]] = {
    "a new lender lends at once": lambda: Guards(quiet=False),
    "an old view of the fleet is used": lambda: Guards(view_age=False),
    "the share is of the routers seen, not the most": lambda: Guards(
        highest_count=False
    ),
    "leases expire before their requests": lambda: Guards(lasts=0.1),
    "a shared part is free when one user ends": lambda: Guards(lender=Uncounting),
    "shares add up to all memory": lambda: Guards(
        share=lambda routers: 2 * own_share(MEMORY, routers)
    ),
}


@pytest.mark.parametrize("name", VARIANTS)
def test_missing_rule_is_noticed(name: str) -> None:
    """The check would not notice a fleet that exceeds a server's memory."""
    for seed in range(40):
        try:
            MemoryFleet(seed, VARIANTS[name]()).run(DURATION)
        except AssertionError:
            return
    pytest.fail("no history shows the missing rule")
