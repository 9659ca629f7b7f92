"""The experiment on shared load compares the choices and is the same for a seed."""

from __future__ import annotations

import pytest

from ebonyhold.experiments.shared_load import DEPLOYMENTS, run

CASES = [
    # deployment, slow servers, length, largest share of late medium requests of the new
    # choice, and against the current one
    pytest.param("A", 0, 9.0, 0.2, 0.5, id="A"),
    pytest.param("B", 3, 9.0, 0.08, 0.5, id="B with slow servers"),
    pytest.param("B-many", 0, 12.0, 0.05, 0.7, id="B with many rare parts"),
]


@pytest.mark.parametrize(("name", "slow", "length", "most", "share"), CASES)
def test_new_choice_is_late_less_often(
    name: str, slow: int, length: float, most: float, share: float
) -> None:
    """Guards against a choice that is no better than the one by own work alone.

    90 routers, the peak of a wave and, in deployment A, a burst of 2.4 times the load.
    Rare parts are used every 9 to 20 s, and must stay at their servers until then.
    """
    late = {
        policy: run(DEPLOYMENTS[name], policy, 90, 1, length, slow=slow).late
        for policy in ("current", "new", "complete")
    }
    assert late["complete"]["medium"] <= late["new"]["medium"] <= most
    assert late["new"]["medium"] < share * late["current"]["medium"]


def test_a_seed_gives_the_same_run() -> None:
    """Guards against figures that cannot be compared between columns."""
    first = run(DEPLOYMENTS["A"], "new", 23, 3, 6.0)
    assert run(DEPLOYMENTS["A"], "new", 23, 3, 6.0) == first
    assert run(DEPLOYMENTS["A"], "new", 23, 4, 6.0) != first
