"""A caller's connection: reads requests from it and writes answers to it."""

from __future__ import annotations

import logging
from enum import Enum

import anyio
import h11
from anyio.abc import ByteStream
from attrs import define, field, frozen

from ebonyhold.exceptions import EbonyholdError
from ebonyhold.forwarding._end_to_end import end_to_end
from ebonyhold.forwarding._flow_control import (
    MAX_HELD,
    Crowd,
    FlowControl,
    FlowEvent,
)
from ebonyhold.forwarding._inbox import Inbox, Traffic, close_shielded
from ebonyhold.forwarding._intake import Intake
from ebonyhold.forwarding._sockets import grow_send_buffer, reset_on_close
from ebonyhold.forwarding._types import CallerLimits, Headers
from ebonyhold.pauses import READ_TIME, was_paused
from ebonyhold.types import Seconds

log = logging.getLogger(__name__)

LINGER: Seconds = 0.1
"""Maximum time to wait for a caller to close its side after the last answer: ten times
the round trip to the farthest callers.
"""


class ReadFault(Enum):
    """Why no request could be read; values from 400 on are the answer's HTTP status.

    No answer is sent for IDLE (no request has begun) and LEFT (the caller has
    disconnected).
    """

    IDLE = 0
    LEFT = 1
    MALFORMED = 400
    SLOW = 408
    BODY_TOO_LARGE = 413
    HEAD_TOO_LARGE = 431
    STOPPING = 503


class ReadFaultError(EbonyholdError):
    """No request could be read from the connection.

    Attributes:
        fault: The reason.
        head: The head of the request, if it could be read.
    """

    code = "request_unreadable"

    def __init__(self, fault: ReadFault, head: RequestHead | None = None) -> None:
        super().__init__(fault.name)
        self.fault = fault
        self.head = head


@frozen
class RequestHead:
    """The head of a request.

    Attributes:
        method: The method.
        target: The request target, exactly as sent.
        headers: The end-to-end fields, without the content length.
        has_body: Whether the head announces a body.
        length: The content length; None if the body is chunked or absent.
        arrived_at: When its last bytes arrived or, if that is later, when the request
            before it on the connection had been answered.
        unread_for: How long it had waited for this process by then.
    """

    method: bytes
    target: bytes
    headers: Headers
    has_body: bool
    length: int | None
    arrived_at: Seconds
    unread_for: Seconds = 0.0


def read_head(
    event: h11.Request, arrived_at: Seconds, unread_for: Seconds = 0.0
) -> RequestHead:
    """Return the parts of a request head that forwarding needs.

    Raises:
        ReadFaultError: The head has both a content length and a transfer encoding.
            Servers disagree on which one applies, so a second request could be
            smuggled in the body of the first.
    """
    fields = list(event.headers)
    lengths = [value for name, value in fields if name == b"content-length"]
    chunked = any(name == b"transfer-encoding" for name, _ in fields)
    if chunked and lengths:
        raise ReadFaultError(ReadFault.MALFORMED)
    length = int(lengths[0]) if lengths else None
    kept = [item for item in end_to_end(fields) if item[0] != b"content-length"]
    return RequestHead(
        bytes(event.method),
        bytes(event.target),
        kept,
        has_body=chunked or length is not None,
        length=length,
        arrived_at=arrived_at,
        unread_for=unread_for,
    )


def head_size(event: h11.Request) -> int:
    """Return the approximate size of a head in bytes.

    The limit is checked separately, because the parser does not apply its own limit to
    a head that arrives in one piece.
    """
    fields = sum(len(name) + len(value) + 4 for name, value in event.headers)
    return len(event.method) + len(event.target) + fields


