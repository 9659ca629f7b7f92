"""A gateway follows the store through outages, lost history and malformed rows."""

from __future__ import annotations

import json
from typing import Any

import anyio
import pytest

from ebonyhold.coordination import Delete, Put, Transaction
from ebonyhold.forwarding import BackendState
from ebonyhold.gateway import PlatformAdapter, RawRow, RoutingState, Watcher
from ebonyhold.gateway._types import Changes
from ebonyhold.platform import (
    PlatformDialect,
    read_backend,
    read_configuration,
    read_evacuation,
)
from ebonyhold.standins import MemoryRows, RowHistory
from tests.platform.test_documents import CONFIGURATION, ENTRY
from tests.virtual import anyio_backend

pytestmark = pytest.mark.anyio
__all__ = ["anyio_backend"]


def routing_state(store: MemoryRows) -> RoutingState:
    """Return an empty routing state."""
    return RoutingState(
        PlatformAdapter(
            settings=None,  # type: ignore[arg-type]
            dialect=PlatformDialect(),
            store=store,
            rules_table="op",
            rules_key="config",
            servers_table="servers",
            read_rules=read_configuration,
            read_backend=read_backend,
            read_evacuation=read_evacuation,
        )
    )


def put(history: RowHistory, key: str, value: Any) -> None:
    """Write a row directly, without the faults of the simulated store."""
    history.apply(Transaction((), (Put(key, value),)))


def drop(history: RowHistory, key: str) -> None:
    """Remove a row directly, without the faults of the simulated store."""
    history.apply(Transaction((), (Delete(key),)))


def server_watcher(store: MemoryRows, routing: RoutingState) -> Watcher:
    """Return a watcher of the server list."""
    return Watcher(store, "servers", routing.replace_servers, routing.update_servers)


async def test_draining_server_gets_no_work_within_a_second() -> None:
    store = MemoryRows()
    routing = routing_state(store)
    put(store.history, "servers//i-1", ENTRY)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server_watcher(store, routing).run)
        await anyio.sleep(1)
        assert routing.backends.usable("s", anyio.current_time())
        put(store.history, "servers//i-1", {**ENTRY, "state": "draining"})
        await anyio.sleep(1)
        assert not routing.backends.usable("s", anyio.current_time())
        tasks.cancel_scope.cancel()


async def test_lost_history_leads_to_new_snapshot() -> None:
    """A server deregisters, and the store drops its history before this is read.

    Without a new snapshot, the server would stay in the list.
    """
    store = MemoryRows()
    routing = routing_state(store)
    put(store.history, "servers//i-1", ENTRY)
    put(store.history, "servers//i-2", ENTRY)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server_watcher(store, routing).run)
        await anyio.sleep(1)
        store.faults.pause()
        drop(store.history, "servers//i-2")
        store.history.compact()
        store.faults.release()
        await anyio.sleep(1)
        assert list(routing.backends.entries) == ["i-1"]
        tasks.cancel_scope.cancel()


async def test_entries_lapsed_in_outage_are_kept_for_a_while() -> None:
    """The entries of all servers lapse during an outage of the store.

    Servers register again within two seconds after the outage. If the gateway dropped
    them at once, it would refuse every request until then. A server that does not
    register again is dropped later.
    """
    store = MemoryRows()
    routing = routing_state(store)
    put(store.history, "servers//i-1", ENTRY)
    put(store.history, "servers//i-2", ENTRY)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server_watcher(store, routing).run)
        await anyio.sleep(1)
        store.faults.down = True
        await anyio.sleep(4)
        drop(store.history, "servers//i-1")
        drop(store.history, "servers//i-2")
        store.faults.down = False
        await anyio.sleep(1)
        assert len(routing.backends.usable("s", anyio.current_time())) == 2
        put(store.history, "servers//i-1", ENTRY)
        await anyio.sleep(2)
        routing.backends.expire(anyio.current_time())
        assert list(routing.backends.entries) == ["i-1"]
        tasks.cancel_scope.cancel()


def row(value: Any, version: int = 1, key: str = "config") -> tuple[RawRow, ...]:
    """Return one raw row."""
    return (RawRow(key, version, json.dumps(value).encode()),)


def test_older_configuration_is_ignored() -> None:
    routing = routing_state(MemoryRows())
    routing.apply_rules(row(CONFIGURATION), False)
    routing.apply_rules(row({**CONFIGURATION, "version": 6}), False)
    routing.apply_rules((RawRow("config", 3, b"{"),), False)
    assert routing.rules is not None and routing.rules.version == 7


async def test_evacuations_survive_outages_and_lost_history() -> None:
    """A domain that is taken back while the store is away must be used again."""
    store = MemoryRows()
    routing = routing_state(store)
    put(store.history, "op//evacuate/a", {})
    watcher = Watcher(store, "op", routing.replace_rules, routing.apply_rules)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watcher.run)
        await anyio.sleep(1)
        put(store.history, "op//evacuate/b", {})
        await anyio.sleep(1)
        assert routing.backends.evacuated == {"a", "b"}
        drop(store.history, "op//evacuate/a")
        await anyio.sleep(1)
        assert routing.backends.evacuated == {"b"}
        store.faults.down = True
        await anyio.sleep(4)
        assert routing.backends.evacuated == {"b"}
        drop(store.history, "op//evacuate/b")
        put(store.history, "op//evacuate/c", {})
        store.history.compact()
        store.faults.down = False
        await anyio.sleep(1)
        assert routing.backends.evacuated == {"c"}
        tasks.cancel_scope.cancel()


