"""Calls to the table and the object store that are lost, doubled, late or refused."""

from __future__ import annotations

import anyio
import pytest

from ebonyhold.coordination import KeptAnswer, Outcome, RequestKind, RequestState
from ebonyhold.document import Policy
from ebonyhold.exceptions import (
    BudgetExhaustedError,
    BudgetUnreachableError,
    ClaimUnavailableError,
    EbonyholdError,
    UnavailableError,
)
from ebonyhold.experiments._memory_fleet import MemoryFleet, ended, order
from ebonyhold.money import GrantManager, JournalTarget, Permit
from tests.money.scenarios import (
    begin,
    check_all_returned,
    check_bills,
    request,
    run,
)

FAULTS = ["lose_answers", "lose_requests", "late", "duplicates", "throttled"]
COMMITS = range(8)


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("commit", COMMITS)
def test_one_call_fails(fault: str, commit: int) -> None:
    """One call to the table fails at some point while three requests run.

    The call is lost before or after its effect, arrives twice, arrives after everything
    was settled, or is refused. All requests must succeed and be billed once.
    """

    async def scenario(fleet: MemoryFleet) -> None:
        await fleet.top_up("w", 1000, "t")
        manager = await fleet.start("a.1")
        start = fleet.table.commits
        orders = [order("w", f"r{number}", keyed=True) for number in range(3)]
        for one in orders:
            if fleet.table.commits - start >= commit:
                setattr(fleet.table.faults, fault, 1)
                start = 1_000_000
            permit = await begin(manager, one)
            await manager.finish(permit, ended(permit, 10))
            await anyio.sleep(2)
        await anyio.sleep(10)
        await fleet.table.faults.flush()
        await anyio.sleep(10)
        assert fleet.budget("w").spent == 30
        await manager.drain()
        await fleet.table.faults.flush()
        await check_all_returned(fleet, "w")

    run(scenario)


@pytest.mark.parametrize("fault", FAULTS)
def test_next_ten_calls_fail(fault: str) -> None:
    """The next ten calls to the table all fail in the same way.

    Requests that are retried until they are accepted must be billed once.
    """

    async def scenario(fleet: MemoryFleet) -> None:
        await fleet.top_up("w", 1000, "t")
        manager = await fleet.start("a.1")
        setattr(fleet.table.faults, fault, 10)
        for number in range(5):
            permit = await _begin_with_retries(manager, number)
            await manager.finish(permit, ended(permit, 10))
        await anyio.sleep(20)
        await fleet.table.faults.flush()
        await anyio.sleep(10)
        assert fleet.budget("w").spent == 50
        await manager.drain()
        await check_all_returned(fleet, "w")

    async def _begin_with_retries(manager: GrantManager, number: int) -> Permit:
        for _ in range(20):
            try:
                return await begin(manager, order("w", f"r{number}"))
            except EbonyholdError:
                await anyio.sleep(1)
        raise AssertionError("refused for ever")

    run(scenario)


def test_late_call_arrives_after_recovery() -> None:
    """A router's draw is delayed while the router crashes and is recovered.

    The router's row has changed when the draw arrives. The draw must fail, because its
    tokens would never be returned to the budget.
    """

    async def scenario(fleet: MemoryFleet) -> None:
        await fleet.top_up("w", 1000, "t")
        manager = await fleet.start("a.1")
        fleet.table.faults.late = 100

        with pytest.raises(BudgetUnreachableError):
            await begin(manager, order("w", "r"))
        assert fleet.table.faults.held
        fleet.kill("a.1")
        fleet.table.faults.late = 0
        await fleet.recover("a.1")
        await fleet.table.faults.flush()
        await check_all_returned(fleet, "w")

    run(scenario)


def test_table_down_with_objects_up() -> None:
    """The table is down for an hour; workspaces that have a grant are still served.

    Intents and outcomes go to the object store, and a booking is refused as not run.
    Once the table is back, every bill is filed once.
    """

    async def scenario(fleet: MemoryFleet) -> None:
        await fleet.top_up("w", 100_000, "t")
        manager = await fleet.start("a.1")
        permit = await begin(manager, order("w", "first"))
        await manager.finish(permit, ended(permit, 10))
        await anyio.sleep(3)
        fleet.table.faults.down = True
        served = 0
        for number in range(60):
            permit = await begin(manager, order("w", f"r{number}", keyed=True))
            await manager.finish(permit, ended(permit, 10))
            served += 1
            await anyio.sleep(60)
        with pytest.raises(ClaimUnavailableError):
            await manager.begin(order("w", "b", 5, RequestKind.BOOKING, keyed=True))
        assert manager.status().target is JournalTarget.OBJECTS
        assert manager.status().unfiled == served
        fleet.table.faults.down = False
        await anyio.sleep(30)
        assert manager.status().unfiled == 0
        assert fleet.budget("w").spent == 10 * (served + 1)
        await manager.drain()
        await check_all_returned(fleet, "w")

    run(scenario, Policy(grants="adaptive", grant_horizon=3600))


