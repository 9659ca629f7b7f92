"""Callers that send requests to one VM and record what they receive."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable, Mapping
from enum import Enum
from random import Random

import anyio
import h11
from anyio.abc import SocketStream
from attrs import define, field, frozen

from tests.platform.kit._world import EVENT_TOKENS, Gateway

CONNECT_TIMEOUT = 1.0
"""Seconds that callers wait for a connection; the platform's wait as long."""

ANSWER_TIMEOUT = 15.0
"""Seconds after which a request counts as hung: longer than any answer or the grace."""

PIECE_PAUSE = (0.05, 1.1)
"""Range of seconds between two of the three pieces of a slow request.

A head then takes at most 2.2 s; the gateway allows 3 s.
"""

KEPT_PAUSE = (0.02, 0.25)
"""Range of seconds from an answer to the next request on a kept connection."""

CROSSING_TOLERANCE = 0.01
"""Tolerance in seconds when the time of a request is compared with that of an answer,
as both may be in transit at the same time.
"""

CROSSING_DELAY = 0.05
"""Maximum seconds from one request to the next, which is to cross the first's answer;
that answer takes some 30 ms.
"""

PIPELINE_LENGTH = 3
"""Number of requests that are sent at once on a pipelined connection."""

SLOW_BODY_BYTES = 3000
"""Bytes in the body of a slow request: long enough to be cut at two random places."""


class Style(Enum):
    """How a caller uses its connections."""

    NEW = "a connection for each request"
    KEPT = "one connection until it is told to close"
    PIPELINED = "several requests at once on a kept connection"
    CROSSING = "the next request while the answer to the last is on its way"
    SLOW_HEAD = "a head in pieces, on new and on kept connections"
    SLOW_BODY = "a body in pieces, on new and on kept connections"


@frozen
class Length:
    """Size of an answer: the number of events and the pause in seconds before each.

    With 0 events the answer is one body, sent after one pause.
    """

    events: int
    pause: float


class Fault:
    """How a connection failed before the answer was complete.

    Attributes:
        NONE: No failure.
        REFUSED: The attempt to connect failed.
        SILENT: No connection within `CONNECT_TIMEOUT`.
        RESET: The gateway reset the connection.
        ENDED: The gateway closed the connection, or sent a malformed answer.
        HUNG: No complete answer within `ANSWER_TIMEOUT`.
    """

    NONE = ""
    REFUSED = "refused"
    SILENT = "not connected in time"
    RESET = "reset"
    ENDED = "ended"
    HUNG = "hung"


@define(eq=False)
class RequestRecord:
    """One request and what its caller received.

    Times are of the monotonic clock, in seconds.

    Attributes:
        request_id: The request's id, sent in its head.
        vm: The VM that the request is sent to.
        style: How the caller uses its connections.
        length: The size of the answer that the engine is to give.
        workspace: The workspace whose key the request has.
        prompt: The length of the prompt in tokens; with 0 none is sent.
        started_at: When the caller began to connect; on an open connection, when the
            record was created.
        connected_at: When the connection was established; 0 if it was not.
        sent_at: When the last byte was sent; 0 if it never was.
        head_sent: Whether the whole head, with the request's id, was sent.
        closing_at: When an earlier answer on the connection came with `close`; 0 if
            none did.
        followed: Whether the next request was sent before this one's answer began, and
            was answered too.
        behind_cut: Whether an earlier answer on the connection was cut, so that no
            further one could follow.
        head_at: When the head of the answer came; 0 if it did not.
        status: The status of the answer; 0 if there was none.
        close: Whether the answer has `Connection: close`.
        retry_after: The answer's Retry-After field; empty if there is none.
        id_matches: Whether the answer has the request's id.
        events: The numbers of the complete events that came, in order.
        whole: Whether the answer was complete.
        fault: How the connection failed.
        ended_at: When the answer ended or the connection failed.
        fault_free: Whether the engine must keep to `length` and inject no fault.
        time_limit: Time limit to send, in seconds; with 0 none is sent, and the route's
            timeout applies.
    """

    request_id: str
    vm: int
    style: Style
    length: Length
    workspace: str
    prompt: int
    started_at: float = field(factory=time.monotonic)
    connected_at: float = 0.0
    sent_at: float = 0.0
    head_sent: bool = False
    closing_at: float = 0.0
    followed: bool = False
    behind_cut: bool = False
    head_at: float = 0.0
    status: int = 0
    close: bool = False
    retry_after: str = ""
    id_matches: bool = True
    events: list[int] = field(factory=list)
    whole: bool = False
    fault: str = Fault.NONE
    ended_at: float = 0.0
    fault_free: bool = True
    time_limit: float = 0.0

    @property
    def target(self) -> str:
        """The request's target.

        If `fault_free` is set, a query tells the engine which answer to give, without
        faults.
        """
        path = "/chat/a" if self.length.events else "/book/a"
        script = f"?events={self.length.events}&pause={self.length.pause}&sound=1"
        return path + script if self.fault_free else path

    @property
    def max_tokens(self) -> int:
        """The maximum length of the answer, in tokens."""
        return self.length.events * EVENT_TOKENS

    def head(self, body: bytes) -> bytes:
        """Return the encoded head of the request."""
        plain = not self.length.events
        lines = [
            f"POST {self.target} HTTP/1.1",
            f"host: {'book' if plain else 'chat'}.example",
            f"x-ebonyhold-request-id: {self.request_id}",
            f"x-ebonyhold-key: key-{self.workspace}",
            f"content-length: {len(body)}",
        ]
        if self.time_limit:
            milliseconds = int(self.time_limit * 1000)
            lines.append(f"x-ebonyhold-deadline-milliseconds: {milliseconds}")
        if self.prompt and not plain:
            lines.append(f"x-ebonyhold-token-counts: {self.prompt},{self.max_tokens}")
        return "\r\n".join([*lines, "", ""]).encode()


