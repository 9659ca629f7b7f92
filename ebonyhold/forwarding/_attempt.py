"""A single attempt to get an answer to a request from one backend server."""

from __future__ import annotations

import logging

import anyio
from attrs import Factory, define, field

from ebonyhold.exceptions import BackendLostError
from ebonyhold.forwarding._backends import BackendTable
from ebonyhold.forwarding._channel import (
    MAX_STRAY,
    AnswerHead,
    Channel,
    ConnectRefusedError,
    Outbound,
)
from ebonyhold.forwarding._delivery import (
    AnswerDelivery,
    SilenceError,
    answer_timeout,
    read_rest,
)
from ebonyhold.forwarding._dialect import Dialect
from ebonyhold.forwarding._entry import BackendEntry
from ebonyhold.forwarding._exchange import (
    AttemptEnd,
    AttemptResult,
    Exchange,
)
from ebonyhold.forwarding._paths import Paths
from ebonyhold.forwarding._relay import (
    NoPathError,
    RelayAddress,
    RelayDeclinedError,
    RelayResult,
    RelayTarget,
    read_result,
    reads_end_stated,
    without_relay_fields,
)
from ebonyhold.forwarding._silence import SilenceOutcome, SilenceRecorder
from ebonyhold.forwarding._streams import (
    UNKNOWN_VERSION,
    RunOfStream,
    StreamVersions,
)
from ebonyhold.forwarding._types import (
    AnswerFacts,
    Dispatch,
    RouteKind,
    SoftwareVersion,
)
from ebonyhold.forwarding._withheld import Cause
from ebonyhold.forwarding._work import RequestWork
from ebonyhold.types import Seconds

log = logging.getLogger(__name__)


