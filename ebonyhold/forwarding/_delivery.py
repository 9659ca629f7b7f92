"""Reads the body of a server's answer, and passes it on to the caller."""

from __future__ import annotations

from collections.abc import Callable

import anyio
from attrs import define

from ebonyhold.exceptions import BackendLostError
from ebonyhold.forwarding._channel import AnswerHead, Channel
from ebonyhold.forwarding._events import EventSplitter, StreamEvent
from ebonyhold.forwarding._exchange import Exchange, WholeAnswer
from ebonyhold.forwarding._flow_control import RESUME_GAPS
from ebonyhold.forwarding._paths import Paths
from ebonyhold.forwarding._streams import UNKNOWN_VERSION, RunOfStream, StreamVersions
from ebonyhold.forwarding._types import Backend, RouteKind, SoftwareVersion
from ebonyhold.forwarding._work import RequestWork
from ebonyhold.types import Seconds

MAX_WHOLE_ANSWER = 1_048_576
"""Size limit, in bytes, of an answer that is read whole before it is passed on.

If the answer breaks off or is larger, the caller has received no part of it, so the
request can still be retried or refused with an error.
"""

SAFE_TIMEOUT: Seconds = 0.3
"""Minimum timeout for the answer to a safe request that can be sent again."""

STREAM_TIMEOUT: Seconds = 1.2
"""Minimum time without data after which a stream is resumed at another server.

Callers give up a stream after two seconds without an event. A busy but healthy engine
sends events at intervals of less than half of this time.
"""

TIMEOUT_TARGETS = 3.0
"""The timeout as a multiple of the route's target latency.

SAFE_TIMEOUT or STREAM_TIMEOUT applies instead if it is longer.
"""


class SilenceError(BackendLostError):
    """A backend server sent nothing for longer than the timeout."""

    code = "backend_silent"


@define(eq=False)
class AnswerDelivery:
    """Passes on the answer whose head was read from a connection.

    Attributes:
        exchange: The request.
        backend: The server.
        version: The software version of its run.
        channel: The connection, to the server or to a relay.
        paths: Tells whether the server runs on.
        streams: Records which version began a stream.
        heard: Called when the server has sent something.
        run: The server's run and the connection to it; None if another router sends.
        max_gap: The longest pause that is on time, once the server has sent an event;
            None if it is unused.
    """

    exchange: Exchange
    backend: Backend
    version: SoftwareVersion
    channel: Channel
    paths: Paths
    streams: StreamVersions
    heard: Callable[[], None]
    run: RunOfStream | None = None
    max_gap: Seconds | None = None

    async def read_whole(self, head: AnswerHead) -> WholeAnswer:
        """Return a whole answer.

        Raises:
            BackendLostError: It is incomplete or too large, or may be incomplete.
        """
        body = await read_rest(self.channel, on_part=self.exchange.hold_bytes)
        await self.check_end()
        return WholeAnswer(head, body)

    async def relay_stream(self, head: AnswerHead, work: RequestWork) -> None:
        """Pass on the events of a stream; see `relay_events`."""
        connection = self.exchange.connection
        connection.source = self.channel.inbox
        try:
            await self.relay_events(head, work)
        finally:
            connection.source = None

    async def relay_events(self, head: AnswerHead, work: RequestWork) -> None:
        """Pass on the events of a stream as they arrive, each one whole.

        Bytes after the last complete event are passed on if the answer states its end.

        Raises:
            BackendLostError: The stream broke off; the caller has whole events only.
        """
        splitter = EventSplitter()
        while True:
            part = await self.read_next_part()
            if part is None:
                break
            events = self.undelivered(splitter.feed(part))
            if events:
                work.mark_read()
                if self.exchange.first_event_at is None:
                    self.exchange.first_event_at = anyio.current_time()
                data = b"".join(event.raw for event in events)
                await self.exchange.deliver_part(head, data)
                self.record_events(events)
                self.max_gap = self.known_gap()
        if splitter.is_inside_event and not self.channel.end_stated:
            raise BackendLostError("the answer ended inside an event")
        await self.check_end()
        if splitter.rest or not self.exchange.connection.started:
            await self.exchange.deliver_part(head, splitter.rest)
        await self.exchange.connection.end()

    async def read_next_part(self) -> bytes | None:
        """Return the next part or, at the end, None; raise SilenceError on timeout."""
        since = anyio.current_time()
        try:
            with anyio.move_on_after(answer_timeout(self.exchange, self.max_gap)):
                part = await self.channel.read_part()
                self.heard()
                return part
            raise SilenceError("the stream stalled")
        finally:
            self.record_pause(anyio.current_time() - since)

    def known_gap(self) -> Seconds | None:
        """Return the longest pause of the stream that is on time; None if unused."""
        match = self.exchange.match
        return self.exchange.flow.max_gap(match.route, match.service)

    def record_pause(self, waited: Seconds) -> None:
        """Count a wait for the server that was too long for the stream."""
        if self.max_gap is not None and waited > self.max_gap:
            service = self.exchange.match.service
            self.exchange.flow.on_pause(service, self.backend.name, waited)

    async def check_end(self) -> None:
        """Check that an answer that was read to its end is whole.

        An answer that ends with its connection is, if its server runs on: a server that
        crashes closes its connections just like one that has finished.

        Raises:
            BackendLostError: The answer may be incomplete.
        """
        if self.channel.end_stated or await self.paths.runs_on(self.backend):
            return
        raise BackendLostError("the answer ended with its connection and its server")

    def undelivered(self, events: list[StreamEvent]) -> list[StreamEvent]:
        """Return the events that have not been sent to the caller yet.

        An event without a number always counts as not sent.
        """
        last = self.exchange.last_event
        if last is None:
            return events
        return [e for e in events if e.number is None or e.number > last]

    def record_events(self, events: list[StreamEvent]) -> None:
        """Count events sent to the caller, and store the last event number."""
        exchange = self.exchange
        if exchange.version is None:
            replaced = self.run is not None and self.streams.is_replaced(self.run)
            exchange.version = UNKNOWN_VERSION if replaced else self.version
        if not exchange.events:
            self.streams.begin(exchange, exchange.version, self.run)
        exchange.events += len(events)
        numbers = [event.number for event in events if event.number is not None]
        if numbers:
            exchange.last_event = numbers[-1]


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
    minimum = SAFE_TIMEOUT if route.kind is RouteKind.SAFE else STREAM_TIMEOUT
    if max_gap is not None:
        return max(minimum, RESUME_GAPS * max_gap)
    return max(minimum, TIMEOUT_TARGETS * route.target)


async def read_rest(
    channel: Channel,
    limit: int = MAX_WHOLE_ANSWER,
    on_part: Callable[[int], None] = lambda size: None,
) -> bytes:
    """Return the rest of an answer's body.

    Args:
        channel: The connection.
        limit: Maximum size in bytes.
        on_part: Called with the size of each part.

    Raises:
        BackendLostError: The body ended early, or is larger than ``limit`` bytes.
    """
    body = bytearray()
    while True:
        part = await channel.read_part()
        if part is None:
            return bytes(body)
        body += part
        on_part(len(part))
        if len(body) > limit:
            raise BackendLostError("the answer is too large")
