"""The comparison of choice policies runs, and runs the same each time."""

from __future__ import annotations

import pytest

from ebonyhold.coordination import choice_policies
from ebonyhold.experiments.choice import Deployment, Load, run_once

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
