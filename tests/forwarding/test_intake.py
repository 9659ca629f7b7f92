"""What is taken of a connection, on a virtual clock."""

from __future__ import annotations

from typing import cast

import anyio
import pytest
from anyio.abc import ByteStream

from ebonyhold.forwarding._inbox import Inbox
from ebonyhold.forwarding._intake import (
    EVENTS_AT_ONCE,
    MAX_BUSY,
    MAX_TAKE,
    Intake,
    new_turns,
)
from tests.forwarding.kit import chunk
from tests.virtual import anyio_backend

pytestmark = pytest.mark.anyio

__all__ = ["anyio_backend"]

STREAMS = [
    # size of a chunk, chunks per second, whether a minute of it is given up
    (1, 500, False),
    (1, 5_000, True),
    (4, 3_000, False),
    (4, 20_000, True),
    (8, 20_000, False),
]


@pytest.mark.parametrize(("size", "rate", "exceeds"), STREAMS)
async def test_slow_answers_may_have_small_parts(
    size: int, rate: int, exceeds: bool
) -> None:
    """Guards against streams that are given up for small chunks, however slow."""
    intake = Intake(Inbox(cast("ByteStream", None)))
    intake.count_head()
    exceeded = False
    for _ in range(600):
        await anyio.sleep(0.1)
        count = rate // 10
        intake.inbox.waiting += chunk(b"x" * size) * count
        content = size * count
        while intake.inbox.waiting and not exceeded:
            share = min(1.0, MAX_TAKE / len(intake.inbox.waiting))
            await intake.take()
            exceeded |= intake.excess > 0
            intake.count_content(round(content * share))
            content -= round(content * share)
    assert exceeded is exceeds


async def test_other_tasks_run_while_much_is_buffered() -> None:
    """Guards against a connection whose bytes nothing else can run beside."""
    intake = Intake(Inbox(cast("ByteStream", None)))
    turns, rounds = 0, 100

    async def count_turns() -> None:
        nonlocal turns
        while True:
            turns += 1
            await anyio.lowlevel.checkpoint()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(count_turns)
        for _ in range(rounds * EVENTS_AT_ONCE + 1):
            await intake.yield_often()
            intake.events += 1
        tasks.cancel_scope.cancel()
    # The scheduler runs the two in any order within a round, also in the last one.
    assert turns >= rounds - 1


@pytest.mark.parametrize("connections", [1, MAX_BUSY, 10 * MAX_BUSY])
async def test_many_connections_delay_other_tasks_as_few_do(connections: int) -> None:
    """Guards against callers that wait while many connections are read in turn."""
    shared, events, most = new_turns(), 0, 0

    async def read(intake: Intake) -> None:
        nonlocal events
        for _ in range(10 * EVENTS_AT_ONCE):
            await intake.yield_often()
            intake.events += 1
            events += 1

    async def measure() -> None:
        nonlocal most
        while True:
            before = events
            await anyio.lowlevel.checkpoint()
            most = max(most, events - before)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(measure)
        async with anyio.create_task_group() as readers:
            for _ in range(connections):
                intake = Intake(Inbox(cast("ByteStream", None)), turns=shared)
                # Its first events are free, as those of a caller that sends few.
                intake.events = EVENTS_AT_ONCE
                readers.start_soon(read, intake)
        tasks.cancel_scope.cancel()
    assert most <= 2 * MAX_BUSY * EVENTS_AT_ONCE
