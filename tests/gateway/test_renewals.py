"""Renewals of a router's limits, with lost answers, outages and successors."""

from __future__ import annotations

import anyio
import pytest

from ebonyhold.coordination import Put, Transaction
from ebonyhold.exceptions import ConflictError, UnknownOutcomeError
from ebonyhold.gateway import Renewals
from ebonyhold.prepaid import Limits, SpendingLimit
from ebonyhold.standins import MemoryRows
from ebonyhold.types import Json
from tests.virtual import anyio_backend

pytestmark = pytest.mark.anyio
__all__ = ["anyio_backend"]

LIMIT = SpendingLimit(1000, 10.0, 10.0)


def renewals(
    store: MemoryRows, incarnation: str, limits: Limits | None = None, vm: str = "vm-1"
) -> Renewals:
    """Return the renewals of one incarnation of a VM's router."""
    return Renewals(store, vm, "10.0.0.1", incarnation, lambda: limits or {})


async def test_successor_computes_elapsed_time_of_predecessor() -> None:
    store = MemoryRows()
    first = renewals(store, "vm-1.a", {"acme": LIMIT})
    await anyio.sleep(1)
    await first.step()
    await anyio.sleep(1)
    await first.step()
    await anyio.sleep(3)
    second = renewals(store, "vm-1.b")
    await second.step()
    [before] = second.unreclaimed
    assert before.router == "vm-1.a"
    assert 3.0 <= before.elapsed <= 3.1
    assert 1000 + 30 <= before.limit("acme") <= 1000 + 34


async def test_third_incarnation_knows_unreturned_grants() -> None:
    """A router is killed, and its successor is killed before reclaiming the grants.

    The successor overwrites the VM's only row. If the new row did not name the first
    incarnation, the third one could not reclaim the first one's tokens.
    """
    store = MemoryRows()
    first = renewals(store, "vm-1.a", {"acme": LIMIT})
    await anyio.sleep(1)
    await first.step()
    await first.step()
    await anyio.sleep(1)
    second = renewals(store, "vm-1.b")
    await second.step()
    await second.step()
    await anyio.sleep(60)
    third = renewals(store, "vm-1.c")
    await third.step()
    one, two = third.unreclaimed
    assert (one.router, two.router) == ("vm-1.a", "vm-1.b")
    assert 1.0 <= one.elapsed <= 1.1
    second.reclaimed("vm-1.a")
    assert second.unreclaimed == ()


@pytest.mark.parametrize("fault", ["lose_answers", "lose_requests", "late"])
async def test_own_first_row_is_no_predecessor(fault: str) -> None:
    """The answer to an incarnation's first write is lost, so it finds its own row.

    It must not take itself for a predecessor whose grants have to be reclaimed.
    """
    store = MemoryRows()
    first = renewals(store, "vm-1.a", {"acme": LIMIT})
    setattr(store.faults, fault, 1)
    with pytest.raises(UnknownOutcomeError):
        await first.step()
    await first.step()
    await store.faults.flush()
    assert first.started.is_set() and first.unreclaimed == ()


async def test_renewal_in_doubt_lowers_no_limit() -> None:
    """The store does not answer, and each renewal may still take effect later.

    A successor may find any of these renewals, so their limits apply too. If each later
    renewal restarted the growth of the limits, the router could use no further tokens
    during an outage.
    """
    store = MemoryRows()
    first = renewals(store, "vm-1.a", {"acme": LIMIT})
    await first.step()
    await anyio.sleep(1)
    store.faults.late = 2
    with pytest.raises(UnknownOutcomeError):
        await first.step()
    sent_at = anyio.current_time()
    for _ in range(4):
        await anyio.sleep(0.5)
        store.faults.late = 1
        with pytest.raises(UnknownOutcomeError):
            await first.step()
    now = anyio.current_time()
    assert first.limits.limit("acme", now) == LIMIT.after(now - sent_at)
    await first.step()
    assert first.limits.in_doubt == []


async def test_late_renewal_is_recognised() -> None:
    """A renewal that timed out takes effect later, so the row has a new version.

    The next renewal must read the row first, or it would conflict with the late one.
    """
    store = MemoryRows()
    first = renewals(store, "vm-1.a", {"acme": LIMIT})
    await first.step()
    store.faults.late = 1
    with pytest.raises(UnknownOutcomeError):
        await first.step()
    await store.faults.flush()
    await first.step()
    assert first.limits.in_doubt == [] and first.limits.confirmed is not None
    assert first.limits.confirmed.number == first.limits.sent


async def test_a_router_may_use_tokens_as_soon_as_the_store_answers() -> None:
    """The first renewal is sent without waiting for an interval.

    Until it is acknowledged the router serves no priced request, and after a power cut
    of all VMs no other router can serve them.
    """
    first = renewals(MemoryRows(), "vm-1.a", {"acme": LIMIT})
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(first.run)
        with anyio.fail_after(0.01):
            await first.started.wait()
        tasks.cancel_scope.cancel()
    assert first.limits.limit("acme", anyio.current_time()) >= LIMIT.ceiling


