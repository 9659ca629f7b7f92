"""Whatever happens in whatever order, the books add up in the end."""

from __future__ import annotations

import pytest
from attrs import evolve

from ebonyhold.experiments._memory_fleet import MemoryFleet
from tests.money.chaos import CHAOS_POLICY, play
from tests.money.stories import run

POLICIES = ("adaptive_transfer", "adaptive", "table_call", "static_split")


def check(seed: int, steps: int) -> None:
    """Play one history under the policy that its seed chooses."""
    policy = evolve(CHAOS_POLICY, grants=POLICIES[seed % len(POLICIES)])

    async def story(fleet: MemoryFleet) -> None:
        await play(fleet, seed, steps)

    run(story, policy)


@pytest.mark.parametrize("seed", range(24))
def test_random_interleavings(seed: int) -> None:
    """Requests, deaths, recoveries, partitions and lost calls in random order.

    Nothing is overspent, every request has one bill, every booking ran at most
    once, and when all is settled no token is missing or left over.
    """
    check(seed, 120)


@pytest.mark.soak
@pytest.mark.parametrize("block", range(20))
def test_many_random_interleavings(block: int) -> None:
    """The same for a thousand longer histories."""
    for seed in range(1000 + 50 * block, 1050 + 50 * block):
        check(seed, 300)
