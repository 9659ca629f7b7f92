"""Where tasks run, and what stands between one that fails and all others."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Protocol, TypeAlias, TypeVarTuple

Args = TypeVarTuple("Args")


class TaskStarter(Protocol):
    """Starts tasks: a task group, or what keeps one task's failure from the others."""

    def start_soon(
        self,
        func: Callable[[*Args], Coroutine[Any, Any, Any]],
        *args: *Args,
        name: object = None,
    ) -> object:
        """Start a task."""
        ...


Run: TypeAlias = Callable[[], Awaitable[None]]
"""Something to run once."""

Guard: TypeAlias = Callable[[Run], Awaitable[bool]]
"""Runs something, and tells whether it ended without a failure."""


async def unguarded(run: Run) -> bool:
    """Run something whose failure is for the caller."""
    await run()
    return True
