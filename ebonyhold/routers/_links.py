"""The sockets towards other routers: one task and one short queue for each."""

from __future__ import annotations

from collections import OrderedDict

import anyio
import pynng
from anyio.abc import TaskGroup
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream
from attrs import define

from ebonyhold.types import Seconds

MAX_LINKS = 128
"""Sockets that are open at once; the least recently used closes first.

As many are open towards this router on average: together a quarter of the 1024
files that a process may usually open.
"""

QUEUE = 32
"""Messages that wait for one peer; more are dropped."""

IDLE_TIMEOUT: Seconds = 900.0
"""Longer than a round of probes; opening a link anew costs more than a message."""
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 2000


@define
class LinkCounters:
    """What became of messages on their way out."""

    sent: int = 0
    sent_bytes: int = 0
    dropped: int = 0


class Links:
    """The open sockets by address.

    Attributes:
        tasks: Where the links' tasks run.
        queues: The queue of each open link, the most recently used last.
        counters: What became of the messages.
    """

    def __init__(self, tasks: TaskGroup) -> None:
        self.tasks = tasks
        self.queues: OrderedDict[str, MemoryObjectSendStream[bytes]] = OrderedDict()
        self.counters = LinkCounters()

    def put(self, address: str, data: bytes) -> None:
        """Queue a message; it is dropped when the queue is full.

        A peer that takes nothing must not hold up what goes to the others, so
        nothing here waits.
        """
        queue = self.queues.get(address) or self.open(address)
        self.queues.move_to_end(address)
        try:
            queue.send_nowait(data)
        except (anyio.WouldBlock, anyio.BrokenResourceError):
            self.counters.dropped += 1

    def open(self, address: str) -> MemoryObjectSendStream[bytes]:
        """Start a link's task and return its queue."""
        queue, receive = anyio.create_memory_object_stream[bytes](QUEUE)
        self.queues[address] = queue
        if len(self.queues) > MAX_LINKS:
            _, oldest = self.queues.popitem(last=False)
            oldest.close()
        self.tasks.start_soon(self.run_link, address, queue, receive)
        return queue

    async def run_link(
        self,
        address: str,
        queue: MemoryObjectSendStream[bytes],
        receive: MemoryObjectReceiveStream[bytes],
    ) -> None:
        """Own one socket until it has been idle, or the queue is closed."""
        try:
            with receive, open_socket(address) as socket:
                await self.drain(socket, receive)
        except pynng.NNGException:
            self.counters.dropped += 1
        finally:
            queue.close()
            if self.queues.get(address) is queue:
                del self.queues[address]

    async def drain(
        self, socket: pynng.Push0, receive: MemoryObjectReceiveStream[bytes]
    ) -> None:
        """Send what is queued, each message within a time limit."""
        while True:
            data = None
            with anyio.move_on_after(IDLE_TIMEOUT):
                try:
                    data = await receive.receive()
                except anyio.EndOfStream:
                    return
            if data is None:
                return
            self.send(socket, data)

    def send(self, socket: pynng.Push0, data: bytes) -> None:
        """Send one message, or drop it when the socket's buffer is full.

        A peer that died takes nothing, and its buffer fills up.  Waiting for room
        under a time limit ended the whole router: a wait that pynng gives up on
        raises a bare `asyncio.CancelledError`, which anyio does not know as its
        own and passes on to the task group of all.  So nothing waits here.
        """
        try:
            socket.send(data, block=False)
        except pynng.TryAgain:
            self.counters.dropped += 1
            return
        self.counters.sent += 1
        self.counters.sent_bytes += len(data)


def open_socket(address: str) -> pynng.Push0:
    """Open a socket that connects, and connects again, in the background.

    Raises:
        pynng.NNGException: The address cannot be used.
    """
    socket = pynng.Push0(
        send_buffer_size=QUEUE,
        reconnect_time_min=RECONNECT_MIN_MS,
        reconnect_time_max=RECONNECT_MAX_MS,
    )
    try:
        socket.dial(f"tcp://{address}", block=False)
    except pynng.NNGException:
        socket.close()
        raise
    return socket
