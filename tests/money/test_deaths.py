"""A router dies at each step of a request's life, and another recovers it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
import pytest

from ebonyhold.coordination import KeptAnswer, Outcome, RequestKind, RequestState
from ebonyhold.document import Policy, UnknownOutcome
from ebonyhold.exceptions import OutcomeUnknownError
from ebonyhold.experiments._memory_fleet import MemoryFleet, ended, order
from ebonyhold.money import Permit, Replay, Treasury
from tests.money.stories import (
    POLICY,
    begin,
    check_all_returned,
    check_books,
    request,
    run,
)

Step = Callable[[MemoryFleet, Treasury], Awaitable[None]]


async def nothing(fleet: MemoryFleet, treasury: Treasury) -> None:
    """Die before the hold."""


async def hold_only(fleet: MemoryFleet, treasury: Treasury) -> None:
    """Die after the hold, while the intent is on its way to a paused table."""
    account = treasury._account("w")
    await account.acquire(100)


async def not_dispatched(fleet: MemoryFleet, treasury: Treasury) -> None:
    """Die with the intent durable, before the dispatch."""
    await begin(treasury, order("w", "r"))


async def dispatched(fleet: MemoryFleet, treasury: Treasury) -> None:
    """Die after the dispatch, before the first token."""
    permit = await begin(treasury, order("w", "r"))
    fleet.engine.start(permit.attempt, 5)


async def streaming(fleet: MemoryFleet, treasury: Treasury) -> None:
    """Die in the middle of the stream."""
    permit = await begin(treasury, order("w", "r"))
    fleet.engine.start(permit.attempt, 5)
    fleet.engine.progress(permit.attempt, 20, last=False)


async def streamed(fleet: MemoryFleet, treasury: Treasury) -> None:
    """Die after the last byte, before the outcome is in the journal."""
    permit = await begin(treasury, order("w", "r"))
    await fleet.dispatch(permit, 40)


async def journalled(fleet: MemoryFleet, treasury: Treasury) -> None:
    """Die with the outcome in the journal, before the bill is filed."""
    permit = await begin(treasury, order("w", "r"))
    await fleet.dispatch(permit, 40)
    await treasury.finish(permit, ended(permit, 45), durable_within=1)


async def filed(fleet: MemoryFleet, treasury: Treasury) -> None:
    """Die after the bill was filed."""
    await journalled(fleet, treasury)
    await anyio.sleep(3)


async def retried(fleet: MemoryFleet, treasury: Treasury) -> None:
    """Die with a second attempt streaming, after a first one that failed."""
    permit = await begin(treasury, order("w", "r"))
    fleet.engine.start(permit.attempt, 5)
    permit = await treasury.again(permit, "engine", "boot-1")
    fleet.engine.start(permit.attempt, 5)
    fleet.engine.progress(permit.attempt, 20, last=False)


CHAT_STEPS = [
    (nothing, None, 0),
    (hold_only, None, 0),
    (not_dispatched, RequestState.NOT_RUN, 0),
    (dispatched, RequestState.INTERRUPTED, 5),
    (streaming, RequestState.INTERRUPTED, 25),
    (streamed, RequestState.COMPLETE, 45),
    (journalled, RequestState.COMPLETE, 45),
    (filed, RequestState.COMPLETE, 45),
    (retried, RequestState.INTERRUPTED, 25),
]


@pytest.mark.parametrize(("step", "state", "charge"), CHAT_STEPS)
def test_chat_is_billed_once(
    step: Step, state: RequestState | None, charge: int
) -> None:
    """The caller's stream breaks, and the budget must show what ran, once.

    A router dies at the given step.  A survivor seals its journal, asks the
    engine what each open attempt came to, files the bill and returns the rest
    of the grant.  A second recovery of the same router changes nothing.
    """

    async def story(fleet: MemoryFleet) -> None:
        await fleet.top_up("w", 1000, "t")
        treasury = await fleet.start("a.1")
        await step(fleet, treasury)
        fleet.kill("a.1")
        report = await fleet.recover("a.1")
        assert report.closed
        again = await fleet.recover("a.1", by="s.2")
        assert (again.billed, again.returned) == (0, 0)
        row = request(fleet, "w", "r")
        assert (row.state if row else None) == state
        assert fleet.budget("w").spent == charge
        await check_all_returned(fleet, "w")

    run(story)


@pytest.mark.parametrize(
    ("rule", "state", "spent", "outstanding"),
    [
        (UnknownOutcome.CHARGE_HOLD, RequestState.UNKNOWN, 100, 0),
        (UnknownOutcome.WAIT, None, 0, 100),
    ],
)
def test_chat_whose_engine_forgot(
    rule: UnknownOutcome, state: RequestState | None, spent: int, outstanding: int
) -> None:
    """An engine restarts after its router died, so nobody knows what ran.

    The engine answers that the attempt never ran, but under another boot
    identifier: it has forgotten.  The rule of the document decides: the hold is
    charged, or it stays stranded and is named until an operator settles it.
    """

    async def story(fleet: MemoryFleet) -> None:
        await fleet.top_up("w", 1000, "t")
        treasury = await fleet.start("a.1")
        await streaming(fleet, treasury)
        fleet.kill("a.1")
        fleet.engine.restart()
        report = await fleet.recover("a.1")
        row = request(fleet, "w", "r")
        assert (row.state if row else None) == state
        assert report.stranded == outstanding
        assert [run.request for run in report.unsettled] == ["r"] * (outstanding > 0)
        budget = fleet.budget("w")
        assert (budget.spent, budget.outstanding) == (spent, outstanding)
        await check_books(fleet)

    run(story, Policy(grants="adaptive", unknown_outcome=rule))


BOOKING = order("w", "k", 5, RequestKind.BOOKING, keyed=True)
ANSWER = KeptAnswer(201, "application/json", "{}")


def booked(permit: Permit) -> Outcome:
    """Make the outcome of a booking with its answer."""
    return Outcome("w", "k", permit.attempt, RequestState.COMPLETE, 5, answer=ANSWER)


async def booking_claimed(fleet: MemoryFleet, treasury: Treasury) -> None:
    """Die with the claim in the table, before the dispatch."""
    await begin(treasury, BOOKING)


async def booking_sent(fleet: MemoryFleet, treasury: Treasury) -> None:
    """Die while the service works on the booking."""
    permit = await begin(treasury, BOOKING)
    fleet.engine.start(permit.attempt, 0)


async def booking_recorded(fleet: MemoryFleet, treasury: Treasury) -> None:
    """Die with the outcome and the answer in the journal."""
    permit = await begin(treasury, BOOKING)
    await fleet.dispatch(permit, 0)
    await treasury.finish(permit, booked(permit), durable_within=1)


async def booking_filed(fleet: MemoryFleet, treasury: Treasury) -> None:
    """Die after the bill and the answer were filed."""
    await booking_recorded(fleet, treasury)
    await anyio.sleep(3)


BOOKING_STEPS = [
    (nothing, False, "run"),
    (booking_claimed, False, "run"),
    (booking_claimed, True, "unknown"),
    (booking_sent, True, "unknown"),
    (booking_recorded, False, "replay"),
    (booking_filed, False, "replay"),
]


@pytest.mark.parametrize(("step", "forgot", "retry"), BOOKING_STEPS)
def test_booking_runs_at_most_once(step: Step, forgot: bool, retry: str) -> None:
    """A driver's booking must not send two trucks, whenever its router dies.

    The router dies at the given step; a plain service often cannot tell what
    ran (`forgot`).  The caller retries with the same key through another
    router: the booking runs only where it is proved that it did not before.
    Otherwise the kept answer is replayed, or the caller hears that the outcome
    is unknown, never that it did not run.
    """

    async def story(fleet: MemoryFleet) -> None:
        await fleet.top_up("w", 1000, "t")
        treasury = await fleet.start("a.1")
        other = await fleet.start("b.1")
        await step(fleet, treasury)
        fleet.kill("a.1")
        if forgot:
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

    async def _retry(other: Treasury) -> str:
        try:
            answer = await other.begin(BOOKING)
        except OutcomeUnknownError:
            return "unknown"
        if isinstance(answer, Replay):
            assert answer.answer == ANSWER
            return "replay"
        await other.finish(answer, booked(answer), durable_within=1)
        return "run"

    run(story, POLICY)


def test_recovered_router_that_was_alive() -> None:
    """A router cut off from the others is taken for dead while it streams.

    A survivor seals it and bills what had run.  The router notices at its next
    append, its holds are void, and its late settlement changes no row.
    """

    async def story(fleet: MemoryFleet) -> None:
        await fleet.top_up("w", 1000, "t")
        treasury = await fleet.start("a.1")
        permit = await begin(treasury, order("w", "r"))
        fleet.engine.start(permit.attempt, 5)
        fleet.engine.progress(permit.attempt, 20, last=False)
        await fleet.recover("a.1")
        fleet.engine.progress(permit.attempt, 90, last=True)
        await treasury.finish(permit, ended(permit, 95), durable_within=5)
        await anyio.sleep(5)
        assert treasury.sealed
        row = request(fleet, "w", "r")
        assert row is not None
        assert (row.state, row.charge) == (RequestState.INTERRUPTED, 25)
        assert fleet.budget("w").spent == 25
        await check_all_returned(fleet, "w")

    run(story)


def test_two_survivors_recover_at_once() -> None:
    """Two routers see a third one die, and both recover it in the same moment.

    Every step is conditional on what it read, so whoever comes second finds the
    work done: one bill each, nothing returned twice.
    """

    async def story(fleet: MemoryFleet) -> None:
        await fleet.top_up("w", 5000, "t")
        treasury = await fleet.start("a.1")
        for number in range(6):
            permit = await begin(treasury, order("w", f"r{number}"))
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

    run(story)


def test_request_that_ends_after_its_router_stopped() -> None:
    """A daemon stops its tasks while the last stream is still being relayed.

    The stream's end reaches the money after that.  It must not fail: the
    outcome is lost with the process, and whoever recovers it asks the engine.
    """

    async def story(fleet: MemoryFleet) -> None:
        await fleet.top_up("w", 1000, "t")
        treasury = await fleet.start("a.1")
        permit = await begin(treasury, order("w", "r"))
        await fleet.dispatch(permit, 40)
        fleet.kill("a.1")
        await anyio.sleep(1)
        treasury.accounts.clear()
        await treasury.finish(permit, ended(permit, 45))
        assert (await fleet.recover("a.1")).closed
        assert fleet.budget("w").spent == 45
        await check_all_returned(fleet, "w")

    run(story)
