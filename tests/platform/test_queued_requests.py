"""Requests behind a stream on their connection, when a planned stop cuts the stream."""

from __future__ import annotations

import signal
from collections.abc import Sequence
from pathlib import Path

import anyio
import pytest

from tests.platform.kit import (
    Connection,
    Fault,
    Length,
    RequestRecord,
    Style,
    connect,
    read_runs,
)
from tests.platform.soak._run import SoakRun
from tests.platform.test_late_requests import (
    EVENT_PAUSE,
    LONGER_THAN_GRACE,
    UNLIMITED,
    anyio_backend,
    one_gateway,
    wait_until_served,
)

pytestmark = pytest.mark.anyio
__all__ = ["anyio_backend"]

ENDLESS = Length(200, 0.06)
"""A stream of 12 s, longer than the grace of 8 s."""

SHORT = Length(0, EVENT_PAUSE)


def request(name: str, length: Length) -> RequestRecord:
    """Return a request without a price."""
    return RequestRecord(name, 0, Style.PIPELINED, length, UNLIMITED, 0)


async def stop_after(soak: SoakRun, seconds: float) -> None:
    """Send SIGTERM to the gateway after some seconds."""
    await anyio.sleep(seconds)
    soak.gateways[0].send(signal.SIGTERM)


async def send_after(
    connection: Connection, behind: RequestRecord, seconds: float
) -> None:
    """Send a request on an open connection after some seconds."""
    await anyio.sleep(seconds)
    await connection.send_request(behind)


async def send_as_one(
    connection: Connection, requests: Sequence[RequestRecord]
) -> None:
    """Send requests without a pause between them."""
    await connection.send(b"".join(one.head(b"") for one in requests))
    for one in requests:
        connection.record_sent(one)


@pytest.mark.parametrize(
    ("sent_at", "behind_by", "length", "answered"),
    [
        (-0.5, 0.0, ENDLESS, False),
        (-0.5, 0.3, ENDLESS, False),
        (-0.5, 3.0, ENDLESS, False),
        (1.0, 0.0, ENDLESS, True),
        (1.0, 0.01, ENDLESS, False),
        (1.0, 1.0, ENDLESS, False),
        (-0.5, 0.3, Length(50, 0.06), True),
        (-0.5, 2.0, Length(60, 0.06), True),
    ],
    ids=[
        "cut together before",
        "cut before",
        "cut while stopping",
        "together",
        "cut before the head",
        "cut late",
        "ends before",
        "ends while stopping",
    ],
)
async def test_request_behind_a_stream_that_a_stop_cuts_is_not_read(
    tmp_path: Path, sent_at: float, behind_by: float, length: Length, answered: bool
) -> None:
    """Guards against reading a request that gets no answer as the one before is cut."""
    stream, behind = request("stream", length), request("behind", SHORT)
    async with one_gateway(tmp_path, **LONGER_THAN_GRACE) as soak:
        await wait_until_served(soak)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(stop_after, soak, max(0.0, -sent_at))
            await anyio.sleep(max(0.0, sent_at))
            connection = await connect(soak.gateways[0], stream)
            assert connection is not None
            async with connection.stream:
                if behind_by:
                    await connection.send_request(stream)
                    tasks.start_soon(send_after, connection, behind, behind_by)
                else:
                    await send_as_one(connection, [stream, behind])
                await connection.read(stream)
                await connection.read(behind)
        runs = read_runs(await soak.engine_records())
    if answered:
        assert [stream.whole, behind.whole] == [True, True]
    else:
        assert (behind.fault, "behind" in runs) == (Fault.RESET, False)
