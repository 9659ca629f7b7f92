"""A power cut of all VMs leaves a budget's tokens where requests can use them."""

from __future__ import annotations

import random

import anyio
import pytest

from ebonyhold.prepaid._limits import EARLY_PERIOD
from tests.prepaid.power_cuts import RESTART_TIME, Fleet, RequestKind
from tests.virtual import anyio_backend

pytestmark = pytest.mark.anyio
__all__ = ["anyio_backend"]

ROUTE_SHEET = RequestKind(9200, 13.2)
QUESTION = RequestKind(2400, 15.6, 0.15)
CHAT = RequestKind(1000, 5.6, 0.6)
BOOKING = RequestKind(0, 10.64, 0.05)

OUTAGE = 11.0
"""Seconds for which the store answers nothing."""


WORKSPACES = ("acme", "blue", "cove", "dune")


@pytest.mark.parametrize("since", [0.65, 0.8])
async def test_power_cut_right_after_an_outage_strands_few_tokens(since: float) -> None:
    """Guards against renewals after an outage that still allow what it might need."""
    fleet = Fleet([ROUTE_SHEET, QUESTION, CHAT], dict.fromkeys(WORKSPACES, 4_000_000))
    async with anyio.create_task_group() as tasks:
        fleet.start(tasks)
        async with anyio.create_task_group() as callers:
            for kind in fleet.kinds:
                callers.start_soon(fleet.call, kind)
            await anyio.sleep(20.0)
            fleet.silence_store()
            await anyio.sleep(2.0)
            # Callers leave, so the outage needs less than was expected.
            callers.cancel_scope.cancel()
        await anyio.sleep(OUTAGE - 2.0)
        fleet.silence_store(False)
        await anyio.sleep(since)
        fleet.cut_power()
        await anyio.sleep(RESTART_TIME)
        fleet.start(tasks)
        await anyio.sleep(3.0)
        tasks.cancel_scope.cancel()
    mean_demand = sum(kind.amount * kind.rate for kind in fleet.kinds)
    assert fleet.stranded() <= mean_demand * EARLY_PERIOD


RECOVERY_TIME = 12.0
"""Seconds after the return of the VMs from which on the platform counts."""

SERVED = 0.25
"""Share of the requests that is to be served then."""


BUDGETS = [
    pytest.param([1_000_000] * 4, 1, id="spent 12 s before"),
    pytest.param([1_200_000] * 4, 1, id="spent before"),
    pytest.param([1_400_000] * 4, 1, id="spent after"),
    pytest.param([1_000_000, 1_200_000, 1_400_000, 1_500_000], 2, id="half spent"),
    pytest.param(
        [1_000_000, 1_200_000, 1_400_000, 1_500_000], 3, id="half spent again"
    ),
]
"""Budgets of the workspaces, and seeds; named by when they are spent."""


@pytest.mark.parametrize(("budgets", "seed"), BUDGETS)
async def test_some_callers_are_served_when_a_budget_ends_after_a_power_cut(
    budgets: list[int], seed: int
) -> None:
    """Guards against a few large requests that use up a budget, so that no other fits.

    Bookings need no tokens, but they are less than a quarter of the requests.
    """
    kinds = [ROUTE_SHEET, QUESTION, CHAT, BOOKING]
    prepaid = dict(zip(WORKSPACES, budgets, strict=True))
    fleet = Fleet(kinds, prepaid, random=random.Random(seed))
    async with anyio.create_task_group() as tasks:
        fleet.start(tasks)
        for kind in fleet.kinds:
            tasks.start_soon(fleet.call, kind)
        await anyio.sleep(24.0)
        fleet.silence_store()
        await anyio.sleep(OUTAGE)
        fleet.silence_store(False)
        await anyio.sleep(1.0)
        fleet.cut_power()
        await anyio.sleep(RESTART_TIME)
        returned = fleet.now
        fleet.start(tasks)
        await anyio.sleep(RECOVERY_TIME + 4.0)
        tasks.cancel_scope.cancel()
    assert fleet.share_served(10.0, returned - RESTART_TIME) >= SERVED
    assert fleet.share_served(returned + RECOVERY_TIME, fleet.now) >= SERVED
