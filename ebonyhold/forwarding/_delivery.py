"""Reads the body of a server's answer, and passes it on to the caller."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
from attrs import define, field

from ebonyhold.exceptions import BackendLostError
from ebonyhold.forwarding._channel import AnswerHead, Channel
from ebonyhold.forwarding._events import EventSplitter, StreamEvent
from ebonyhold.forwarding._exchange import Exchange, WholeAnswer
from ebonyhold.forwarding._paths import Paths
from ebonyhold.forwarding._silence_watch import SilenceError, SilenceWatch
from ebonyhold.forwarding._streams import UNKNOWN_VERSION, RunOfStream, StreamVersions
from ebonyhold.forwarding._types import Backend, SoftwareVersion
from ebonyhold.forwarding._work import RequestWork
from ebonyhold.types import Seconds

MAX_WHOLE_ANSWER = 1_048_576
"""Size limit, in bytes, of an answer that is read whole before it is passed on.

If the answer breaks off or is larger, the caller has received no part of it, so the
request can still be retried or refused with an error.
"""


MAX_EVENT = 1_048_576
"""Size limit, in bytes, of one event of a stream, which is passed on whole."""


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
        watch: Waits for the server.
        heard: Called when the server has sent something.
        claim: Called before anything is passed on, since only one attempt may do so.
        run: The server's run and the connection to it; None if another router sends.
        splitter: Splits the stream into events.
    """

    exchange: Exchange
    backend: Backend
    version: SoftwareVersion
    channel: Channel
    paths: Paths
    streams: StreamVersions
    watch: SilenceWatch
    heard: Callable[[], None]
    claim: Callable[[], Awaitable[None]]
    run: RunOfStream | None = None
    splitter: EventSplitter = field(factory=EventSplitter)

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
        try:
            await self.relay_events(head, work)
        finally:
            if connection.source is self.channel.inbox:
                connection.source = None

    async def relay_events(self, head: AnswerHead, work: RequestWork) -> None:
        """Pass on the events of a stream as they arrive, each one whole.

        Bytes after the last complete event are passed on if the answer states its end.

        Raises:
            SilenceError: The server is silent; a further call goes on.
            BackendLostError: The stream broke off; the caller has whole events only.
        """
        while True:
            part = await self.read_next_part()
            if part is None:
                break
            events = self.undelivered(self.splitter.feed(part))
            if events:
                await self.claim()
                self.exchange.connection.source = self.channel.inbox
                work.mark_read()
                if self.exchange.first_event_at is None:
                    self.exchange.first_event_at = anyio.current_time()
                data = b"".join(event.raw for event in events)
                await self.exchange.deliver_part(head, data)
                self.record_events(events)
                self.watch.max_gap = self.known_gap()
            if len(self.splitter.buffer) > MAX_EVENT:
                raise BackendLostError("an event of the stream is too large")
        if self.splitter.is_inside_event and not self.channel.end_stated:
            raise BackendLostError("the answer ended inside an event")
        if self.is_empty and not self.channel.end_stated:
            raise BackendLostError("the connection ended behind the head of a stream")
        await self.check_end()
        await self.claim()
        if self.splitter.rest or not self.exchange.connection.started:
            await self.exchange.deliver_part(head, self.splitter.rest)
        await self.exchange.connection.end()

    @property
    def is_empty(self) -> bool:
        """Whether the caller has no event of the stream, and nothing arrived of it.

        A server that stops a run may go on running, and close the connection as at the
        end of an answer.
        """
        exchange = self.exchange
        begun = exchange.events or exchange.last_event is not None
        return not (begun or self.splitter.rest)

    async def read_next_part(self) -> bytes | None:
        """Return the next part or, at the end, None; raise SilenceError on timeout."""
        silent = False
        try:
            part = await self.watch.read(self.channel.read_part, "the stream stalled")
            self.heard()
            return part
        except SilenceError:
            silent = True
            raise
        finally:
            if not silent:
                self.record_pause(anyio.current_time() - self.watch.waiting_since)

    def known_gap(self) -> Seconds | None:
        """Return the longest pause of the stream that is on time; None if unused."""
        match = self.exchange.match
        return self.exchange.flow.max_gap(match.route, match.service)

    def record_pause(self, waited: Seconds) -> None:
        """Count a wait for the server that was too long for the stream."""
        max_gap = self.watch.max_gap
        if max_gap is not None and waited > max_gap:
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