@define(eq=False)
class Connection:
    """A connection to a VM.

    Attributes:
        connected_at: When it was established, by the monotonic clock.
        unread: Received bytes that belong to the next answer.
        closing_at: When an answer came with `Connection: close`; 0 before.
        previous: The request whose answer was read last; None before the first.
        was_cut: Whether an answer began and was not completed.
        closed: Whether no further request can be sent.
    """

    stream: SocketStream
    connected_at: float = field(factory=time.monotonic)
    unread: bytes = b""
    closing_at: float = 0.0
    previous: RequestRecord | None = None
    was_cut: bool = False
    closed: bool = False

    async def send(self, data: bytes) -> None:
        """Send bytes; on failure mark the connection closed instead of raising."""
        try:
            await self.stream.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            self.closed = True

    async def send_request(self, request: RequestRecord, body: bytes = b"abc") -> None:
        """Send a whole request."""
        await self.send(request.head(body) + body)
        self.record_sent(request)

    def record_sent(self, request: RequestRecord) -> None:
        """Record that a request was sent; without the time if the connection failed."""
        request.connected_at = self.connected_at
        request.head_sent = True
        if not self.closed:
            request.sent_at = time.monotonic()

    async def send_slowly(self, request: RequestRecord, rng: Random) -> None:
        """Send a request in three pieces; stop early if an answer or a close comes."""
        request.connected_at = self.connected_at
        body = b"a" * SLOW_BODY_BYTES
        head = request.head(body)
        whole = head + body
        if request.style is Style.SLOW_HEAD:
            cuts = sorted(rng.sample(range(1, len(head)), 2))
        else:
            cuts = sorted(rng.sample(range(len(head), len(whole)), 2))
        for start, end in zip([0, *cuts], [*cuts, len(whole)], strict=True):
            await self.send(whole[start:end])
            request.head_sent = end >= len(head)
            if self.closed or end == len(whole):
                break
            if await self.received_within(rng.uniform(*PIECE_PAUSE)):
                return
        self.record_sent(request)

    async def received_within(self, seconds: float) -> bool:
        """Wait some seconds for bytes or a close; return whether one came.

        The bytes are kept for the next answer.
        """
        with anyio.move_on_after(seconds):
            try:
                self.unread += await self.stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                self.closed = True
            return True
        return False

    async def read(self, request: RequestRecord) -> None:
        """Read the answer to a request; record it, or how the connection failed."""
        request.closing_at = self.closing_at
        request.behind_cut = self.was_cut
        request.fault = Fault.HUNG
        with anyio.move_on_after(ANSWER_TIMEOUT):
            try:
                request.fault = await self.read_answer(request)
            except anyio.BrokenResourceError:
                request.fault = Fault.RESET
            except h11.RemoteProtocolError:
                request.fault = Fault.ENDED
        request.ended_at = time.monotonic()
        self.closed = self.closed or bool(request.fault) or request.close
        self.was_cut = self.was_cut or bool(request.fault and request.status)
        if self.previous is not None and request.status:
            self.previous.followed = (
                request.sent_at <= self.previous.head_at + CROSSING_TOLERANCE
            )
        self.previous = request
        if request.close and not self.closing_at:
            self.closing_at = request.head_at

    async def read_answer(self, request: RequestRecord) -> str:
        """Read an answer to its end; return a member of `Fault`."""
        parser = h11.Connection(h11.CLIENT)
        parser.send(h11.Request(method="GET", target="/", headers=[("host", "a")]))
        parser.send(h11.EndOfMessage())
        parser.receive_data(self.unread) if self.unread else None
        self.unread = b""
        text = b""
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                try:
                    parser.receive_data(await self.stream.receive())
                except anyio.EndOfStream:
                    parser.receive_data(b"")
            elif isinstance(event, h11.Response):
                record_head(request, event)
            elif isinstance(event, h11.Data):
                text += bytes(event.data)
                *events, _ = text.split(b"\n\n")
                request.events = [int(e.split()[1]) for e in events if e[:3] == b"id:"]
            elif isinstance(event, h11.EndOfMessage):
                request.whole = True
                self.unread = parser.trailing_data[0]
                return Fault.NONE
            else:
                return Fault.ENDED


