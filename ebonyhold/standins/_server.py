"""Running a stand-in's application on a socket of its own."""

from __future__ import annotations

import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
from anyio.abc import TaskStatus
from hypercorn.asyncio import serve
from hypercorn.config import Config

from ebonyhold.standins._asgi import App

KEEP_ALIVE = 75.0
"""Longer than any client keeps an idle connection, in seconds.

Were it shorter, the server would close a connection just when a client sends
its next call on it, and that client could not tell whether the call took effect.
"""

BACKLOG = 1024
REQUESTS_A_CONNECTION = 1_000_000_000
STREAMS_A_CONNECTION = 1000
GRACE = 0.05


def bind(address: str) -> socket.socket:
    """Bind a socket to ``ip:port``; port 0 takes a free one.

    Raises:
        OSError: The address is taken.
    """
    host, _, port = address.rpartition(":")
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind((host, int(port)))
    return bound


def address_of(bound: socket.socket) -> str:
    """Return where a socket is bound, as ``ip:port``."""
    host, port = bound.getsockname()
    return f"{host}:{port}"


def configure(bound: socket.socket) -> Config:
    """Return the server's settings for a bound socket, which it then owns."""
    config = Config()
    config.bind = [f"fd://{bound.detach()}"]
    config.accesslog = None
    config.errorlog = None
    config.backlog = BACKLOG
    config.keep_alive_timeout = KEEP_ALIVE
    config.keep_alive_max_requests = REQUESTS_A_CONNECTION
    config.h2_max_concurrent_streams = STREAMS_A_CONNECTION
    config.graceful_timeout = GRACE
    config.shutdown_timeout = GRACE
    return config


async def serve_app(
    app: App,
    bound: socket.socket,
    stop: anyio.Event,
    *,
    task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until told to stop; needs the asyncio backend of anyio.

    Cancelling does not end it, since hypercorn answers a cancellation with
    errors from every open connection: set `stop` instead.
    """
    bound.listen(BACKLOG)
    async with anyio.create_task_group() as tasks:
        for background in app.background:
            tasks.start_soon(background)
        task_status.started()
        with anyio.CancelScope(shield=True):
            await serve_until(app, bound, stop)
        tasks.cancel_scope.cancel()


async def serve_until(app: App, bound: socket.socket, stop: anyio.Event) -> None:
    """Run hypercorn until told to stop."""
    try:
        # hypercorn's typing has its own idea of an ASGI scope.
        await serve(
            app,  # type: ignore[arg-type]
            configure(bound),
            shutdown_trigger=stop.wait,
            mode="asgi",
        )
    except anyio.get_cancelled_exc_class():
        # hypercorn cancels connections that outlive its grace, such as paused
        # ones, and lets that cancellation out.  Nobody cancelled this task: it
        # is shielded.  So once it was told to stop, it has stopped.
        if not stop.is_set():
            raise


@asynccontextmanager
async def running(app: App, address: str = "127.0.0.1:0") -> AsyncIterator[str]:
    """Serve an application beside a test; gives its base URL."""
    bound = bind(address)
    base_url = f"http://{address_of(bound)}"
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        await tasks.start(serve_app, app, bound, stop)
        try:
            yield base_url
        finally:
            stop.set()
