"""What callers of a large fleet get of budgets that a few routers hold."""

from __future__ import annotations

import pytest

from ebonyhold.experiments.budget_holders import Play, run

SIZE = 40

NEEDLESS = 0.03
"""The part of all requests that may be refused although their budget covers them."""


@pytest.mark.parametrize(("holders", "served"), [(True, True), (False, False)])
def test_unspent_tokens_reach_requests(holders: bool, served: bool) -> None:
    """Callers were refused while their budget lay about in pieces."""
    counts = run(Play(SIZE, holders))
    assert (counts.needless < NEEDLESS * counts.requests) is served
