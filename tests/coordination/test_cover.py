"""The outage cover policy: stable grants, which shrink as a budget runs out."""

from __future__ import annotations

import pytest

from ebonyhold.coordination import BudgetRow, GrantView, OutageCover, change_budget


def simulate(routers: list[float], prepaid: int, rounds: int) -> tuple[list[int], int]:
    """Let routers with the given demands size their grants in turn.

    Returns:
        The tokens that each router holds, and the number of changes after the first
        four rounds.
    """
    policy = OutageCover()
    budget = BudgetRow(prepaid=prepaid)
    held = [0] * len(routers)
    late_changes = 0
    for number in range(rounds):
        for place, rate in enumerate(routers):
            size = policy.size(
                GrantView(
                    available=held[place],
                    rate=rate,
                    typical=5_000,
                    routers=len(routers),
                    budget=budget,
                    horizon=9.0,
                )
            )
            held[place] += size.draw - size.give_back
            budget = change_budget(budget, drawn=size.draw, returned=size.give_back)
            late_changes += number > 3 and bool(size.draw or size.give_back)
    return held, late_changes


@pytest.mark.parametrize("rate", [1_000.0, 20_000.0, 50_000.0, 200_000.0])
def test_a_router_that_holds_most_of_a_budget_does_not_oscillate(rate: float) -> None:
    """Guards against a router that alternately draws and returns the whole budget.

    One router serves all callers of a workspace.  A policy that only considers the
    tokens left in the budget draws all of them, then reads an empty budget and returns
    them.  If an outage follows a return, the router cannot serve its callers.
    """
    held, changes = simulate([rate], 500_000, 12)
    assert changes == 0
    assert held[0] >= min(9 * rate, 500_000) * 0.5


def test_grants_follow_the_demand() -> None:
    held, changes = simulate([1_000.0, 4_000.0, 16_000.0], 300_000, 12)
    assert held[0] < held[1] < held[2]
    assert sum(held) < 300_000
    assert changes == 0


def test_an_ample_budget_covers_every_router() -> None:
    held, _ = simulate([1_000.0] * 9, 50_000_000, 6)
    assert all(amount >= 9_000 * 0.8 for amount in held)


def test_no_tokens_are_wanted_from_an_empty_budget() -> None:
    view = GrantView(rate=1000.0, typical=100, budget=BudgetRow(prepaid=0))
    assert OutageCover().wanted(view) == 0
