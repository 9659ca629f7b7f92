"""The comparison of choice policies runs, and runs the same each time."""

from __future__ import annotations

import pytest

from ebonyhold.coordination import choice_policies
from ebonyhold.experiments.choice import Deployment, Load, run_once, scenarios

SMALL = Deployment("small", 3, 2, 0.0005, 12.0)
SHORT = Load(0.6, 4.0)


@pytest.mark.parametrize("policy", sorted(choice_policies))
def test_every_policy_serves(policy: str) -> None:
    figures = run_once(SMALL, policy, SHORT, seed=3)
    assert figures.refused == 0
    assert 0 < figures.goodput <= figures.offered
    assert 0 < figures.first[0] <= figures.first[1] <= figures.first[2]


def test_a_seed_gives_the_same_run() -> None:
    first = run_once(SMALL, "prefix_aware", SHORT, seed=5)
    assert run_once(SMALL, "prefix_aware", SHORT, seed=5) == first
    assert run_once(SMALL, "prefix_aware", SHORT, seed=6) != first


@pytest.mark.parametrize("scenario", sorted(scenarios))
def test_no_promise_breaks(scenario: str) -> None:
    """Engines die, alone or with their failure domain, or stop in turn.

    No stream is cut, nobody is refused at this load, and a leaving engine gets
    no new work after a few seconds.
    """
    deployment = Deployment("small", 5, 2, 0.0005, 18.0)
    load = Load(0.4, 12.0)
    figures = run_once(deployment, "prefix_aware", load, 4, scenario=scenario)
    assert (figures.cut, figures.refused, figures.late_work) == (0, 0, 0)
    assert (figures.resumed > 0) is (scenario in ("engine_dead", "domain_dead"))
