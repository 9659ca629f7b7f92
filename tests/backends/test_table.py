"""The table of backend servers: who is polled, preferred and remembered."""

from __future__ import annotations

import random

import pytest
from attrs import evolve

from ebonyhold.backends import Backends, LoadReport
from ebonyhold.backends._table import JITTER, POLLS_A_SECOND, WORKING_SET
from ebonyhold.document import BackendKind
from ebonyhold.fleet import FleetView
from tests.backends.kit import Engine, Fleet
from tests.callers.kit import make_document

pytestmark = pytest.mark.anyio
MODEL = "assistant"


def make_table(engines: int) -> Backends:
    document = make_document(engines=engines, service_count=1)
    transport = Fleet({item.address: Engine() for item in document.backends})
    fleet = FleetView(document, 1, "d0")
    return Backends(fleet, rng=random.Random(3), transport=transport)


async def test_few_engines_are_all_worked_with() -> None:
    table = make_table(9)
    assert len(table.usable(BackendKind.ENGINE, MODEL)) == 9
    pauses = [table.pause() for _ in range(50)]
    assert min(pauses) >= 9 / POLLS_A_SECOND * (1 - JITTER / 2)
    assert max(pauses) <= 9 / POLLS_A_SECOND * (1 + JITTER / 2)


async def test_many_engines_cost_no_more() -> None:
    table = make_table(200)
    assert len(table.usable(BackendKind.ENGINE, MODEL)) == WORKING_SET
    polls = len(table.working) / table.pause()
    assert polls < 1.2 * POLLS_A_SECOND


async def test_when_the_own_ones_leave_the_others_are_used() -> None:
    table = make_table(200)
    table.refresh()
    table.fleet.leaving = table.working
    others = {item.backend.name for item in table.usable(BackendKind.ENGINE, MODEL)}
    assert others
    assert not others & table.working


async def test_documents_come_and_go() -> None:
    """A server keeps what is known of it through versions, unless it moves."""
    table = make_table(3)
    table.refresh()
    table.states["e0"].heard(LoadReport("b", 1, running=5), 1.0)
    document = table.fleet.document
    first, *others = document.backends
    table.fleet.adopt(evolve(document, backends=(first, *others[1:])), 2)
    table.refresh()
    assert table.states["e0"].report.running == 5
    assert "e1" not in table.states
    moved = evolve(first, address="10.0.0.77:8000")
    table.fleet.adopt(evolve(document, backends=(moved, *others)), 3)
    table.refresh()
    assert table.states["e0"].report.running == 0
    assert "e1" in table.states


@pytest.mark.parametrize(
    ("reports", "running"),
    [
        ([LoadReport("b", 2, running=9), LoadReport("b", 1, running=3)], 9),
        ([LoadReport("b", 2, running=9), LoadReport("b", 3, running=3)], 3),
        ([LoadReport("b", 9, running=9), LoadReport("c", 1, running=0)], 0),
    ],
)
async def test_late_reports(reports: list[LoadReport], running: int) -> None:
    """A report that comes late is not taken for news; a restart is."""
    table = make_table(1)
    table.refresh()
    state = table.states["e0"]
    state.prefixes.stored("p")
    for at, report in enumerate(reports):
        state.heard(report, float(at))
    assert state.report.running == running
    assert bool(state.prefixes.held) is False


async def test_windows_shrink_on_queues_and_grow_with_free_slots() -> None:
    table = make_table(1)
    table.refresh()
    state = table.states["e0"]
    state.heard(LoadReport("b", 1, running=16, queued=8), 0.0)
    shrunk = state.window
    assert shrunk < 4.0
    state.reserved = 4
    state.heard(LoadReport("b", 2, running=16), 1.0)
    assert state.window == shrunk
    state.heard(LoadReport("b", 3, running=9), 2.0)
    assert state.window > shrunk
    assert state.room == 0
