"""The change that each grant policy requests for a given view."""

from __future__ import annotations

import pytest

from ebonyhold.coordination import (
    BudgetRow,
    GrantSize,
    GrantView,
    find_grant_policy,
    grant_policies,
)

PLENTY = BudgetRow(prepaid=1_000_000)
EMPTY = BudgetRow(prepaid=1000, spent=1000)

CASES = [
    ("table_call", GrantView(need=100, budget=PLENTY), GrantSize(draw=100)),
    ("table_call", GrantView(available=70, budget=PLENTY), GrantSize(give_back=70)),
    ("static_split", GrantView(need=1, routers=4, budget=PLENTY), GrantSize(250_000)),
    (
        "static_split",
        GrantView(need=1, drawn=250_000, routers=4, budget=PLENTY),
        GrantSize(),
    ),
    ("fixed_grant", GrantView(need=20_001, budget=PLENTY), GrantSize(40_000)),
    ("adaptive", GrantView(need=100, rate=10, budget=PLENTY), GrantSize(36_100)),
    ("adaptive", GrantView(available=30_000, rate=10, budget=PLENTY), GrantSize()),
    (
        "adaptive",
        GrantView(available=60_000, rate=10, budget=PLENTY),
        GrantSize(give_back=24_000),
    ),
    ("adaptive", GrantView(need=100, rate=10, budget=EMPTY), GrantSize(100)),
    (
        "adaptive",
        GrantView(available=40, rate=10, budget=EMPTY),
        GrantSize(give_back=40),
    ),
]


@pytest.mark.parametrize(("name", "view", "size"), CASES)
def test_size(name: str, view: GrantView, size: GrantSize) -> None:
    assert find_grant_policy(name).size(view) == size


@pytest.mark.parametrize(
    ("available", "need", "wanted", "given"),
    [
        (1000, 0, 100, 400),
        (1000, 0, 600, 600),
        (1000, 0, 2000, 1000),
        (1000, 50, 100, 0),
        (0, 0, 100, 0),
    ],
)
def test_giving_to_a_peer(available: int, need: int, wanted: int, given: int) -> None:
    view = GrantView(available=available, need=need)
    assert find_grant_policy("adaptive_transfer").give(view, wanted) == given


@pytest.mark.parametrize("name", sorted(grant_policies))
@pytest.mark.parametrize("remaining", [0, 10, 5000])
def test_no_policy_requests_negative_amounts(name: str, remaining: int) -> None:
    row = BudgetRow(prepaid=remaining)
    for need in (0, 7):
        for available in (0, 9, 900):
            view = GrantView(need=need, available=available, rate=3, budget=row)
            size = find_grant_policy(name).size(view)
            assert size.draw >= 0
            assert 0 <= size.give_back <= available
