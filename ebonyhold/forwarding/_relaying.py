"""Sends requests of other routers, which reach no server, to servers."""

from __future__ import annotations

import hmac
import logging
from collections.abc import Callable
from contextlib import AbstractContextManager, nullcontext

import anyio
from attrs import define, field

from ebonyhold.coordination import MemoryNeed
from ebonyhold.exceptions import BackendLostError, MalformedRequestError
from ebonyhold.forwarding._backends import BackendTable
from ebonyhold.forwarding._caller import CallerConnection, RequestHead
from ebonyhold.forwarding._channel import (
    MAX_STRAY,
    AnswerHead,
    Channel,
    ConnectRefusedError,
    Outbound,
)
from ebonyhold.forwarding._dialect import Dialect
from ebonyhold.forwarding._endings import BODILESS
from ebonyhold.forwarding._entry import BackendEntry
from ebonyhold.forwarding._exchange import send_bodiless, without_length
from ebonyhold.forwarding._memory import MemoryRoom, RoomRequest
from ebonyhold.forwarding._pool import ChannelPool
from ebonyhold.forwarding._reach import Reachability
from ebonyhold.forwarding._relay import (
    KEY,
    RELAY_PREFIX,
    RESULT,
    RelayDeclinedError,
    RelayResult,
    RelayTarget,
    answer_fields,
    read_field,
    read_target,
    without_relay_fields,
)
from ebonyhold.forwarding._runs import RunChecks
from ebonyhold.forwarding._shutdown import Shutdown
from ebonyhold.forwarding._types import AnswerFacts, CallerRequest
from ebonyhold.forwarding._withheld import Cause, Withheld
from ebonyhold.forwarding._work import RequestWork
from ebonyhold.types import Seconds

log = logging.getLogger(__name__)

MAX_RELAYED = 256
"""Maximum number of requests of other routers that are sent to servers at once."""

END_MARGIN: Seconds = 0.1
"""Time after a request's deadline at which it is given up if its sender does not.

The sender closes the connection at the deadline, unless it has lost its power.
"""

STATUSES = {
    RelayResult.UNAVAILABLE: 503,
    RelayResult.WITHHELD: 503,
    RelayResult.NOT_SENT: 503,
    RelayResult.LOST: 502,
}


