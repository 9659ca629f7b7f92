"""One caller's connection: requests are read from it and answers written to it."""

from __future__ import annotations

from enum import Enum

import anyio
import h11
from anyio.abc import ByteStream
from attrs import define, field, frozen

from ebonyhold.exceptions import EbonyholdError
from ebonyhold.forwarding._inbox import Inbox, hang_up
from ebonyhold.forwarding._types import CallerLimits, Headers
from ebonyhold.types import Seconds

CONNECTION_FIELDS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    }
)
"""Fields that concern one connection only and are not passed on."""


LINGER: Seconds = 0.1
"""The longest wait for a caller to close its side after the last answer: ten times the
way from the farthest ones and back."""


class ReadFault(Enum):
    """Why no request could be read, with the status that says so."""

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
        fault: Why.
        head: The head of the request, if that could be read.
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
        method: Its method.
        target: Its target exactly as sent.
        headers: Its end-to-end fields, with the length of the body left out.
        has_body: Whether it announces a body.
        length: The announced length; None if the body is chunked.
        arrived_at: When its last byte was read.
    """

    method: bytes
    target: bytes
    headers: Headers
    has_body: bool
    length: int | None
    arrived_at: Seconds


def end_to_end(headers: Headers) -> Headers:
    """Return the fields that are passed on, without those of the connection."""
    named = {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    }
    return [
        (name, value)
        for name, value in headers
        if name not in CONNECTION_FIELDS and name not in named
    ]


def read_head(event: h11.Request, now: Seconds) -> RequestHead:
    """Return the parts of a head that forwarding needs.

    Raises:
        ReadFaultError: It has two lengths.  Servers disagree on which one counts,
            so a second request could be hidden in the body of the first.
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
        arrived_at=now,
    )


def head_size(event: h11.Request) -> int:
    """Return the bytes of a head, which may have arrived all at once."""
    fields = sum(len(name) + len(value) + 4 for name, value in event.headers)
    return len(event.method) + len(event.target) + fields


