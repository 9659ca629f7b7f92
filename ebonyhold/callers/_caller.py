"""Noticing that a caller has gone."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio

from ebonyhold._asgi import Request


async def until_gone(request: Request, work: Callable[[], Awaitable[None]]) -> bool:
    """Run `work`, and cancel it when the caller goes away first.

    Returns:
        Whether the caller has gone before `work` was done.

    Raises:
        Exception: Whatever `work` raises, never wrapped in a group.
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