@define(eq=False)
class RequestRelay:
    """Passes requests on to the servers that they name, and the answers back.

    A request goes to a server directly or not at all, so none passes two relays. The
    sender holds its tokens, counts its attempts and decides on a retry.

    Attributes:
        key: The key that the sender must present.
        dialect: Decodes header fields.
        backends: The known servers.
        pool: The connections to servers.
        reach: Whether this router reaches servers.
        shutdown: Limits requests during a shutdown.
        takes_requests: Returns whether requests of other routers are taken now.
        on_end: Called with the result of each request, for metrics.
        under_way: Returns a context that counts a request as open for a shutdown.
        checks: Asks servers which run a connection leads to; None if none is asked.
        open: Number of requests that are being passed on.
    """

    key: str
    dialect: Dialect
    backends: BackendTable
    pool: ChannelPool
    reach: Reachability = field(factory=Reachability)
    shutdown: Shutdown = field(factory=Shutdown)
    takes_requests: Callable[[], bool] = lambda: True
    on_end: Callable[[RelayResult], None] = lambda result: None
    under_way: Callable[[], AbstractContextManager[None]] = nullcontext
    checks: RunChecks | None = None
    open: int = 0

    async def serve(
        self, connection: CallerConnection, head: RequestHead, body: bytes
    ) -> None:
        """Answer one request of another router."""
        self.open += 1
        try:
            with self.under_way():
                await self.answer(connection, head, body)
        finally:
            self.open -= 1

    async def answer(
        self, connection: CallerConnection, head: RequestHead, body: bytes
    ) -> None:
        """Pass a request on, or state why not.

        If an answer breaks off, the connection is closed, as the server did.
        """
        result, detail, request = RelayResult.ANSWERED, "", ""
        try:
            caller = self.check(head)
            request = caller.request_id
            await self.pass_on(RelayedRequest(self, connection, head, body, caller))
        except RelayDeclinedError as declined:
            result, detail = declined.result, str(declined)
        except BackendLostError as error:
            result, detail = RelayResult.LOST, str(error)
        self.on_end(result)
        fields = {"request": request, "result": result.value, "detail": detail}
        log.info("request relayed", extra=fields)
        if result is RelayResult.ANSWERED:
            return
        if connection.started:
            connection.last = True
            await connection.abort()
            return
        stated = (RESULT, result.value.encode())
        await connection.answer(STATUSES[result], [stated], b"")

    def check(self, head: RequestHead) -> CallerRequest:
        """Check whether a request may be passed on; return its decoded headers.

        Raises:
            RelayDeclinedError: Its sender is unknown, or no requests are taken now.
        """
        presented = read_field(head.headers, KEY)
        if not hmac.compare_digest(presented.encode(), self.key.encode()):
            raise RelayDeclinedError(RelayResult.UNAVAILABLE, "unknown key")
        able = self.takes_requests() and self.reach.is_connected
        if not able or self.open > MAX_RELAYED:
            raise RelayDeclinedError(RelayResult.UNAVAILABLE, "takes no requests")
        try:
            return self.dialect.read_request(head.headers)
        except MalformedRequestError as error:
            raise RelayDeclinedError(RelayResult.UNAVAILABLE, str(error)) from error

    async def pass_on(self, request: RelayedRequest) -> None:
        """Send a request to its server within its time limit.

        Raises:
            RelayDeclinedError: It was not sent, or not in time.
            BackendLostError: It was sent, and no complete answer arrived in time.
        """
        limit = request.caller.time_limit or 0.0
        deadline = anyio.current_time() + limit + END_MARGIN
        with self.shutdown.bounded(deadline):
            await self.send(request, deadline)
            return
        if not request.is_sent:
            raise RelayDeclinedError(RelayResult.UNAVAILABLE, "not sent in time")
        raise BackendLostError("no answer in time")

    async def send(self, request: RelayedRequest, deadline: Seconds) -> None:
        """Get the memory that a request needs at its server, and send it there.

        Raises:
            RelayDeclinedError: It was not sent.
            BackendLostError: It was sent, and no complete answer arrived.
        """
        target = read_target(request.head.headers)
        entry = self.backends.entries.get(target.server)
        if entry is None:
            raise RelayDeclinedError(RelayResult.WITHHELD, "gone")
        memory, room, ended = self.backends.memory, None, False
        need = memory.need(entry.backend.service, request.caller)
        if need is not None:
            room = await memory.get(entry, RoomRequest(need, deadline - END_MARGIN))
            if room is None:
                raise RelayDeclinedError(RelayResult.WITHHELD, Cause.MEMORY.value)
        try:
            channel = await self.connect(entry, target, need, room)
            await request.send(entry, channel)
            ended = True
        except RelayDeclinedError:
            ended = True
            raise
        finally:
            if room is not None:
                memory.free(room, ended)

    async def connect(
        self,
        entry: BackendEntry,
        target: RelayTarget,
        need: MemoryNeed | None,
        room: MemoryRoom | None,
    ) -> Channel:
        """Return a connection to the server that a request names, admitted.

        Raises:
            RelayDeclinedError: The server must not get it now, or cannot be reached.
        """
        backend = entry.backend
        if target.started_at not in (None, backend.started_at):
            raise RelayDeclinedError(RelayResult.WITHHELD, "another run")
        try:
            channel = await self.pool.get(backend.name, backend.address)
        except BackendLostError as error:
            if isinstance(error, ConnectRefusedError):
                self.backends.record_end(entry, anyio.current_time())
            self.backends.lost(entry, anyio.current_time())
            raise RelayDeclinedError(RelayResult.NOT_SENT, str(error)) from error
        await self.check_run(entry, target, channel)
        now = anyio.current_time()
        # The sender has named the run, and cannot tell to which one this leads.
        known = self.backends.is_run_known(entry, channel.opened_at, now)
        if target.started_at is None or known:
            withheld = self.backends.admit(
                entry,
                now,
                version=target.version,
                opened_at=channel.opened_at,
                need=need,
                room=room,
            )
        else:
            withheld = Withheld(Cause.UNCONFIRMED)
        if withheld is None:
            return channel
        channel.keep_unused(now)
        await self.pool.put(backend.name, channel)
        raise RelayDeclinedError(RelayResult.WITHHELD, withheld.cause.value)

    async def check_run(
        self, entry: BackendEntry, target: RelayTarget, channel: Channel
    ) -> None:
        """Ask which run of a server a connection leads to, if the sender names one.

        Raises:
            RelayDeclinedError: The connection was closed, as that is not known.
        """
        if self.checks is None or (target.started_at, target.version) == (None, None):
            return
        if not await self.checks.check(entry, channel):
            cause = Cause.UNCONFIRMED.value
            raise RelayDeclinedError(RelayResult.WITHHELD, cause)


