"""A connection to a backend server, which carries one request at a time."""

from __future__ import annotations

import re
import socket
from typing import TypeAlias

import anyio
import h11
from anyio.abc import SocketStream
from attrs import define, field, frozen

from ebonyhold.exceptions import BackendLostError
from ebonyhold.forwarding._endings import AnswerEnding, states_end
from ebonyhold.forwarding._flow_control import SOCKET_BUFFER, BufferAccount
from ebonyhold.forwarding._inbox import Inbox, close_shielded
from ebonyhold.forwarding._intake import EVENTS_AT_ONCE, Intake
from ebonyhold.forwarding._sockets import bound_reads, set_option
from ebonyhold.forwarding._types import Headers
from ebonyhold.pauses import cancel_after_running
from ebonyhold.tasks import TaskStarter
from ebonyhold.types import Seconds

CONNECT_TIMEOUT: Seconds = 0.25
"""Maximum time to wait for a connection to a backend server.

The farthest server accepts within some 5 ms; a server without power never responds.
"""

USER_TIMEOUT_MS = 2_000
"""Milliseconds after which unacknowledged bytes break a connection.

Without this limit, a connection to a server that lost power hangs for minutes.
"""

DEFAULT_IDLE_TIME: Seconds = 4.0
"""How long an unused connection is kept if the server names no keep-alive timeout."""

IDLE_MARGIN: Seconds = 0.5
"""How long before the server's keep-alive timeout a connection is no longer reused.

If the server closes the connection while a request is being sent, it is unknown
whether the request ran.
"""

KEEP_ALIVE = re.compile(rb"timeout=(\d{1,9})")
"""Matches the keep-alive timeout of a server, in seconds.

Only the first nine digits of a longer number are read, because Python refuses to
convert numbers of several thousand digits. No connection is kept for that long.
"""

LARGE_BODY = 32_768
"""Size in bytes above which a request is sent while its answer is already read.

A server may answer before it has read the body. If the whole request were sent first,
both sides could block, each waiting for the other to read.
"""

Event: TypeAlias = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]
"""What a parser returns."""

MAX_STRAY = 4
"""Number of answers to other requests after which the connection is given up."""

MAX_SKIPPED = 1_048_576
"""Size in bytes of one of them above which the connection is given up."""


class ConnectTimeoutError(BackendLostError):
    """A connection was neither accepted nor refused in time."""

    code = "connect_timeout"


class ConnectRefusedError(BackendLostError):
    """A connection was refused: no process listens at the address."""

    code = "connect_refused"


@frozen
class AnswerHead:
    """The head of a backend server's answer."""

    status: int
    headers: Headers


