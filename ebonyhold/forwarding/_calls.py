"""Whole calls to one address, over connections that are kept."""

from __future__ import annotations

import anyio
from attrs import define, field

from ebonyhold.exceptions import BackendLostError
from ebonyhold.forwarding._attempt import read_rest
from ebonyhold.forwarding._channel import (
    CONNECT_TIMEOUT,
    AnswerHead,
    Channel,
    Outbound,
)
from ebonyhold.forwarding._exchange import WholeAnswer
from ebonyhold.forwarding._pool import ChannelPool
from ebonyhold.tasks import TaskStarter
from ebonyhold.types import Seconds

MOST_ANSWER = 33_554_432
"""Bytes of an answer to a call.

The changes of a table hold every version of a large row; a few hundred routes in ten
versions make some 2 MB, and a smaller bound would stop a reader at them for ever.
"""


class CallNotSentError(BackendLostError):
    """Nothing of a call has left, so it had no effect."""

    code = "call_not_sent"


@define(eq=False)
class HttpCalls:
    """Makes calls and reads their whole answers.

    It serves calls that are made all the time, at less processor time than a general
    client library takes; ``python -m ebonyhold.experiments.store_call`` compares them.

    Attributes:
        address: The host and port that are called.
        connect_timeout: The longest wait for a new connection.
        pool: The connections; None before `start`.
    """

    address: tuple[str, int]
    connect_timeout: Seconds = CONNECT_TIMEOUT
    pool: ChannelPool | None = field(default=None)

    def start(self, tasks: TaskStarter) -> None:
        """Take what starts the tasks in which connections are read."""
        self.pool = ChannelPool(tasks, connect_timeout=self.connect_timeout)

    @property
    def name(self) -> str:
        """Return the name under which connections are kept."""
        return f"{self.address[0]}:{self.address[1]}"

    async def call(self, request: Outbound, timeout: Seconds) -> WholeAnswer:
        """Make one call.

        Args:
            request: What to send.
            timeout: The longest time from sending to the end of the answer.

        Raises:
            CallNotSentError: There was no connection.
            BackendLostError: It was sent, and no whole answer came.
        """
        if self.pool is None:
            raise CallNotSentError("not started")
        try:
            channel = await self.pool.get(self.name, self.address)
        except BackendLostError as error:
            raise CallNotSentError(str(error)) from error
        kept = False
        try:
            answer = await self.converse(channel, request, timeout)
            kept = channel.finish(answer.head, anyio.current_time())
        finally:
            # A connection on which an answer was lost or cut short may deliver it
            # where the next call expects its own.
            if not kept:
                await channel.close()
        if kept:
            await self.pool.put(self.name, channel)
        return answer

    async def converse(
        self, channel: Channel, request: Outbound, timeout: Seconds
    ) -> WholeAnswer:
        """Send a request and read its answer.

        Raises:
            BackendLostError: No whole answer came in time.
        """
        with anyio.move_on_after(timeout):
            host = [(b"host", self.name.encode()), *request.headers]
            await channel.send(
                Outbound(
                    request.method, request.target, host, request.body, request.has_body
                )
            )
            head: AnswerHead = await channel.read_head()
            return WholeAnswer(head, await read_rest(channel, MOST_ANSWER))
        raise BackendLostError(f"no answer in {timeout} s")
