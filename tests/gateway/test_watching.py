"""A gateway follows the store through outages, lost history and forged rows."""

from __future__ import annotations

import json
from typing import Any

import anyio
import pytest

from ebonyhold.coordination import Delete, Put, Transaction
from ebonyhold.exceptions import UnknownOutcomeError
from ebonyhold.forwarding import BackendState
from ebonyhold.gateway import Knowledge, Peers, Presence, RawRow, Watcher
from ebonyhold.platform import PlatformDialect, read_backend, read_configuration
from ebonyhold.prepaid import Limits, SpendingLimit
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


LIMIT = SpendingLimit(1000, 10.0, 10.0)


def presence(
    store: MemoryRows, life: str, limits: Limits | None = None, vm: str = "vm-1"
) -> Presence:
    """Return the presence of one life of a VM's router."""
    return Presence(store, vm, "10.0.0.1", life, lambda: limits or {})


async def test_a_successor_knows_how_long_its_predecessor_was_out_of_touch() -> None:
    store = MemoryRows()
    first = presence(store, "vm-1.a", {"acme": LIMIT})
    await anyio.sleep(1)
    await first.step()
    await anyio.sleep(1)
    await first.step()
    await anyio.sleep(3)
    second = presence(store, "vm-1.b")
    await second.step()
    [before] = second.unreclaimed
    assert before.router == "vm-1.a"
    assert 3.0 <= before.elapsed <= 3.1
    assert 1000 + 30 <= before.limit("acme") <= 1000 + 34


async def test_a_third_life_knows_what_the_second_did_not_return() -> None:
    """A router is killed, and killed again before it returned the first life's grants.

    The second life took over the VM's only row; what it said of the first would be
    lost, and the first one's tokens with it.
    """
    store = MemoryRows()
    first = presence(store, "vm-1.a", {"acme": LIMIT})
    await anyio.sleep(1)
    await first.step()
    await first.step()
    await anyio.sleep(1)
    second = presence(store, "vm-1.b")
    await second.step()
    await second.step()
    await anyio.sleep(60)
    third = presence(store, "vm-1.c")
    await third.step()
    one, two = third.unreclaimed
    assert (one.router, two.router) == ("vm-1.a", "vm-1.b")
    assert 1.0 <= one.elapsed <= 1.1
    second.reclaimed("vm-1.a")
    assert second.unreclaimed == ()


@pytest.mark.parametrize("fault", ["lose_answers", "lose_requests", "late"])
async def test_a_first_row_in_doubt_is_no_predecessor(fault: str) -> None:
    """The answer to a life's first write is lost, and it finds its own row."""
    store = MemoryRows()
    first = presence(store, "vm-1.a", {"acme": LIMIT})
    setattr(store.faults, fault, 1)
    with pytest.raises(UnknownOutcomeError):
        await first.step()
    await first.step()
    await store.faults.flush()
    assert first.started.is_set() and first.unreclaimed == ()


async def test_a_renewal_in_doubt_lowers_no_limit() -> None:
    """The store is silent, and each renewal may still take effect later.

    The limits of the one in doubt bind too, since a successor may find it.  Those
    sent after it must not start the growth anew, or an outage would release nothing.
    """
    store = MemoryRows()
    first = presence(store, "vm-1.a", {"acme": LIMIT})
    await first.step()
    await anyio.sleep(1)
    store.faults.late = 2
    with pytest.raises(UnknownOutcomeError):
        await first.step()
    sent_at = anyio.current_time()
    for _ in range(4):
        await anyio.sleep(0.5)
        store.faults.late = 1
        with pytest.raises(UnknownOutcomeError):
            await first.step()
    now = anyio.current_time()
    assert first.limits.limit("acme", now) == LIMIT.after(now - sent_at)
    await first.step()
    assert first.limits.doubtful == []


async def test_a_late_renewal_is_recognised() -> None:
    """A renewal without an answer takes effect seconds later; the next conflicts."""
    store = MemoryRows()
    first = presence(store, "vm-1.a", {"acme": LIMIT})
    await first.step()
    store.faults.late = 1
    with pytest.raises(UnknownOutcomeError):
        await first.step()
    await store.faults.flush()
    await first.step()
    assert first.limits.doubtful == [] and first.limits.confirmed is not None
    assert first.limits.confirmed.number == first.limits.sent


async def test_a_router_may_use_tokens_as_soon_as_the_store_answers() -> None:
    """All VMs are back from a power cut, and each second without service is lost.

    The presence waited for its first turn before it wrote anything.
    """
    first = presence(MemoryRows(), "vm-1.a", {"acme": LIMIT})
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(first.run)
        with anyio.fail_after(0.01):
            await first.started.wait()
        tasks.cancel_scope.cancel()
    assert first.limits.limit("acme", anyio.current_time()) >= LIMIT.ceiling


async def test_a_request_shares_a_renewal_with_others() -> None:
    """Many requests are above their limits at once; one renewal serves them all."""
    store = MemoryRows()
    store.faults.answer_delay = 0.02
    first = presence(store, "vm-1.a", {"acme": LIMIT})
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(first.run)
        await first.started.wait()
        await anyio.sleep(0.1)
        before = first.limits.sent
        async with anyio.create_task_group() as asking:
            for _ in range(20):
                asking.start_soon(first.renew_now)
        assert first.limits.sent == before + 1
        tasks.cancel_scope.cancel()


async def test_a_lost_answer_is_known_before_requests_give_up() -> None:
    """The store loses one answer in three, and requests wait for a renewal.

    A renewal was waited for in vain for 0.6 s, and requests for 0.25 s: a hundred a
    second were refused with tokens at hand.
    """
    store = MemoryRows()
    first = presence(store, "vm-1.a", {"acme": LIMIT})
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(first.run)
        await first.started.wait()
        await anyio.sleep(1.0)
        before = first.limits.sent
        store.faults.pause()
        with anyio.fail_after(0.25):
            await first.renew_now()
            assert first.in_touch()
            store.faults.release()
            await first.renew_now()
        assert first.limits.confirmed is not None
        assert first.limits.confirmed.number > before
        tasks.cancel_scope.cancel()


async def test_a_slow_store_is_waited_for() -> None:
    """The store answers sixty times as slowly; each renewal would be given up."""
    store = MemoryRows()
    first = presence(store, "vm-1.a", {"acme": LIMIT})
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(first.run)
        await first.started.wait()
        store.faults.answer_delay = 0.48
        await anyio.sleep(6.0)
        assert first.in_touch()
        tasks.cancel_scope.cancel()


async def test_the_first_missed_renewal_is_logged_and_its_end(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """The store is away for a while, and on-call has only the logs.

    A line for each try would hide the others; none would hide why grants opened
    their reserve.
    """
    caplog.set_level("INFO")
    store = MemoryRows()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(presence(store, "vm-1.a").run)
        await anyio.sleep(2)
        store.faults.down = True
        await anyio.sleep(3)
        store.faults.down = False
        await anyio.sleep(1)
        tasks.cancel_scope.cancel()
    said = [record.message for record in caplog.records]
    assert said == ["presence not renewed", "presence renewed again"]
