"""The router's parts run beside its requests; one that fails ends it in order."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

import anyio
from anyio.abc import TaskStatus
from attrs import define

logger = logging.getLogger(__name__)


@define
class Parts:
    """Runs the parts, and has the router stop when one of them fails.

    Left to the task group, an error would cancel everything beside it: requests
    under way would be cut without a word and the grants held until another router
    recovers them.  Whatever has failed, the others can still end in order.

    Attributes:
        stop: Asks for the router's stop.
        failure: The first error.
    """

    stop: anyio.Event
    failure: Exception | None = None

    @contextmanager
    def noting(self) -> Iterator[None]:
        """Note an error, and ask for the stop."""
        try:
            yield
        except Exception as error:
            logger.exception("a part has failed; the router stops")
            self.failure = self.failure or error
            self.stop.set()

    async def run(self, part: Callable[[], Awaitable[None]]) -> None:
        """Run one part."""
        with self.noting():
            await part()

    async def start(
        self,
        part: Callable[..., Awaitable[None]],
        *,
        task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run one part that says when it has started."""
        with self.noting():
            await part(task_status=task_status)
