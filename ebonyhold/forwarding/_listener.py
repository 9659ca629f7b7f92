"""Serves callers' connections: one task each, and an orderly end."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from functools import partial

import anyio
import h11
from anyio.abc import ByteStream, TaskGroup
from attrs import define, field

from ebonyhold.forwarding._caller import (
    CallerConnection,
    ReadFault,
    ReadFaultError,
    RequestHead,
)
from ebonyhold.forwarding._refusals import Refusal, own_answer
from ebonyhold.forwarding._tasks import Guard, unguarded
from ebonyhold.forwarding._types import CallerLimits, Headers

log = logging.getLogger(__name__)

FAULT_REFUSALS = {
    ReadFault.MALFORMED: Refusal.MALFORMED,
    ReadFault.SLOW: Refusal.SLOW_REQUEST,
    ReadFault.BODY_TOO_LARGE: Refusal.BODY_TOO_LARGE,
    ReadFault.HEAD_TOO_LARGE: Refusal.HEAD_TOO_LARGE,
    ReadFault.STOPPING: Refusal.STOPPING,
}

BACKLOG = 1024
"""Connections that the kernel keeps until they are accepted."""

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
        accepting: Ends the accepting of connections.
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
    accepting: anyio.CancelScope = field(factory=anyio.CancelScope)

    async def run(self, address: tuple[str, int], tasks: TaskGroup) -> None:
        """Accept connections, for ever."""
        host, port = address
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=port, backlog=BACKLOG
        )
        log.info("listening", extra={"host": host, "port": port})
        with self.accepting:
            async with listener:
                await listener.serve(self.handle, tasks)

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
            if not self.connections:
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
        """Refuse further connections; callers then connect elsewhere."""
        self.accepting.cancel()

    async def until_idle(self) -> None:
        """Return when no request is being read or answered."""
        while self.begun:
            await self.idle.wait()

    async def until_empty(self) -> None:
        """Return when every connection has ended, also those being read from."""
        while self.connections:
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
