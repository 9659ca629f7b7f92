"""Signals that come when a gateway has only begun, or has all but ended."""

from __future__ import annotations

import signal
import time
from pathlib import Path

import anyio
import pytest

from tests.platform.test_late_requests import one_gateway, wait_until_served

pytestmark = pytest.mark.anyio

POLL_INTERVAL: float = 0.0005
"""Seconds between two looks at the log: the interpreter ends within some 50 ms."""


@pytest.fixture
def anyio_backend() -> str:
    """Run on asyncio, as the gateways do."""
    return "asyncio"


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM, signal.SIGINT])
async def test_a_signal_after_the_stop_changes_nothing(
    tmp_path: Path, number: signal.Signals
) -> None:
    """An operator sees a stop end with the status of a process that a signal killed.

    Settings change, or the stop is asked for again, while the interpreter of a gateway
    that has stopped in order is ending.  Cause: the event loop had taken its handlers
    with it.  Evidence: four of four such signals after the line `stopped` ended the
    process with their number.
    """
    async with one_gateway(tmp_path) as soak:
        await wait_until_served(soak)
        gateway = soak.gateways[0]
        gateway.send(signal.SIGTERM)
        with anyio.fail_after(10.0):
            await anyio.to_thread.run_sync(wait_for_line, gateway.log, "stopped")
        gateway.send(number)
        assert gateway.process is not None
        code = await anyio.to_thread.run_sync(gateway.process.wait)
    assert code == 0


STARTS = 4
"""Starts that are played; the moment is a few ms long."""


async def test_a_signal_after_the_first_line_leads_to_a_stop(tmp_path: Path) -> None:
    """An operator sees a process that has begun end with the status of a signal.

    The signal comes between the first line of a start and the handlers of its event
    loop.  It showed once in three plays of stops during starts.
    """
    codes = []
    async with one_gateway(tmp_path) as soak:
        gateway = soak.gateways[0]
        for _ in range(STARTS):
            assert gateway.process is not None
            await anyio.to_thread.run_sync(wait_for_line, gateway.log, "starting")
            gateway.send(signal.SIGTERM)
            codes.append(await anyio.to_thread.run_sync(gateway.process.wait))
            gateway.log.write_text("")
            soak.start(gateway)
    assert codes == [0] * STARTS


def wait_for_line(log: Path, message: str) -> None:
    """Wait for a line of a gateway."""
    while not log.exists() or f'"{message}"' not in log.read_text():
        time.sleep(POLL_INTERVAL)
