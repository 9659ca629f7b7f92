"""Observations cross gateways by the store, and without it by messages."""

from __future__ import annotations

import time

import anyio
import pytest

from ebonyhold.coordination import (
    CrashRecords,
    Put,
    RequestLoss,
    ServerRun,
    Transaction,
    from_json,
)
from ebonyhold.coordination._server_limits import END_DELAY
from ebonyhold.forwarding import Backend, BackendState, BackendTable
from ebonyhold.gateway import GatewayPeers, Observations, ObservationsRow, Watcher
from ebonyhold.standins import Faults, MemoryRows, RowHistory
from tests.virtual import anyio_backend

pytestmark = pytest.mark.anyio
__all__ = ["anyio_backend"]

CONTACT_TIME = 3.0
"""Seconds within which the platform expects routers to learn from each other."""

LARGE_FLEET = 330

SERVER = Backend("s", "svc", ("host", 1), "a", 4, BackendState.READY, 1)


class RecordingPeers(GatewayPeers):
    """Gateways that merge each message at once."""

    def __init__(self, *others: Observations) -> None:
        super().__init__(lambda: {other.name: "host:1" for other in others})
        self.others = {other.name: other for other in others}

    async def post(self, peer, target, request, answer_type, timeout, avoids=True):  # type: ignore[no-untyped-def]
        """Deliver a message."""
        self.others[peer].merge(request)


def observations(
    store: MemoryRows, name: str, *others: Observations, fleet: int = 3
) -> Observations:
    """Return the observations of one gateway, which knows some others."""
    return Observations(
        store,
        name,
        CrashRecords(),
        BackendTable(),
        lambda: fleet,
        lambda: not store.faults.down,
        RecordingPeers(*others),
    )


def watcher(gateway: Observations) -> Watcher:
    """Return the watcher of a gateway."""
    return Watcher(
        gateway.store,
        "observations",
        gateway.merge_rows,
        gateway.merge_rows,
        gateway.count_routers,
        3.0,
    )


def lose(gateway: Observations, server: str, depth: int) -> None:
    """Record at a gateway that a server crashed with the request ``x``."""
    run = ServerRun(server, 1)
    gateway.crashes.add(RequestLoss("x", run, depth, time.time()))


@pytest.mark.parametrize("fleet", [3, LARGE_FLEET])
async def test_all_gateways_reject_a_request_in_time(fleet: int) -> None:
    """What several gateways saw of a request must be known to all within the bound."""
    history = RowHistory()
    gateways = [
        observations(MemoryRows(history), f"vm-{n}", fleet=fleet) for n in range(4)
    ]
    async with anyio.create_task_group() as tasks:
        for gateway in gateways:
            tasks.start_soon(watcher(gateway).run)
            tasks.start_soon(gateway.run)
        await anyio.sleep(5)
        for depth, server in enumerate("abc", start=1):
            lose(gateways[depth], server, depth)
        await anyio.sleep(CONTACT_TIME)
        assert all(gateway.crashes.rejected == {"x"} for gateway in gateways)
        tasks.cancel_scope.cancel()


async def test_gateway_that_starts_later_rejects_too() -> None:
    """A gateway that starts, and the next process of one, must know what was known."""
    history = RowHistory()
    first = observations(MemoryRows(history), "vm-0")
    for depth, server in enumerate("abc", start=1):
        lose(first, server, depth)
    await first.publish()
    for name in ("vm-0", "vm-1"):
        later = observations(MemoryRows(history), name)
        await watcher(later).step()
        assert later.crashes.rejected == {"x"}
        await later.publish()
    row = from_json(history.rows["observations//vm-0"].value, ObservationsRow)
    assert len(row.crashes.losses) == 3


