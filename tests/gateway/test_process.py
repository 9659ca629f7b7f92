"""Faults that end a gateway's process, and faults that do not."""

from __future__ import annotations

import os
import signal
import socket
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import anyio
import pytest

from ebonyhold.coordination import Put, Transaction
from ebonyhold.gateway import (
    EXIT_FAULT,
    EXIT_OK,
    EXIT_PORT,
    Gateway,
    GatewaySettings,
    PlatformAdapter,
    _gateway,
)
from ebonyhold.misc import free_port
from ebonyhold.platform import PlatformDialect, read_backend, read_configuration
from ebonyhold.prepaid import GrantManager, WorkspaceGrant
from ebonyhold.standins import MemoryRows
from tests.platform.test_documents import CONFIGURATION

pytestmark = pytest.mark.anyio

HOST = "127.0.0.1"
GRACE = 4.0
"""Seconds from the signal to the kill; the stop takes about 3 s of it."""


@pytest.fixture
def anyio_backend() -> str:
    """Use asyncio: sockets have no virtual clock."""
    return "asyncio"


@pytest.fixture(autouse=True)
def metrics_port(monkeypatch: pytest.MonkeyPatch) -> int:
    """Serve metrics at a free port, since the usual one may be in use here."""
    port = free_port()
    monkeypatch.setattr(_gateway, "METRICS_PORT", port)
    return port


def gateway() -> Gateway:
    """Return a gateway with a store in memory."""
    settings = GatewaySettings(
        "vm-1",
        "a",
        (HOST, free_port()),
        (HOST, free_port()),
        HOST,
        (HOST, 1),
        grace=GRACE,
    )
    peers = PlatformAdapter(
        settings=settings,
        dialect=PlatformDialect(),
        store=MemoryRows(),
        rules_table="op",
        rules_key="config",
        servers_table="servers",
        read_rules=read_configuration,
        read_backend=read_backend,
    )
    return Gateway(peers, anyio.current_time())


@contextmanager
def port_in_use(address: tuple[str, int]) -> Iterator[None]:
    """Listen at an address, so that no other listener can."""
    with socket.create_server(address):
        yield


def failures(caplog: pytest.LogCaptureFixture) -> list[tuple[Any, Any]]:
    """Return the failed tasks and their errors."""
    lines = [r.__dict__ for r in caplog.records if r.message == "task failed"]
    return [(line["task"], line["error"]) for line in lines]


@pytest.mark.parametrize("which", ["callers", "readiness"])
async def test_used_port_ends_process_with_code(
    which: str, caplog: pytest.LogCaptureFixture
) -> None:
    """A port that is in use ends the process; the log line has a code for the cause."""
    tested = gateway()
    with port_in_use(getattr(tested.platform.settings, which)):
        assert await tested.run() == EXIT_PORT
    assert failures(caplog) == [(which, "address_unusable")]


async def test_used_metrics_port_ends_nothing(
    caplog: pytest.LogCaptureFixture, metrics_port: int
) -> None:
    """Two processes on one host may use the same metrics port.

    The second one serves callers and readiness checks without metrics.
    """
    tested = gateway()
    ended: list[int] = []

    async def run() -> None:
        ended.append(await tested.run())

    with port_in_use((HOST, metrics_port)):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run)
            await anyio.sleep(0.5)
            assert ended == []
            async with await anyio.connect_tcp(
                *tested.platform.settings.readiness
            ) as asking:
                await asking.send(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
                assert (await asking.receive()).startswith(b"HTTP/1.1 503 ")
            os.kill(os.getpid(), signal.SIGTERM)
    assert ended == [EXIT_OK]
    assert failures(caplog) == [("metrics", "address_unusable")]


async def test_failed_grants_task_stops_process_in_order(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The grants task fails with an error that does not come from the store.

    Its state may be inconsistent then, so the process must stop, but without cutting
    requests.
    """

    def broken(self: GrantManager) -> None:
        raise KeyError("acme")

    monkeypatch.setattr(GrantManager, "open_grants_ahead", broken)
    caplog.set_level("INFO")
    tested = gateway()
    assert await tested.run() == EXIT_FAULT
    assert failures(caplog) == [("treasury", "KeyError")]
    assert [r for r in caplog.records if r.message == "requests ended"]


async def test_failing_return_of_grants_cuts_no_request(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A grant's update always fails, also when the grant is returned at the stop.

    If the error ended the stop, all open requests would be cut.
    """

    async def broken(self: WorkspaceGrant) -> None:
        raise KeyError(self.workspace)

    monkeypatch.setattr(WorkspaceGrant, "reconcile", broken)
    caplog.set_level("INFO")
    tested = gateway()
    store = tested.platform.store
    assert isinstance(store, MemoryRows)
    store.history.apply(Transaction((), (Put("op//config", CONFIGURATION),)))
    assert await tested.run() == EXIT_FAULT
    assert failures(caplog)[0] == ("treasury", "KeyError")
    assert {task for task, _ in failures(caplog)} == {"treasury", "return"}
    assert [r for r in caplog.records if r.message == "listener closed"]
