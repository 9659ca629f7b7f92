"""The comparison of grant policies is deterministic, and nobody overspends."""

from __future__ import annotations

import pytest

from ebonyhold.experiments.money_policies import (
    HEADINGS,
    POLICIES,
    markdown,
    rows,
    run_scenario,
)


@pytest.mark.parametrize("policy", POLICIES)
def test_nothing_is_overspent_near_the_end_of_a_budget(policy: str) -> None:
    result = run_scenario("near_empty", policy, 1)
    assert result.overspend == 0
    assert result.discrepancies == 0
    assert result.refused >= result.false_refusals


def test_deaths_refuse_nobody_and_a_run_can_be_repeated() -> None:
    first = run_scenario("deaths", "adaptive_transfer", 2)
    assert first == run_scenario("deaths", "adaptive_transfer", 2)
    assert (first.overspend, first.false_refusals, first.discrepancies) == (0, 0, 0)
    table = rows([first, first])
    assert len(table) == 1
    assert len(table[0]) == len(HEADINGS)
    assert "adaptive_transfer" in markdown(table)


def test_an_outage_of_an_hour_refuses_few() -> None:
    """The table is down for an hour, and the routers live on what they hold.

    Before grants were sized ahead of trouble, two thirds were refused.
    """
    result = run_scenario("table_out", "adaptive_transfer", 1)
    assert result.overspend == 0
    assert result.false_refusals <= 0.05 * result.requests
