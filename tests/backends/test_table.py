"""The backend servers of one router: polling, working set, states and windows."""

from __future__ import annotations

import random

import pytest
from attrs import evolve

from ebonyhold.backends import Backends, LoadReport
from ebonyhold.backends._table import MAX_POLL_RATE, POLL_JITTER, WORKING_SET_SIZE
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


async def test_a_few_engines_are_all_used() -> None:
    table = make_table(9)
    assert len(table.usable(BackendKind.ENGINE, MODEL)) == 9
    pauses = [table.pause() for _ in range(50)]
    assert min(pauses) >= 9 / MAX_POLL_RATE * (1 - POLL_JITTER / 2)
    assert max(pauses) <= 9 / MAX_POLL_RATE * (1 + POLL_JITTER / 2)


async def test_the_poll_rate_is_limited_with_many_engines() -> None:
    table = make_table(200)
    assert len(table.usable(BackendKind.ENGINE, MODEL)) == WORKING_SET_SIZE
    polls = len(table.working) / table.pause()
    assert polls < 1.2 * MAX_POLL_RATE


async def test_other_engines_are_used_when_the_working_set_leaves() -> None:
    table = make_table(200)
    table.refresh()
    table.fleet.leaving = table.working
    others = {item.backend.name for item in table.usable(BackendKind.ENGINE, MODEL)}
    assert others
    assert not others & table.working


async def test_a_new_document_updates_the_states() -> None:
    """A server keeps its state in a new document, unless its address changes.

    The state of a server that the document no longer has is dropped.
    """
    table = make_table(3)
    table.refresh()
    table.states["e0"].record_report(LoadReport("b", 1, running=5), 1.0)
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
async def test_a_late_report_is_ignored(
    reports: list[LoadReport], running: int
) -> None:
    """A report with a smaller sequence number must not replace a newer one.

    After a restart, shown by the boot identifier, the numbers start again.
    """
    table = make_table(1)
    table.refresh()
    state = table.states["e0"]
    state.prefixes.stored("p")
    for at, report in enumerate(reports):
        state.record_report(report, float(at))
    assert state.report.running == running
    assert bool(state.prefixes.held) is False


async def test_a_late_report_does_not_take_leaving_back() -> None:
    """An engine that leaves must not be used again by an older report."""
    table = make_table(2)
    table.refresh()
    state = table.states["e0"]
    for report in (LoadReport("b", 2, leaving=True), LoadReport("b", 1)):
        table.use_report(state, report)
    usable = table.usable(BackendKind.ENGINE, MODEL)
    assert [found.backend.name for found in usable] == ["e1"]


async def test_windows_shrink_on_queues_and_grow_with_free_slots() -> None:
    table = make_table(1)
    table.refresh()
    state = table.states["e0"]
    state.record_report(LoadReport("b", 1, running=16, queued=8), 0.0)
    shrunk = state.window
    assert shrunk < 4.0
    state.reserved = 4
    state.record_report(LoadReport("b", 2, running=16), 1.0)
    assert state.window == shrunk
    state.record_report(LoadReport("b", 3, running=9), 2.0)
    assert state.window > shrunk
    assert state.free_slots == 0