def test_router_crashes_during_table_outage() -> None:
    """A router crashes during a table outage, with its last bills only in the store.

    Recovery fails until the table is back, then files the bills from the journal in the
    object store.
    """

    async def scenario(fleet: MemoryFleet) -> None:
        await fleet.top_up("w", 10_000, "t")
        manager = await fleet.start("a.1")
        first = await begin(manager, order("w", "r0"))
        await manager.finish(first, ended(first, 10))
        await anyio.sleep(3)
        fleet.table.faults.down = True
        done = await begin(manager, order("w", "r1"))
        await manager.finish(done, ended(done, 20), durable_within=1)
        still = await begin(manager, order("w", "r2"))
        await fleet.dispatch(still, 30)
        fleet.kill("a.1")
        with pytest.raises(UnavailableError):
            await fleet.recover("a.1")
        fleet.table.faults.down = False
        fleet.objects.faults.down = True
        with pytest.raises(UnavailableError):
            await fleet.recover("a.1")
        assert fleet.budget("w").outstanding > 0
        fleet.objects.faults.down = False
        report = await fleet.recover("a.1")
        assert report.closed
        assert fleet.budget("w").spent == 10 + 20 + 35
        await check_all_returned(fleet, "w")

    run(scenario)


def test_table_and_objects_down_refuses_as_not_run() -> None:
    """Neither the table nor the object store can be written, so nothing is dispatched.

    Requests are refused promptly as not run. Once writes succeed again, the refused
    requests cost nothing.
    """

    async def scenario(fleet: MemoryFleet) -> None:
        await fleet.top_up("w", 10_000, "t")
        manager = await fleet.start("a.1")
        running = await begin(manager, order("w", "r0"))
        await anyio.sleep(3)
        fleet.table.faults.down = True
        fleet.objects.faults.down = True
        for number in range(1, 4):
            with pytest.raises(UnavailableError):
                await manager.begin(order("w", f"r{number}"))
        await manager.finish(running, ended(running, 10), durable_within=1)
        await anyio.sleep(300)
        fleet.table.faults.down = False
        await anyio.sleep(30)
        fleet.objects.faults.down = False
        permit = await begin(manager, order("w", "r9"))
        await manager.finish(permit, ended(permit, 10))
        await manager.drain()
        assert fleet.budget("w").spent == 20
        await check_all_returned(fleet, "w")

    run(scenario)


def test_claim_whose_answer_is_lost() -> None:
    """A booking's claim takes effect, but the answer to the router is lost.

    The router reads the row back and recognises its own claim, so the booking runs and
    is billed once.
    """

    async def scenario(fleet: MemoryFleet) -> None:
        await fleet.top_up("w", 1000, "t")
        manager = await fleet.start("a.1")
        booking = order("w", "k", 5, RequestKind.BOOKING, keyed=True)
        first = await begin(manager, order("w", "r"))
        await manager.finish(first, ended(first, 1))
        await anyio.sleep(3)
        fleet.table.faults.lose_answers = 2
        permit = await begin(manager, booking)
        outcome = Outcome(
            "w",
            "k",
            permit.attempt,
            RequestState.COMPLETE,
            5,
            answer=KeptAnswer(201, "text/plain", "ok"),
        )
        await manager.finish(permit, outcome, durable_within=1)
        await anyio.sleep(3)
        row = request(fleet, "w", "k")
        assert row is not None
        assert (row.state, row.charge) == (RequestState.COMPLETE, 5)
        await check_bills(fleet)

    run(scenario)


def test_budget_whose_first_top_up_is_not_made_yet() -> None:
    """Guards against refusing a new workspace as exhausted before its first top-up."""

    async def scenario(fleet: MemoryFleet) -> None:
        manager = await fleet.start("a.1")
        with pytest.raises(BudgetUnreachableError):
            await manager.begin(order("w", "r1", 10))
        await fleet.top_up("w", 1000, "t")
        await begin(manager, order("w", "r2", 10))

    run(scenario)


@pytest.mark.parametrize(
    ("prepaid", "reachable", "error"),
    [
        (50, True, BudgetExhaustedError),
        (150, True, BudgetUnreachableError),
        (50, False, BudgetUnreachableError),
    ],
)
def test_refusal_is_exhausted_only_if_the_table_shows_it(
    prepaid: int, reachable: bool, error: type[EbonyholdError]
) -> None:
    """A request is refused as exhausted only if the budget in the table is exhausted.

    While other requests hold the last tokens, or the table cannot be read, callers must
    be allowed to retry, and not be made to buy more tokens.
    """

    async def scenario(fleet: MemoryFleet) -> None:
        await fleet.top_up("w", prepaid, "t")
        one = await fleet.start("a.1")
        two = await fleet.start("b.1")
        if prepaid >= 100:
            await begin(one, order("w", "r0"))
        fleet.table.faults.down = not reachable
        with pytest.raises(error):
            await two.begin(order("w", "r1"))
        fleet.table.faults.down = False
        await check_bills(fleet)

    run(scenario, Policy(grants="adaptive"))


def test_refused_request_whose_intent_arrives_late() -> None:
    """A request is refused as not run, and its intent reaches the journal later.

    The appends to the table and the object store are delayed until after the refusal.
    Then the router crashes and the backend server restarts. The outcome that follows
    the intent shows that nothing ran, so the caller must not be charged.
    """

    async def scenario(fleet: MemoryFleet) -> None:
        await fleet.top_up("w", 1000, "t")
        manager = await fleet.start("a.1")
        first = await begin(manager, order("w", "r0"))
        await manager.finish(first, ended(first, 1))
        await anyio.sleep(3)
        fleet.table.faults.late = 100
        fleet.objects.faults.late = 100
        with pytest.raises(UnavailableError):
            await manager.begin(order("w", "r1", 50))
        fleet.table.faults.late = 0
        fleet.objects.faults.late = 0
        await fleet.table.faults.flush()
        await fleet.objects.faults.flush()
        await anyio.sleep(0.5)
        fleet.kill("a.1")
        fleet.engine.restart()
        report = await fleet.recover("a.1")
        assert report.closed
        assert fleet.budget("w").spent == 1
        await check_all_returned(fleet, "w")

    run(scenario)
