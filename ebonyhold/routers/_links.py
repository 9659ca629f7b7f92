"""The sockets to other routers, each with one task and one short queue."""

from __future__ import annotations

from collections import OrderedDict

import anyio
import pynng
from anyio.abc import TaskGroup
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream
from attrs import define

from ebonyhold.types import Seconds

MAX_LINKS = 128
"""Maximum number of sockets to other routers; the least recently used is closed first.

On average the other routers have the same number of connections to this one.  Both
together use a quarter of the 1024 files that a process may usually open.
"""

QUEUE_SIZE = 32
"""Size of a link's queue, and of the send buffer of its socket, in messages.

A message that finds either of them full is dropped.
"""

IDLE_TIMEOUT: Seconds = 900.0
"""How long an idle socket stays open.

This is longer than the membership protocol needs to probe every member once, so that
sockets stay open between probes: opening one costs more than sending a message.
"""

RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 2000


@define
class LinkCounters:
    """Counters of sent and dropped messages.

    Attributes:
        sent: Number of messages passed to a socket.
        sent_bytes: The size of these messages, in bytes.
        dropped: Number of messages dropped because a queue or buffer was full, plus
            number of links that failed.
    """

    sent: int = 0
    sent_bytes: int = 0
    dropped: int = 0


class Links:
    """The open sockets by address.

    Attributes:
        tasks: The task group of the links' tasks.
        queues: The queue of each open link, the most recently used last.
        counters: Counters of sent and dropped messages.
    """

    def __init__(self, tasks: TaskGroup) -> None:
        self.tasks = tasks
        self.queues: OrderedDict[str, MemoryObjectSendStream[bytes]] = OrderedDict()
        self.counters = LinkCounters()

    def put(self, address: str, data: bytes) -> None:
        """Queue a message, opening a link if needed.

        The message is dropped if the queue is full or its link has ended.  This never
        waits, so a peer that reads nothing does not delay messages to other peers.
        """
        queue = self.queues.get(address) or self.open(address)
        self.queues.move_to_end(address)
        try:
            queue.send_nowait(data)
        except (anyio.WouldBlock, anyio.BrokenResourceError):
            self.counters.dropped += 1

    def open(self, address: str) -> MemoryObjectSendStream[bytes]:
        """Start the task of a new link and return its queue.

        Above `MAX_LINKS` links, the queue of the least recently used one is closed.
        """
        queue, receive = anyio.create_memory_object_stream[bytes](QUEUE_SIZE)
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
        """Run one socket until it is idle for `IDLE_TIMEOUT` or its queue is closed.

        An error of the socket ends the link and counts as one dropped message.
        """
        try:
            with receive, open_socket(address) as socket:
                await self.send_queued(socket, receive)
        except pynng.NNGException:
            self.counters.dropped += 1
        finally:
            queue.close()
            if self.queues.get(address) is queue:
                del self.queues[address]

    async def send_queued(
        self, socket: pynng.Push0, receive: MemoryObjectReceiveStream[bytes]
    ) -> None:
        """Send queued messages until the link is idle or its queue closed and empty."""
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
        """Send one message, or drop it if the socket's buffer is full.

        The buffer fills up when the peer has crashed.  This must not wait for space
        with a timeout: a wait that pynng aborts raises a bare
        `asyncio.CancelledError`, which anyio does not attribute to the timeout, so
        the error cancels the task group and ends the whole router.
        """
        try:
            socket.send(data, block=False)
        except pynng.TryAgain:
            self.counters.dropped += 1
            return
        self.counters.sent += 1
        self.counters.sent_bytes += len(data)


def open_socket(address: str) -> pynng.Push0:
    """Return a socket that connects, and reconnects, to an address in the background.

    Raises:
        pynng.NNGException: The address cannot be used.
    """
    socket = pynng.Push0(
        send_buffer_size=QUEUE_SIZE,
        reconnect_time_min=RECONNECT_MIN_MS,
        reconnect_time_max=RECONNECT_MAX_MS,
    )
    try:
        socket.dial(f"tcp://{address}", block=False)
    except pynng.NNGException:
        socket.close()
        raise
    return socket