@frozen
class Outbound:
    """A request as it is sent to a backend server."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    has_body: bool

    def event(self) -> h11.Request:
        """Return the head as an h11 event, with a content length if it has a body."""
        fields = list(self.headers)
        if self.has_body:
            fields.append((b"content-length", b"%d" % len(self.body)))
        return h11.Request(method=self.method, target=self.target, headers=fields)


def idle_time(headers: Headers) -> Seconds:
    """Return how long a connection may stay unused and still be reused.

    This is the server's keep-alive timeout less IDLE_MARGIN, but at least 0, or
    DEFAULT_IDLE_TIME if the server names no timeout.
    """
    for name, value in headers:
        if name == b"keep-alive":
            found = KEEP_ALIVE.search(value)
            if found:
                return max(0.0, int(found[1]) - IDLE_MARGIN)
    return DEFAULT_IDLE_TIME


@define(eq=False)
class Channel:
    """A connection to one backend server, used by one task at a time.

    Attributes:
        stream: The connection.
        tasks: Starts the task that reads the connection.
        address: The server's host and port.
        opened_at: When it was opened.
        inbox: The bytes received from the server.
        intake: Takes them.
        parser: The protocol state of the current request.
        ahead: What comes after the part of a body that was read last, if that is known.
        request: The current request; None between requests.
        sent: Number of requests sent on it.
        is_skipping: Whether a part of an answer is still to be skipped.
        skipped: Size of what was skipped of it.
        writing: Whether a large request is still being written.
        end_stated: Whether the answer whose head was read last states its own end.
        complete: Whether that answer has ended.
        closed: Whether this side has closed the connection.
        usable_until: Until when the connection may be reused.
    """

    stream: SocketStream
    tasks: TaskStarter
    address: tuple[str, int]
    opened_at: Seconds = field(factory=anyio.current_time)
    inbox: Inbox = field(init=False)
    intake: Intake = field(init=False)
    parser: h11.Connection = field(init=False)
    ahead: Event | BackendLostError | None = None
    request: Outbound | None = None
    sent: int = 0
    is_skipping: bool = False
    skipped: int = 0
    writing: bool = False
    end_stated: bool = False
    complete: bool = False
    closed: bool = False
    usable_until: Seconds = 0.0

    def __attrs_post_init__(self) -> None:
        self.inbox = Inbox(self.stream)
        self.intake = Intake(self.inbox)
        self.parser = h11.Connection(h11.CLIENT)

    def bound(self, account: BufferAccount) -> None:
        """Bound what is buffered of answers; called before anything is received."""
        set_option(self.stream, socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER)
        bound_reads(self.stream)
        self.inbox.account = account

    async def send(self, request: Outbound) -> None:
        """Send a request; one larger than LARGE_BODY is sent by another task.

        Raises:
            BackendLostError: The connection is broken. For a large request, reading the
                answer raises this error instead.
        """
        self.request = request
        self.sent += 1
        self.end_stated = self.complete = False
        data = self.encode(request)
        if len(data) > LARGE_BODY:
            self.writing = True
            self.tasks.start_soon(self.write_while_reading, data)
            return
        try:
            await self.stream.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise BackendLostError("the connection broke while sending") from error

    def encode(self, request: Outbound) -> bytes:
        """Return the bytes of a request; set the parser to its state after sending."""
        data = self.parser.send(request.event()) or b""
        if request.body:
            data += self.parser.send(h11.Data(data=request.body)) or b""
        return data + (self.parser.send(h11.EndOfMessage()) or b"")

    async def write_while_reading(self, data: bytes) -> None:
        """Send a large request; if this fails, mark the inbox as broken."""
        try:
            await self.stream.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            self.inbox.ended = True
            self.inbox.broken = True
            self.inbox.notify()
        self.writing = False

    async def next_event(self) -> Event:
        """Return the next event of the answer, waiting for bytes if necessary.

        Raises:
            BackendLostError: The connection broke, or the bytes are not valid HTTP, or
                too many of them are neither a head nor a body.
        """
        while True:
            await self.intake.yield_often()
            event, self.ahead = self.ahead or self.parse(), None
            if isinstance(event, BackendLostError):
                raise event
            if event is not h11.NEED_DATA:
                return event
            data = await self.intake.take()
            if not data and self.inbox.broken:
                raise BackendLostError("the connection was reset")
            if not data and self.parser.their_state is h11.SEND_RESPONSE:
                side = "this router" if self.closed else "the other side"
                raise BackendLostError(f"no answer: {side} closed before a head")
            if self.intake.excess > 0:
                raise BackendLostError("more framing than content")
            self.parser.receive_data(data)

    def parse(self) -> Event | BackendLostError:
        """Return the next event of the bytes that were taken, or why there is none."""
        self.intake.events += 1
        try:
            return self.parser.next_event()
        except h11.RemoteProtocolError as error:
            return BackendLostError(f"no answer in the protocol: {error}")

    async def read_head(self) -> AnswerHead:
        """Read the head of the next answer; interim answers (1xx) are skipped.

        Raises:
            BackendLostError: The connection ended before a valid head arrived.
        """
        while True:
            event = await self.next_event()
            if isinstance(event, h11.Response):
                self.intake.count_head()
                head = AnswerHead(event.status_code, list(event.headers))
                method = self.request.method if self.request is not None else b""
                self.end_stated = states_end(method, head.status, head.headers)
                self.complete = False
                return head
            if not isinstance(event, h11.InformationalResponse):
                raise BackendLostError("the connection ended without an answer")

    async def read_part(self) -> bytes | None:
        """Read a part of the answer's body; return None at its end.

        Raises:
            BackendLostError: The answer ended early.
        """
        event = await self.next_event()
        if isinstance(event, h11.Data):
            part = self.join_received(event)
            self.intake.count_content(len(part))
            return part
        if isinstance(event, h11.EndOfMessage):
            self.complete = True
            return None
        raise BackendLostError("the answer ended early")

    def join_received(self, first: h11.Data) -> bytes:
        """Return a part of a body with the next ones that were taken already.

        Small parts would each cost a write to the caller.
        """
        parts = [first.data]
        while len(parts) < EVENTS_AT_ONCE:
            event = self.parse()
            if not isinstance(event, h11.Data):
                self.ahead = None if event is h11.NEED_DATA else event
                break
            parts.append(event.data)
        return b"".join(parts)

    @property
    def earlier(self) -> int:
        """Number of requests that it carried before the current one."""
        return self.sent - 1

    @property
    def ending(self) -> AnswerEnding:
        """How the answer whose head was read last has ended."""
        if self.complete and self.end_stated:
            return AnswerEnding.STATED
        if self.inbox.broken:
            return AnswerEnding.RESET
        ended = self.complete or (self.inbox.ended and not self.closed)
        return AnswerEnding.CLOSED if ended else AnswerEnding.ABANDONED

    async def skip_answer(self) -> None:
        """Discard the body of an answer whose head was read, to read the next answer.

        It may be cancelled while it waits, and called again.

        Raises:
            BackendLostError: The answer ended early, is too large, or ends only with
                the connection.
        """
        if not self.end_stated:
            raise BackendLostError("an answer to another request ends the connection")
        while (part := await self.read_part()) is not None:
            self.skipped += len(part)
            if self.skipped > MAX_SKIPPED:
                raise BackendLostError("an answer to another request is too large")
        self.is_skipping, self.skipped = False, 0
        rest, ended = self.parser.trailing_data
        self.parser = h11.Connection(h11.CLIENT)
        if self.request is None or ended:
            raise BackendLostError("only an answer to another request arrived")
        # The request was sent already. Its bytes are not needed here, only the effect
        # of `encode` on the state of the new parser.
        self.encode(self.request)
        if rest:
            self.parser.receive_data(rest)

    def finish(self, head: AnswerHead, now: Seconds) -> bool:
        """Prepare the connection for another request after a complete answer.

        Returns:
            Whether the connection can be reused: it is open, the whole request was
            sent, and no bytes are left unread.
        """
        done = self.parser.our_state is h11.DONE and self.parser.their_state is h11.DONE
        if not done or self.writing or not self.is_idle():
            return False
        if self.parser.trailing_data[0]:
            return False
        self.parser.start_next_cycle()
        self.inbox.discard()
        self.request = None
        self.usable_until = now + idle_time(head.headers)
        return True

    @property
    def is_open(self) -> bool:
        """Whether neither side has ended the connection, as far as is known."""
        return not (self.inbox.ended or self.closed)

    def is_idle(self) -> bool:
        """Return whether the connection is open and has no unread bytes."""
        return self.is_open and not self.inbox.waiting

    def keep_unused(self, now: Seconds) -> None:
        """Allow a new connection to be used later, for the default time.

        One that was used before keeps the time that the server named then.
        """
        if not self.usable_until:
            self.usable_until = now + DEFAULT_IDLE_TIME

    async def close(self) -> None:
        """Close the connection, and wake the tasks that wait for its bytes."""
        if not self.closed:
            self.closed = True
            self.inbox.ended = True
            self.inbox.notify()
            self.inbox.detach()
            await close_shielded(self.stream)


async def open_channel(
    address: tuple[str, int], tasks: TaskStarter, timeout: Seconds = CONNECT_TIMEOUT
) -> Channel:
    """Connect to a backend server, and start the task that reads the connection.

    Pauses of this process hardly count, since the server may have accepted meanwhile.

    Raises:
        ConnectTimeoutError: The server did not accept in time; nothing was sent.
        ConnectRefusedError: No process listens at the address; nothing was sent.
        BackendLostError: The server cannot be reached; nothing was sent.
    """
    try:
        stream = await connect_in_time(address, timeout)
    except OSError as error:
        refused = isinstance(error.__cause__ or error, ConnectionRefusedError)
        kind = ConnectRefusedError if refused else BackendLostError
        raise kind(f"no connection: {error}") from error
    if stream is None:
        raise ConnectTimeoutError("no connection in time")
    set_option(stream, socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    channel = Channel(stream, tasks, address)
    tasks.start_soon(channel.inbox.fill)
    return channel


async def connect_in_time(
    address: tuple[str, int], timeout: Seconds
) -> SocketStream | None:
    """Return a connection, or None if there is none once this process ran so long.

    Raises:
        OSError: It was refused, or the address cannot be reached.
    """
    stream: SocketStream | None = None
    fault: OSError | None = None
    try:
        async with anyio.create_task_group() as attempt:
            attempt.start_soon(cancel_after_running, attempt.cancel_scope, timeout)
            try:
                stream = await anyio.connect_tcp(address[0], address[1])
            except OSError as error:
                fault = error
            attempt.cancel_scope.cancel()
    except anyio.get_cancelled_exc_class():
        if stream is not None:
            await anyio.aclose_forcefully(stream)
        raise
    if fault is not None:
        raise fault
    return stream
