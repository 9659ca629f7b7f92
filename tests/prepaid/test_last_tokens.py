"""The last tokens of a budget go to small requests that are expected."""

from __future__ import annotations

import anyio
import pytest

from ebonyhold.exceptions import BudgetError, BudgetUnreachableError
from ebonyhold.prepaid._last_tokens import LAST_PART
from ebonyhold.standins import RowHistory
from tests.prepaid.kit import Router, router
from tests.virtual import anyio_backend

pytestmark = pytest.mark.anyio
__all__ = ["anyio_backend"]

PREPAID = 100_000
LARGE = 2_000
SMALL = 100


async def started(prepaid: int = PREPAID) -> Router:
    """Return a router that shares its budget with nobody and can reach the store."""
    one = router(RowHistory(), prepaid)
    one.fleet = 1
    await one.renew()
    return one


async def use(one: Router, *amounts: int) -> list[bool]:
    """Run requests of some sizes one after the other; return which were served."""
    served = []
    for amount in amounts:
        await anyio.sleep(0.1)
        try:
            await one.grant.hold(amount, "r")
        except BudgetError:
            served.append(False)
        else:
            one.grant.settle(amount, amount)
            served.append(True)
    return served


async def test_last_tokens_are_kept_for_small_requests() -> None:
    """Guards against a few large requests that take what serves many small ones."""
    one = await started()
    while await use(one, LARGE) == [True]:
        assert await use(one, SMALL) == [True]
    usable = (1 - LAST_PART) * PREPAID
    assert usable >= 0.97 * PREPAID
    assert usable - LARGE < one.grant.state.charged <= usable
    assert await use(one, *[SMALL, LARGE] * 20) == [True, False] * 20


async def test_requests_of_one_size_use_a_budget_to_its_end() -> None:
    """Guards against tokens that are kept though no small request comes."""
    one = await started()
    await use(one, *[LARGE] * 60)
    assert one.grant.state.charged == PREPAID


async def test_large_request_may_use_a_whole_budget() -> None:
    """Guards against a last part that keeps a request from using most of a budget."""
    one = await started()
    assert await use(one, SMALL, PREPAID - SMALL) == [True, True]


async def test_keeping_tokens_ends_with_the_small_requests() -> None:
    """Guards against tokens that are kept for callers who have left."""
    one = await started()
    await use(one, *[LARGE, SMALL] * 60)
    with pytest.raises(BudgetUnreachableError):
        await one.grant.hold(LARGE, "r")
    await anyio.sleep(600.0)
    await one.renew()
    await use(one, *[LARGE] * 30)
    assert one.grant.state.charged > PREPAID - LARGE
