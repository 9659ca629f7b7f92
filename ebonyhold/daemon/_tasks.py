"""Background tasks of the router; a task that fails causes an orderly stop."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

import anyio
from anyio.abc import TaskStatus
from attrs import define

logger = logging.getLogger(__name__)


@define
class BackgroundTasks:
    """Runs background tasks, and requests the router's stop when one of them fails.

    An error that reaches the task group would cancel all other tasks: requests in
    progress would be cut without an error event, and the grants would stay held until
    another router recovers them. Here the other tasks run on until the stop ends them.

    Attributes:
        stop: The event that requests the router's stop.
        failure: The first error of a task; None if there was none.
    """

    stop: anyio.Event
    failure: Exception | None = None

    @contextmanager
    def stop_on_error(self) -> Iterator[None]:
        """Log an error of the block, keep the first one, and request the stop."""
        try:
            yield
        except Exception as error:
            logger.exception("a part has failed; the router stops")
            self.failure = self.failure or error
            self.stop.set()

    async def run(self, task: Callable[[], Awaitable[None]]) -> None:
        """Run one task; an error requests the stop instead of being raised."""
        with self.stop_on_error():
            await task()

    async def start(
        self,
        task: Callable[..., Awaitable[None]],
        *,
        task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run one task as `run` does, and report its start through `task_status`.

        Args:
            task: The task, which calls ``task_status.started()``.
            task_status: Passed to the task.
        """
        with self.stop_on_error():
            await task(task_status=task_status)
