"""Signals to a gateway that has just started or is about to exit."""

from __future__ import annotations

import signal
import time
from pathlib import Path

import anyio
import pytest

from tests.platform.fleet import running_gateways, wait_until_ready
from tests.platform.kit import LISTENER_MARGIN, configuration
from tests.platform.test_late_requests import one_gateway, wait_until_served

pytestmark = pytest.mark.anyio

POLL_INTERVAL: float = 0.0005
"""Seconds between two reads of the log; short, as the process exits within some
milliseconds of the last line.
"""


@pytest.fixture
def anyio_backend() -> str:
    """Run on asyncio, as the gateways do."""
    return "asyncio"


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM, signal.SIGINT])
async def test_signal_after_the_stop_is_ignored(
    tmp_path: Path, number: signal.Signals
) -> None:
    """A signal after an orderly stop must not change the exit code.

    A reload or a second stop may come while the process exits, after the log line
    `stopped`.  The event loop has removed its signal handlers by then, so the default
    action of the signal would kill the process.
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


async def test_process_ends_as_soon_as_its_listener_is_closed(tmp_path: Path) -> None:
    """Guards against callers that find no listener while the interpreter ends."""
    program = "tests.platform.slow_exit_gateway"
    rules = configuration()
    async with running_gateways(tmp_path, 1, rules, program=program) as soak:
        await wait_until_ready(soak)
        gateway = soak.gateways[0]
        gateway.send(signal.SIGTERM)
        await anyio.to_thread.run_sync(wait_for_line, gateway.log, "listener closed")
        closed_at = time.monotonic()
        assert gateway.process is not None
        code = await anyio.to_thread.run_sync(gateway.process.wait)
        took = time.monotonic() - closed_at
    assert code == 0
    assert took < LISTENER_MARGIN


STARTS = 4
"""Number of starts to test: the time without signal handlers could be only a few ms, so
one start might miss it.
"""


async def test_signal_after_the_first_log_line_stops_in_order(tmp_path: Path) -> None:
    """A SIGTERM after the first log line must lead to an orderly stop.

    If the line is logged before the signal handlers are installed, a SIGTERM between
    the two kills the process.
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
    """Wait until a gateway's log has a line with a message."""
    while not log.exists() or f'"{message}"' not in log.read_text():
        time.sleep(POLL_INTERVAL)
