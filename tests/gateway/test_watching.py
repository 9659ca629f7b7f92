"""A gateway follows the store through outages, lost history and forged rows."""

from __future__ import annotations

import json
from typing import Any

import anyio
import pytest

from ebonyhold.coordination import Delete, Put, Transaction
from ebonyhold.forwarding import BackendState
from ebonyhold.gateway import Knowledge, Peers, RawRow, Watcher
from ebonyhold.platform import PlatformDialect, read_backend, read_configuration
from ebonyhold.standins import MemoryRows, RowHistory
from tests.platform.test_documents import CONFIGURATION, ENTRY
from tests.virtual import anyio_backend

pytestmark = pytest.mark.anyio
__all__ = ["anyio_backend"]


def knowledge(store: MemoryRows) -> Knowledge:
    """Return what a gateway believes, empty."""
    return Knowledge(
        Peers(
            settings=None,  # type: ignore[arg-type]
            dialect=PlatformDialect(),
            store=store,
            rules_table="op",
            rules_key="config",
            servers_table="servers",
            read_rules=read_configuration,
            read_backend=read_backend,
        )
    )


def put(history: RowHistory, key: str, value: Any) -> None:
    """Write a row past all faults."""
    history.apply(Transaction((), (Put(key, value),)))


def drop(history: RowHistory, key: str) -> None:
    """Remove a row past all faults."""
    history.apply(Transaction((), (Delete(key),)))


def server_watcher(store: MemoryRows, known: Knowledge) -> Watcher:
    """Return a watcher of the list of servers."""
    return Watcher(store, "servers", known.replace_servers, known.change_servers)


async def test_a_server_that_drains_gets_no_work_within_a_second() -> None:
    store = MemoryRows()
    known = knowledge(store)
    put(store.history, "servers//i-1", ENTRY)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server_watcher(store, known).run)
        await anyio.sleep(1)
        assert known.backends.usable("s", anyio.current_time())
        put(store.history, "servers//i-1", {**ENTRY, "state": "draining"})
        await anyio.sleep(1)
        assert not known.backends.usable("s", anyio.current_time())
        tasks.cancel_scope.cancel()


async def test_lost_history_is_read_again() -> None:
    """The store forgets its changes, and a server has left in the gap."""
    store = MemoryRows()
    known = knowledge(store)
    put(store.history, "servers//i-1", ENTRY)
    put(store.history, "servers//i-2", ENTRY)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server_watcher(store, known).run)
        await anyio.sleep(1)
        store.faults.pause()
        drop(store.history, "servers//i-2")
        store.history.compact()
        store.faults.release()
        await anyio.sleep(1)
        assert list(known.backends.entries) == ["i-1"]
        tasks.cancel_scope.cancel()


async def test_entries_that_lapsed_in_an_outage_stay_for_a_while() -> None:
    """The store is away, and the entries of all servers lapse meanwhile.

    Servers renew them within two seconds of its return.  Dropping all servers at
    once would refuse every request until then; one that does not come back is gone.
    """
    store = MemoryRows()
    known = knowledge(store)
    put(store.history, "servers//i-1", ENTRY)
    put(store.history, "servers//i-2", ENTRY)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server_watcher(store, known).run)
        await anyio.sleep(1)
        store.faults.down = True
        await anyio.sleep(4)
        drop(store.history, "servers//i-1")
        drop(store.history, "servers//i-2")
        store.faults.down = False
        await anyio.sleep(1)
        assert len(known.backends.usable("s", anyio.current_time())) == 2
        put(store.history, "servers//i-1", ENTRY)
        await anyio.sleep(2)
        known.backends.expire(anyio.current_time())
        assert list(known.backends.entries) == ["i-1"]
        tasks.cancel_scope.cancel()


def row(value: Any, version: int = 1, key: str = "config") -> tuple[RawRow, ...]:
    """Return one raw row."""
    return (RawRow(key, version, json.dumps(value).encode()),)


def test_a_configuration_never_goes_back() -> None:
    known = knowledge(MemoryRows())
    known.take_rules(row(CONFIGURATION), False)
    known.take_rules(row({**CONFIGURATION, "version": 6}), False)
    known.take_rules((RawRow("config", 3, b"{"),), False)
    assert known.rules is not None and known.rules.version == 7


async def test_a_forged_entry_names_no_server() -> None:
    known = knowledge(MemoryRows())
    known.change_servers(row(ENTRY, key="i-1"), False)
    known.change_servers(row({**ENTRY, "slots": "x"}, 2, "i-1"), False)
    assert not known.backends.entries


async def test_another_life_under_the_same_name_starts_anew() -> None:
    """An engine restarts under its old name after it was found at fault."""
    known = knowledge(MemoryRows())
    known.change_servers(row(ENTRY, key="i-1"), False)
    known.backends.entries["i-1"].moved = True
    known.backends.ejector.lost("i-1", 0.0)
    known.change_servers(row({**ENTRY, "born": 1700000009999}, 2, "i-1"), False)
    entry = known.backends.usable("s", 0.0)[0]
    assert not entry.moved and entry.backend.state is BackendState.READY
