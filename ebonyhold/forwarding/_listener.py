"""Serves callers' connections: one task each, and an orderly end."""

from __future__ import annotations

import logging
import socket
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from functools import partial

import anyio
import h11
from anyio.abc import ByteStream, SocketStream, TaskGroup
from attrs import define, field

from ebonyhold.forwarding._caller import (
    CallerConnection,
    ReadFault,
    ReadFaultError,
    RequestHead,
)
from ebonyhold.forwarding._door import arrivals, open_door
from ebonyhold.forwarding._refusals import Refusal, own_answer
from ebonyhold.forwarding._types import CallerLimits, Headers
from ebonyhold.tasks import Guard, unguarded

log = logging.getLogger(__name__)

FAULT_REFUSALS = {
    ReadFault.MALFORMED: Refusal.MALFORMED,
    ReadFault.SLOW: Refusal.SLOW_REQUEST,
    ReadFault.BODY_TOO_LARGE: Refusal.BODY_TOO_LARGE,
    ReadFault.HEAD_TOO_LARGE: Refusal.HEAD_TOO_LARGE,
    ReadFault.STOPPING: Refusal.STOPPING,
}

Serve = Callable[[CallerConnection, RequestHead, bytes], Awaitable[None]]


Identify = Callable[[RequestHead], Headers]
"""Returns the fields by which an answer names its request."""


def nameless(head: RequestHead) -> Headers:
    """Name no request: these callers wait for one answer at a time."""
    del head
    return []


