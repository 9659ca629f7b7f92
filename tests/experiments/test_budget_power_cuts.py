"""What a power failure of all VMs costs the budgets of a large fleet."""

from __future__ import annotations

from ebonyhold.experiments.budget_power_cuts import CAUSES, Cut, run

NEEDLESS = 0.01
"""The part of all requests that may be refused although their budget covers them."""


def test_power_failure_loses_only_what_may_have_been_used() -> None:
    """Guards against grants that no successor takes back, and tokens in no account."""
    found = run(Cut(24, 1.3))
    assert found["needlessly"] <= NEEDLESS * found["sent"]
    assert found["not reclaimed"] == 0
    assert 0 < found["stranded"] <= sum(found[cause] for cause in CAUSES)
