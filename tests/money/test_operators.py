"""Top-ups, refunds, rulings, retention, and the verification of all bills."""

from __future__ import annotations

import time

import anyio
import pytest

from ebonyhold.coordination import (
    BudgetRow,
    GrantRow,
    RequestState,
    TopUpRow,
    budget_key,
    grant_key,
    request_key,
    to_json,
    topup_key,
)
from ebonyhold.document import Policy, UnknownOutcome
from ebonyhold.exceptions import BudgetUnreachableError
from ebonyhold.experiments._memory_fleet import MemoryFleet, ended, order
from ebonyhold.money import (
    Retention,
    Upkeep,
    refund,
    rule_on_request,
    top_up,
    verify_bills,
)
from tests.money.scenarios import begin, check_all_returned, check_bills, request, run

MONTH = 30 * 86_400.0


@pytest.mark.parametrize("fault", ["", "lose_answers", "lose_requests", "duplicates"])
def test_top_up_and_refund_count_once(fault: str) -> None:
    """Guards against a top-up or refund that counts twice or not at all.

    The operator's call is lost or doubled, and the operator repeats it.
    """

    async def scenario(fleet: MemoryFleet) -> None:
        if fault:
            setattr(fleet.table.faults, fault, 1)
        await top_up(fleet.table, "w", "t", 500)
        assert not await top_up(fleet.table, "w", "t", 500)
        manager = await fleet.start("a.1")
        permit = await begin(manager, order("w", "r"))
        await manager.finish(permit, ended(permit, 60))
        await anyio.sleep(3)
        if fault:
            setattr(fleet.table.faults, fault, 1)
        await refund(fleet.table, "w", "r", "f", 20)
        assert not await refund(fleet.table, "w", "r", "f", 20)
        budget = fleet.budget("w")
        assert (budget.prepaid, budget.spent) == (500, 40)
        await check_bills(fleet)

    run(scenario)


@pytest.mark.parametrize("amount", [0, -1, 61])
def test_invalid_refund_is_refused(amount: int) -> None:
    """A refund must be above zero, within the charge, and of an existing bill."""

    async def scenario(fleet: MemoryFleet) -> None:
        await fleet.top_up("w", 500, "t")
        manager = await fleet.start("a.1")
        permit = await begin(manager, order("w", "r"))
        await manager.finish(permit, ended(permit, 60))
        await anyio.sleep(3)
        with pytest.raises(ValueError, match="refund of"):
            await refund(fleet.table, "w", "r", "f", amount)
        with pytest.raises(ValueError, match="no bill"):
            await refund(fleet.table, "w", "other", "f", 1)

    run(scenario)


@pytest.mark.parametrize("ran", [True, False])
def test_ruling_on_an_unknown_outcome(ran: bool) -> None:
    """The outcome of a request is unknown, and its hold was charged.

    The ruling of an operator must keep the charge or cancel it.
    """

    async def scenario(fleet: MemoryFleet) -> None:
        await fleet.top_up("w", 500, "t")
        manager = await fleet.start("a.1")
        await begin(manager, order("w", "r"))
        fleet.kill("a.1")
        fleet.engine.restart()
        await fleet.recover("a.1")
        assert await rule_on_request(fleet.table, "w", "r", ran=ran)
        assert not await rule_on_request(fleet.table, "w", "r", ran=ran)
        assert fleet.budget("w").spent == (100 if ran else 0)
        await check_all_returned(fleet, "w")

    run(scenario)


def test_ruling_on_a_run_without_evidence() -> None:
    """The backend server lost an attempt, and the policy is not to charge the hold.

    The hold stays stranded, and the run is listed until an operator settles it.
    """

    async def scenario(fleet: MemoryFleet) -> None:
        await fleet.top_up("w", 500, "t")
        manager = await fleet.start("a.1")
        await begin(manager, order("w", "r"))
        fleet.kill("a.1")
        fleet.engine.restart()
        report = await fleet.recover("a.1")
        assert report.stranded == 100
        (waiting,) = report.unsettled
        recovery = fleet.recovery("s.1")
        await recovery.rule_on_run("a.1", waiting.attempt, RequestState.COMPLETE, 30)
        assert (await fleet.recover("a.1")).closed
        assert fleet.budget("w").spent == 30
        await check_all_returned(fleet, "w")

    run(scenario, Policy(unknown_outcome=UnknownOutcome.WAIT))