@define(eq=False)
class RelayedRequest:
    """One request of another router.

    Attributes:
        relay: The relay.
        connection: The sender's connection.
        head: The head of the request.
        body: The body of the request.
        caller: The decoded headers of the request.
        is_sent: Whether the server may have got any of it.
    """

    relay: RequestRelay
    connection: CallerConnection
    head: RequestHead
    body: bytes
    caller: CallerRequest
    is_sent: bool = False

    async def send(self, entry: BackendEntry, channel: Channel) -> None:
        """Send the request on a connection to a server, and pass the answer back.

        Raises:
            BackendLostError: No complete answer arrived.
        """
        backends, kept = self.relay.backends, False
        try:
            with entry.working(self.caller) as work:
                kept = await self.exchange(entry, channel, work)
        except BackendLostError:
            backends.failed(entry, anyio.current_time())
            raise
        finally:
            if not kept:
                await channel.close()
        if kept:
            await self.relay.pool.put(entry.backend.name, channel)

    async def exchange(
        self, entry: BackendEntry, channel: Channel, work: RequestWork
    ) -> bool:
        """Send the request and pass the answer back; return whether to keep a channel.

        Raises:
            BackendLostError: No complete answer arrived.
        """
        backends = self.relay.backends
        self.is_sent = True
        await channel.send(self.outbound())
        head, facts = await self.read_answer(entry, channel)
        if facts.not_run:
            backends.record_declined(entry, facts, anyio.current_time())
        elif head.status >= 500 and not facts.rest:
            backends.failed(entry, anyio.current_time())
        await self.return_answer(entry, channel, head, work)
        if head.status < 500:
            backends.succeeded(entry)
        return channel.finish(head, anyio.current_time())

    def outbound(self) -> Outbound:
        """Return the request as the sender would send it to the server."""
        head = self.head
        target = head.target.removeprefix(RELAY_PREFIX)
        fields = without_relay_fields(head.headers)
        return Outbound(head.method, target, fields, self.body, head.has_body)

    async def read_answer(
        self, entry: BackendEntry, channel: Channel
    ) -> tuple[AnswerHead, AnswerFacts]:
        """Return the head of the answer to this request, also decoded.

        Raises:
            BackendLostError: The connection broke, or answers to others came instead.
        """
        for _ in range(MAX_STRAY):
            head = await channel.read_head()
            facts = self.relay.dialect.read_answer(head.status, head.headers)
            now = anyio.current_time()
            entry.record_heard(now)
            self.relay.reach.record_heard(entry.backend.name, now)
            backends, request = self.relay.backends, self.caller.request_id
            if backends.strays.is_answer(entry, facts, request, channel.earlier):
                backends.record_statements(entry, facts, now)
                return head, facts
            backends.record_late(entry, facts)
            await channel.skip_answer()
        raise BackendLostError("too many answers to other requests")

    async def return_answer(
        self,
        entry: BackendEntry,
        channel: Channel,
        head: AnswerHead,
        work: RequestWork,
    ) -> None:
        """Pass an answer back as it arrives, each part at once.

        Raises:
            BackendLostError: The answer broke off.
        """
        fields = answer_fields(head, channel.end_stated)
        if head.status in BODILESS or self.head.method == b"HEAD":
            await channel.read_part()
            await send_bodiless(self.connection, head.status, fields)
            return
        start = self.connection.head(head.status, without_length(fields))
        await self.connection.stream.send(start)
        while (part := await channel.read_part()) is not None:
            entry.record_heard(anyio.current_time())
            work.mark_read()
            await self.connection.send(part)
        await self.connection.end()