async def test_observations_reach_others_while_the_store_is_away() -> None:
    """Gateways that are cut off from the store must still learn from each other."""
    store = MemoryRows(faults=Faults(down=True))
    other = observations(store, "vm-1")
    gateway = observations(store, "vm-0", other)
    for depth, server in enumerate("abc", start=1):
        lose(gateway, server, depth)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(gateway.run)
        await anyio.sleep(CONTACT_TIME)
        assert other.crashes.rejected == {"x"}
        store.faults.down = False
        await anyio.sleep(CONTACT_TIME)
        tasks.cancel_scope.cancel()
    assert "observations//vm-0" in store.history.rows


async def test_the_end_of_a_limit_reaches_others() -> None:
    """Routers that send nothing to a server must not keep to a limit that has ended."""
    history = RowHistory()
    gateways = [observations(MemoryRows(history), f"vm-{n}") for n in range(2)]
    for gateway in gateways:
        gateway.backends.update(SERVER)
        entry = gateway.backends.entries[SERVER.name]
        gateway.backends.set_limit(entry, 2.0, 0.0)
    async with anyio.create_task_group() as tasks:
        for gateway in gateways:
            tasks.start_soon(watcher(gateway).run)
            tasks.start_soon(gateway.run)
        await anyio.sleep(1)
        first = gateways[0].backends
        first.set_limit(first.entries[SERVER.name], None, 0.0)
        run = first.entries[SERVER.name].run
        first.ended_limits.ended[run] += -END_DELAY
        gateways[1].backends.entries[SERVER.name].limit.heard_at -= 60.0  # type: ignore[union-attr]
        await anyio.sleep(CONTACT_TIME)
        tasks.cancel_scope.cancel()
    assert gateways[1].backends.entries[SERVER.name].limit is None


async def test_nothing_is_written_for_requests_that_a_retry_served() -> None:
    """A crash whose requests were all served elsewhere must not cost a write."""
    store = MemoryRows()
    gateway = observations(store, "vm-0")
    lose(gateway, "a", 1)
    gateway.crashes.retract("x", time.time())
    await gateway.publish()
    assert store.history.rows == {}


@pytest.mark.parametrize(
    "value", [[], {"crashes": 5}, {"crashes": {"losses": [{"request": 1}]}}]
)
async def test_damaged_row_is_ignored(value: object) -> None:
    """A row that cannot be read must not stop the watcher."""
    store = MemoryRows()
    put = Put("observations//vm-9", value)  # type: ignore[arg-type]
    store.history.apply(Transaction((), (put,)))
    gateway = observations(store, "vm-0")
    await watcher(gateway).step()
    assert gateway.crashes.losses == {}


def lose_part(gateway: Observations, server: str) -> None:
    """Record at a gateway that a server crashed with a part of a new request."""
    run, now = ServerRun(server, 1), time.time()
    gateway.parts.add(RequestLoss("part", run, 2, now, holder=f"request at {server}"))


@pytest.mark.parametrize("down", [False, True])
@pytest.mark.parametrize("fleet", [3, LARGE_FLEET])
async def test_all_gateways_reject_a_part_in_time(fleet: int, down: bool) -> None:
    """Guards against a part of prompts that each gateway has to find for itself."""
    history, gateways = RowHistory(), list[Observations]()
    for number in range(4):
        store = MemoryRows(history, Faults(down=down))
        name = f"vm-{number}"
        gateways.append(observations(store, name, *gateways, fleet=fleet))
    for gateway in gateways:
        others = [other for other in gateways if other is not gateway]
        gateway.peers = RecordingPeers(*others)
    async with anyio.create_task_group() as tasks:
        for gateway in gateways:
            tasks.start_soon(watcher(gateway).run)
            tasks.start_soon(gateway.run)
        await anyio.sleep(5)
        for number, server in enumerate("abcd"):
            lose_part(gateways[number], server)
        await anyio.sleep(CONTACT_TIME)
        tasks.cancel_scope.cancel()
    assert [gateway.parts.rejected for gateway in gateways] == [{"part"}] * 4
    # Older versions read the losses of requests only.
    assert all(not gateway.crashes.losses for gateway in gateways)
