"""Accepts callers' connections, and serves each of them in a task of its own."""

from __future__ import annotations

import logging
import math
import socket
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from functools import partial
from itertools import islice

import anyio
import h11
from anyio.abc import ByteStream, SocketStream, TaskGroup
from attrs import define, field

from ebonyhold.forwarding._accept import accept_all, listen_at
from ebonyhold.forwarding._caller import (
    CallerConnection,
    ReadFault,
    ReadFaultError,
    RequestHead,
)
from ebonyhold.forwarding._flow_control import (
    SOCKET_BUFFER,
    Crowd,
    FlowControl,
    FlowEvent,
)
from ebonyhold.forwarding._inbox import Traffic
from ebonyhold.forwarding._intake import MAX_TAKE, new_turns
from ebonyhold.forwarding._refusals import Refusal, own_answer
from ebonyhold.forwarding._sockets import bound_reads, pause_reading
from ebonyhold.forwarding._types import CallerLimits, Headers
from ebonyhold.tasks import Guard, unguarded

log = logging.getLogger(__name__)

MAX_LEAVING = 32
"""Number of connections beyond the limit, while those that make way are closed."""

FAULT_REFUSALS = {
    ReadFault.MALFORMED: Refusal.MALFORMED,
    ReadFault.SLOW: Refusal.SLOW_REQUEST,
    ReadFault.BODY_TOO_LARGE: Refusal.BODY_TOO_LARGE,
    ReadFault.HEAD_TOO_LARGE: Refusal.HEAD_TOO_LARGE,
    ReadFault.STOPPING: Refusal.STOPPING,
}

Serve = Callable[[CallerConnection, RequestHead, bytes], Awaitable[None]]


Identify = Callable[[RequestHead], Headers]
"""Returns the fields that identify a request in the router's own answer."""


def no_identity(head: RequestHead) -> Headers:
    """Return no fields, for callers that match answers to requests by their order."""
    del head
    return []


