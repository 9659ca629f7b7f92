"""Waits for a backend server, and notices when it has been silent for too long."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio
from attrs import define

from ebonyhold.exceptions import BackendLostError
from ebonyhold.forwarding._exchange import Exchange
from ebonyhold.forwarding._flow_control import RESUME_GAPS
from ebonyhold.forwarding._types import RouteKind
from ebonyhold.types import Seconds

T = TypeVar("T")

SAFE_TIMEOUT: Seconds = 0.3
"""Minimum silence after which a safe request is also sent to another server."""

STREAM_TIMEOUT: Seconds = 1.2
"""Minimum silence after which a stream is also resumed at another server.

Callers give up a stream after two seconds without an event. A busy but healthy server
sends events at intervals of less than half of this time.
"""

TIMEOUT_TARGETS = 3.0
"""The same as a multiple of the route's target latency.

SAFE_TIMEOUT or STREAM_TIMEOUT applies instead if it is longer.
"""

MAX_CHECK: Seconds = 0.5
"""Longest time between two looks at the server that counts as its silence.

The time in which this process was frozen, and read nothing, must not count.
"""

COMMON_FACTOR = 5 / 4
"""The limit for a silence that most servers share, as a multiple of the minimum.

Most of them are likely to return before. The few that send could not take the streams
of all. The usual limit applies if it is longer, since it leaves callers of such routes
no time for more.
"""

RECHECK_INTERVAL: Seconds = 0.1
"""Time after which another server is looked for again while one is silent."""


class SilenceError(BackendLostError):
    """A backend server has sent nothing for too long; its connection is still open."""

    code = "backend_silent"


@define(eq=False)
class SilenceWatch:
    """Watches the server of one attempt.

    Attributes:
        exchange: The request.
        max_gap: The longest pause that is on time, once the server has sent an event;
            None if it is unused.
        waiting_since: When the wait for the server began that is under way.
        is_silent: Whether the server has been silent for too long, and still is.
        is_hedged: Whether another attempt is under way. Then there is no limit.
        scope: Cancel scope of the wait.
    """

    exchange: Exchange
    max_gap: Seconds | None = None
    waiting_since: Seconds = 0.0
    is_silent: bool = False
    is_hedged: bool = False
    scope: anyio.CancelScope | None = None

    async def read(self, read: Callable[[], Awaitable[T]], error: str) -> T:
        """Return what a server sends next.

        Args:
            read: Reads it. It may be cancelled while it waits, and called again.
            error: The text of the error.

        Raises:
            SilenceError: The server was silent for too long. Unless it is read again,
                nothing of its answer is lost.
        """
        if not self.is_silent:
            self.waiting_since = anyio.current_time()
        waited = 0.0
        while (limit := self.limit()) is None or waited < limit:
            longest = math.inf if limit is None else min(MAX_CHECK, limit - waited)
            began = anyio.current_time()
            with anyio.move_on_after(longest) as self.scope:
                return await read()
            waited += min(anyio.current_time() - began, longest)
        self.is_silent = True
        raise SilenceError(error)

    def limit(self) -> Seconds | None:
        """Return for how long the server may be silent from now; None for no limit."""
        timeout = answer_timeout(self.exchange, self.max_gap)
        if self.is_hedged or timeout is None:
            return None
        return RECHECK_INTERVAL if self.is_silent else timeout

    @property
    def is_very_long(self) -> bool:
        """Whether the silence is too long even for one that most servers share."""
        timeout = answer_timeout(self.exchange, self.max_gap)
        silence = anyio.current_time() - self.waiting_since
        shortest = COMMON_FACTOR * minimum_timeout(self.exchange)
        return timeout is not None and silence >= max(timeout, shortest)

    def end_hedge(self) -> None:
        """Apply the limit again, as no other attempt is under way any more."""
        self.is_hedged = False
        if self.scope is not None:
            self.scope.cancel()


def answer_timeout(
    exchange: Exchange, max_gap: Seconds | None = None
) -> Seconds | None:
    """Return the timeout for the next data from a server, or None for no timeout.

    Between two events it depends on the longest pause that is on time, if it is known.

    A request that cannot be sent to another server has no timeout: it waits for this
    server's answer until its deadline.
    """
    route = exchange.match.route
    if not (route.idempotent and exchange.attempts_left):
        return None
    minimum = minimum_timeout(exchange)
    if max_gap is not None:
        return max(minimum, RESUME_GAPS * max_gap)
    return max(minimum, TIMEOUT_TARGETS * route.target)


def minimum_timeout(exchange: Exchange) -> Seconds:
    """Return the minimum silence after which another server is asked."""
    safe = exchange.match.route.kind is RouteKind.SAFE
    return SAFE_TIMEOUT if safe else STREAM_TIMEOUT
