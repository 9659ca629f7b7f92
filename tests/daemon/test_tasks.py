"""A part that fails ends the router in order."""

from __future__ import annotations

import logging

import anyio
import pytest

from ebonyhold.daemon._tasks import BackgroundTasks
from tests.virtual import anyio_backend

__all__ = ["anyio_backend"]

pytestmark = pytest.mark.anyio


async def fail() -> None:
    raise RuntimeError("a fault")


async def fail_later() -> None:
    await anyio.sleep(1.0)
    raise ValueError("another fault")


async def test_a_part_that_fails_asks_for_the_stop(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """One part fails, and every caller's answer is cut in the middle.

    Its error cancelled the listeners beside it.  Evidence: a stream that was under
    way ended without its end, and the grants stayed held.  Now the others run on
    until the stop has come to them, and the first error is the one that is kept.
    """
    parts = BackgroundTasks(anyio.Event())
    with caplog.at_level(logging.ERROR):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(parts.run, fail_later)
            tasks.start_soon(parts.run, fail)
            with anyio.fail_after(0.5):
                await parts.stop.wait()
            await anyio.sleep(2.0)
    assert isinstance(parts.failure, RuntimeError)
    assert "a fault" in caplog.text
    assert "another fault" in caplog.text


async def test_a_part_that_is_cancelled_has_not_failed() -> None:
    parts = BackgroundTasks(anyio.Event())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(parts.run, anyio.sleep_forever)
        await anyio.wait_all_tasks_blocked()
        tasks.cancel_scope.cancel()
    assert parts.failure is None
    assert not parts.stop.is_set()
