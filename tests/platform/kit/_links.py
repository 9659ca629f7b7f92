"""Links between gateways and engines that can be cut."""

from __future__ import annotations

import socket
import struct
from contextlib import suppress
from enum import Enum

import anyio
import anyio.lowlevel
from anyio.abc import SocketAttribute, SocketStream, TaskGroup
from attrs import define, field

from tests.platform.kit._world import HOST, free_ports

CHUNK = 65_536

BACKLOG = 128
"""Number of connections that the kernel queues while the link is open."""

FILLERS = 4
"""Number of connections that are more than a queue of length 0 holds."""

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""The value of `SO_LINGER` with which a close resets the connection."""


class LinkMode(Enum):
    """What a link does with connections.

    Attributes:
        OPEN: It forwards them.
        SILENT: Open ones carry nothing, and new ones are neither made nor refused.
        RESET: Open ones are reset, and new ones are refused.
        REFUSE: Open ones go on, and new ones are refused.
    """

    OPEN = "open"
    SILENT = "silent"
    RESET = "reset"
    REFUSE = "refuse"


@define(eq=False)
class Link:
    """The link from one gateway to one engine: a listener that forwards connections.

    Attributes:
        port: The port that the gateway connects to.
        target: The port of the engine.
        listening: Its listening socket, which keeps its port from the beginning; None
            while it refuses connections.
        mode: What it does with connections.
        changed: Set when the mode changes, then replaced.
        streams: Both sides of the open connections.
        fillers: Connections that keep the queue of a silent listener full.
    """

    port: int
    target: int = 0
    listening: socket.socket | None = None
    mode: LinkMode = LinkMode.OPEN
    changed: anyio.Event = field(factory=anyio.Event)
    streams: set[SocketStream] = field(factory=set)
    fillers: list[socket.socket] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.listening = self.listen()

    def listen(self) -> socket.socket:
        """Return a socket that listens at the link's port."""
        listening = socket.create_server((HOST, self.port), backlog=BACKLOG)
        listening.setblocking(False)
        return listening

    async def set_mode(self, mode: LinkMode) -> None:
        """Set what the link does from now on."""
        self.mode = mode
        self.changed.set()
        self.changed = anyio.Event()
        if mode is LinkMode.RESET:
            for stream in list(self.streams):
                await reset(stream)
        # The listener reacts in its own task.
        await anyio.lowlevel.checkpoint()

    async def run(self) -> None:
        """Accept and forward connections as the mode allows, until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                if self.mode in (LinkMode.RESET, LinkMode.REFUSE):
                    await self.changed.wait()
                    continue
                listening = self.listening or self.listen()
                try:
                    while self.mode in (LinkMode.OPEN, LinkMode.SILENT):
                        await self.accept_until_change(listening, tasks)
                finally:
                    listening.close()
                    self.listening = None

    async def accept_until_change(
        self, listening: socket.socket, tasks: TaskGroup
    ) -> None:
        """Accept connections, or keep the queue full, until the mode changes."""
        changed = self.changed
        if self.mode is LinkMode.SILENT:
            listening.listen(0)
            self.fill_queue()
            await changed.wait()
            listening.listen(BACKLOG)
            for filler in self.fillers:
                filler.close()
            self.fillers.clear()
            return
        async with anyio.create_task_group() as accepting:
            accepting.start_soon(self.accept, listening, tasks)
            await changed.wait()
            accepting.cancel_scope.cancel()

    def fill_queue(self) -> None:
        """Fill the queue of connections, so that further ones are not answered."""
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            self.fillers.append(filler)
            with suppress(BlockingIOError):
                filler.connect((HOST, self.port))

    async def accept(self, listening: socket.socket, tasks: TaskGroup) -> None:
        """Accept connections and forward each in a task of its own."""
        while True:
            await anyio.wait_readable(listening)
            with suppress(BlockingIOError):
                accepted, _ = listening.accept()
                accepted.setblocking(False)
                tasks.start_soon(self.forward_connection, accepted)

    async def forward_connection(self, accepted: socket.socket) -> None:
        """Forward one connection until a side closes it or the link resets it."""
        try:
            stream = await SocketStream.from_socket(accepted)
        except OSError:
            # The gateway gave up before the link accepted again.
            accepted.close()
            return
        try:
            engine = await anyio.connect_tcp(HOST, self.target)
        except OSError:
            await reset(stream)
            return
        if self.mode is LinkMode.RESET:
            # It was accepted right before the links were reset.
            await reset(stream)
            await engine.aclose()
            return
        self.streams |= {stream, engine}
        try:
            async with stream, engine, anyio.create_task_group() as tasks:
                tasks.start_soon(self.forward, stream, engine, tasks)
                tasks.start_soon(self.forward, engine, stream, tasks)
        finally:
            self.streams -= {stream, engine}

    async def forward(
        self, source: SocketStream, sink: SocketStream, tasks: TaskGroup
    ) -> None:
        """Forward one direction; a silent link holds the bytes back."""
        with suppress(
            anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream
        ):
            while True:
                part = await source.receive(CHUNK)
                while self.mode is LinkMode.SILENT:
                    await self.changed.wait()
                await sink.send(part)
        while self.mode is LinkMode.SILENT:
            await self.changed.wait()
        tasks.cancel_scope.cancel()


async def reset(stream: SocketStream) -> None:
    """Close a connection so that its peer sees a reset."""
    with suppress(OSError, anyio.ClosedResourceError):
        raw = stream.extra(SocketAttribute.raw_socket)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    await stream.aclose()


@define(eq=False)
class LinkGrid:
    """The links of a fleet: one from each gateway to each engine.

    Each gateway reads the list of servers from a store's port of its own, where the
    engines' addresses are those of the gateway's links.

    Attributes:
        gateways: Number of gateways.
        engines: Number of engines.
        base: The first of its ports.
        links: The links, by gateway and engine.
    """

    gateways: int
    engines: int
    base: int = field(init=False)
    links: dict[tuple[int, int], Link] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.base = free_ports(self.gateways * (self.engines + 1))
        for gateway in range(self.gateways):
            for engine in range(self.engines):
                port = link_port(
                    self.base, self.gateways, self.engines, gateway, engine
                )
                self.links[gateway, engine] = Link(port)

    @property
    def arguments(self) -> list[str]:
        """The stand-in's arguments that describe the grid."""
        return [str(self.base), str(self.gateways)]

    def store_port(self, gateway: int) -> int:
        """Return the store's port for a gateway."""
        return self.base + gateway

    async def run(self, first_engine_port: int) -> None:
        """Forward connections until cancelled.

        Args:
            first_engine_port: The port of the first engine; the others follow.
        """
        async with anyio.create_task_group() as tasks:
            for (_, engine), link in self.links.items():
                link.target = first_engine_port + engine
                tasks.start_soon(link.run)

    async def cut(self, mode: LinkMode, gateways: range | list[int]) -> None:
        """Set the mode of all links of some gateways."""
        for gateway in gateways:
            for engine in range(self.engines):
                await self.links[gateway, engine].set_mode(mode)

    async def pause_engine(self, engine: int, seconds: float) -> None:
        """Make an engine silent to all gateways for some seconds."""
        for gateway in range(self.gateways):
            await self.links[gateway, engine].set_mode(LinkMode.SILENT)
        await anyio.sleep(seconds)
        for gateway in range(self.gateways):
            await self.links[gateway, engine].set_mode(LinkMode.OPEN)


def link_port(base: int, gateways: int, engines: int, gateway: int, engine: int) -> int:
    """Return the port of the link from a gateway to an engine."""
    return base + gateways + gateway * engines + engine