@define(eq=False)
class CallerConnection:
    """A caller's connection; the task that serves it owns it.

    Attributes:
        stream: The connection.
        limits: What the caller is held to.
        inbox: What the caller has sent.
        parser: The state of the protocol.
        received_at: When the bytes arrived that the parser was given last: the latest
            that the request being answered can have come, however long it waited.
        last: Whether the connection ends with the next answer, unless a further
            request is here already.
        final: Whether nothing more is read here, whatever has come.
        told: Whether the caller was told that the connection ends.
        started: Whether the head of the answer is written.
        idle_scope: Bounds the wait for the first byte of a request.
        reading_scope: Bounds the reading of a request that has begun.
    """

    stream: ByteStream
    limits: CallerLimits
    inbox: Inbox = field(init=False)
    parser: h11.Connection = field(init=False)
    received_at: Seconds = 0.0
    last: bool = False
    final: bool = False
    told: bool = False
    started: bool = False
    idle_scope: anyio.CancelScope | None = None
    reading_scope: anyio.CancelScope | None = None

    def __attrs_post_init__(self) -> None:
        self.inbox = Inbox(self.stream)
        self.parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self.limits.head_bytes
        )

    async def next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Return the next event of the protocol.

        Raises:
            ReadFaultError: The bytes are no request, or the caller has left.
        """
        while True:
            try:
                event = self.parser.next_event()
            except h11.RemoteProtocolError as error:
                raise ReadFaultError(fault_of(error)) from error
            if event is not h11.NEED_DATA:
                return event
            data = await self.inbox.take()
            self.received_at = self.inbox.arrived_at
            self.parser.receive_data(data)

    async def read_whole(self) -> tuple[RequestHead, bytes]:
        """Read a request that has begun, with its body.

        Raises:
            ReadFaultError: It cannot be used, or the router ends before it is whole.
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
        raise ReadFaultError(ReadFault.STOPPING, head)

    def stop_reading(self) -> None:
        """Give up a request of which only a part has been read."""
        if self.reading_scope is not None:
            self.reading_scope.cancel()

    async def read_request(self) -> RequestHead:
        """Read the head of a request that has begun.

        Raises:
            ReadFaultError: It does not come in time, or it cannot be used.
        """
        with anyio.move_on_after(self.limits.head_timeout):
            event = await self.next_event()
            if not isinstance(event, h11.Request):
                raise ReadFaultError(ReadFault.LEFT)
            if head_size(event) > self.limits.head_bytes:
                raise ReadFaultError(ReadFault.HEAD_TOO_LARGE)
            return read_head(event, anyio.current_time())
        raise ReadFaultError(ReadFault.SLOW)

    async def await_first_byte(self) -> None:
        """Wait until a request begins.

        Raises:
            ReadFaultError: None began in time, or the connection is to close.
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
        """End the connection if no request is being read or answered."""
        self.last = True
        if self.idle_scope is not None:
            self.idle_scope.cancel()

    async def read_body(self, head: RequestHead) -> bytes:
        """Read the whole body.

        Raises:
            ReadFaultError: It is too large, malformed, or stops for too long.
        """
        if head.length is not None and head.length > self.limits.body_bytes:
            raise ReadFaultError(ReadFault.BODY_TOO_LARGE)
        await self.invite_body()
        body = bytearray()
        while True:
            with anyio.move_on_after(self.limits.idle_timeout) as scope:
                event = await self.next_event()
            if scope.cancelled_caught:
                raise ReadFaultError(ReadFault.SLOW)
            if isinstance(event, h11.EndOfMessage):
                return bytes(body)
            if not isinstance(event, h11.Data):
                raise ReadFaultError(ReadFault.LEFT)
            body += event.data
            if len(body) > self.limits.body_bytes:
                raise ReadFaultError(ReadFault.BODY_TOO_LARGE)

    async def invite_body(self) -> None:
        """Ask for the body where the caller waits to be asked."""
        if self.parser.they_are_waiting_for_100_continue:
            invitation = h11.InformationalResponse(status_code=100, headers=[])
            await self.stream.send(self.parser.send(invitation) or b"")

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a whole answer at once."""
        length = (b"content-length", b"%d" % len(body))
        head = self.head(status, [*headers, length])
        data = self.parser.send(h11.Data(data=body)) or b"" if body else b""
        end = self.parser.send(h11.EndOfMessage()) or b""
        await self.stream.send(head + data + end)

    def head(self, status: int, headers: Headers) -> bytes:
        """Return the bytes of an answer's head."""
        self.started = True
        self.told = self.final or (self.last and not self.more_waits)
        if self.told:
            headers = [*headers, (b"connection", b"close")]
        response = h11.Response(status_code=status, headers=headers)
        return self.parser.send(response) or b""

    @property
    def more_waits(self) -> bool:
        """Whether a further request has begun to arrive.

        Its caller sent it before it could know of the end; it would find its
        connection closed although this process still serves.
        """
        return bool(self.inbox.waiting or self.parser.trailing_data[0])

    async def send(self, data: bytes) -> None:
        """Write a part of the answer's body."""
        await self.stream.send(self.parser.send(h11.Data(data=data)) or b"")

    async def end(self) -> None:
        """Write the end of the answer."""
        tail = self.parser.send(h11.EndOfMessage()) or b""
        if tail:
            await self.stream.send(tail)

    def next_cycle(self) -> bool:
        """Make ready for another request; tell whether there can be one."""
        self.started = False
        if self.told or self.inbox.ended:
            return False
        if self.parser.our_state is not h11.DONE:
            return False
        if self.parser.their_state is not h11.DONE:
            return False
        self.parser.start_next_cycle()
        return True

    async def linger(self) -> None:
        """Let the caller read the last answer before the connection is closed.

        Closing a connection with unread bytes resets it, and a reset takes the answer
        away that is still on its way: a caller who had sent further requests got
        nothing at all.
        """
        if not self.told or self.inbox.ended:
            return
        await self.stream.send_eof()
        with anyio.move_on_after(LINGER):
            while not self.inbox.ended:
                self.inbox.discard()
                await self.inbox.changed.wait()

    async def close(self) -> None:
        """Close the connection."""
        await hang_up(self.stream)


def fault_of(error: h11.RemoteProtocolError) -> ReadFault:
    """Return the fault that a protocol error amounts to."""
    if error.error_status_hint == ReadFault.HEAD_TOO_LARGE.value:
        return ReadFault.HEAD_TOO_LARGE
    return ReadFault.MALFORMED