@define(eq=False)
class CallerListener:
    """Accepts connections and passes their requests to a handler.

    Attributes:
        serve: Answers one request.
        limits: Returns the current limits for callers.
        guard: Runs the code of one connection, and keeps its errors from other tasks.
        identify: Returns the fields that identify a request in the router's answer.
        connections: The open connections.
        draining: Whether connections close after their next answers, for a shutdown.
        shedding: Whether all connections close after their next answers, to shed load.
        traffic: Counts the bytes received from the callers.
        flow: Bounds what is buffered for callers; None if nothing does.
        max_connections: Number of connections at which silent callers make way for new
            ones.
        crowd: Whether its callers keep others from connecting.
        max_waiting: Bytes of a caller that are read ahead of their turn; twice as many
            may wait in the system.
        turns: Shared by the connections that have much to be read; see `Intake`.
        working: Number of requests being answered.
        open_requests: Number of requests being read or answered.
        idle: Set when `open_requests` falls to 0, then replaced.
        empty: Set when the last connection has ended, then replaced.
        arriving: Number of connections accepted but not yet in `connections`.
        accepting: Cancel scope of accepting connections.
        closed: Set when the listening socket is closed; None while none is open.
    """

    serve: Serve
    limits: Callable[[], CallerLimits]
    guard: Guard = unguarded
    identify: Identify = no_identity
    connections: set[CallerConnection] = field(factory=set)
    draining: bool = False
    shedding: bool = False
    traffic: Traffic = field(factory=Traffic)
    flow: FlowControl[CallerConnection] | None = None
    max_connections: float = math.inf
    crowd: Crowd = field(factory=Crowd)
    max_waiting: int = MAX_TAKE
    turns: anyio.Semaphore = field(factory=new_turns)
    working: int = 0
    open_requests: int = 0
    idle: anyio.Event = field(factory=anyio.Event)
    empty: anyio.Event = field(factory=anyio.Event)
    arriving: int = 0
    accepting: anyio.CancelScope = field(factory=anyio.CancelScope)
    closed: anyio.Event | None = None

    async def run(self, address: tuple[str, int], tasks: TaskGroup) -> None:
        """Accept connections until `stop_accepting` is called.

        Raises:
            OSError: It is not possible to listen on the address, or no file descriptors
                or memory are left.
        """
        size = None if self.flow is None else 2 * self.max_waiting
        listening = listen_at(address, size)
        log.info("listening", extra={"host": address[0], "port": address[1]})
        self.closed = closed = anyio.Event()
        try:
            with self.accepting:
                while True:
                    await anyio.wait_readable(listening)
                    self.accept_waiting(listening, tasks)
            # Accept the connections that are still queued: closing the socket would
            # reset them with their requests unread.
            self.accept_waiting(listening, tasks)
        finally:
            listening.close()
            self.closed = None
            closed.set()

    def accept_waiting(self, listening: socket.socket, tasks: TaskGroup) -> None:
        """Accept all queued connections and start to serve them."""
        for connection in accept_all(listening):
            if not self.make_room():
                connection.close()
                continue
            # Counted at once, because a shutdown may check for open connections before
            # this connection's task has run for the first time.
            self.arriving += 1
            tasks.start_soon(self.serve_socket, connection)

    def make_room(self) -> bool:
        """Return whether one more connection may be accepted, and end others for it.

        At the limit, the caller that has been silent for longest has to make way.
        """
        count = len(self.connections) + self.arriving
        if count < self.max_connections:
            return True
        if count < self.max_connections + MAX_LEAVING:
            silent = [
                one
                for one in self.connections
                if one.waits_for_caller and not one.leaving
            ]
            if silent:
                min(silent, key=lambda one: one.inbox.arrived_at).make_way()
                return True
        self.refuse_connection()
        return False

    def refuse_connection(self) -> None:
        """Count a caller that could not connect, and log the first of a crowd."""
        if self.flow is None:
            return
        if self.crowd.record_refusal(anyio.current_time()):
            log.warning("too many connections", extra={"limit": self.max_connections})
        self.flow.on_event(FlowEvent.CROWDED)

    async def serve_socket(self, connection: socket.socket) -> None:
        """Serve an accepted connection; its errors do not affect the others."""
        # `handle` has a guard of its own, which leads to an answer to the caller. This
        # one covers what precedes it: an error would end the whole process.
        await self.guard(partial(self.serve_accepted, connection))

    async def serve_accepted(self, connection: socket.socket) -> None:
        """Serve an accepted connection, unless the caller has closed it already."""
        try:
            stream = await self.open_stream(connection)
        finally:
            self.arriving -= 1
            self.notify_if_empty()
        if stream is not None:
            await self.handle(stream)

    async def open_stream(self, connection: socket.socket) -> SocketStream | None:
        """Return the stream of an accepted connection, or None if it has ended."""
        try:
            if self.flow is not None:
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER
                )
            stream = await SocketStream.from_socket(connection)
        except (OSError, ValueError):
            # anyio raises ValueError for a socket that its peer has reset.
            connection.close()
            log.debug("caller disconnected before its connection was served")
            return None
        except BaseException:
            connection.close()
            raise
        pause_reading(stream)
        if self.flow is not None:
            bound_reads(stream)
        return stream

    async def handle(self, stream: ByteStream) -> None:
        """Serve one connection until it ends; its errors do not affect the others."""
        connection = CallerConnection(
            stream, self.limits(), self.traffic, flow=self.flow, crowd=self.crowd
        )
        if self.flow is not None:
            connection.inbox.max_waiting = self.max_waiting
        connection.intake.turns = self.turns
        connection.last = self.draining or self.shedding
        connection.draining = self.draining
        self.connections.add(connection)
        try:
            # Without the guard, an unexpected error would end the task group of the
            # whole process, and with it all other callers' requests.
            if not await self.guard(partial(self.handle_requests, connection)):
                await self.guard(partial(self.answer_fault, connection))
        finally:
            connection.release_body()
            self.connections.discard(connection)
            await connection.close()
            self.notify_if_empty()

    def notify_if_empty(self) -> None:
        """Wake the tasks that wait in `until_empty` if no connection is left."""
        if not (self.connections or self.arriving):
            self.empty.set()
            self.empty = anyio.Event()

    async def handle_requests(self, connection: CallerConnection) -> None:
        """Read requests from a connection and answer them until it ends."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(connection.inbox.fill)
                await self.answer_requests(connection)
                await connection.linger()
                tasks.cancel_scope.cancel()
        except* (anyio.BrokenResourceError, anyio.ClosedResourceError):
            # The caller closed the connection while an answer was written. The outcome
            # of the request has been logged by the handler.
            log.debug("caller's connection broke")

    async def answer_fault(self, connection: CallerConnection) -> None:
        """Send status 500 for a request during which an internal error occurred.

        The status leaves open whether the request ran. Nothing is sent if an answer has
        begun: the close of the connection then shows that the rest of the answer is
        missing.
        """
        if connection.started:
            await connection.abort()
            return
        if connection.parser.our_state is not h11.SEND_RESPONSE:
            return
        connection.final = True
        answer = own_answer(Refusal.FAULT, [])
        try:
            await connection.answer(answer.status, answer.headers, answer.body)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            log.debug("caller disconnected before it was sent an error")

    async def answer_requests(self, connection: CallerConnection) -> None:
        """Answer the requests of a connection one after the other.

        Returns when no request arrives in time, the caller disconnects, a request is
        unreadable, or an answer has announced that the connection closes.
        """
        while True:
            try:
                await connection.await_first_byte()
            except ReadFaultError:
                return
            with self.under_way():
                if not await self.answer_one(connection):
                    return
            connection.limits = self.limits()

    @contextmanager
    def under_way(self) -> Iterator[None]:
        """Count a request from its first byte to the end of its answer."""
        self.open_requests += 1
        try:
            yield
        finally:
            self.open_requests -= 1
            if not self.open_requests:
                self.idle.set()
                self.idle = anyio.Event()

    async def answer_one(self, connection: CallerConnection) -> bool:
        """Read and answer or refuse a request; return whether another may follow."""
        try:
            head, body = await connection.read_whole()
        except ReadFaultError as error:
            await self.answer_read_fault(connection, error)
            return False
        await self.work(connection, head, body)
        return connection.next_cycle()

    async def work(
        self, connection: CallerConnection, head: RequestHead, body: bytes
    ) -> None:
        """Answer one request; cancel it if the caller disconnects."""
        self.working += 1
        try:
            with anyio.CancelScope() as scope:
                connection.inbox.on_end = scope.cancel
                await self.serve(connection, head, body)
        finally:
            connection.inbox.on_end = None
            connection.release_body()
            self.working -= 1

    def stop_accepting(self) -> None:
        """Stop accepting connections; `until_closed` waits for the socket's close."""
        self.accepting.cancel()

    async def until_closed(self) -> None:
        """Return when the listening socket is closed."""
        while self.closed is not None:
            await self.closed.wait()

    async def until_idle(self) -> None:
        """Return when no request is being read or answered."""
        while self.open_requests:
            await self.idle.wait()

    async def until_empty(self) -> None:
        """Return when all connections have ended, including those just accepted."""
        while self.connections or self.arriving:
            await self.empty.wait()

    async def answer_read_fault(
        self, connection: CallerConnection, error: ReadFaultError
    ) -> None:
        """Refuse a request that could not be read, and close its connection.

        No answer is sent if the caller has disconnected.
        """
        refusal = FAULT_REFUSALS.get(error.fault)
        if refusal is None or connection.inbox.ended:
            return
        log.info("unreadable request", extra={"code": refusal.code})
        connection.final = True
        identity = self.identify(error.head) if error.head is not None else []
        answer = own_answer(refusal, identity)
        await connection.answer(answer.status, answer.headers, answer.body)

    def start_draining(self) -> None:
        """Close each connection after its next answer, so that callers reconnect.

        This also applies to connections that are accepted later.
        """
        self.draining = True
        for connection in self.connections:
            connection.last = connection.draining = True

    def shed(self, share: float) -> None:
        """Close a share of the connections after their next answers.

        A share of 1 includes connections that are accepted later, and 0 ends the
        shedding. The number is rounded down, so a single connection stays unless the
        share is 1.
        """
        self.shedding = share >= 1
        if self.draining:
            return
        if self.shedding or not share:
            for connection in self.connections:
                connection.last = self.shedding
            return
        closing = sum(connection.last for connection in self.connections)
        more = int(share * len(self.connections)) - closing
        open_ones = (one for one in self.connections if not one.last)
        for connection in list(islice(open_ones, max(0, more))):
            connection.last = True

    def close_idle(self) -> None:
        """Close idle connections now, and the others after their next answers."""
        for connection in list(self.connections):
            connection.close_when_idle()

    def interrupt_reading(self) -> None:
        """Refuse the requests that have been read only in part."""
        for connection in list(self.connections):
            connection.stop_reading()