def test_retention_keeps_the_sums() -> None:
    """Bills and routers that are older than the retention period are deleted.

    The budget must still add up, a running claim must stay, and a retry of a deleted
    request counts as a new request.
    """

    async def scenario(fleet: MemoryFleet) -> None:
        await fleet.top_up("w", 1000, "t")
        manager = await fleet.start("a.1")
        for number in range(5):
            permit = await begin(manager, order("w", f"r{number}", keyed=True))
            await manager.finish(permit, ended(permit, 10))
        await anyio.sleep(3)
        await refund(fleet.table, "w", "r1", "f", 4)
        await begin(manager, order("w", "running", keyed=True))
        fleet.kill("a.1")
        retention = Retention(fleet.table, fleet.objects, MONTH)
        assert (await retention.sweep(time.time())).bills == 0
        report = await retention.sweep(time.time() + 2 * MONTH)
        assert (report.bills, report.routers) == (5, 0)
        assert request(fleet, "w", "running") is not None
        await check_bills(fleet)
        await fleet.recover("a.1")
        report = await retention.sweep(time.time() + 2 * MONTH)
        assert (report.bills, report.routers) == (1, 1)
        assert fleet.objects.objects == {}
        await check_all_returned(fleet, "w")
        other = await fleet.start("b.1")
        permit = await begin(other, order("w", "r1", keyed=True))
        assert not permit.unbilled

    run(scenario)


DAMAGE = [
    (budget_key("w"), BudgetRow(500, 0, 60), "outstanding"),
    (budget_key("w"), BudgetRow(500, 440, 50), "spent"),
    (budget_key("w"), BudgetRow(400, 440, 60), "prepaid"),
    (topup_key("w", "t"), TopUpRow(400, "", 0), "prepaid"),
    (grant_key("a.1", "w"), GrantRow(drawn=30), "outstanding"),
]


@pytest.mark.parametrize(("key", "value", "finding"), DAMAGE)
def test_verification_reports_rows_that_do_not_add_up(
    key: str, value: object, finding: str
) -> None:
    """A row that does not match the others is reported."""

    async def scenario(fleet: MemoryFleet) -> None:
        await fleet.top_up("w", 500, "t")
        manager = await fleet.start("a.1")
        permit = await begin(manager, order("w", "r"))
        await manager.finish(permit, ended(permit, 60))
        await anyio.sleep(3)
        assert await verify_bills(fleet.table) == []
        fleet.table.put(key, to_json(value))
        found = await verify_bills(fleet.table)
        assert any(finding in one.finding for one in found)

    run(scenario)


def test_verification_reports_a_row_that_cannot_be_read() -> None:
    """A row with an invalid value is reported."""

    async def scenario(fleet: MemoryFleet) -> None:
        fleet.table.put(request_key("w", "r"), {"state": "no such state"})
        (found,) = await verify_bills(fleet.table)
        assert found.key == request_key("w", "r")

    run(scenario)


def test_upkeep_continues_after_an_outage() -> None:
    """A transfer was lost between two routers, and the table is down for a while.

    The upkeep task must survive the outage, and return the tokens once the table is
    back and both routers are closed.
    """

    async def scenario(fleet: MemoryFleet) -> None:
        await fleet.top_up("w", 10_000, "t")
        giver = await fleet.start("a.1")
        receiver = await fleet.start("b.1")
        for manager, hold in ((giver, 500), (receiver, 10)):
            permit = await begin(manager, order("w", f"r{hold}", hold))
            await manager.finish(permit, ended(permit, 10))
        await anyio.sleep(3)
        fleet.table.faults.down = True
        fleet.network.lose_replies = 1
        with pytest.raises(BudgetUnreachableError):
            await begin(receiver, order("w", "r", 5000))
        for name in ("a.1", "b.1"):
            fleet.kill(name)
        fleet.table.faults.down = False
        for name in ("a.1", "b.1"):
            await fleet.recover(name)
        assert fleet.budget("w").outstanding > 0
        fleet.table.faults.down = True
        upkeep = Upkeep(
            fleet.table,
            fleet.objects,
            lambda: fleet.recovery("c.1"),
            lambda: MONTH,
            lambda: "c.1",
            lambda: (),
        )
        fleet.tasks.start_soon(upkeep.run)
        await anyio.sleep(1000)
        fleet.table.faults.down = False
        await anyio.sleep(1000)
        assert fleet.budget("w").outstanding == 0
        assert upkeep.pending == 0
        await check_bills(fleet)

    run(scenario)
