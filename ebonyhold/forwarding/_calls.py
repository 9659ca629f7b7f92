"""HTTP calls to one address over pooled connections, with answers read whole."""

from __future__ import annotations

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

MAX_ANSWER = 33_554_432
"""Size limit, in bytes, of the answer to a call.

The changes of a table include every version of a large row: a few hundred routes in ten
versions make some 2 MB. With a limit below that, reading these changes would always
fail.
"""


class CallNotSentError(BackendLostError):
    """The call was not sent, so it had no effect."""

    code = "call_not_sent"


@define(eq=False)
class HttpCalls:
    """Makes HTTP calls and reads their answers whole.

    It is meant for frequent calls and takes less processor time than a general client
    library; ``python -m ebonyhold.experiments.store_call`` compares the two.

    Attributes:
        address: The host and port to call.
        connect_timeout: Maximum time to wait for a new connection.
        pool: The connections; None before `start`.
    """

    address: tuple[str, int]
    connect_timeout: Seconds = CONNECT_TIMEOUT
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
            answer = await self.send_and_read(channel, request, timeout)
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
        self, channel: Channel, request: Outbound, timeout: Seconds
    ) -> WholeAnswer:
        """Send a request and read its answer.

        An answer that has arrived while this process was paused counts as in time.

        Raises:
            BackendLostError: No complete answer arrived in time.
        """
        answer: ArrivingAnswer | None = None
        with anyio.move_on_after(timeout) as scope:
            host = [(b"host", self.name.encode()), *request.headers]
            await channel.send(
                Outbound(
                    request.method, request.target, host, request.body, request.has_body
                )
            )
            answer = ArrivingAnswer(channel)
            return await answer.read()
        if answer is not None and was_paused(scope):
            with anyio.move_on_after(READ_TIME):
                return await answer.read()
        raise BackendLostError(f"no answer in {timeout} s")


@define(eq=False)
class ArrivingAnswer:
    """What was read of an answer.

    Attributes:
        channel: The connection.
        head: The head; None before it was read.
        body: The body, as far as it was read.
    """

    channel: Channel
    head: AnswerHead | None = None
    body: bytearray = field(factory=bytearray)

    async def read(self) -> WholeAnswer:
        """Return the whole answer; a call that was cancelled may be repeated.

        Raises:
            BackendLostError: It is incomplete, or larger than MAX_ANSWER.
        """
        if self.head is None:
            self.head = await self.channel.read_head()
        while (part := await self.channel.read_part()) is not None:
            self.body += part
            if len(self.body) > MAX_ANSWER:
                raise BackendLostError("the answer is too large")
        return WholeAnswer(self.head, bytes(self.body))
