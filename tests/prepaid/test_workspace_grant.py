"""A grant never spends more than the store has granted, whatever fails."""

from __future__ import annotations

from contextlib import nullcontext
from itertools import pairwise

import anyio
import pytest
from anyio.lowlevel import checkpoint
from trio.lowlevel import current_clock

from ebonyhold.coordination import Transaction
from ebonyhold.exceptions import (
    BudgetExhaustedError,
    BudgetUnreachableError,
    PlatformError,
    UnknownOutcomeError,
)
from ebonyhold.prepaid import Committed
from ebonyhold.standins import MemoryRows, RowHistory
from tests.prepaid.kit import (
    Fault,
    Router,
    budget,
    delay_effect,
    grants,
    lose_answer,
    lose_request,
    router,
)
from tests.virtual import anyio_backend

pytestmark = pytest.mark.anyio
__all__ = ["anyio_backend"]


async def test_first_request_draws_and_settles() -> None:
    history = RowHistory()
    one = router(history)
    await one.renewals.step()
    await one.grant.hold(1000, "r")
    one.grant.state.settle(1000, 400)
    await one.grant.close()
    after = budget(history).budget
    assert (after.spent, after.outstanding, after.remaining) == (400, 0, 99_600)


async def test_request_above_whole_budget_is_exhausted() -> None:
    history = RowHistory()
    one = router(history, 5_000)
    await one.renewals.step()
    with pytest.raises(BudgetExhaustedError):
        await one.grant.hold(5_001, "r")


@pytest.mark.parametrize("before", [[], [5_000]], ids=["first budget", "top-up"])
async def test_budget_not_stored_yet_is_not_exhausted(
    before: list[int],
) -> None:
    """The stored budget is missing, or is older than a top-up that is configured.

    The budget must then not be reported as exhausted, which callers treat as final.
    """
    one = Router(RowHistory(), "vm-1", "vm-1.a", before or [100_000])
    await one.renewals.step()
    if before:
        with pytest.raises(BudgetExhaustedError):
            await one.grant.hold(6_000, "r1")
        one.prepaid.append(100_000)
    one.store.faults.lose_requests = 100
    with pytest.raises(BudgetUnreachableError):
        await one.grant.hold(6_000, "r2")
    one.store.faults.lose_requests = 0
    await anyio.sleep(5.0)
    await one.renew()
    await one.grant.tick()
    await one.grant.hold(6_000, "r3")


async def test_budget_granted_to_another_router_is_not_exhausted() -> None:
    """The budget has nothing left to draw, but another router holds unused tokens.

    The budget must not be reported as exhausted, since that router may return them.
    """
    history = RowHistory()
    one = router(history, 10_000)
    two = Router(history, "vm-2", "vm-2.a", [10_000])
    await one.renewals.step()
    await two.renewals.step()
    await one.grant.hold(9_000, "r")
    with pytest.raises(BudgetUnreachableError):
        await two.grant.hold(4_000, "r")


async def test_unreachable_store_refuses_without_waiting() -> None:
    """Guards against delaying a caller while the store is known to be unreachable."""
    history = RowHistory()
    one = router(history)
    await one.renewals.step()
    await one.grant.hold(100, "r")
    one.store.faults.down = True
    with pytest.raises(PlatformError):
        one.grant.state.cache.rows = None
        await one.grant.tick()
    before = anyio.current_time()
    with pytest.raises(BudgetUnreachableError):
        await one.grant.hold(90_000, "r")
    assert anyio.current_time() == before


