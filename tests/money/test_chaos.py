"""Random histories after which all bills, grants and budgets must add up."""

from __future__ import annotations

import pytest
from attrs import evolve

from ebonyhold.experiments._memory_fleet import MemoryFleet
from tests.money.chaos import CHAOS_POLICY, play
from tests.money.scenarios import run

POLICIES = ("adaptive_transfer", "adaptive", "table_call", "static_split")


def check(seed: int, steps: int) -> None:
    """Run one random history with its checks, under a policy chosen by the seed."""
    policy = evolve(CHAOS_POLICY, grants=POLICIES[seed % len(POLICIES)])

    async def scenario(fleet: MemoryFleet) -> None:
        await play(fleet, seed, steps)

    run(scenario, policy)


@pytest.mark.parametrize("seed", range(24))
def test_random_interleavings(seed: int) -> None:
    """Requests, crashes, recoveries, partitions and lost calls in random order.

    Guards against overspend, missing or doubled bills, bookings that run twice, and
    tokens that are missing or left over once everything is settled.
    """
    check(seed, 120)


@pytest.mark.soak
@pytest.mark.parametrize("block", range(20))
def test_many_random_interleavings(block: int) -> None:
    """The checks of `test_random_interleavings` for 1,000 longer histories."""
    for seed in range(1000 + 50 * block, 1050 + 50 * block):
        check(seed, 300)
