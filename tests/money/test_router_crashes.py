"""A router crashes at each step of a request, and another router recovers it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
import pytest

from ebonyhold.coordination import KeptAnswer, Outcome, RequestKind, RequestState
from ebonyhold.document import Policy, UnknownOutcome
from ebonyhold.exceptions import OutcomeUnknownError
from ebonyhold.experiments._memory_fleet import MemoryFleet, ended, order
from ebonyhold.money import GrantManager, Permit, Replay
from tests.money.scenarios import (
    POLICY,
    begin,
    check_all_returned,
    check_bills,
    request,
    run,
)

Step = Callable[[MemoryFleet, GrantManager], Awaitable[None]]


async def before_hold(fleet: MemoryFleet, manager: GrantManager) -> None:
    """Crash before the hold."""


async def hold_taken(fleet: MemoryFleet, manager: GrantManager) -> None:
    """Crash after the hold, before the intent is written."""
    grant = manager._grant("w")
    await grant.acquire(100)


async def not_dispatched(fleet: MemoryFleet, manager: GrantManager) -> None:
    """Crash with the intent durable, before the dispatch."""
    await begin(manager, order("w", "r"))


async def dispatched(fleet: MemoryFleet, manager: GrantManager) -> None:
    """Crash after the dispatch, before the first token."""
    permit = await begin(manager, order("w", "r"))
    fleet.engine.start(permit.attempt, 5)


async def streaming(fleet: MemoryFleet, manager: GrantManager) -> None:
    """Crash in the middle of the stream."""
    permit = await begin(manager, order("w", "r"))
    fleet.engine.start(permit.attempt, 5)
    fleet.engine.progress(permit.attempt, 20, last=False)


async def streamed(fleet: MemoryFleet, manager: GrantManager) -> None:
    """Crash after the last byte, before the outcome is in the journal."""
    permit = await begin(manager, order("w", "r"))
    await fleet.dispatch(permit, 40)


async def outcome_journalled(fleet: MemoryFleet, manager: GrantManager) -> None:
    """Crash with the outcome in the journal, before the bill is filed."""
    permit = await begin(manager, order("w", "r"))
    await fleet.dispatch(permit, 40)
    await manager.finish(permit, ended(permit, 45), durable_within=1)


async def bill_filed(fleet: MemoryFleet, manager: GrantManager) -> None:
    """Crash after the bill was filed."""
    await outcome_journalled(fleet, manager)
    await anyio.sleep(3)


async def retried(fleet: MemoryFleet, manager: GrantManager) -> None:
    """Crash while a second attempt streams, after the first one failed."""
    permit = await begin(manager, order("w", "r"))
    fleet.engine.start(permit.attempt, 5)
    permit = await manager.retry(permit, "engine", "boot-1")
    fleet.engine.start(permit.attempt, 5)
    fleet.engine.progress(permit.attempt, 20, last=False)


CHAT_STEPS = [
    (before_hold, None, 0),
    (hold_taken, None, 0),
    (not_dispatched, RequestState.NOT_RUN, 0),
    (dispatched, RequestState.INTERRUPTED, 5),
    (streaming, RequestState.INTERRUPTED, 25),
    (streamed, RequestState.COMPLETE, 45),
    (outcome_journalled, RequestState.COMPLETE, 45),
    (bill_filed, RequestState.COMPLETE, 45),
    (retried, RequestState.INTERRUPTED, 25),
]


@pytest.mark.parametrize(("step", "state", "charge"), CHAT_STEPS)
def test_chat_is_billed_once(
    step: Step, state: RequestState | None, charge: int
) -> None:
    """A chat is billed once, whenever its router crashes.

    The router crashes at the given step. Another router seals its journal, looks up the
    open attempts at the backend server, files the bill and returns the rest of the
    grant. A second recovery of the same router changes nothing.
    """

    async def scenario(fleet: MemoryFleet) -> None:
        await fleet.top_up("w", 1000, "t")
        manager = await fleet.start("a.1")
        await step(fleet, manager)
        fleet.kill("a.1")
        report = await fleet.recover("a.1")
        assert report.closed
        again = await fleet.recover("a.1", by="s.2")
        assert (again.billed, again.returned) == (0, 0)
        row = request(fleet, "w", "r")
        assert (row.state if row else None) == state
        assert fleet.budget("w").spent == charge
        await check_all_returned(fleet, "w")

    run(scenario)


@pytest.mark.parametrize(
    ("rule", "state", "spent", "outstanding"),
    [
        (UnknownOutcome.CHARGE_HOLD, RequestState.UNKNOWN, 100, 0),
        (UnknownOutcome.WAIT, None, 0, 100),
    ],
)
def test_chat_whose_engine_restarted(
    rule: UnknownOutcome, state: RequestState | None, spent: int, outstanding: int
) -> None:
    """A backend server restarts after a router crash, so a chat's outcome is unknown.

    The server reports that the attempt never ran, but under another boot identifier, so
    its report proves nothing. The policy in the document decides: the hold is charged,
    or it stays stranded and is listed until an operator settles it.
    """

    async def scenario(fleet: MemoryFleet) -> None:
        await fleet.top_up("w", 1000, "t")
        manager = await fleet.start("a.1")
        await streaming(fleet, manager)
        fleet.kill("a.1")
        fleet.engine.restart()
        report = await fleet.recover("a.1")
        row = request(fleet, "w", "r")
        assert (row.state if row else None) == state
        assert report.stranded == outstanding
        assert [run.request for run in report.unsettled] == ["r"] * (outstanding > 0)
        budget = fleet.budget("w")
        assert (budget.spent, budget.outstanding) == (spent, outstanding)
        await check_bills(fleet)

    run(scenario, Policy(grants="adaptive", unknown_outcome=rule))


BOOKING = order("w", "k", 5, RequestKind.BOOKING, keyed=True)
ANSWER = KeptAnswer(201, "application/json", "{}")


def booked(permit: Permit) -> Outcome:
    """Return the outcome of a booking with its answer."""
    return Outcome("w", "k", permit.attempt, RequestState.COMPLETE, 5, answer=ANSWER)


async def booking_claimed(fleet: MemoryFleet, manager: GrantManager) -> None:
    """Crash with the claim in the table, before the dispatch."""
    await begin(manager, BOOKING)


async def booking_sent(fleet: MemoryFleet, manager: GrantManager) -> None:
    """Crash while the service runs the booking."""
    permit = await begin(manager, BOOKING)
    fleet.engine.start(permit.attempt, 0)


async def booking_recorded(fleet: MemoryFleet, manager: GrantManager) -> None:
    """Crash with the outcome and the answer in the journal."""
    permit = await begin(manager, BOOKING)
    await fleet.dispatch(permit, 0)
    await manager.finish(permit, booked(permit), durable_within=1)


async def booking_filed(fleet: MemoryFleet, manager: GrantManager) -> None:
    """Crash after the bill and the answer were filed."""
    await booking_recorded(fleet, manager)
    await anyio.sleep(3)


BOOKING_STEPS = [
    (before_hold, False, "run"),
    (booking_claimed, False, "run"),
    (booking_claimed, True, "unknown"),
    (booking_sent, True, "unknown"),
    (booking_recorded, False, "replay"),
    (booking_filed, False, "replay"),
]


@pytest.mark.parametrize(("step", "restarted", "retry"), BOOKING_STEPS)
def test_booking_runs_at_most_once(step: Step, restarted: bool, retry: str) -> None:
    """Guards against a booking that runs twice because its router crashed.

    The router crashes at the given step, and the caller retries with the same key
    through another router. The booking may run again only if the service proves that it
    did not run, which the service cannot do after a restart (`restarted`). Otherwise
    the kept answer is replayed, or the retry is refused with an unknown outcome.
    """

    async def scenario(fleet: MemoryFleet) -> None:
        await fleet.top_up("w", 1000, "t")
        manager = await fleet.start("a.1")
        other = await fleet.start("b.1")
        await step(fleet, manager)
        fleet.kill("a.1")
        if restarted:
            fleet.engine.restart()
        before = await _retry(other)
        assert before in {retry, "unknown"}
        await fleet.recover("a.1", by="b.1")
        await anyio.sleep(3)
        assert await _retry(other) in {retry, "replay"}
        await anyio.sleep(3)
        assert sum(fleet.engine.ran.values()) <= 1
        await other.drain()
        await check_all_returned(fleet, "w")

    async def _retry(other: GrantManager) -> str:
        try:
            answer = await other.begin(BOOKING)
        except OutcomeUnknownError:
            return "unknown"
        if isinstance(answer, Replay):
            assert answer.answer == ANSWER
            return "replay"
        await other.finish(answer, booked(answer), durable_within=1)
        return "run"

    run(scenario, POLICY)


def test_recovery_of_a_running_router() -> None:
    """A router that still streams is recovered by another one after a partition.

    The other router seals its journal and bills the tokens generated until then. The
    sealed router finds the seal at its next append: its holds are void, and its late
    settlement changes no row.
    """

    async def scenario(fleet: MemoryFleet) -> None:
        await fleet.top_up("w", 1000, "t")
        manager = await fleet.start("a.1")
        permit = await begin(manager, order("w", "r"))
        fleet.engine.start(permit.attempt, 5)
        fleet.engine.progress(permit.attempt, 20, last=False)
        await fleet.recover("a.1")
        fleet.engine.progress(permit.attempt, 90, last=True)
        await manager.finish(permit, ended(permit, 95), durable_within=5)
        await anyio.sleep(5)
        assert manager.sealed
        row = request(fleet, "w", "r")
        assert row is not None
        assert (row.state, row.charge) == (RequestState.INTERRUPTED, 25)
        assert fleet.budget("w").spent == 25
        await check_all_returned(fleet, "w")

    run(scenario)


def test_concurrent_recoveries() -> None:
    """Three routers recover the same crashed router at the same time.

    Guards against doubled bills and returns: each write is conditional on the rows that
    were read, so the later recoveries find the work done.
    """

    async def scenario(fleet: MemoryFleet) -> None:
        await fleet.top_up("w", 5000, "t")
        manager = await fleet.start("a.1")
        for number in range(6):
            permit = await begin(manager, order("w", f"r{number}"))
            if number % 2:
                fleet.engine.start(permit.attempt, 5)
            else:
                await fleet.dispatch(permit, 40)
        fleet.kill("a.1")
        fleet.table.faults.delay = 0.002
        fleet.objects.faults.delay = 0.003
        reports = []

        async def recover(by: str, wait: float) -> None:
            await anyio.sleep(wait)
            reports.append(await fleet.recover("a.1", by=by))

        async with anyio.create_task_group() as survivors:
            survivors.start_soon(recover, "s.1", 0.0)
            survivors.start_soon(recover, "s.2", 0.005)
            survivors.start_soon(recover, "s.3", 0.011)
        assert all(report.closed for report in reports)
        assert sum(report.billed for report in reports) == 6
        assert fleet.budget("w").spent == 3 * 45 + 3 * 5
        await check_all_returned(fleet, "w")

    run(scenario)


def test_request_that_ends_after_its_router_stopped() -> None:
    """A stream ends after the daemon has stopped its tasks.

    Settling the request must not fail. Its outcome is lost with the process, so
    recovery looks up the attempt at the backend server.
    """

    async def scenario(fleet: MemoryFleet) -> None:
        await fleet.top_up("w", 1000, "t")
        manager = await fleet.start("a.1")
        permit = await begin(manager, order("w", "r"))
        await fleet.dispatch(permit, 40)
        fleet.kill("a.1")
        await anyio.sleep(1)
        manager.grants.clear()
        await manager.finish(permit, ended(permit, 45))
        assert (await fleet.recover("a.1")).closed
        assert fleet.budget("w").spent == 45
        await check_all_returned(fleet, "w")

    run(scenario)
