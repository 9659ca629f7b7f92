"""The sockets and connections of one listener, and the order in which they close.

hypercorn handles HTTP on each connection. Its own server isn't used because it closes
the listening socket first and then waits for the connections: new callers would be
unable to connect for as long as one slow caller reads its answer.
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

POLL_INTERVAL: Seconds = 0.02
"""Time between checks for requests that are still being answered."""

LATE_READ_TIME: Seconds = 0.1
"""How long connections are still read after the listening socket has closed.

A request that arrives in this time on an open connection is passed to the application
like any other.
"""

CLOSE_TIMEOUT: Seconds = 1.0
"""Maximum time for connections to close, including the TLS shutdown.

Requests that arrive while the listener closes also have at most this time to be
answered. If answers are still in progress when the grace period ends, no request gets
this time.
"""

AsgiApp = Callable[[Any, Any, Any], Awaitable[None]]


@define
class RequestCounter:
    """Counts the requests that are being answered on all listeners of a process.

    The listeners share one counter, so that they close at the same time. A listener
    that closed earlier would refuse connections while the process waits for another
    listener.

    Attributes:
        active: Number of requests that are being answered.
    """

    active: int = 0

    def count_requests(self, app: AsgiApp) -> AsgiApp:
        """Return an application that counts its requests and calls the given one."""

        async def counted(scope: Any, receive: Any, send: Any) -> None:
            self.active += 1
            try:
                await app(scope, receive, send)
            finally:
                self.active -= 1

        return counted

    async def wait_idle(self, seconds: Seconds) -> None:
        """Wait until no request is being answered, for at most the given time."""
        with anyio.move_on_after(seconds):
            while self.active:  # noqa: ASYNC110 - few waiters, at long intervals
                await anyio.sleep(POLL_INTERVAL)


@define
class ConnectionServer:
    """The listening sockets of one listener and the connections accepted on them.

    Attributes:
        app: The application.
        config: hypercorn's configuration of the listener.
        requests: Counts the requests on all listeners of the process.
        context: Contains the event that makes hypercorn end its connections.
        servers: The listening sockets.
        writers: The writers of open connections, by the task that serves each.
    """

    app: AsgiApp
    config: Config
    requests: RequestCounter
    context: WorkerContext = field(factory=lambda: WorkerContext(None))
    servers: list[asyncio.Server] = field(factory=list)
    writers: dict[asyncio.Task[None], asyncio.StreamWriter] = field(factory=dict)

    async def listen(self) -> None:
        """Open the listening sockets and accept connections.

        Raises:
            OSError: The address is in use, or a certificate cannot be used.
        """
        sockets = self.config.create_sockets()
        context = self.config.create_ssl_context() if self.config.ssl_enabled else None
        listening = sockets.secure_sockets if context else sockets.insecure_sockets
        handshake = self.config.ssl_handshake_timeout if context else None
        for each in listening:
            server = await asyncio.start_server(
                self.serve_connection,
                sock=each,
                backlog=self.config.backlog,
                ssl=context,
                ssl_handshake_timeout=handshake,
            )
            self.servers.append(server)

    async def serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of one connection until it closes."""
        task = asyncio.current_task()
        assert task is not None
        self.writers[task] = writer
        if not self.config.ssl_enabled:
            # With a limit of 0 a request stays active until the kernel has taken the
            # whole answer. By default asyncio buffers up to 64 KiB, which would be
            # lost if the listener closed and the process exited. Under TLS asyncio
            # never resumes a writer with this limit, so the default stays, and the
            # buffer has `CLOSE_TIMEOUT` seconds to empty.
            writer.transport.set_write_buffer_limits(0)
        app = ASGIWrapper(self.requests.count_requests(self.app))
        loop = asyncio.get_running_loop()
        try:
            await TCPServer(app, loop, self.config, self.context, {}, reader, writer)
        except asyncio.CancelledError:
            writer.transport.abort()
        finally:
            del self.writers[task]

    async def close(self, grace: Seconds) -> None:
        """Wait for answers, close the listening sockets, and close all connections.

        The sockets accept new connections until the answers in progress have ended or
        `grace` has passed. Connections that aren't closed in time are aborted.

        Args:
            grace: Maximum time for the answers in progress, in seconds.
        """
        await self.requests.wait_idle(grace)
        # Answers that haven't ended after the grace period get no more time. If all
        # have ended, requests that arrive during the close, for example with a large
        # body, still have time to receive a refusal.
        left = 0.0 if self.requests.active else CLOSE_TIMEOUT
        self.stop_listening()
        await anyio.sleep(LATE_READ_TIME)
        await self.requests.wait_idle(left)
        await self.context.terminated.set()
        await self.wait_closed(CLOSE_TIMEOUT if not self.requests.active else 0.0)
        if self.writers:
            logger.warning(
                "connections aborted at the stop",
                extra={"bind": self.config.bind[0], "count": len(self.writers)},
            )
            await self.abort()

    def stop_listening(self) -> None:
        """Close the listening sockets; open connections stay open."""
        for server in self.servers:
            server.close()

    async def wait_closed(self, seconds: Seconds) -> None:
        """Wait until all connections have closed, for at most the given time."""
        if self.writers:
            await asyncio.wait(list(self.writers), timeout=seconds)

    async def abort(self) -> None:
        """Abort all connections, and wait up to `CLOSE_TIMEOUT` for their tasks."""
        for task, writer in list(self.writers.items()):
            writer.transport.abort()
            task.cancel()
        await self.wait_closed(CLOSE_TIMEOUT)
