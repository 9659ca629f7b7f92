"""Tells a silence of a peer from a pause of this process.

When a process that was paused runs on, its timeouts have passed, although what its
peers have sent meanwhile only has to be read.
"""

from __future__ import annotations

import anyio

from ebonyhold.types import Seconds

MIN_PAUSE: Seconds = 0.05
"""Delay of a timeout from which this process counts as paused."""

READ_TIME: Seconds = 0.05
"""Time after a pause in which what has arrived meanwhile is read."""

STEPS = 5
"""Number of steps in which `cancel_after_running` sleeps."""


def was_paused(scope: anyio.CancelScope) -> bool:
    """Return whether a scope was cancelled late, as this process did not run."""
    late = anyio.current_time() - scope.deadline
    return scope.cancelled_caught and late >= MIN_PAUSE


async def cancel_after_running(scope: anyio.CancelScope, duration: Seconds) -> None:
    """Cancel a scope once this process has run for a time.

    A pause counts for two steps at most, wherever in the time it falls; `was_paused`
    sees only those that last well beyond the end.

    Args:
        scope: The scope.
        duration: The time.
    """
    step = duration / STEPS
    left = duration
    while left > 0:
        began_at = anyio.current_time()
        await anyio.sleep(min(step, left))
        left -= min(anyio.current_time() - began_at, 2 * step)
    scope.cancel()