@define(eq=False)
class CallerListener:
    """Accepts connections and hands their requests on.

    Attributes:
        serve: Answers one request.
        limits: Returns what callers are held to now.
        guard: Keeps what fails on one connection from all others.
        identify: Returns the fields by which an answer names its request.
        connections: Those that are open.
        draining: Whether the process is about to end.
        shedding: Whether callers should connect elsewhere for a while.
        working: How many requests are being answered.
        begun: How many requests are being read or answered.
        idle: Set when the last of these has ended.
        empty: Set when the last connection has ended.
        arriving: Connections that were accepted and are not open yet.
        accepting: Ends the accepting of connections.
        closed: Set when it has ended; None while nothing is listened at.
    """

    serve: Serve
    limits: Callable[[], CallerLimits]
    guard: Guard = unguarded
    identify: Identify = nameless
    connections: set[CallerConnection] = field(factory=set)
    draining: bool = False
    shedding: bool = False
    working: int = 0
    begun: int = 0
    idle: anyio.Event = field(factory=anyio.Event)
    empty: anyio.Event = field(factory=anyio.Event)
    arriving: int = 0
    accepting: anyio.CancelScope = field(factory=anyio.CancelScope)
    closed: anyio.Event | None = None

    async def run(self, address: tuple[str, int], tasks: TaskGroup) -> None:
        """Accept connections until told to stop accepting.

        Raises:
            OSError: The address cannot be listened at, or there is no room for more.
        """
        door = open_door(address)
        log.info("listening", extra={"host": address[0], "port": address[1]})
        self.closed = closed = anyio.Event()
        try:
            with self.accepting:
                while True:
                    await anyio.wait_readable(door)
                    self.let_in(door, tasks)
            # Whoever still waits there would be reset with its request unread.
            self.let_in(door, tasks)
        finally:
            door.close()
            self.closed = None
            closed.set()

    def let_in(self, door: socket.socket, tasks: TaskGroup) -> None:
        """Begin to serve all who wait at the door."""
        for connection in arrivals(door):
            # It counts from here on: an end of the process looks at what is open before
            # the task of this connection has run for the first time.
            self.arriving += 1
            tasks.start_soon(self.welcome, connection)

    async def welcome(self, connection: socket.socket) -> None:
        """Serve a connection that has just been accepted."""
        try:
            stream = await SocketStream.from_socket(connection)
        except OSError:
            connection.close()
            log.debug("caller left at the door")
            return
        finally:
            self.arriving -= 1
            self.tell_if_empty()
        await self.handle(stream)

    async def handle(self, stream: ByteStream) -> None:
        """Serve one connection until it ends."""
        connection = CallerConnection(stream, self.limits())
        connection.last = self.draining or self.shedding
        self.connections.add(connection)
        try:
            # An error that nobody expected would else end the task group of the
            # whole process, with all other callers' requests.
            if not await self.guard(partial(self.talk, connection)):
                await self.guard(partial(self.tell_fault, connection))
        finally:
            self.connections.discard(connection)
            await connection.close()
            self.tell_if_empty()

    def tell_if_empty(self) -> None:
        """Wake whoever waits for the end of the last connection."""
        if not (self.connections or self.arriving):
            self.empty.set()
            self.empty = anyio.Event()

    async def talk(self, connection: CallerConnection) -> None:
        """Read from a connection and answer its requests until it ends."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(connection.inbox.fill)
                await self.converse(connection)
                await connection.linger()
                tasks.cancel_scope.cancel()
        except* (anyio.BrokenResourceError, anyio.ClosedResourceError):
            # The caller closed while an answer was being written; whoever wrote
            # it has logged what became of the request.
            log.debug("caller's connection broke")

    async def tell_fault(self, connection: CallerConnection) -> None:
        """Answer a request that an error of ours has ended, if that can be done.

        The request may have run, so the answer is none that denies it.  One that had
        begun is cut: a caller must not take a part for the whole.
        """
        if connection.started or connection.parser.our_state is not h11.SEND_RESPONSE:
            return
        connection.final = True
        answer = own_answer(Refusal.FAULT, [])
        try:
            await connection.answer(answer.status, answer.headers, answer.body)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            log.debug("caller left before it was told of a fault")

    async def converse(self, connection: CallerConnection) -> None:
        """Answer requests one after the other."""
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
        """Count a request from its first byte to the last one of its answer."""
        self.begun += 1
        try:
            yield
        finally:
            self.begun -= 1
            if not self.begun:
                self.idle.set()
                self.idle = anyio.Event()

    async def answer_one(self, connection: CallerConnection) -> bool:
        """Read and answer one request; tell whether another may follow."""
        try:
            head, body = await connection.read_whole()
        except ReadFaultError as error:
            await self.read_fault(connection, error)
            return False
        await self.work(connection, head, body)
        return connection.next_cycle()

    async def work(
        self, connection: CallerConnection, head: RequestHead, body: bytes
    ) -> None:
        """Answer one request; stop at once if the caller leaves."""
        self.working += 1
        try:
            with anyio.CancelScope() as scope:
                connection.inbox.on_end = scope.cancel
                await self.serve(connection, head, body)
        finally:
            connection.inbox.on_end = None
            self.working -= 1

    def stop_accepting(self) -> None:
        """Refuse further connections, from `until_closed` on."""
        self.accepting.cancel()

    async def until_closed(self) -> None:
        """Return when no connection is accepted any more."""
        while self.closed is not None:
            await self.closed.wait()

    async def until_idle(self) -> None:
        """Return when no request is being read or answered."""
        while self.begun:
            await self.idle.wait()

    async def until_empty(self) -> None:
        """Return when every connection has ended, also those being read from."""
        while self.connections or self.arriving:
            await self.empty.wait()

    async def read_fault(
        self, connection: CallerConnection, error: ReadFaultError
    ) -> None:
        """Answer what could not be read, if there is anything to answer."""
        refusal = FAULT_REFUSALS.get(error.fault)
        if refusal is None or connection.inbox.ended:
            return
        log.info("unreadable request", extra={"code": refusal.code})
        connection.final = True
        identity = self.identify(error.head) if error.head is not None else []
        answer = own_answer(refusal, identity)
        await connection.answer(answer.status, answer.headers, answer.body)

    def start_draining(self) -> None:
        """Tell callers with their next answer to connect elsewhere."""
        self.draining = True
        for connection in self.connections:
            connection.last = True

    def shed(self, shedding: bool) -> None:
        """Have callers connect elsewhere from their next answers on, or no longer."""
        if shedding is self.shedding:
            return
        self.shedding = shedding
        for connection in self.connections:
            connection.last = self.draining or shedding

    def close_idle(self) -> None:
        """Close the connections on which no request is under way."""
        for connection in list(self.connections):
            connection.close_when_idle()

    def interrupt_reading(self) -> None:
        """Refuse the requests of which a part has been read."""
        for connection in list(self.connections):
            connection.stop_reading()
