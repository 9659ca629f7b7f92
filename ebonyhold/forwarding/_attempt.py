"""A single attempt to get an answer to a request from one backend server."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from contextlib import ExitStack

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
from ebonyhold.forwarding._crash_detection import Suspicion
from ebonyhold.forwarding._delivery import AnswerDelivery, read_rest
from ebonyhold.forwarding._dialect import Dialect
from ebonyhold.forwarding._endings import AnswerEnding
from ebonyhold.forwarding._entry import BackendEntry
from ebonyhold.forwarding._exchange import (
    AttemptEnd,
    AttemptResult,
    Exchange,
    ExpectedRead,
)
from ebonyhold.forwarding._memory import MemoryRoom
from ebonyhold.forwarding._paths import Paths
from ebonyhold.forwarding._relay import (
    NoPathError,
    Path,
    RelayAddress,
    RelayDeclinedError,
    RelayResult,
    RelayTarget,
    read_result,
    reads_end_stated,
    without_relay_fields,
)
from ebonyhold.forwarding._silence import SilenceOutcome, SilenceRecorder, StandbyResult
from ebonyhold.forwarding._silence_watch import SilenceError, SilenceWatch
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
from ebonyhold.types import BackendName, Seconds

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
        known: What was known of the crashes of the request when it was sent.
        room: The memory that it has at the server; None if it needs none.
        expected: What the server is expected to read before the first event; None if
            that is not known.
        on_sent: Called when the request has been sent.
        on_claim: Called when this attempt begins to write to the caller.
        relay: The router that sends the request to the server; None if this one does.
        version: The software version of the server's run that was connected to.
        watch: Waits for the server.
        held: What to give back when the attempt has ended.
        end: How it ended; None if it has not, or was cancelled.
        channel: The connection; None before and after the attempt.
        is_kept: Whether the connection can be reused.
        work: The load that the request adds to the server.
        answer: The head of the server's answer, once it was read.
        delivery: Passes the body on, once the answer has begun.
        is_replaced: Whether another attempt goes on in its place.
        silence: The text of the last silence, for logs.
        has_silence: Whether a silence of the server was logged that has not ended.
        kept_for: Why no other server got the request during it; None before.
        sent_at: When the request was sent; None before.
        has_begun: Whether the server has begun to answer.
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
    known: Suspicion = field(factory=Suspicion)
    room: MemoryRoom | None = None
    expected: ExpectedRead | None = None
    on_sent: Callable[[], None] = lambda: None
    on_claim: Callable[[], None] = lambda: None
    relay: RelayAddress | None = None
    version: SoftwareVersion = field(init=False)
    watch: SilenceWatch = field(init=False)
    held: ExitStack = field(init=False, factory=ExitStack)
    end: AttemptEnd | None = field(init=False, default=None)
    channel: Channel | None = field(init=False, default=None)
    is_kept: bool = field(init=False, default=False)
    work: RequestWork = field(init=False)
    answer: tuple[AnswerHead, AnswerFacts] | None = field(init=False, default=None)
    delivery: AnswerDelivery | None = field(init=False, default=None)
    is_replaced: bool = field(init=False, default=False)
    silence: str = field(init=False, default="")
    has_silence: bool = field(init=False, default=False)
    kept_for: StandbyResult | None = field(init=False, default=None)
    sent_at: Seconds | None = field(init=False, default=None)
    has_begun: bool = field(init=False, default=False)

    def __attrs_post_init__(self) -> None:
        self.version = self.entry.backend.version
        self.watch = SilenceWatch(self.exchange)

    async def run(self) -> AttemptResult:
        """Send the request and return how the attempt ended.

        A request that its server must not get after all is not sent. A failed
        connection and a missing or incomplete answer are recorded in
        `backends` and returned in the result; BackendLostError is not raised.

        If the server is silent, the attempt has not ended: its connection stays open
        until it has ended after `resume`, or `release` is called.
        """
        self.entry.suspects += self.suspect
        self.held.callback(self.clear_suspect)
        return await self.release_at_end(self.connect_and_send)

    async def resume(self) -> AttemptResult:
        """Go on waiting for a silent server; return as `run` does."""
        return await self.release_at_end(self.exchange_messages)

    async def release_at_end(
        self, step: Callable[[], Awaitable[AttemptResult]]
    ) -> AttemptResult:
        """Take a step; give back what is held, unless the server is silent."""
        result: AttemptResult | None = None
        try:
            result = await step()
            return result
        finally:
            if result is None or result.end is not AttemptEnd.SILENT:
                self.end = result.end if result is not None else None
                await self.release()

    async def release(self) -> None:
        """End the attempt; without effect if it has ended."""
        self.held.close()
        channel, self.channel = self.channel, None
        if channel is None:
            return
        self.end_silence(SilenceOutcome.UNANSWERED)
        if self.exchange.writer is self:
            self.exchange.writer = None
        if not self.entry.in_flight:
            self.paths.reach.record_idle(self.entry.backend.name)
        # Engines abort a request when its connection closes. If the connection
        # stayed open, the server would go on processing an abandoned request.
        if self.is_kept and self.end is not None:
            await self.paths.put(self.entry.backend, Path(channel, self.relay))
        else:
            await channel.close()

    def clear_suspect(self) -> None:
        """Count the request no more among those that may crash the server."""
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
        opened_at = path.channel.opened_at if path.relay is None else None
        if not await self.check_run(path):
            if not self.entry.states_no_start:
                self.exchange.tried.append(backend.name)
            reason = f"withheld: {Cause.UNCONFIRMED.value}"
            return AttemptResult(AttemptEnd.WITHHELD, reason=reason)
        now = anyio.current_time()
        withheld = self.backends.admit(
            self.entry,
            now,
            path.relay is not None,
            self.exchange.version,
            opened_at,
            self.exchange.need,
            self.room,
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
            replaced = self.streams.is_replaced(RunOfStream(self.entry, opened_at))
            self.version = UNKNOWN_VERSION if replaced else backend.version
        self.channel = path.channel
        self.work = self.held.enter_context(self.entry.working(self.exchange.caller))
        if path.relay is None:
            self.backends.time_answer(self.entry, self.work, now)
        return await self.exchange_messages()

    async def check_run(self, path: Path) -> bool:
        """Ask which run of the server a connection leads to, where that matters.

        A request that goes on with a stream waits for the answer. For one that begins a
        stream the server is asked over another connection.

        Returns:
            Whether the connection may be used; otherwise it was closed.
        """
        exchange, checks, channel = self.exchange, self.streams.checks, path.channel
        if checks is None:
            return True
        usable = False
        try:
            await self.streams.settle_own(exchange)
            if path.relay is not None:
                usable = True
            elif exchange.version is not None:
                time_left = exchange.deadline - anyio.current_time()
                usable = await checks.check(self.entry, channel, time_left)
            else:
                run = RunOfStream(self.entry, channel.opened_at)
                if exchange.match.route.resumable and self.streams.is_strict(run):
                    checks.confirm_soon(self.entry, channel.opened_at)
                usable = True
        finally:
            if not usable:
                await channel.close()
        return usable

    async def exchange_messages(self) -> AttemptResult:
        """Send the request, unless it was sent, and handle the answer."""
        channel = self.channel
        assert channel is not None
        try:
            result = await self.send_and_read(channel)
            self.exchange.endings.append(channel.ending)
        except SilenceError as error:
            if not self.has_silence:
                self.has_silence = True
                since = self.watch.waiting_since
                self.silences.began(self.exchange, self.entry, since)
            self.silence = str(error)
            return AttemptResult(AttemptEnd.SILENT, reason=self.silence)
        except RelayDeclinedError as declined:
            result = self.handle_relay_declined(declined)
        except BackendLostError as error:
            if self.relay is None:
                # A relay counts the failures of servers that it sees itself.
                self.backends.failed(self.entry, anyio.current_time())
            else:
                self.paths.use_last(self.relay)
            self.end_silence(SilenceOutcome.ENDED)
            self.exchange.endings.append(channel.ending)
            result = AttemptResult(AttemptEnd.LOST, reason=str(error), broken=True)
        return result

    async def send_and_read(self, channel: Channel) -> AttemptResult:
        """Send the request, unless it was sent, and handle the answer.

        Raises:
            RelayDeclinedError: The request was not sent to the server.
            SilenceError: The server is silent; a further call goes on.
            BackendLostError: No complete, stamped answer arrived in time.
        """
        exchange = self.exchange
        if self.answer is None:
            if self.sent_at is None:
                await self.send(channel)
            self.answer = await self.read_sent(channel)
        head, facts = self.answer
        if facts.not_run:
            exchange.possible_runs -= 1
            return await self.handle_declined(channel, head, facts)
        if 200 <= head.status < 300 and not facts.proof:
            raise BackendLostError("a success without the server's response stamp")
        if exchange.match.route.kind is RouteKind.STREAM and head.status == 200:
            await self.body_of(channel).relay_stream(head, self.work)
            self.backends.succeeded(self.entry, self.relay is not None)
            self.is_kept = self.finish(channel, head)
            return AttemptResult(AttemptEnd.DELIVERED, written=exchange.events > 0)
        if head.status < 500:
            self.work.record_begin()
        return await self.handle_whole(channel, head, facts)

    async def send(self, channel: Channel) -> None:
        """Send the request.

        Raises:
            BackendLostError: The connection broke.
        """
        exchange, name = self.exchange, self.entry.backend.name
        exchange.sends += 1
        exchange.tried.append(name)
        exchange.possible_runs += 1
        request = self.outbound()
        if self.relay is not None:
            request = self.relay.wrap(request, self.relay_target())
        else:
            self.paths.reach.record_sent(name, anyio.current_time())
        self.sent_at = anyio.current_time()
        self.on_sent()
        await channel.send(request)

    async def read_sent(self, channel: Channel) -> tuple[AnswerHead, AnswerFacts]:
        """Return the head of the answer; see `read_answer`.

        A request that a relay has not sent counts as not sent.
        """
        exchange = self.exchange
        try:
            return await self.read_answer(channel)
        except RelayDeclinedError:
            exchange.sends -= 1
            exchange.tried.remove(self.entry.backend.name)
            exchange.possible_runs -= 1
            raise

    async def claim(self) -> None:
        """Take the caller's answer, which only one attempt writes.

        If another attempt goes on in its place, this one is about to be cancelled.
        """
        if self.is_replaced:
            await anyio.sleep_forever()
        if self.exchange.writer is self:
            return
        self.record_begin()
        self.exchange.writer = self
        self.on_claim()

    def record_begin(self) -> None:
        """Record that the server has begun to answer."""
        if self.sent_at is not None and not self.has_begun:
            self.has_begun = True
            newest = self.entry.newest_answered
            self.entry.newest_answered = max(newest, self.sent_at)

    def leave(self, outcome: SilenceOutcome, to: BackendName) -> None:
        """Record that the silent server is left, whose connection is then closed.

        Args:
            outcome: What became of the silence.
            to: The server that goes on.
        """
        exchange, name = self.exchange, self.entry.backend.name
        if self.relay is None:
            self.backends.failed(self.entry, anyio.current_time())
        exchange.reasons.append(f"{name}: {self.silence}, {outcome.value}")
        exchange.endings.append(AnswerEnding.ABANDONED)
        exchange.left_silent |= outcome is SilenceOutcome.LEFT
        self.end_silence(outcome, to)

    def end_silence(self, outcome: SilenceOutcome, to: BackendName = "") -> None:
        """Record what became of a silence, if there is one."""
        if self.has_silence:
            self.has_silence = False
            self.kept_for = None
            # Servers that could not be reached meanwhile may be back.
            self.exchange.try_again_elsewhere()
            since = self.watch.waiting_since
            self.silences.ended(self.exchange, self.entry, since, outcome, to)

    def relay_target(self) -> RelayTarget:
        """Return where a relay is to send the request."""
        backend = self.entry.backend
        several = self.backends.versions.are_several(backend.service)
        resumable = self.exchange.match.route.resumable
        named = several or (resumable and not self.backends.is_current)
        started_at = backend.started_at if named else None
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
        late answer to an earlier request. What it states concerns that one alone, also
        that it has not run.

        Raises:
            RelayDeclinedError: The relay has not sent the request.
            SilenceError: The server is silent; a further call goes on.
            BackendLostError: The connection broke, MAX_STRAY answers were skipped, or a
                rejection may be that of another request.
        """
        for _ in range(MAX_STRAY):
            if channel.is_skipping:
                await self.watch.read(channel.skip_answer, "no answer in time")
            head = await self.watch.read(channel.read_head, "no answer in time")
            if self.relay is not None:
                channel.end_stated &= reads_end_stated(head.headers)
                head = check_relayed(head)
            self.record_heard()
            facts = self.dialect.read_answer(head.status, head.headers)
            request, earlier = self.exchange.caller.request_id, channel.earlier
            if self.backends.strays.is_answer(self.entry, facts, request, earlier):
                now = anyio.current_time()
                self.backends.record_statements(self.entry, facts, now)
                return head, facts
            self.backends.record_late(self.entry, facts)
            if self.relay is not None:
                # A relay answers each request once, so no other answer follows.
                raise BackendLostError("the relay passed on another request's answer")
            channel.is_skipping = True
        raise BackendLostError("too many answers to other requests")

    def record_heard(self) -> None:
        """Record that the server has sent something to this router."""
        now = anyio.current_time()
        self.entry.record_heard(now)
        if self.relay is None:
            self.paths.reach.record_heard(self.entry.backend.name, now)
        self.watch.is_silent = False
        self.end_silence(SilenceOutcome.WENT_ON)

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
    ) -> AttemptResult:
        """Handle an answer which states that the server did not run the request."""
        await read_rest(channel)
        self.backends.record_declined(self.entry, facts, anyio.current_time())
        reason = "moved" if facts.moved else f"declined with {head.status}"
        self.is_kept = self.finish(channel, head)
        return AttemptResult(AttemptEnd.NOT_RUN, reason=reason)

    async def handle_whole(
        self, channel: Channel, head: AnswerHead, facts: AnswerFacts
    ) -> AttemptResult:
        """Read a whole answer; pass it on unless it is a server error.

        An answer with status 500 or above is returned in the result, so that the
        request can be retried. It counts as a failure of the server, unless the server
        asks for rest in it.

        Raises:
            BackendLostError: The answer is incomplete or too large, or a part of a
                stream was already sent to the caller.
        """
        answer = await self.body_of(channel).read_whole(head)
        self.is_kept = self.finish(channel, head)
        exchange = self.exchange
        if head.status >= 500:
            if not facts.rest:
                relayed = self.relay is not None
                self.backends.failed(self.entry, anyio.current_time(), relayed)
            reason = f"answered {head.status}"
            return AttemptResult(AttemptEnd.FAILED, answer, reason)
        self.backends.succeeded(self.entry, self.relay is not None)
        if exchange.connection.started:
            self.is_kept = False
            raise BackendLostError(f"status {head.status} to a resumed stream")
        await self.claim()
        await exchange.deliver(answer)
        written = 200 <= head.status < 300
        return AttemptResult(AttemptEnd.DELIVERED, written=written)

    def body_of(self, channel: Channel) -> AnswerDelivery:
        """Return what passes the body of the answer on."""
        if self.delivery is None:
            run = None if self.relay else RunOfStream(self.entry, channel.opened_at)
            self.delivery = AnswerDelivery(
                self.exchange,
                self.entry.backend,
                self.version,
                channel,
                self.paths,
                self.streams,
                self.watch,
                self.record_heard,
                self.claim,
                run,
            )
        return self.delivery

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