def record_head(request: RequestRecord, head: h11.Response) -> None:
    """Record the time and the checked fields of an answer's head."""
    fields: Mapping[bytes, bytes] = dict(head.headers)
    request.head_at = time.monotonic()
    request.status = head.status_code
    request.close = b"close" in fields.get(b"connection", b"").lower()
    request.retry_after = fields.get(b"retry-after", b"").decode()
    name = fields.get(b"x-ebonyhold-request-id", b"").decode()
    # An answer that comes before the whole head was sent need not have the id.
    request.id_matches = name == request.request_id or not (name or request.head_sent)


async def connect(gateway: Gateway, request: RequestRecord) -> Connection | None:
    """Open a connection for a request; on failure record it and return None."""
    request.started_at = time.monotonic()
    request.fault = Fault.SILENT
    connection = None
    with anyio.move_on_after(CONNECT_TIMEOUT):
        try:
            stream = await anyio.connect_tcp(gateway.address, gateway.port)
            request.fault = Fault.NONE
            connection = Connection(stream)
        except OSError:
            request.fault = Fault.REFUSED
    request.ended_at = time.monotonic()
    return connection


NextRequest = Callable[[], RequestRecord]
"""Returns the caller's next request, for the VM of the open connection."""

IsOver = Callable[[], bool]
"""Returns whether the test is over, so that no further request is sent."""


async def send_once(
    connection: Connection,
    request: RequestRecord,
    next_request: NextRequest,
    rng: Random,
) -> None:
    """Send one request and read its answer."""
    del next_request, rng
    await connection.send_request(request)
    await connection.read(request)


async def send_pipelined(
    connection: Connection,
    request: RequestRecord,
    next_request: NextRequest,
    rng: Random,
) -> None:
    """Send `PIPELINE_LENGTH` requests at once, then read their answers in order."""
    del rng
    requests = [request, *(next_request() for _ in range(PIPELINE_LENGTH - 1))]
    for item in requests:
        await connection.send_request(item)
    for item in requests:
        await connection.read(item)


async def send_crossing(
    connection: Connection,
    request: RequestRecord,
    next_request: NextRequest,
    rng: Random,
) -> None:
    """Send a second request within `CROSSING_DELAY` of the first.

    It is not sent if the first answer has already ended the connection.
    """
    await connection.send_request(request)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(connection.read, request)
        await anyio.sleep(rng.uniform(0.0, CROSSING_DELAY))
        if request.close or connection.closed:
            return
        second = next_request()
        await connection.send_request(second)
    await connection.read(second)


async def send_slowly(
    connection: Connection,
    request: RequestRecord,
    next_request: NextRequest,
    rng: Random,
) -> None:
    """Send a request in pieces, in half of the cases after a whole one.

    It is not sent if the connection closes after the whole one.
    """
    if rng.random() < 0.5:
        earlier = next_request()
        await send_once(connection, earlier, next_request, rng)
        if connection.closed:
            request.fault = Fault.NONE
            return
    await connection.send_slowly(request, rng)
    await connection.read(request)


Sender = Callable[[Connection, RequestRecord, NextRequest, Random], Awaitable[None]]
"""Sends one or more requests on a connection and reads their answers."""


SENDERS: dict[Style, Sender] = {
    Style.NEW: send_once,
    Style.KEPT: send_once,
    Style.PIPELINED: send_pipelined,
    Style.CROSSING: send_crossing,
    Style.SLOW_HEAD: send_slowly,
    Style.SLOW_BODY: send_slowly,
}


async def use_connection(
    gateway: Gateway,
    request: RequestRecord,
    next_request: NextRequest,
    rng: Random,
    is_over: IsOver,
) -> None:
    """Open a connection and send requests until it closes or the test is over.

    With `Style.NEW` only one request is sent.
    """
    connection = await connect(gateway, request)
    if connection is None:
        return
    async with connection.stream:
        await SENDERS[request.style](connection, request, next_request, rng)
        while (
            request.style is not Style.NEW and not connection.closed and not is_over()
        ):
            # The gateway may close an idle connection at any time: no request is lost.
            if not await connection.received_within(rng.uniform(*KEPT_PAUSE)):
                await SENDERS[request.style](
                    connection, next_request(), next_request, rng
                )