async def test_concurrent_requests_share_a_renewal() -> None:
    """Many requests need a higher limit at once; a single renewal serves them all."""
    store = MemoryRows()
    store.faults.answer_delay = 0.02
    first = renewals(store, "vm-1.a", {"acme": LIMIT})
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(first.run)
        await first.started.wait()
        await anyio.sleep(0.1)
        before = first.limits.sent
        async with anyio.create_task_group() as asking:
            for _ in range(20):
                asking.start_soon(first.renew_now)
        assert first.limits.sent == before + 1
        tasks.cancel_scope.cancel()


async def test_lost_answer_is_detected_before_requests_time_out() -> None:
    """The store loses a third of its answers while requests wait for a renewal.

    Requests wait 0.25 s. With a renewal timeout of 0.6 s, a lost answer would be
    detected too late, and they would be refused although tokens are available.
    """
    store = MemoryRows()
    first = renewals(store, "vm-1.a", {"acme": LIMIT})
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(first.run)
        await first.started.wait()
        await anyio.sleep(1.0)
        before = first.limits.sent
        store.faults.pause()
        with anyio.fail_after(0.25):
            await first.renew_now()
            assert first.is_store_reachable()
            store.faults.release()
            await first.renew_now()
        assert first.limits.confirmed is not None
        assert first.limits.confirmed.number > before
        tasks.cancel_scope.cancel()


async def test_timeout_adapts_to_slow_store() -> None:
    """The store is sixty times slower than usual.

    With a fixed timeout, every renewal would fail.
    """
    store = MemoryRows()
    first = renewals(store, "vm-1.a", {"acme": LIMIT})
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(first.run)
        await first.started.wait()
        store.faults.answer_delay = 0.48
        await anyio.sleep(6.0)
        assert first.is_store_reachable()
        tasks.cancel_scope.cancel()


async def test_failed_renewals_are_logged_once(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """A line for each failed renewal of an outage would hide other lines.

    Without any line, an operator could not see why grants use their reserve.
    """
    caplog.set_level("INFO")
    store = MemoryRows()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(renewals(store, "vm-1.a").run)
        await anyio.sleep(2)
        store.faults.down = True
        await anyio.sleep(3)
        store.faults.down = False
        await anyio.sleep(1)
        tasks.cancel_scope.cancel()
    messages = [record.message for record in caplog.records]
    assert messages == ["limits not renewed", "limits renewed again"]


async def test_router_that_never_started_keeps_row_of_predecessor() -> None:
    """A router is killed, and its successor is stopped before the store answers.

    The row is the only record of the predecessor. If the successor removed it, the
    predecessor's grants would never be returned.
    """
    store = MemoryRows()
    first = renewals(store, "vm-1.a", {"acme": LIMIT})
    await first.step()
    await renewals(store, "vm-1.b").leave()
    third = renewals(store, "vm-1.c")
    await third.step()
    assert [incarnation.router for incarnation in third.unreclaimed] == ["vm-1.a"]


async def test_row_with_unreturned_grants_is_kept() -> None:
    """A router is stopped before it has reclaimed its predecessor's grants.

    Without the row, the next incarnation would not know of them.
    """
    store = MemoryRows()
    first = renewals(store, "vm-1.a", {"acme": LIMIT})
    await first.step()
    second = renewals(store, "vm-1.b")
    await second.step()
    await second.leave()
    third = renewals(store, "vm-1.c")
    await third.step()
    assert "vm-1.a" in [incarnation.router for incarnation in third.unreclaimed]
    third.reclaimed("vm-1.a")
    third.reclaimed("vm-1.b")
    await third.leave()
    assert third.key not in store.history.rows


@pytest.mark.parametrize("value", [None, [], {"router": {}}, {"limits": 7}])
async def test_odd_row_is_overwritten(value: Json) -> None:
    """A row that no router can have written stopped its router's renewals for good."""
    store = MemoryRows()
    first = renewals(store, "vm-1.a", {"acme": LIMIT})
    store.history.apply(Transaction((), (Put(first.key, value),)))
    await first.step()
    assert first.started.is_set() and first.unreclaimed == ()
    before = first.limits.confirmed
    store.history.apply(Transaction((), (Put(first.key, value),)))
    with pytest.raises(ConflictError):
        await first.step()
    assert first.limits.confirmed is before
    first.misses += 1
    await first.step()
    successor = renewals(store, "vm-1.b")
    await successor.step()
    [found] = successor.unreclaimed
    assert found.router == "vm-1.a" and found.limit("acme") >= 1000


@pytest.mark.parametrize(
    "value", [{"router": "vm-1.b"}, {"router": "vm-1.b", "address": 1, "limits": 7}]
)
async def test_row_that_names_another_router_is_never_overwritten(value: Json) -> None:
    """A router that writes on would hide its successor's limits, readable or not."""
    store = MemoryRows()
    first = renewals(store, "vm-1.a", {"acme": LIMIT})
    await first.step()
    store.history.apply(Transaction((), (Put(first.key, value),)))
    for _ in range(3):
        with pytest.raises(ConflictError):
            await first.step()
        first.misses += 1
    assert store.history.rows[first.key].value == value
