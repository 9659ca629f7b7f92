"""Cancels work when the caller closes its connection."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio

from ebonyhold._asgi import Request


async def run_until_disconnect(
    request: Request, work: Callable[[], Awaitable[None]]
) -> bool:
    """Run `work`, and cancel it if the caller closes the connection first.

    Returns:
        Whether the caller disconnected before `work` was done.

    Raises:
        Exception: An exception of `work`, not wrapped in an exception group.
    """
    gone = False
    done = False
    failure: Exception | None = None

    async with anyio.create_task_group() as group:

        async def watch() -> None:
            nonlocal gone
            await request.wait_disconnect()
            gone = True
            group.cancel_scope.cancel()

        group.start_soon(watch)
        try:
            await work()
            done = True
        except Exception as error:
            failure = error
        group.cancel_scope.cancel()
    if failure is not None:
        raise failure
    return gone and not done