@pytest.mark.parametrize("answers", [True, False])
async def test_draw_during_a_pause_of_this_process_is_made_again(
    answers: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against refusals for want of tokens since this router was paused."""
    history = RowHistory()
    one = router(history)
    await one.renewals.step()
    commit, left = type(one.store).commit, [1.0]

    async def paused(store: MemoryRows, transaction: Transaction) -> Committed:
        if not answers and not left:
            await anyio.sleep(60)
        committed = await commit(store, transaction)
        if left:
            current_clock().jump(left.pop())  # type: ignore[attr-defined]
            if not answers:
                raise UnknownOutcomeError("no answer")
            await checkpoint()
        return committed

    with monkeypatch.context() as patch:
        patch.setattr(type(one.store), "commit", paused)
        before = anyio.current_time()
        with nullcontext() if answers else pytest.raises(BudgetUnreachableError):
            await one.grant.hold(100, "r")
            one.grant.state.settle(100, 100)
        assert anyio.current_time() - before <= 1.5
    await one.grant.close()
    after, spent = budget(history).budget, 100 if answers else 0
    assert (after.spent, after.outstanding, after.prepaid) == (spent, 0, 100_000)


async def test_limit_grows_evenly_during_an_outage() -> None:
    """A router that cannot reach the store keeps serving from its grant.

    The limit grows with time at the usual demand.  From this growth a successor can
    compute an upper bound of the tokens used, and reclaim the rest of the grant.
    """
    history = RowHistory()
    one = router(history, 1_000_000)
    one.fleet = 30
    await one.renew()
    for _ in range(40):
        await one.grant.hold(1000, "r")
        one.grant.state.settle(1000, 1000)
        await anyio.sleep(0.3)
        await one.grant.tick()
        await one.renew()
    one.store.faults.down = True
    await one.renew()
    served = 0
    for _ in range(8):
        await anyio.sleep(0.3)
        served += one.grant.try_hold(1000)
    # Requests at the same rate are served from the start of the outage.
    assert served >= 7
    headroom = []
    for _ in range(4):
        headroom.append(one.grant.limit() - one.grant.state.used)
        await anyio.sleep(2.0)
    # One request of 1,000 tokens every 0.3 s uses 6,667 tokens in 2 s.
    grown = [after - before for before, after in pairwise(headroom)]
    assert 0 <= headroom[0] <= 2_000
    assert all(6_600 <= growth <= 10_000 for growth in grown)


async def test_request_above_the_limit_raises_it() -> None:
    """The grant covers a large request, but a renewal must raise the limit first."""
    history = RowHistory()
    one = router(history, 1_000_000)
    await one.renew()
    for _ in range(6):
        await one.grant.hold(1000, "r")
        one.grant.state.settle(1000, 1000)
        await one.renew()
    assert one.grant.limit() - one.grant.state.used < 20_000
    await one.grant.hold(20_000, "r")


@pytest.mark.parametrize("lose", [lose_answer, lose_request, delay_effect])
async def test_draw_in_doubt_counts_once(lose: Fault) -> None:
    """The outcome of a draw is unknown: it took effect, did not, or does so late.

    Counting it twice would overspend the budget; not counting it would leave its
    tokens unused.
    """
    history = RowHistory()
    one = router(history)
    await one.renewals.step()
    lose(one)
    one.grant.demand.record(1000, anyio.current_time())
    with pytest.raises(UnknownOutcomeError):
        await one.grant.tick()
    assert one.grant.state.ledger.available == 0
    await one.grant.tick()
    await one.store.faults.flush()
    await one.grant.tick()
    row = budget(history).budget
    assert one.grant.state.ledger.total == row.outstanding > 0


@pytest.mark.parametrize("lose", [lose_answer, lose_request, delay_effect])
async def test_return_in_doubt_is_not_spent(lose: Fault) -> None:
    """The outcome of a return of tokens is unknown.

    If it took effect, tokens spent here in the meantime would be spent twice.
    """
    history = RowHistory()
    one = router(history)
    await one.renewals.step()
    await one.grant.hold(1000, "r")
    one.grant.state.settle(1000, 0)
    lose(one)
    with pytest.raises(UnknownOutcomeError):
        await one.grant.close()
    assert one.grant.state.ledger.available == 0
    await one.grant.close()
    await one.store.faults.flush()
    assert budget(history).budget.outstanding == 0


async def test_lowered_budget_takes_grants_back() -> None:
    """The operator lowers a budget below the tokens granted to routers.

    Unused tokens must be returned before more are drawn.
    """
    history = RowHistory()
    one = router(history, 100_000)
    await one.renewals.step()
    await one.grant.hold(10_000, "r")
    one.grant.state.settle(10_000, 5_000)
    await one.grant.tick()
    one.prepaid.append(6_000)
    await one.grant.tick()
    await one.grant.tick()
    row = budget(history).budget
    assert row.prepaid == 6_000
    assert row.spent + row.outstanding <= 6_000


async def test_older_configuration_does_not_restore_a_budget() -> None:
    """Guards against restoring a lowered budget.

    One router has the newer configuration.  Another one still has the older one with
    the larger budget, and must not write that budget.
    """
    history = RowHistory()
    one = router(history, 100_000)
    one.prepaid.append(50_000)
    two = Router(history, "vm-2", "vm-2.a", [100_000])
    await one.renewals.step()
    await one.grant.hold(100, "r")
    await two.grant.tick()
    assert budget(history).budget.prepaid == 50_000


async def test_charges_are_filed_without_further_requests() -> None:
    history = RowHistory()
    one = router(history)
    await one.renewals.step()
    await one.grant.hold(1000, "r")
    one.grant.state.settle(1000, 700)
    await anyio.sleep(one.grant.options.file_after + 0.1)
    await one.grant.tick()
    assert grants(history)["vm-1.a"].billed == 700


async def test_first_request_of_a_workspace_is_served_in_an_outage() -> None:
    """One of many routers gets its first request of a workspace during an outage.

    It must have drawn enough tokens in advance for one request of the usual size.
    """
    history = RowHistory()
    one = router(history, 1_000_000)
    one.fleet = 84
    one.grant.default_typical = lambda: 5_000.0
    await one.renew()
    await one.grant.tick()
    await one.renew()
    one.store.faults.down = True
    await one.renew()
    await one.grant.hold(4_500, "r")
    with pytest.raises(BudgetUnreachableError):
        await one.grant.hold(4_500, "r")


@pytest.mark.parametrize("arrived", [True, False])
async def test_change_ended_by_an_unexpected_exception_is_in_doubt(
    arrived: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against losing returned tokens after an unexpected exception.

    The store client raises the exception while tokens are returned that have already
    left the ledger.  If the change were not recorded as in doubt, the tokens would
    neither be added back nor counted as returned.
    """
    history = RowHistory()
    one = router(history)
    await one.renewals.step()
    await one.grant.hold(1000, "r")
    one.grant.state.settle(1000, 0)
    commit = type(one.store).commit

    async def broken(store: MemoryRows, transaction: Transaction) -> Committed:
        if arrived:
            await commit(store, transaction)
        raise KeyError("version-number")

    with monkeypatch.context() as patch:
        patch.setattr(type(one.store), "commit", broken)
        with pytest.raises(KeyError):
            await one.grant.close()
    assert one.grant.state.ledger.available == 0
    await one.grant.close()
    assert one.grant.state.ledger.available == 0
    assert budget(history).budget.outstanding == 0
