"""A background task that fails causes an orderly stop of the router."""

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


async def test_failed_task_requests_the_stop(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a failed task that cancels the listeners and so cuts answers.

    The other tasks run on, the stop is requested, and the first error is kept.
    """
    background = BackgroundTasks(anyio.Event())
    with caplog.at_level(logging.ERROR):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(background.run, fail_later)
            tasks.start_soon(background.run, fail)
            with anyio.fail_after(0.5):
                await background.stop.wait()
            await anyio.sleep(2.0)
    assert isinstance(background.failure, RuntimeError)
    assert "a fault" in caplog.text
    assert "another fault" in caplog.text


async def test_cancelled_task_has_not_failed() -> None:
    background = BackgroundTasks(anyio.Event())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(background.run, anyio.sleep_forever)
        await anyio.wait_all_tasks_blocked()
        tasks.cancel_scope.cancel()
    assert background.failure is None
    assert not background.stop.is_set()
