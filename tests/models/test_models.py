"""The models hold, and each guard is needed."""

from __future__ import annotations

from pathlib import Path

import pytest

from ebonyhold.models import FAMILIES, check
from ebonyhold.models._page import check_whole, find_trace, render_page

PAGE = Path(__file__).parents[2] / "docs" / "MODELS.md"

GUARDS = [
    (family.name, guard.name) for family in FAMILIES.values() for guard in family.guards
]


@pytest.mark.parametrize("name", FAMILIES)
def test_the_protocol_holds(name: str) -> None:
    result = check_whole(name)
    assert result.broken == ()
    assert result.holds


@pytest.mark.parametrize(("name", "guard"), GUARDS)
def test_without_a_guard_there_is_a_counterexample(name: str, guard: str) -> None:
    trace = find_trace(name, guard)
    assert trace is not None
    model = FAMILIES[name].build(guard, False)
    state = model.initial
    for step in trace.steps:
        assert (step.label, step.state) in set(model.successors(state))
        state = step.state
    assert not model.invariants[trace.invariant](state)


def test_the_page_shows_what_the_checker_finds() -> None:
    assert PAGE.read_text(encoding="utf-8") == render_page()


@pytest.mark.deep
@pytest.mark.parametrize("name", FAMILIES)
def test_the_protocol_holds_in_wider_bounds(name: str) -> None:
    assert check(FAMILIES[name].build("", True)).holds