@define(eq=False)
class CallerConnection:
    """A caller's connection, owned by the task that serves it.

    Attributes:
        stream: The connection.
        limits: The limits that apply to the caller's requests.
        traffic: Counts the bytes received.
        inbox: The bytes received from the caller.
        intake: Takes them.
        parser: The protocol state.
        method: The method of the request that is being answered.
        received_at: When the latest bytes that the parser has read arrived. A pipelined
            request is queued behind others from then on.
        ready_at: When the latest answer had been written; 0 before one.
        last: Whether to close the connection after the next answer, unless another
            request has begun to arrive by then.
        final: Whether to close the connection after the next answer in any case.
        draining: Whether this process is about to end.
        leaving: Whether it is being ended in favour of another one.
        close_announced: Whether an answer has announced that the connection closes.
        started: Whether the head of the answer has been written.
        write_pending: Whether the latest write has not finished.
        idle_scope: Cancel scope of the wait for the first byte of a request.
        reading_scope: Cancel scope of reading a request that has begun.
        stop_fault: Why reading was stopped.
        flow: Bounds what is buffered; None if nothing is bounded.
        crowd: Whether callers of its listener keep others from connecting.
        source: What was received of the streamed answer that is being passed on.
    """

    stream: ByteStream
    limits: CallerLimits
    traffic: Traffic = field(factory=Traffic)
    inbox: Inbox = field(init=False)
    intake: Intake = field(init=False)
    parser: h11.Connection = field(init=False)
    method: bytes = b""
    received_at: Seconds = 0.0
    ready_at: Seconds = 0.0
    last: bool = False
    final: bool = False
    draining: bool = False
    leaving: bool = False
    close_announced: bool = False
    started: bool = False
    write_pending: bool = False
    idle_scope: anyio.CancelScope | None = None
    reading_scope: anyio.CancelScope | None = None
    stop_fault: ReadFault = ReadFault.STOPPING
    flow: FlowControl[CallerConnection] | None = None
    crowd: Crowd = field(factory=Crowd)
    source: Inbox | None = None

    def __attrs_post_init__(self) -> None:
        self.inbox = Inbox(self.stream, self.traffic, dates_bytes=True)
        self.inbox.arrived_at = anyio.current_time()
        self.intake = Intake(self.inbox)
        self.parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self.limits.head_bytes
        )

    async def next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Return the next protocol event, waiting for bytes if necessary.

        Raises:
            ReadFaultError: The bytes are not valid HTTP.
        """
        while True:
            await self.intake.yield_often()
            self.intake.events += 1
            try:
                event = self.parser.next_event()
            except h11.RemoteProtocolError as error:
                raise ReadFaultError(fault_of(error)) from error
            if event is not h11.NEED_DATA:
                return event
            data = await self.intake.take()
            self.received_at = self.inbox.arrived_at
            self.parser.receive_data(data)

    async def next_event_in_time(
        self, timeout: Seconds
    ) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Return the next protocol event.

        Bytes that have arrived while this process was paused count as in time.

        Raises:
            ReadFaultError: It did not arrive in time, or the bytes are not valid HTTP.
        """
        with anyio.move_on_after(timeout) as scope:
            return await self.next_event()
        if was_paused(scope):
            with anyio.move_on_after(READ_TIME):
                return await self.next_event()
        raise ReadFaultError(ReadFault.SLOW)

    async def read_whole(self) -> tuple[RequestHead, bytes]:
        """Read a request that has begun to arrive, with its body.

        Raises:
            ReadFaultError: The request is invalid, too large, too slow or incomplete,
                or `stop_reading` was called.
        """
        head: RequestHead | None = None
        try:
            with anyio.CancelScope() as self.reading_scope:
                head = await self.read_request()
                if head.has_body:
                    return head, await self.read_body(head)
                await self.next_event()
                return head, b""
        except ReadFaultError as error:
            raise ReadFaultError(error.fault, head) from error
        finally:
            self.reading_scope = None
            if self.flow is not None:
                self.flow.bodies.finish(self)
        raise ReadFaultError(self.stop_fault, head)

    def release_body(self) -> None:
        """Count the body of the request no more, as the request has ended."""
        if self.flow is not None:
            self.flow.bodies.end(self)

    @property
    def waits_for_caller(self) -> bool:
        """Whether it is idle, or a request that it has begun to read is incomplete."""
        return self.idle_scope is not None or self.reading_scope is not None

    def make_way(self) -> None:
        """End a connection that `waits_for_caller`, in favour of another one."""
        self.leaving = True
        self.close_when_idle()
        self.stop_reading(ReadFault.SLOW)

    def stop_reading(self, fault: ReadFault = ReadFault.STOPPING) -> None:
        """Make `read_whole` fail if it is waiting for more bytes."""
        if self.reading_scope is not None:
            self.stop_fault = fault
            self.reading_scope.cancel()

    async def read_request(self) -> RequestHead:
        """Read the head of a request that has begun to arrive.

        Raises:
            ReadFaultError: The head is invalid or too large, did not arrive in time, or
                the caller disconnected.
        """
        self.method = b""
        # It has waited for its first byte or for the answer to the one before.
        self.intake.record_wait()
        event = await self.next_event_in_time(self.limits.head_timeout)
        if not isinstance(event, h11.Request):
            raise ReadFaultError(ReadFault.LEFT)
        self.method = event.method
        if head_size(event) > self.limits.head_bytes:
            raise ReadFaultError(ReadFault.HEAD_TOO_LARGE)
        arrived_at = max(self.received_at, self.ready_at)
        return read_head(event, arrived_at, self.inbox.waited)

    async def await_first_byte(self) -> None:
        """Wait until a request begins to arrive.

        Raises:
            ReadFaultError: No request began in time, the caller disconnected, or
                `close_when_idle` was called.
        """
        if self.parser.trailing_data[0] or self.inbox.waiting:
            return
        with anyio.move_on_after(self.limits.idle_timeout) as scope:
            self.idle_scope = scope
            while not self.inbox.waiting and not self.inbox.ended:
                await self.inbox.changed.wait()
        self.idle_scope = None
        if not self.inbox.waiting:
            fault = ReadFault.LEFT if self.inbox.ended else ReadFault.IDLE
            raise ReadFaultError(fault)

    def close_when_idle(self) -> None:
        """Close the connection now if it is idle, otherwise after the next answer."""
        self.last = True
        if self.idle_scope is not None:
            self.idle_scope.cancel()

    async def read_body(self, head: RequestHead) -> bytes:
        """Read the whole body.

        Raises:
            ReadFaultError: The body is malformed, too large or incomplete, or no bytes
                of it arrived for `idle_timeout`.
        """
        if head.length is not None and head.length > self.limits.body_bytes:
            raise ReadFaultError(ReadFault.BODY_TOO_LARGE)
        await self.send_continue()
        body = bytearray()
        while True:
            event = await self.next_event_in_time(self.limits.idle_timeout)
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            if not isinstance(event, h11.Data):
                raise ReadFaultError(ReadFault.LEFT)
            body += event.data
            self.count_body(len(event.data))
            if len(body) > self.limits.body_bytes:
                raise ReadFaultError(ReadFault.BODY_TOO_LARGE)

    def count_body(self, size: int) -> None:
        """Count bytes of an unfinished body; refuse those that exceed the bound."""
        if self.flow is None:
            return
        for slow in self.flow.bodies.add(self, size):
            fields = {"left": self.flow.bodies.total, "limit": self.flow.bodies.limit}
            log.warning("unfinished bodies are too large, oldest refused", extra=fields)
            self.flow.on_event(FlowEvent.SLOW_SENDER)
            slow.stop_reading(ReadFault.SLOW)

    async def write(self, data: bytes) -> None:
        """Write bytes, and keep that the write is not finished if it is bounded."""
        self.write_pending = True
        if self.flow is None:
            await self.stream.send(data)
        else:
            with self.flow.writing(self):
                await self.stream.send(data)
        self.write_pending = False

    async def send_continue(self) -> None:
        """Send 100 Continue if the caller waits for it before sending the body."""
        if self.parser.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            await self.stream.send(self.parser.send(interim) or b"")

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a complete answer with its content length.

        An answer to a HEAD request states the length and has no body. A large body is
        written by itself, since a copy of it takes as much memory again.
        """
        length = (b"content-length", b"%d" % len(body))
        head = self.head(status, [*headers, length])
        has_body = body and self.method != b"HEAD"
        data = self.parser.send(h11.Data(data=body)) or b"" if has_body else b""
        end = self.parser.send(h11.EndOfMessage()) or b""
        if self.draining and self.flow is not None:
            # The system delivers what it has taken after the process has ended.
            grow_send_buffer(self.stream, len(head) + len(data) + len(end))
        if len(data) > MAX_HELD:
            await self.write(head)
            await self.write(data + end if end else data)
        else:
            await self.write(head + data + end)

    def head(self, status: int, headers: Headers) -> bytes:
        """Return the bytes of an answer's head, and record that the answer has started.

        The head contains "Connection: close" if the connection closes after the answer.
        """
        self.started = True
        self.close_announced = self.final or (self.last and not self.more_received)
        if self.close_announced:
            headers = [*headers, (b"connection", b"close")]
        response = h11.Response(status_code=status, headers=headers)
        return self.parser.send(response) or b""

    @property
    def more_received(self) -> bool:
        """Whether another request has begun to arrive.

        Such a request was sent before the close was announced, and would get no answer
        if the connection closed now.
        """
        return bool(self.parser.trailing_data[0]) or self.inbox.has_more

    async def send(self, data: bytes) -> None:
        """Write a part of the answer's body."""
        await self.write(self.parser.send(h11.Data(data=data)) or b"")

    async def end(self) -> None:
        """Write the end of the answer."""
        tail = self.parser.send(h11.EndOfMessage()) or b""
        if tail:
            await self.write(tail)

    def next_cycle(self) -> bool:
        """Prepare for another request; return whether the connection can take one."""
        self.started = False
        if self.close_announced or self.inbox.ended:
            return False
        if self.parser.our_state is not h11.DONE:
            return False
        if self.parser.their_state is not h11.DONE:
            return False
        self.parser.start_next_cycle()
        self.ready_at = anyio.current_time()
        return True

    async def linger(self) -> None:
        """Wait up to LINGER for the caller to close its side after the last answer.

        Closing a connection with unread bytes, such as further requests, resets it. A
        reset would discard an answer that the caller has not received yet.
        """
        if not self.close_announced or self.inbox.ended:
            return
        await self.stream.send_eof()
        with anyio.move_on_after(LINGER):
            while not self.inbox.ended:
                self.inbox.discard()
                await self.inbox.changed.wait()

    async def abort(self) -> None:
        """Close the connection before the end of an answer, so that the caller sees it.

        An answer to a caller of HTTP/1.0 has no chunks, and ends with its connection.
        Only a reset shows that it is incomplete.
        """
        if self.parser.their_http_version == b"1.0":
            await self.reset()
        else:
            await self.close()

    async def reset(self) -> None:
        """Reset the connection; what the caller has not received is lost."""
        reset_on_close(self.stream)
        await self.close()

    async def close(self) -> None:
        """Close the connection, even if the calling task is being cancelled."""
        await close_shielded(self.stream)


def fault_of(error: h11.RemoteProtocolError) -> ReadFault:
    """Return HEAD_TOO_LARGE if the parser's size limit was exceeded, else MALFORMED."""
    if error.error_status_hint == ReadFault.HEAD_TOO_LARGE.value:
        return ReadFault.HEAD_TOO_LARGE
    return ReadFault.MALFORMED
