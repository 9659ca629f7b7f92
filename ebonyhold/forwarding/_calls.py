"""HTTP calls to one address over pooled connections, with answers read whole."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

import anyio
from attrs import define, field

from ebonyhold.exceptions import BackendLostError
from ebonyhold.forwarding._channel import (
    CONNECT_TIMEOUT,
    AnswerHead,
    Channel,
    Outbound,
)
from ebonyhold.forwarding._exchange import WholeAnswer
from ebonyhold.forwarding._pool import ChannelPool
from ebonyhold.pauses import READ_TIME, was_paused
from ebonyhold.tasks import TaskStarter
from ebonyhold.types import Seconds

MAX_ANSWER = 65_536
"""Size limit, in bytes, of an answer that states a few numbers or names."""

MAX_TOGETHER = 4_194_304
"""Size limit, in bytes, of the answers to all calls of a kind that are under way."""


class CallNotSentError(BackendLostError):
    """The call was not sent, so it had no effect."""

    code = "call_not_sent"


class AnswerTooLargeError(BackendLostError):
    """The call was sent, and its answer is larger than any of its kind."""

    code = "answer_too_large"


@define(eq=False)
class AnswerBounds:
    """Bounds what is held of the answers to calls of one kind.

    The load handled here is a peer that sends bytes without end, on many connections at
    once. An answer within an equal share of the bound never fails for others.

    Attributes:
        each: Bytes above which an answer is given up.
        together: Bytes of all answers above which those with more than an equal share
            are given up.
        calls: Number of calls under way.
        held: The bytes held of their answers.
    """

    each: int = MAX_ANSWER
    together: int = MAX_TOGETHER
    calls: int = 0
    held: int = 0

    @contextmanager
    def arriving(self, channel: Channel) -> Iterator[ArrivingAnswer]:
        """Count what is held of an answer within the block."""
        answer = ArrivingAnswer(channel, self)
        self.calls += 1
        try:
            yield answer
        finally:
            self.calls -= 1
            self.held -= len(answer.body)

    def check(self, size: int) -> None:
        """Check the size of an answer that has grown.

        Raises:
            AnswerTooLargeError: It is larger than any of its kind.
            BackendLostError: The answers together are too large, and it is one of the
                larger ones.
        """
        if size > self.each:
            raise AnswerTooLargeError("the answer is too large")
        if self.held > self.together and size * self.calls > self.together:
            raise BackendLostError("the answers under way are too large")


@define(eq=False)
class HttpCalls:
    """Makes HTTP calls and reads their answers whole.

    It is meant for frequent calls and takes less processor time than a general client
    library; ``python -m ebonyhold.experiments.store_call`` compares the two.

    Attributes:
        address: The host and port to call.
        connect_timeout: Maximum time to wait for a new connection.
        bounds: Bounds the answers, also those of other addresses that share it.
        pool: The connections; None before `start`.
    """

    address: tuple[str, int]
    connect_timeout: Seconds = CONNECT_TIMEOUT
    bounds: AnswerBounds = field(factory=AnswerBounds)
    pool: ChannelPool | None = field(default=None)

    def start(self, tasks: TaskStarter) -> None:
        """Create the connection pool, whose reading tasks run in ``tasks``."""
        self.pool = ChannelPool(tasks, connect_timeout=self.connect_timeout)

    @property
    def name(self) -> str:
        """The key of this address in the connection pool."""
        return f"{self.address[0]}:{self.address[1]}"

    async def call(self, request: Outbound, timeout: Seconds) -> WholeAnswer:
        """Make one call.

        Args:
            request: The request to send.
            timeout: Maximum time from sending to the end of the answer, in seconds; the
                time to connect comes on top.

        Raises:
            CallNotSentError: `start` was not called, or no connection could be made.
            BackendLostError: The call was sent, but no complete answer arrived.
        """
        if self.pool is None:
            raise CallNotSentError("not started")
        try:
            channel = await self.pool.get(self.name, self.address)
        except BackendLostError as error:
            raise CallNotSentError(str(error)) from error
        kept = False
        try:
            with self.bounds.arriving(channel) as arriving:
                answer = await self.send_and_read(arriving, request, timeout)
            kept = channel.finish(answer.head, anyio.current_time())
        finally:
            # An answer that was not read to its end could be taken for the answer to
            # the next call.
            if not kept:
                await channel.close()
        if kept:
            await self.pool.put(self.name, channel)
        return answer

    async def send_and_read(
        self, answer: ArrivingAnswer, request: Outbound, timeout: Seconds
    ) -> WholeAnswer:
        """Send a request and read its answer.

        An answer that has arrived while this process was paused counts as in time.

        Raises:
            BackendLostError: No complete answer arrived in time.
        """
        sent = False
        with anyio.move_on_after(timeout) as scope:
            host = [(b"host", self.name.encode()), *request.headers]
            await answer.channel.send(
                Outbound(
                    request.method, request.target, host, request.body, request.has_body
                )
            )
            sent = True
            return await answer.read()
        if sent and was_paused(scope):
            with anyio.move_on_after(READ_TIME):
                return await answer.read()
        raise BackendLostError(f"no answer in {timeout} s")


@define(eq=False)
class ArrivingAnswer:
    """What was read of an answer.

    Attributes:
        channel: The connection.
        bounds: Bounds its size.
        head: The head; None before it was read.
        body: The body, as far as it was read.
    """

    channel: Channel
    bounds: AnswerBounds
    head: AnswerHead | None = None
    body: bytearray = field(factory=bytearray)

    async def read(self) -> WholeAnswer:
        """Return the whole answer; a call that was cancelled may be repeated.

        Raises:
            BackendLostError: It is incomplete or too large; see `AnswerBounds`.
        """
        if self.head is None:
            self.head = await self.channel.read_head()
        while (part := await self.channel.read_part()) is not None:
            self.body += part
            self.bounds.held += len(part)
            self.bounds.check(len(self.body))
        return WholeAnswer(self.head, bytes(self.body))
