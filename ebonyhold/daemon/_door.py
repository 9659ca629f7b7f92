"""One listener's sockets and connections, and the order in which they close.

hypercorn speaks HTTP on each connection.  Its own server isn't used: on a stop it
closes the listening socket first and then waits for connections, so that callers
meet a closed door for as long as one slow caller reads.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from attrs import define, field
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.asyncio.tcp_server import TCPServer
from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.config import Config

from ebonyhold.types import Seconds

logger = logging.getLogger(__name__)

LOOK: Seconds = 0.02
"""How often a stop looks whether anybody is still being answered."""

CROSSING: Seconds = 0.1
"""How long connections are read after the listening socket has closed.

A request may be on its way at that moment, on a kept connection or on one that was
just accepted; it is answered like any other.
"""

PARTING: Seconds = 1.0
"""How long connections with nothing to answer may take to close, TLS included."""

AsgiApp = Callable[[Any, Any, Any], Awaitable[None]]


@define
class Visits:
    """Counts the requests that are being answered, on all listeners together.

    The listeners of one process share it and so close at the same moment: one that
    closed alone would turn callers away while the process waits for another.

    Attributes:
        inside: How many requests are being answered.
    """

    inside: int = 0

    def counting(self, app: AsgiApp) -> AsgiApp:
        """Return the application with its requests counted."""

        async def counted(scope: Any, receive: Any, send: Any) -> None:
            self.inside += 1
            try:
                await app(scope, receive, send)
            finally:
                self.inside -= 1

        return counted

    async def wait_none(self, seconds: Seconds) -> None:
        """Wait until nobody is being answered, but no longer than this."""
        with anyio.move_on_after(seconds):
            while self.inside:  # noqa: ASYNC110 - few look, and rarely
                await anyio.sleep(LOOK)


@define
class Door:
    """The sockets of one listener, and whoever came through them.

    Attributes:
        app: The application.
        config: The listener's configuration.
        visits: The requests on all listeners of the process.
        context: Tells hypercorn's connections to end.
        servers: The listening sockets.
        writers: Open connections by their tasks.
    """

    app: AsgiApp
    config: Config
    visits: Visits
    context: WorkerContext = field(factory=lambda: WorkerContext(None))
    servers: list[asyncio.Server] = field(factory=list)
    writers: dict[asyncio.Task[None], asyncio.StreamWriter] = field(factory=dict)

    async def open(self) -> None:
        """Listen.

        Raises:
            OSError: The address is taken, or a certificate cannot be used.
        """
        sockets = self.config.create_sockets()
        context = self.config.create_ssl_context() if self.config.ssl_enabled else None
        listening = sockets.secure_sockets if context else sockets.insecure_sockets
        handshake = self.config.ssl_handshake_timeout if context else None
        for each in listening:
            server = await asyncio.start_server(
                self.answer,
                sock=each,
                backlog=self.config.backlog,
                ssl=context,
                ssl_handshake_timeout=handshake,
            )
            self.servers.append(server)

    async def answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        task = asyncio.current_task()
        assert task is not None
        self.writers[task] = writer
        if not self.config.ssl_enabled:
            # An answer counts as given once the kernel has all of it: the door must
            # not close, nor the process end, on the 64 KiB that asyncio else holds.
            # Under TLS asyncio never resumes a writer with this limit; there the
            # rest has until `PARTING`.
            writer.transport.set_write_buffer_limits(0)
        app = ASGIWrapper(self.visits.counting(self.app))
        loop = asyncio.get_running_loop()
        try:
            await TCPServer(app, loop, self.config, self.context, {}, reader, writer)
        except asyncio.CancelledError:
            writer.transport.abort()
        finally:
            del self.writers[task]

    async def close(self, grace: Seconds) -> None:
        """Let everybody finish, then close, the listening sockets late.

        Args:
            grace: How long answers under way may still take.
        """
        await self.visits.wait_none(grace)
        # Whoever has outlasted the grace takes nothing; whoever only came as the
        # door closed, with a large body say, is still to hear its refusal.
        left = 0.0 if self.visits.inside else PARTING
        self.shut()
        await anyio.sleep(CROSSING)
        await self.visits.wait_none(left)
        await self.context.terminated.set()
        await self.wait_gone(PARTING if not self.visits.inside else 0.0)
        if self.writers:
            logger.warning(
                "connections cut",
                extra={"bind": self.config.bind[0], "count": len(self.writers)},
            )
            await self.cut()

    def shut(self) -> None:
        """Stop listening."""
        for server in self.servers:
            server.close()

    async def wait_gone(self, seconds: Seconds) -> None:
        """Wait until no connection is left, but no longer than this."""
        if self.writers:
            await asyncio.wait(list(self.writers), timeout=seconds)

    async def cut(self) -> None:
        """End all connections at once."""
        for task, writer in list(self.writers.items()):
            writer.transport.abort()
            task.cancel()
        await self.wait_gone(PARTING)
