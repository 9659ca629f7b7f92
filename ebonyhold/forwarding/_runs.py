"""Asks servers which run of theirs a connection leads to.

A server may restart under its name with another software version, and the list show
that late. A connection leads to one process for its life, and a server's report states
when its process has started. So a report with the start that is listed proves that this
run was still there when it was asked for, and that each connection opened by then leads
to it. An earlier run's connections have ended.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable
from contextlib import suppress
from enum import Enum

import anyio
from attrs import define, field

from ebonyhold.exceptions import BackendLostError, MalformedEntryError
from ebonyhold.forwarding._backends import BackendTable
from ebonyhold.forwarding._calls import AnswerBounds
from ebonyhold.forwarding._channel import Channel, ConnectRefusedError, Outbound
from ebonyhold.forwarding._entry import BackendEntry
from ebonyhold.forwarding._exchange import WholeAnswer
from ebonyhold.forwarding._pool import ChannelPool
from ebonyhold.types import Seconds

log = logging.getLogger(__name__)

ANSWER_TIMEOUT: Seconds = 0.25
"""Timeout of a question, which a server answers without a slot."""

MAX_SHARE = 0.25
"""Maximum share of the time that a request has left for a question before it."""

MAX_REPORT = 262_144
"""Size limit, in bytes, of a report, which lists the requests of a server."""

MAX_QUESTIONS = 2
"""Number of questions after which a run that nothing confirms stays in doubt."""


class RunAnswer(Enum):
    """What a server's report has told of its run.

    Attributes:
        LISTED: The listed run has answered.
        OTHER: A later run has answered.
        NOT_STATED: The server has no report, or it does not state the start.
        LOST: No usable answer arrived in time.
    """

    LISTED = "listed"
    OTHER = "other"
    NOT_STATED = "not_stated"
    LOST = "lost"


def read_no_start(body: bytes) -> int:
    """Return that a report does not state the start, where servers give none."""
    del body
    return 0


@define(eq=False)
class Question:
    """A question that a server is being asked.

    Attributes:
        asked_at: When it was asked.
        done: Set when it ends.
    """

    asked_at: Seconds
    done: anyio.Event = field(factory=anyio.Event)


@define(eq=False)
class RunChecks:
    """Confirms the runs of servers that the list cannot vouch for.

    Attributes:
        backends: The known servers.
        pool: The connections to servers.
        target: The path of the servers' reports; empty if they give none.
        read_start: Decodes the start that a report states, in milliseconds since the
            epoch; 0 if it states none.
        on_answer: Called with what a report has told, for metrics.
        on_unproved: Called with a run once it is known that its report will not vouch
            for connections that were in doubt.
        asking: The servers that are being asked by `confirm`.
        bounds: Bounds the reports.
    """

    backends: BackendTable
    pool: ChannelPool
    target: bytes = b""
    read_start: Callable[[bytes], int] = read_no_start
    on_answer: Callable[[RunAnswer], None] = lambda answer: None
    on_unproved: Callable[[BackendEntry], None] = lambda entry: None
    asking: dict[BackendEntry, Question] = field(factory=dict)
    bounds: AnswerBounds = field(factory=lambda: AnswerBounds(MAX_REPORT))

    def are_in_doubt(self, entry: BackendEntry, opened_at: Seconds) -> bool:
        """Return whether a server is to be asked which run a connection leads to."""
        return (
            bool(self.target and entry.backend.started_at)
            and not (entry.states_no_start or entry.is_replaced)
            and self.backends.states_versions(entry.backend.service)
            and not self.backends.is_run_proved(entry, opened_at, anyio.current_time())
        )

    async def check(
        self, entry: BackendEntry, channel: Channel, time_left: Seconds = math.inf
    ) -> bool:
        """Ask on an unused connection which run it leads to, if that is in doubt.

        Args:
            entry: The run that is listed.
            channel: The connection.
            time_left: The time that the request has which is to be sent on it.

        Returns:
            Whether the connection may be used; otherwise it was closed.
        """
        if not self.are_in_doubt(entry, channel.opened_at):
            return True
        usable = False
        timeout = min(ANSWER_TIMEOUT, time_left * MAX_SHARE)
        try:
            reusable = await self.ask(entry, channel, timeout)
            usable = reusable and not self.are_in_doubt(entry, channel.opened_at)
        finally:
            if not usable:
                await channel.close()
        return usable

    def confirm_soon(self, entry: BackendEntry, opened_at: Seconds) -> None:
        """Let another task ask about a connection that is in use."""
        if self.are_in_doubt(entry, opened_at):
            self.pool.tasks.start_soon(self.confirm, entry, opened_at)

    async def confirm(self, entry: BackendEntry, opened_at: Seconds) -> None:
        """Ask about a connection that is in use, over another one.

        A server gets one question at a time; one that was asked after the connection
        was opened serves all.
        """
        questions = 0
        while questions < MAX_QUESTIONS and self.are_in_doubt(entry, opened_at):
            running = self.asking.get(entry)
            if running is not None:
                questions += running.asked_at > opened_at
                await running.done.wait()
                continue
            questions += 1
            question = self.asking[entry] = Question(anyio.current_time())
            try:
                await self.ask_elsewhere(entry, new=questions > 1)
            finally:
                del self.asking[entry]
                question.done.set()

    async def ask_elsewhere(self, entry: BackendEntry, new: bool) -> None:
        """Ask a server over a connection that is not in use, or a new one."""
        name, address = entry.backend.name, entry.backend.address
        connect = self.pool.connect if new else self.pool.get
        try:
            channel = await connect(name, address)
        except BackendLostError as error:
            if isinstance(error, ConnectRefusedError):
                self.backends.record_end(entry, anyio.current_time())
            self.on_answer(RunAnswer.LOST)
            return
        usable = False
        try:
            usable = await self.ask(entry, channel, ANSWER_TIMEOUT)
        finally:
            if not usable:
                await channel.close()
        if usable:
            await self.pool.put(name, channel)

    async def ask(
        self, entry: BackendEntry, channel: Channel, timeout: Seconds
    ) -> bool:
        """Ask on a connection; return whether it can be reused."""
        asked_at, usable, started_at = anyio.current_time(), False, -1
        with anyio.move_on_after(timeout), suppress(BackendLostError):
            answer = await self.read_report(channel)
            started_at = self.start_in(answer)
            usable = channel.finish(answer.head, anyio.current_time())
        self.on_answer(self.record(entry, channel, asked_at, started_at))
        return usable

    def start_in(self, answer: WholeAnswer) -> int:
        """Return the start that a report states; 0 if it states none."""
        try:
            return self.read_start(answer.body) if answer.head.status == 200 else 0
        except MalformedEntryError:
            return 0

    async def read_report(self, channel: Channel) -> WholeAnswer:
        """Return a server's report.

        Raises:
            BackendLostError: It is incomplete or too large.
        """
        host, port = channel.address
        fields = [(b"host", f"{host}:{port}".encode())]
        await channel.send(Outbound(b"GET", self.target, fields, b"", False))
        with self.bounds.arriving(channel) as answer:
            return await answer.read()

    def record(
        self,
        entry: BackendEntry,
        channel: Channel,
        asked_at: Seconds,
        started_at: int,
    ) -> RunAnswer:
        """Record what a report has told.

        Args:
            entry: The run that is listed.
            channel: The connection.
            asked_at: When the report was asked for.
            started_at: The start that it states; 0 if none, negative if no report came.
        """
        listed_at = entry.backend.started_at
        if started_at == listed_at:
            entry.confirmed_at = max(entry.confirmed_at, asked_at)
            return RunAnswer.LISTED
        if started_at == 0:
            # On a connection that was used, a late answer to a request may have come.
            if not (entry.states_no_start or channel.earlier):
                entry.states_no_start = True
                self.on_unproved(entry)
            return RunAnswer.NOT_STATED
        if started_at < listed_at:
            return RunAnswer.LOST
        if not entry.is_replaced:
            before = math.nextafter(channel.opened_at, -math.inf)
            now = anyio.current_time()
            self.backends.record_replaced(entry, before, now)
            log.info(
                "server ended, by its report", extra={"backend": entry.backend.name}
            )
            self.on_unproved(entry)
        return RunAnswer.OTHER
