"""Grants, claims and bills of a router while nothing fails."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
import pytest
import trio
import trio.testing

from ebonyhold.coordination import KeptAnswer, Outcome, RequestKind, RequestState
from ebonyhold.document import Policy
from ebonyhold.exceptions import BudgetExhaustedError, KeyReusedError
from ebonyhold.experiments._memory_fleet import MemoryFleet, ended, order
from ebonyhold.money import Permit, Replay, verify_bills


def run(scenario: Callable[[MemoryFleet], Awaitable[None]], policy: Policy) -> None:
    """Run a scenario in its own fleet under a virtual clock."""

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            await scenario(MemoryFleet(tasks, policy))
            tasks.cancel_scope.cancel()

    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(main, clock=clock)


POLICIES = [
    "table_call",
    "static_split",
    "fixed_grant",
    "adaptive",
    "adaptive_transfer",
]


@pytest.mark.parametrize("grants", POLICIES)
def test_bills_once_and_returns_the_rest(grants: str) -> None:
    """Each request is billed once, and draining returns all unspent tokens."""

    async def scenario(fleet: MemoryFleet) -> None:
        await fleet.top_up("w", 1000, "t")
        one = await fleet.start("a.1")
        for number in range(8):
            permit = await one.begin(order("w", f"r{number}"))
            assert isinstance(permit, Permit)
            await one.finish(permit, ended(permit, 10))
        await anyio.sleep(5)
        assert fleet.budget("w").spent == 80
        assert not await verify_bills(fleet.table)
        await one.drain()
        assert fleet.budget("w").outstanding == 0
        assert not await verify_bills(fleet.table)
        assert not fleet.table.matching("journal/", "", 10)

    run(scenario, Policy(grants=grants))


@pytest.mark.parametrize("grants", POLICIES)
def test_refuses_when_exhausted(grants: str) -> None:
    """A request is refused as exhausted once the budget cannot cover its hold."""

    async def scenario(fleet: MemoryFleet) -> None:
        await fleet.top_up("w", 150, "t")
        one = await fleet.start("a.1")
        permit = await one.begin(order("w", "r1"))
        assert isinstance(permit, Permit)
        await one.finish(permit, ended(permit, 100))
        await anyio.sleep(5)
        with pytest.raises(BudgetExhaustedError):
            await one.begin(order("w", "r2"))

    run(scenario, Policy(grants=grants))


def test_replays_a_booking_and_refuses_a_reused_key() -> None:
    """A repeated booking gets the kept answer; its key with another body is refused."""

    async def scenario(fleet: MemoryFleet) -> None:
        await fleet.top_up("w", 1000, "t")
        one = await fleet.start("a.1")
        two = await fleet.start("b.1")
        booking = order("w", "k", 5, RequestKind.BOOKING, keyed=True)
        permit = await one.begin(booking)
        assert isinstance(permit, Permit)
        answer = KeptAnswer(201, "application/json", "{}")
        outcome = Outcome(
            "w", "k", permit.attempt, RequestState.COMPLETE, 5, answer=answer
        )
        await one.finish(permit, outcome, durable_within=1)
        await anyio.sleep(1)
        again = await two.begin(booking)
        assert isinstance(again, Replay)
        assert again.answer == answer
        with pytest.raises(KeyReusedError):
            await two.begin(
                order("w", "k", 5, RequestKind.BOOKING, keyed=True, digest="e")
            )
        assert fleet.budget("w").spent == 5

    run(scenario, Policy())