@define(eq=False)
class Attempt:
    """Sends a request to one backend server and passes its answer on to the caller.

    Attributes:
        exchange: The request.
        entry: The server.
        paths: Opens the ways to servers.
        backends: Records failures.
        dialect: Decodes and encodes header fields.
        streams: Records which version began a stream.
        silences: Logs and counts silences of servers.
        suspect: Whether the request may crash the server.
        relay: The router that sends the request to the server; None if this one does.
        version: The software version of the server's run that was connected to.
        heard_at: When the server last sent something, or was sent the request.
    """

    exchange: Exchange
    entry: BackendEntry
    paths: Paths
    backends: BackendTable
    dialect: Dialect
    streams: StreamVersions
    silences: SilenceRecorder = Factory(
        lambda self: SilenceRecorder(self.backends), takes_self=True
    )
    suspect: bool = False
    relay: RelayAddress | None = None
    version: SoftwareVersion = field(init=False)
    heard_at: Seconds = field(init=False, default=0.0)

    def __attrs_post_init__(self) -> None:
        self.version = self.entry.backend.version

    async def run(self) -> AttemptResult:
        """Send the request and return how the attempt ended.

        A request that its server must not get after all is not sent. A failed
        connection and a missing or incomplete answer are recorded in
        `backends` and returned in the result; BackendLostError is not raised.
        """
        self.entry.suspects += self.suspect
        try:
            return await self.connect_and_send()
        finally:
            self.entry.suspects -= self.suspect

    async def connect_and_send(self) -> AttemptResult:
        """Send the request on a connection and return how the attempt ended."""
        backend = self.entry.backend
        try:
            path = await self.paths.open(backend)
        except NoPathError as error:
            return AttemptResult(AttemptEnd.NO_PATH, reason=str(error))
        except BackendLostError as error:
            if isinstance(error, ConnectRefusedError):
                self.backends.record_end(self.entry, anyio.current_time())
            self.backends.lost(self.entry, anyio.current_time())
            return AttemptResult(AttemptEnd.NOT_SENT, reason=str(error))
        self.relay = path.relay
        now = anyio.current_time()
        opened_at = path.channel.opened_at if path.relay is None else None
        withheld = self.backends.admit(
            self.entry,
            now,
            path.relay is not None,
            self.exchange.version,
            opened_at,
            self.exchange.need,
            self.exchange.room,
        )
        if withheld is not None:
            path.channel.keep_unused(now)
            await self.paths.put(backend, path)
            if withheld.cause is Cause.UNCONFIRMED:
                # It would be chosen again, since this is known of a connection alone.
                self.exchange.tried.append(backend.name)
            reason = f"withheld: {withheld.cause.value}"
            return AttemptResult(AttemptEnd.WITHHELD, reason=reason)
        if opened_at is not None:
            known = self.backends.is_run_known(self.entry, opened_at, now)
            self.version = backend.version if known else UNKNOWN_VERSION
        kept = False
        try:
            with self.entry.working(self.exchange.caller) as work:
                if path.relay is None:
                    self.backends.time_answer(self.entry, work, now)
                result, kept = await self.send_and_read(path.channel, work)
            self.exchange.endings.append(path.channel.ending)
        except RelayDeclinedError as declined:
            result = self.handle_relay_declined(declined)
        except BackendLostError as error:
            if path.relay is None:
                # A relay counts the failures of servers that it sees itself.
                self.backends.failed(self.entry, anyio.current_time())
            self.exchange.endings.append(path.channel.ending)
            silent = isinstance(error, SilenceError)
            if silent:
                self.silences.began(self.exchange, self.entry, self.heard_at)
                self.silences.ended(self.exchange, SilenceOutcome.LEFT)
            result = AttemptResult(
                AttemptEnd.LOST, reason=str(error), broken=not silent, silent=silent
            )
        finally:
            if not self.entry.in_flight:
                self.paths.reach.record_idle(backend.name)
            # Engines abort a request when its connection closes. If the connection
            # stayed open, the server would go on processing an abandoned request.
            if not kept:
                await path.channel.close()
        if kept:
            await self.paths.put(backend, path)
        return result

    async def send_and_read(
        self, channel: Channel, work: RequestWork
    ) -> tuple[AttemptResult, bool]:
        """Send the request and handle the answer.

        Args:
            channel: The connection.
            work: The load that the request adds to the server.

        Returns:
            The result, and whether the connection can be reused.

        Raises:
            RelayDeclinedError: The request was not sent to the server.
            BackendLostError: No complete, stamped answer arrived in time.
        """
        exchange, name = self.exchange, self.entry.backend.name
        exchange.sends += 1
        exchange.tried.append(name)
        before = exchange.may_have_run
        exchange.may_have_run = True
        request = self.outbound()
        if self.relay is not None:
            request = self.relay.wrap(request, self.relay_target())
        else:
            self.paths.reach.record_sent(name, anyio.current_time())
        await channel.send(request)
        self.heard_at = anyio.current_time()
        try:
            head, facts = await self.read_answer(channel)
        except RelayDeclinedError:
            exchange.sends -= 1
            exchange.tried.remove(name)
            exchange.may_have_run = before
            raise
        if facts.not_run:
            exchange.may_have_run = before
            return await self.handle_declined(channel, head, facts)
        if 200 <= head.status < 300 and not facts.proof:
            raise BackendLostError("a success without the server's response stamp")
        if exchange.match.route.kind is RouteKind.STREAM and head.status == 200:
            await self.delivery(channel).relay_stream(head, work)
            self.backends.succeeded(self.entry, self.relay is not None)
            result = AttemptResult(AttemptEnd.DELIVERED, written=exchange.events > 0)
            return result, self.finish(channel, head)
        if head.status < 500:
            work.record_begin()
        return await self.handle_whole(channel, head, facts)

    def relay_target(self) -> RelayTarget:
        """Return where a relay is to send the request."""
        backend = self.entry.backend
        several = self.backends.versions.are_several(backend.service)
        started_at = backend.started_at if several else None
        return RelayTarget(backend.name, started_at, self.exchange.version)

    def outbound(self) -> Outbound:
        """Return the request as it is sent to this server."""
        exchange = self.exchange
        workspace = exchange.match.workspace
        resumes = exchange.events > 0
        dispatch = Dispatch(
            backend=self.entry.backend.name,
            workspace=workspace.name if workspace else "",
            priority=exchange.match.priority,
            time_left=exchange.deadline - anyio.current_time(),
            resume_after=exchange.last_event if resumes else None,
        )
        head = exchange.head
        fields = self.dialect.dispatch_headers(head.headers, dispatch)
        return Outbound(head.method, head.target, fields, exchange.body, head.has_body)

    async def read_answer(self, channel: Channel) -> tuple[AnswerHead, AnswerFacts]:
        """Return the head of the answer to this request, also decoded.

        Answers with another request identifier are skipped: a server may send a second,
        late answer to an earlier request. An answer which states that the server did
        not run the request is returned whatever its identifier.

        Raises:
            RelayDeclinedError: The relay has not sent the request.
            BackendLostError: No answer arrived in time, the connection broke, or
                MAX_STRAY answers were skipped.
        """
        for _ in range(MAX_STRAY):
            head = await self.read_next_head(channel)
            if self.relay is not None:
                channel.end_stated &= reads_end_stated(head.headers)
                head = check_relayed(head)
            facts = self.dialect.read_answer(head.status, head.headers)
            now = anyio.current_time()
            self.backends.record_statements(self.entry, facts, now)
            if facts.request_id == self.exchange.caller.request_id:
                return head, facts
            if facts.not_run:
                return head, facts
            log.warning("skipping an answer to another request", extra=self.fields())
            await channel.skip_answer()
        raise BackendLostError("too many answers to other requests")

    async def read_next_head(self, channel: Channel) -> AnswerHead:
        """Return the head of the next answer; raise SilenceError on timeout."""
        with anyio.move_on_after(answer_timeout(self.exchange)):
            head = await channel.read_head()
            self.record_heard()
            return head
        raise SilenceError("no answer in time")

    def record_heard(self) -> None:
        """Record that the server has sent something to this router."""
        self.heard_at = self.entry.heard_at = anyio.current_time()
        if self.relay is None:
            self.paths.reach.record_heard(self.entry.backend.name, self.heard_at)

    def handle_relay_declined(self, declined: RelayDeclinedError) -> AttemptResult:
        """Return the result of an attempt whose relay has not sent the request."""
        reason = f"relay: {declined}"
        if declined.result is RelayResult.WITHHELD:
            self.exchange.tried.append(self.entry.backend.name)
            return AttemptResult(AttemptEnd.WITHHELD, reason=reason)
        if declined.result is RelayResult.NOT_SENT:
            self.backends.lost(self.entry, anyio.current_time(), relayed=True)
            return AttemptResult(AttemptEnd.NOT_SENT, reason=reason)
        if self.relay is not None:
            self.paths.avoid(self.relay)
        return AttemptResult(AttemptEnd.NO_PATH, reason=reason)

    async def handle_declined(
        self, channel: Channel, head: AnswerHead, facts: AnswerFacts
    ) -> tuple[AttemptResult, bool]:
        """Handle an answer which states that the server did not run the request."""
        await read_rest(channel)
        self.backends.record_declined(self.entry, facts, anyio.current_time())
        reason = "moved" if facts.moved else f"declined with {head.status}"
        result = AttemptResult(AttemptEnd.NOT_RUN, reason=reason)
        return result, self.finish(channel, head)

    async def handle_whole(
        self, channel: Channel, head: AnswerHead, facts: AnswerFacts
    ) -> tuple[AttemptResult, bool]:
        """Read a whole answer; pass it on unless it is a server error.

        An answer with status 500 or above is returned in the result, so that the
        request can be retried. It counts as a failure of the server, unless the server
        asks for rest in it.

        Raises:
            BackendLostError: The answer is incomplete or too large, or a part of a
                stream was already sent to the caller.
        """
        answer = await self.delivery(channel).read_whole(head)
        kept = self.finish(channel, head)
        exchange = self.exchange
        if head.status >= 500:
            if not facts.rest:
                relayed = self.relay is not None
                self.backends.failed(self.entry, anyio.current_time(), relayed)
            reason = f"answered {head.status}"
            return AttemptResult(AttemptEnd.FAILED, answer, reason), kept
        self.backends.succeeded(self.entry, self.relay is not None)
        if exchange.connection.started:
            raise BackendLostError(f"status {head.status} to a resumed stream")
        await exchange.deliver(answer)
        written = 200 <= head.status < 300
        return AttemptResult(AttemptEnd.DELIVERED, written=written), kept

    def delivery(self, channel: Channel) -> AnswerDelivery:
        """Return what passes the body of an answer on."""
        run = None if self.relay else RunOfStream(self.entry, channel.opened_at)
        return AnswerDelivery(
            self.exchange,
            self.entry.backend,
            self.version,
            channel,
            self.paths,
            self.streams,
            self.record_heard,
            run,
        )

    def finish(self, channel: Channel, head: AnswerHead) -> bool:
        """Prepare the connection for another request; return whether it is reusable."""
        return channel.finish(head, anyio.current_time())

    def fields(self) -> dict[str, object]:
        """Return the log fields that identify this attempt."""
        return {
            "request": self.exchange.caller.request_id,
            "backend": self.entry.backend.name,
        }


def check_relayed(head: AnswerHead) -> AnswerHead:
    """Return the head of a server's answer as it was before a relay passed it on.

    Raises:
        RelayDeclinedError: The request was not sent to the server.
        BackendLostError: The server has not answered it, or this is no relay's answer.
    """
    result = read_result(head.headers)
    if result is RelayResult.ANSWERED:
        return AnswerHead(head.status, without_relay_fields(head.headers))
    if result is None or result is RelayResult.LOST:
        raise BackendLostError("lost beyond the relay")
    raise RelayDeclinedError(result, result.value)
