"""Decides until when a request must have an answer.

The load handled here is more requests than the processor of a router can handle in
time, so that its event loop is late. Its timers are, too: an answer that is due at a
deadline leaves the router some turns of the event loop later.
"""

from __future__ import annotations

from ebonyhold.types import Seconds

TURNS = 4.0
"""Turns of the event loop in which a request is read, cancelled and answered."""

MAX_ALLOWANCE = 0.25
"""The largest part of its time that a request loses to a late event loop."""


def answer_deadline(
    arrived_at: Seconds, time_limit: Seconds, loop_delay: Seconds
) -> Seconds:
    """Return when a request is given up so that its caller knows within the limit.

    Args:
        arrived_at: When it arrived.
        time_limit: How long its caller is to be kept waiting.
        loop_delay: The mean delay of the event loop.

    >>> [answer_deadline(10.0, 2.0, delay) for delay in (0.0, 0.05, 0.125, 0.5)]
    [12.0, 11.8, 11.5, 11.5]
    """
    allowance = min(TURNS * loop_delay, MAX_ALLOWANCE * time_limit)
    return arrived_at + time_limit - allowance
