"""Types for starting tasks and for isolating the failure of one from the others."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Protocol, TypeAlias, TypeVarTuple

Args = TypeVarTuple("Args")


class TaskStarter(Protocol):
    """Starts tasks: a task group, or a wrapper that isolates their failures."""

    def start_soon(
        self,
        func: Callable[[*Args], Coroutine[Any, Any, Any]],
        *args: *Args,
        name: object = None,
    ) -> object:
        """Start a task that runs the function with these arguments."""
        ...


Run: TypeAlias = Callable[[], Awaitable[None]]
"""A function to run once."""

Guard: TypeAlias = Callable[[Run], Awaitable[bool]]
"""Runs a function, and returns whether it ended without a failure."""


async def unguarded(run: Run) -> bool:
    """Run a function and return True; its exceptions go to the caller."""
    await run()
    return True
