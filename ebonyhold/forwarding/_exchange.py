"""The state of one caller's request while the router forwards it."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import h11
from attrs import define, field, frozen

from ebonyhold.coordination import MAX_PARTS, MemoryNeed, part_digest
from ebonyhold.forwarding._caller import CallerConnection, RequestHead
from ebonyhold.forwarding._channel import AnswerHead
from ebonyhold.forwarding._digest import request_digest
from ebonyhold.forwarding._end_to_end import end_to_end
from ebonyhold.forwarding._endings import BODILESS, AnswerEnding
from ebonyhold.forwarding._flow_control import FlowControl
from ebonyhold.forwarding._routes import Match, host_of
from ebonyhold.forwarding._shutdown import RequestSize
from ebonyhold.forwarding._types import CallerRequest, Headers, SoftwareVersion
from ebonyhold.types import (
    BackendName,
    PartDigest,
    RequestDigest,
    Seconds,
    Tokens,
)

if TYPE_CHECKING:
    from ebonyhold.forwarding._memory import MemoryRoom


MAX_CONNECTS = 4
"""Number of failed connections after which a request is refused.

Each of them delays the answer by up to a quarter of a second.
"""


class AttemptEnd(Enum):
    """How an attempt at a backend server ended.

    Attributes:
        DELIVERED: The caller got the complete answer.
        NOT_SENT: No connection could be made.
        NOT_RUN: The server stated that it did not run the request.
        FAILED: The server answered with status 500 or above.
        LOST: No valid and complete answer arrived in time.
        WITHHELD: Before it was sent, it became known that the server must not get it.
        NO_PATH: No server could be reached, or a relay took no request.
        SILENT: It has not ended: the server has sent nothing for too long.
    """

    DELIVERED = "delivered"
    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    FAILED = "failed"
    LOST = "lost"
    WITHHELD = "withheld"
    NO_PATH = "no_path"
    SILENT = "silent"


class CutCause(Enum):
    """Why an answer was cut after a part of it had been passed on.

    Attributes:
        SERVER: A server broke off, and no other one could go on.
        SILENCE: A silent server was left, and no other one could go on.
        DEADLINE: The time of the request was over.
        STOP: The time for answers was over, since the router stops.
    """

    SERVER = "server"
    SILENCE = "silence"
    DEADLINE = "deadline"
    STOP = "stop"


@frozen
class WholeAnswer:
    """A complete answer of a backend server, not yet passed on."""

    head: AnswerHead
    body: bytes


@frozen
class AttemptResult:
    """The result of an attempt.

    Attributes:
        end: How it ended.
        answer: The server's error answer if `end` is FAILED. The caller gets it if no
            other attempt succeeds.
        reason: Why it failed, for logs.
        broken: Whether the connection ended before the answer did.
        written: Whether the server has written a whole answer on the prompt.
    """

    end: AttemptEnd
    answer: WholeAnswer | None = None
    reason: str = ""
    broken: bool = False
    written: bool = False


@define(eq=False)
class AttemptLoss:
    """The loss of an attempt whose connection broke.

    Attributes:
        server: The server.
        depth: Depth of the request's loss (see `RequestLoss`); 0 unless it is confirmed
            that the server has crashed alone.
    """

    server: BackendName
    depth: int = 0


@frozen
class ExpectedRead:
    """What a server is expected to read before the first event of an attempt.

    Attributes:
        tokens: Prompt tokens, those of other requests included.
        since: When the server was chosen.
    """

    tokens: float
    since: Seconds


@define(eq=False)
class Exchange:
    """A request and its progress.

    Attributes:
        connection: The caller's connection.
        head: The head of the request.
        body: The body of the request.
        caller: The decoded headers of the request.
        match: The route, service and workspace of the request.
        deadline: When the caller must have an answer.
        event_tokens: Maximum number of tokens in one event of its stream.
        sends: How often it was sent to a server, also if the server declined it.
        connects: How many connections to servers failed.
        tried: The servers that it was sent to, or that could not be reached.
        unreached: Those of them that could not be reached.
        possible_runs: How many servers may have run it.
        last_event: The number of the last event that the caller has; None if none.
        version: The software version that its stream belongs to, which is that of the
            run whose first event the caller got; None before one.
        events: How many events were passed on.
        failure: The last error answer of a server.
        reasons: Why attempts failed, for logs.
        endings: How the answers of servers ended, for logs.
        left_silent: Whether a server was left for its silence before another one
            answered.
        stopped: Whether it ended because the router stops.
        writer: The attempt that may write to the caller; None if any may.
        known_digest: The digest of its content; empty until `digest` is first read.
        known_parts: The digests of the parts of its prompt that other requests may
            have; None until `parts` is first read.
        losses: Its losses by connections that broke, in order.
        waits_until: Until when it waits for a place at a brittle server; None before it
            first did.
        retry_after: When its caller may try again, in seconds from now; None for the
            usual time of a refusal.
        flow: Bounds what is buffered, and knows the longest pauses of streams.
        held: Bytes of whole answers that count as held.
        need: The memory that it needs at a server; None if that is not accounted for.
        room: The memory for its next attempt.
        roomless: The servers that had no memory for it.
        waited_for_memory: Whether it has waited for memory.
        first_event_at: When the first event arrived that was passed on; None before.
        expected: What the server of the next attempt is expected to read before; None
            if the load of the other routers is not known.
    """

    connection: CallerConnection
    head: RequestHead
    body: bytes
    caller: CallerRequest
    match: Match
    deadline: Seconds
    event_tokens: Tokens = 1
    sends: int = 0
    connects: int = 0
    tried: list[BackendName] = field(factory=list)
    unreached: list[BackendName] = field(factory=list)
    possible_runs: int = 0
    last_event: int | None = None
    version: SoftwareVersion | None = None
    events: int = 0
    failure: WholeAnswer | None = None
    reasons: list[str] = field(factory=list)
    endings: list[AnswerEnding] = field(factory=list)
    left_silent: bool = False
    stopped: bool = False
    writer: object | None = None
    known_digest: RequestDigest = ""
    known_parts: tuple[PartDigest, ...] | None = None
    losses: list[AttemptLoss] = field(factory=list)
    waits_until: Seconds | None = None
    retry_after: Seconds | None = None
    flow: FlowControl[CallerConnection] = field(factory=FlowControl)
    held: int = 0
    need: MemoryNeed | None = None
    room: MemoryRoom | None = None
    roomless: list[BackendName] = field(factory=list)
    waited_for_memory: bool = False
    first_event_at: Seconds | None = None
    expected: ExpectedRead | None = None

    def __attrs_post_init__(self) -> None:
        self.last_event = self.caller.resume_after

    @property
    def digest(self) -> RequestDigest:
        """The digest of its content, computed when it is first needed."""
        if not self.known_digest:
            workspace = self.match.workspace
            self.known_digest = request_digest(
                workspace.name if workspace else "",
                self.head.method,
                host_of(self.head.headers),
                self.head.target,
                self.body,
            )
        return self.known_digest

    @property
    def parts(self) -> tuple[PartDigest, ...]:
        """The digests of the parts of its prompt but the last, computed when needed.

        No other request has the last part.
        """
        if self.known_parts is None:
            service = self.match.service
            self.known_parts = tuple(
                part_digest(service, part)
                for part, _ in self.caller.prompt_parts[:-1][:MAX_PARTS]
            )
        return self.known_parts

    @property
    def size(self) -> RequestSize:
        """The size that it states."""
        return RequestSize(self.caller.prompt_tokens, self.caller.max_output)

    @property
    def charge(self) -> Tokens:
        """The tokens to charge; 0 if the request cannot have run.

        They are the prompt tokens plus the output. Each event that was passed on counts
        as `event_tokens` of output, up to the maximum that the request states.
        """
        if not self.may_have_run:
            return 0
        output = min(self.events * self.event_tokens, self.caller.max_output)
        return self.caller.prompt_tokens + output

    def hold_bytes(self, size: int) -> None:
        """Count bytes of a whole answer as held until `release_bytes`."""
        self.held += size
        self.flow.answers.held += size

    def release_bytes(self) -> None:
        """Count the bytes of whole answers no more."""
        self.flow.answers.held -= self.held
        self.held = 0

    def try_again_elsewhere(self) -> None:
        """Allow the servers again that could not be reached from here."""
        self.connects = 0
        self.tried = [name for name in self.tried if name not in self.unreached]
        self.unreached.clear()

    @property
    def may_have_run(self) -> bool:
        """Whether a server may have run it."""
        return self.possible_runs > 0

    @property
    def may_connect(self) -> bool:
        """Whether few enough connections have failed for a further one."""
        return self.connects < MAX_CONNECTS

    @property
    def attempts_left(self) -> bool:
        """Whether the request was sent less often than its route allows."""
        return self.sends < self.match.route.max_attempts

    async def deliver(self, answer: WholeAnswer) -> None:
        """Pass on a complete answer without its hop-by-hop header fields."""
        fields = end_to_end(answer.head.headers)
        if answer.head.status in BODILESS or self.head.method == b"HEAD":
            await send_bodiless(self.connection, answer.head.status, fields)
            return
        await self.connection.answer(
            answer.head.status, without_length(fields), answer.body
        )

    async def deliver_part(self, answer: AnswerHead, data: bytes) -> None:
        """Pass on a part of a streamed answer; the first call also sends the head."""
        if self.connection.started:
            await self.connection.send(data)
            return
        fields = without_length(end_to_end(answer.headers))
        head = self.connection.head(answer.status, fields)
        part = self.connection.parser.send(h11.Data(data=data)) or b"" if data else b""
        await self.connection.write(head + part)


async def send_bodiless(
    connection: CallerConnection, status: int, fields: Headers
) -> None:
    """Pass on an answer without a body; a content length field is kept."""
    head = connection.head(status, fields)
    end = connection.parser.send(h11.EndOfMessage()) or b""
    await connection.write(head + end)


def without_length(headers: Headers) -> Headers:
    """Return the fields without the content length, which the router sets itself."""
    return [(name, value) for name, value in headers if name != b"content-length"]
