"""Bounds what a router buffers for slow peers, and recognises pauses of streams.

The load handled here is peers that read or send more slowly than the other side. See
docs/design/flow-control.md.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Hashable, Iterator
from contextlib import contextmanager
from enum import Enum
from typing import Generic, TypeVar

from attrs import define, field

from ebonyhold.forwarding._types import Route, ServiceName
from ebonyhold.types import BackendName, Seconds

MEMORY_SHARE = 0.1
"""Share of the process's memory for all answers, and as much for unfinished bodies."""

MAX_HELD = 32_768
"""Bytes that are held of one answer before reading from its server pauses.

The parser and the write to the caller hold copies, so the process holds up to twice as
much.
"""

MIN_READ = 4_096
"""Bytes that an answer of which nothing is held may always read, so that it goes on."""

SOCKET_BUFFER = 65_536
"""Size asked for the buffers of sockets, in bytes.

At 10 ms to the farthest peers it carries 6.5 MB/s on one connection; without a size the
system buffers up to some megabytes for a peer that does not read.
"""

CROWDED_TIME: Seconds = 5.0
"""Time for which callers count as a crowd after one could not be accepted."""

STALL_TIME: Seconds = 1.5
"""Time without progress after which a caller that blocks a server is disconnected.

Servers abort an answer that is not read for some seconds.
"""

MAX_CHECK: Seconds = 0.5
"""Longest time between two looks at a write that counts as time without progress.

The time in which this process was frozen, and could not write, must not count.
"""

RESUME_GAPS = 4.0
"""Pause, as a multiple of the longest one on time, after which a stream is resumed."""


class FlowEvent(Enum):
    """What was done about a slow caller.

    Attributes:
        SLOW_READER: It was disconnected, since it did not read its answer.
        SLOW_SENDER: Its unfinished request was refused, since bodies had to be dropped.
        CROWDED: It could not connect, since too many others were connected.
    """

    SLOW_READER = "slow_reader"
    SLOW_SENDER = "slow_sender"
    CROWDED = "crowded"


@define(eq=False)
class BufferAccount:
    """Counts the bytes that are held of all answers.

    Attributes:
        limit: Bytes above which only answers of which nothing is held are read.
        held: The bytes held.
    """

    limit: float = math.inf
    held: int = 0

    @property
    def is_full(self) -> bool:
        """Whether the limit is reached."""
        return self.held >= self.limit

    def room(self, own: int) -> int:
        """Return how many bytes of an answer may be read now; 0 for none.

        Args:
            own: The bytes of it that are held.
        """
        if self.is_full:
            return 0 if own else MIN_READ
        return max(0, MAX_HELD - own)


K = TypeVar("K", bound=Hashable)


@define(eq=False)
class RequestBodies(Generic[K]):
    """Counts the bytes of request bodies until the requests end, by connection.

    Attributes:
        limit: Bytes that they may have together.
        received: The bytes of each that is not complete, the one that began first at
            the front.
        complete: The bytes of each that is complete, and whose request is answered.
        total: The bytes of all.
    """

    limit: float = math.inf
    received: dict[K, int] = field(factory=dict)
    complete: dict[K, int] = field(factory=dict)
    total: int = 0

    def add(self, connection: K, size: int) -> list[K]:
        """Count received bytes; return whose bodies are to be dropped, oldest first.

        Those that are returned are counted no more.
        """
        self.received[connection] = self.received.get(connection, 0) + size
        self.total += size
        dropped: list[K] = []
        while self.total > self.limit and self.received:
            oldest = next(iter(self.received))
            self.end(oldest)
            dropped.append(oldest)
        return dropped

    def finish(self, connection: K) -> None:
        """Keep a body that is complete until its request has ended."""
        if size := self.received.pop(connection, 0):
            self.complete[connection] = size

    def end(self, connection: K) -> None:
        """Count a body no more, as its request has ended or was given up."""
        self.total -= self.received.pop(connection, 0)
        self.total -= self.complete.pop(connection, 0)


@define(eq=False)
class Crowd:
    """Whether callers of one listener keep others from connecting.

    Attributes:
        until: Until when they count as doing so.
    """

    until: Seconds = -math.inf

    def record_refusal(self, now: Seconds) -> bool:
        """Record that a caller could not connect; return whether it is the first."""
        first = now >= self.until
        self.until = now + CROWDED_TIME
        return first


@define(eq=False)
class PendingWrite:
    """A write to a caller that is not finished.

    Attributes:
        acknowledged: Bytes that the caller's system has acknowledged, as seen last.
        looked_at: When that was seen.
        waited: For how long nothing was acknowledged.
    """

    acknowledged: int = -1
    looked_at: Seconds = 0.0
    waited: Seconds = 0.0

    def observe(self, acknowledged: int, now: Seconds) -> Seconds:
        """Record what is acknowledged now; return for how long nothing was."""
        if acknowledged != self.acknowledged:
            self.acknowledged, self.waited = acknowledged, 0.0
        else:
            self.waited += min(now - self.looked_at, MAX_CHECK)
        self.looked_at = now
        return self.waited


@define(eq=False)
class FlowControl(Generic[K]):
    """The bounds and accounts of one router.

    Attributes:
        bounded: Whether the bounds are enabled.
        paced: Whether pauses of streams are watched wherever load is not shared.
        answers: What is held of answers.
        bodies: What was received of request bodies.
        writes: The writes to callers that are not finished.
        shares_load: Returns whether routers share the load of a service's servers.
        on_event: Called with what was done about a slow caller, for metrics.
        on_pause: Called with the service and the server of a stream that paused for
            longer than is on time, and for how long at least.
    """

    bounded: bool = False
    paced: bool = False
    answers: BufferAccount = field(factory=BufferAccount)
    bodies: RequestBodies[K] = field(factory=RequestBodies)
    writes: dict[K, PendingWrite] = field(factory=dict)
    shares_load: Callable[[ServiceName], bool] = lambda service: False
    on_event: Callable[[FlowEvent], None] = lambda event: None
    on_pause: Callable[[ServiceName, BackendName, Seconds], None] = (
        lambda service, server, waited: None
    )

    def limit_memory(self, memory: float) -> None:
        """Enable the bounds for a process with this many bytes of memory."""
        self.bounded = True
        self.answers.limit = self.bodies.limit = MEMORY_SHARE * memory

    def max_gap(self, route: Route, service: ServiceName) -> Seconds | None:
        """Return the longest pause of a stream that is on time; None if it is unused.

        Args:
            route: The route of the request.
            service: The service of its servers.
        """
        if route.max_gap is None or not (self.paced or self.shares_load(service)):
            return None
        return route.max_gap

    @contextmanager
    def writing(self, connection: K) -> Iterator[None]:
        """Keep that a write to a caller is not finished."""
        self.writes[connection] = PendingWrite()
        try:
            yield
        finally:
            del self.writes[connection]

    def is_stalled(self, waited: Seconds, blocks_others: bool) -> bool:
        """Return whether a caller is to be disconnected.

        Args:
            waited: For how long it has acknowledged nothing of an unfinished write.
            blocks_others: Whether its server has sent more than may be held, or other
                callers cannot connect.
        """
        return waited >= STALL_TIME and (blocks_others or self.answers.is_full)
