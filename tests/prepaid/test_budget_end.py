"""Tokens are kept for small requests only of a budget that is forecast to end."""

from __future__ import annotations

import anyio
import pytest
from attrs import evolve

from ebonyhold.exceptions import BudgetError
from ebonyhold.prepaid._budget_end import SteadyRate, is_at_end
from ebonyhold.prepaid._last_tokens import KEPT_FOR
from ebonyhold.standins import RowHistory
from tests.prepaid.kit import Router, router
from tests.virtual import anyio_backend

pytestmark = pytest.mark.anyio
__all__ = ["anyio_backend"]

PREPAID = 200_000
LARGE = 3_000
SMALL = 50

USUAL = [100] * 54
BURST = [400] * 6


@pytest.mark.parametrize(
    ("asked", "unspent", "ends"),
    [
        pytest.param(USUAL, 2_400, True, id="ends"),
        pytest.param(USUAL, 2_600, False, id="lasts"),
        pytest.param(USUAL + BURST, 2_600, False, id="burst"),
        pytest.param(USUAL + BURST + [100] * 20, 2_600, False, id="after the burst"),
        pytest.param(USUAL + [0] * 60, 1, False, id="callers have left"),
        pytest.param(USUAL + [400] * 36, 2_600, True, id="demand has grown"),
        pytest.param([0, 0, 0, 0, 0, 900] * 9, 3_700, True, id="few requests"),
        pytest.param([400] * 5, 49_000, True, id="rate unknown, little left"),
        pytest.param([400] * 5, 51_000, False, id="rate unknown, more left"),
    ],
)
def test_budget_is_at_its_end_if_used_up_at_the_steady_rate(
    asked: list[int], unspent: int, ends: bool
) -> None:
    """Guards against a forecast that a burst of 6 s or a lull decides."""
    steady = SteadyRate()
    for second, amount in enumerate(asked):
        if amount:
            steady.record(amount, float(second))
    rate = steady.rate(float(len(asked)))
    assert is_at_end(unspent, PREPAID, rate, KEPT_FOR) is ends


async def started(left: int) -> Router:
    """Return the only router of a budget that has this many tokens left."""
    one = router(RowHistory(), PREPAID)
    one.fleet = 1
    await one.renew()
    spent = PREPAID - left
    await one.grant.obtain(spent)
    assert one.grant.try_hold(spent)
    one.grant.settle(spent, spent)
    return one


async def is_served(one: Router, amount: int) -> bool:
    """Run a request; return whether it was served."""
    try:
        await one.grant.hold(amount, "r")
    except BudgetError:
        return False
    one.grant.settle(amount, amount)
    return True


async def after_mix(every: int) -> Router:
    """Return a router that served a mix, and has 300 tokens more than a large one.

    Args:
        every: Time between two large requests, in seconds.
    """
    asked = [
        amount
        for second in range(0, 100, 2)
        for amount in (SMALL, *[LARGE] * (second % every == 0))
    ]
    one = await started(LARGE + 300 + sum(asked))
    for amount in asked:
        assert await is_served(one, amount)
        if amount == SMALL:
            await anyio.sleep(2.0)
            await one.renew()
    return one


@pytest.mark.parametrize(
    ("every", "served"),
    [pytest.param(50, True, id="lasts"), pytest.param(10, False, id="ends")],
)
async def test_large_request_is_served_from_a_budget_that_lasts(
    every: int, served: bool
) -> None:
    """Guards against refusals while what is left lasts longer than `KEPT_FOR`."""
    one = await after_mix(every)
    assert await is_served(one, LARGE) is served


async def test_restarted_router_serves_large_requests_of_a_budget_half_spent() -> None:
    """Guards against tokens kept where the others are at routers that are silent."""
    one = await started(PREPAID // 2)
    await one.grant.obtain(LARGE * 2)
    rows = one.grant.state.cache.rows
    assert rows is not None
    budget = rows.budget.budget
    elsewhere = evolve(budget, outstanding=budget.outstanding + budget.remaining)
    one.grant.state.cache.rows = evolve(
        rows, budget=evolve(rows.budget, budget=elsewhere)
    )
    one.grant.state.ledger.available = LARGE + 100
    assert await is_served(one, LARGE)


async def test_topped_up_budget_keeps_nothing() -> None:
    """Guards against tokens kept of a budget that the next configuration raises."""
    one = await after_mix(10)
    assert not await is_served(one, LARGE)
    one.prepaid.append(PREPAID * 2)
    assert not one.grant.small.budget_ends()
    assert await is_served(one, LARGE)


@pytest.mark.parametrize(("reached", "ends"), [(3, False), (6, True)])
async def test_only_holders_that_requests_reach_count(reached: int, ends: bool) -> None:
    """Guards against a demand counted twice where half of the holders are idle."""
    one = await started(13_200)
    one.fleet = 6
    one.grant.reached = lambda: reached
    for _ in range(12):
        assert await is_served(one, SMALL * 2)
        await anyio.sleep(1.0)
        await one.renew()
    assert one.grant.small.budget_ends() is ends