async def test_malformed_entry_removes_server() -> None:
    routing = routing_state(MemoryRows())
    routing.update_servers(row(ENTRY, key="i-1"), False)
    routing.update_servers(row({**ENTRY, "slots": "x"}, 2, "i-1"), False)
    assert not routing.backends.entries


async def test_new_server_incarnation_resets_state() -> None:
    """A server that was ejected after failures restarts under the same name.

    The failures of its previous incarnation must not exclude it.
    """
    routing = routing_state(MemoryRows())
    routing.update_servers(row(ENTRY, key="i-1"), False)
    routing.backends.entries["i-1"].moved = True
    routing.backends.ejector.lost("i-1", 0.0)
    routing.update_servers(row({**ENTRY, "born": 1700000009999}, 2, "i-1"), False)
    entry = routing.backends.usable("s", 0.0)[0]
    assert not entry.moved and entry.backend.state is BackendState.READY


BORN = 1_700_000_000_000


def report(sequence: int, state: str = "ready", born: int = 0, **more: Any) -> Any:
    """Return an entry of a server; `born` is counted from BORN."""
    return {**ENTRY, "state": state, "born": BORN + born, "sequence": sequence, **more}


GONE = None
"""In a history, the removal of the entry."""


@pytest.mark.parametrize("read", ["changes", "snapshots"])
@pytest.mark.parametrize(
    ("history", "usable"),
    [
        ([report(5), report(9, "draining"), report(7)], False),
        ([report(5), report(9, "draining"), report(7), report(10, "draining")], False),
        ([report(5), report(9, "draining"), GONE, report(7)], False),
        ([report(9), report(7, "draining")], True),
        ([report(5), report(9, "draining"), report(12)], True),
        ([report(5), report(5)], True),
        ([report(5), GONE, report(5)], True),
        ([report(2, born=60), report(50, "draining")], True),
        ([report(2, "draining", born=60), report(50)], False),
        ([report(2, "draining", born=60), GONE, report(50)], False),
        ([report(50, "draining"), report(1, born=60)], True),
        ([report(9, "draining", born=-BORN), report(7, born=-BORN)], True),
    ],
    ids=[
        "late report",
        "late report, replaced",
        "late report after the removal",
        "late report of draining",
        "ready again",
        "the same report",
        "listed again",
        "earlier run drains",
        "earlier run was ready",
        "earlier run after the removal",
        "next run",
        "no known start",
    ],
)
async def test_older_report_takes_nothing_back(
    history: list[Any], usable: bool, read: str
) -> None:
    """Guards against requests to a server that leaves, after a late older report."""
    routing = routing_state(MemoryRows())
    for version, value in enumerate(history):
        rows = () if value is GONE else row(value, version, "i-1")
        if read == "snapshots":
            routing.replace_servers(rows, False)
        else:
            removed = (RawRow("i-1", version, b"", deleted=True),)
            routing.update_servers(rows or removed, False)
    assert bool(routing.backends.usable("s", anyio.current_time())) is usable


@pytest.mark.parametrize(
    ("later", "seconds", "usable"),
    [
        ([], 8.0, False),
        ([], 12.0, True),
        ([report(8)], 12.0, True),
        ([report(10, "draining")], 12.0, False),
        ([GONE], 12.0, False),
    ],
    ids=["soon", "stands", "written again", "replaced", "expired"],
)
async def test_older_report_that_stands_is_used(
    later: list[Any], seconds: float, usable: bool
) -> None:
    """Guards against a server that is never used after its count was set back."""
    routing = routing_state(MemoryRows())
    for value in [report(9, "draining"), report(7), *later]:
        rows = () if value is GONE else row(value, 1, "i-1")
        routing.replace_servers(rows, False)
        await anyio.sleep(1.0)
    await anyio.sleep(seconds - 1.0 - len(later))
    routing.backends.expire(anyio.current_time())
    assert bool(routing.backends.usable("s", anyio.current_time())) is usable


async def test_older_report_of_an_earlier_run_keeps_its_version() -> None:
    """Guards against a stream that goes on at a server that has restarted since."""
    routing = routing_state(MemoryRows())
    for value in (report(2, born=60, version="v2"), report(50, version="v1")):
        routing.update_servers(row(value, 1, "i-1"), False)
    assert routing.backends.entries["i-1"].backend.version == "v2"
    assert not routing.backends.versions.are_several("s")


@pytest.mark.parametrize(
    ("taken", "changed", "age"),
    [(0.6, False, 0.0), (3.0, False, 2.4), (0.1, True, 0.1), (3.0, True, 3.0)],
)
async def test_answer_that_is_read_late_is_as_old_as_it_was_sent(
    taken: float, changed: bool, age: float
) -> None:
    """A router that was paused must not count a list as current that it reads then."""

    class LateStore(MemoryRows):
        async def changes(self, table: str, after: int, wait: float) -> Changes:
            await anyio.sleep(taken)
            return Changes(row(ENTRY, 2, "i-1") if changed else (), 2)

    store = LateStore()
    watcher = server_watcher(store, routing_state(store))
    await watcher.step()
    await watcher.step()
    assert watcher.age(anyio.current_time()) == pytest.approx(age)
