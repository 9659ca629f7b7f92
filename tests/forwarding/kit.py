"""A router's forwarding with scripted backend servers, over loopback sockets."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from typing import cast

import anyio
from anyio.abc import SocketAttribute, SocketListener, SocketStream, TaskGroup
from attrs import define, field

from ebonyhold.forwarding import (
    Backend,
    BackendState,
    BackendTable,
    CallerConnection,
    CallerLimits,
    CallerListener,
    ChannelPool,
    FleetRetryBudget,
    FlowControl,
    Forwarder,
    Paths,
    RetryRules,
    Route,
    RouteKind,
    Ruleset,
    RunChecks,
    Service,
    ServiceShare,
    SlowReaders,
    Workspace,
)
from ebonyhold.misc import free_port
from ebonyhold.platform import PlatformDialect

LOOPBACK = "127.0.0.1"
GONE = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError)
Script = Callable[["Server", SocketStream, str], Awaitable[None]]


def route(name: str, kind: RouteKind, **more: object) -> Route:
    """Return a route for the test rules."""
    known: dict[str, object] = {"timeout": 2.0, "target": 0.1, "max_attempts": 2}
    return Route(
        name,
        "h.example",
        f"/{name}/",
        (ServiceShare("svc", 1.0),),
        kind,
        **{**known, **more},  # type: ignore[arg-type]
    )


ROUTES = (
    route("safe", RouteKind.SAFE),
    route("unsafe", RouteKind.UNSAFE),
    route("stream", RouteKind.STREAM, resumable=True),
    route("once", RouteKind.STREAM),
    route(
        "paced",
        RouteKind.STREAM,
        timeout=4.0,
        target=0.6,
        resumable=True,
        max_gap=0.1,
    ),
    route("short", RouteKind.UNSAFE, timeout=0.3),
    route("open", RouteKind.SAFE, anonymous=True),
    route("often", RouteKind.SAFE, max_attempts=9),
)
REPORT_PATH = "/report"
"""Where a server tells when it has started."""

ACME = Workspace("acme", ("k1", "k2"), priority=3, prepaid=10_000)


def rules(version: int = 1) -> Ruleset:
    """Return the test rules."""
    return Ruleset(
        version,
        {"h.example": {item.prefix: item for item in ROUTES}},
        {"svc": Service("svc", 100, event_tokens=5)},
        {"acme": ACME},
        dict.fromkeys(ACME.keys, ACME),
        CallerLimits(head_bytes=2000, body_bytes=100_000, head_timeout=0.3),
    )


@define(eq=False)
class Server:
    """A backend server that runs a script for each request.

    Attributes:
        name: Its name in the server list.
        script: Handles a request.
        requests: The request heads received.
        bodies: The request bodies received.
        connections: Number of connections accepted.
        closed: Number of connections that ended.
        version: The version of its software.
        started_at: The start that its reports state; 0 if it has none, and negative if
            it does not answer.
        reports: Number of reports that were asked for.
        port: Its port, once it listens.
        listener: Accepts its connections, once it listens.
    """

    name: str
    script: Script
    requests: list[str] = field(factory=list)
    bodies: list[bytes] = field(factory=list)
    connections: int = 0
    closed: int = 0
    version: str = ""
    started_at: int = 0
    reports: int = 0
    port: int = 0
    listener: SocketListener | None = None

    async def run(self, tasks: TaskGroup) -> None:
        """Accept connections until `crash` is called, and serve each in a task."""
        assert self.listener is not None
        with suppress(anyio.ClosedResourceError):
            while True:
                tasks.start_soon(self.serve, await self.listener.accept())

    async def crash(self) -> None:
        """Refuse all further connections; the script ends those that are open."""
        assert self.listener is not None
        await self.listener.aclose()

    async def serve(self, stream: SocketStream) -> None:
        """Run the script for each request of a connection until it closes."""
        self.connections += 1
        rest = b""
        try:
            async with stream:
                while True:
                    while b"\r\n\r\n" not in rest:
                        rest += await stream.receive()
                    head, _, rest = rest.partition(b"\r\n\r\n")
                    text = head.decode()
                    if text.startswith(f"GET {REPORT_PATH} "):
                        await self.report(stream)
                        continue
                    length = int(value(text, "content-length") or 0)
                    while len(rest) < length:
                        rest += await stream.receive()
                    self.requests.append(text)
                    self.bodies.append(rest[:length])
                    rest = rest[length:]
                    await self.script(self, stream, text)
        except GONE:
            self.closed += 1

    async def report(self, stream: SocketStream) -> None:
        """Answer with the start of its process; with 400 if it gives no reports."""
        self.reports += 1
        body = b"%d" % self.started_at
        status = "200 OK" if self.started_at else "400 Bad Request"
        if self.started_at >= 0:
            await stream.send(answer("", body, status))

    def backend(self) -> Backend:
        """Return its entry in the server list."""
        address = (LOOPBACK, self.port)
        return Backend(
            self.name,
            "svc",
            address,
            "a",
            4,
            BackendState.READY,
            1,
            version=self.version,
        )


def value(head: str, name: str) -> str:
    """Return the value of a header field, or an empty string."""
    for line in head.split("\r\n"):
        key, _, text = line.partition(":")
        if key.lower() == name:
            return text.strip()
    return ""


def answer(
    head: str, body: bytes = b"ok", status: str = "200 OK", extra: str = ""
) -> bytes:
    """Return a complete answer to a request."""
    request = value(head, "x-ebonyhold-request-id")
    return (
        f"HTTP/1.1 {status}\r\nX-Ebonyhold-Request-Id: {request}\r\n"
        f"X-Ebonyhold-Response-Stamp: proof\r\n{extra}"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def stray(named: str = "r0", status: str = "503 Service Unavailable") -> bytes:
    """Return a rejection that names another request; an empty name is left out."""
    identity = f"X-Ebonyhold-Request-Id: {named}\r\n" if named else ""
    return (
        f"HTTP/1.1 {status}\r\n{identity}"
        "X-Ebonyhold-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    ).encode()


def stream_head(head: str) -> bytes:
    """Return the head of a streamed answer."""
    request = value(head, "x-ebonyhold-request-id")
    return (
        f"HTTP/1.1 200 OK\r\nX-Ebonyhold-Request-Id: {request}\r\n"
        "X-Ebonyhold-Response-Stamp: proof\r\nContent-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    ).encode()


def chunk(data: bytes) -> bytes:
    """Return one chunk of a chunked body; a chunk without data ends the body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(number: int) -> bytes:
    """Return the event of a stream with the given number."""
    return b"id: %d\ndata: t\n\n" % number


@define(eq=False)
class Rig:
    """A router with its servers.

    Attributes:
        port: The port for callers.
        forwarder: The router's forwarder.
        listener: The router's listener for callers.
        ended: The route and outcome of each request that has ended.
    """

    port: int
    forwarder: Forwarder
    listener: CallerListener
    ended: list[tuple[str, str]]

    async def ask(self, request: bytes) -> bytes:
        """Send a request on a new connection and return all bytes received."""
        async with await anyio.connect_tcp(LOOPBACK, self.port) as stream:
            await stream.send(request)
            return await read_all(stream)


async def read_all(stream: SocketStream) -> bytes:
    """Return the bytes received until the connection ends, but at most for 3 s."""
    data = b""
    with anyio.move_on_after(3.0):
        while True:
            try:
                data += await stream.receive()
            except GONE:
                break
    return data


def request(
    path: str,
    method: str = "GET",
    body: bytes = b"",
    extra: str = "",
    close: bool = True,
) -> bytes:
    """Return a caller's request; with ``close``, it asks to close the connection."""
    length = f"Content-Length: {len(body)}\r\n" if body or method == "POST" else ""
    end = "Connection: close\r\n" if close else ""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: h.example\r\n"
        f"X-Ebonyhold-Request-Id: r1\r\nX-Ebonyhold-Key: k1\r\n{extra}{length}{end}\r\n"
    ).encode() + body


class UnlimitedHold:
    """A hold without limit that records the charges."""

    def __init__(self) -> None:
        self.charges: list[tuple[int, int]] = []

    async def hold(self, amount: int, request: str) -> None:
        """Accept any amount."""

    def settle(self, hold: int, charge: int) -> None:
        """Record the hold and the charge."""
        self.charges.append((hold, charge))


@asynccontextmanager
async def rig(
    *servers: Server,
    hold: UnlimitedHold | None = None,
    extra_retries: float = 50.0,
    flow: FlowControl[CallerConnection] | None = None,
    reports: bool = False,
) -> AsyncIterator[Rig]:
    """Run a router with backend servers, and yield it once it accepts connections.

    With `reports`, it asks servers for theirs.
    """
    table = BackendTable()
    ended: list[tuple[str, str]] = []
    async with anyio.create_task_group() as tasks:
        for server in servers:
            listeners = await anyio.create_tcp_listener(local_host=LOOPBACK)
            (server.listener,) = cast("list[SocketListener]", listeners.listeners)
            server.port = listeners.extra(SocketAttribute.local_port)
            table.update(server.backend())
            tasks.start_soon(server.run, tasks)
        pool = ChannelPool(tasks)
        target = REPORT_PATH.encode() if reports else b""
        forwarder = Forwarder(
            domain="a",
            dialect=PlatformDialect(),
            backends=table,
            paths=Paths(pool),
            retries=FleetRetryBudget(RetryRules(0.2, extra_retries, 10.0), lambda: 1),
            rules=rules,
            open_hold=lambda workspace: hold,
            on_end=lambda name, outcome, duration: ended.append((name, outcome)),
            checks=RunChecks(table, pool, target, int),
            flow=flow or FlowControl(),
        )
        tasks.start_soon(forwarder.waits.run)
        port = free_port()
        callers = CallerListener(
            forwarder.serve, lambda: rules().limits, identify=forwarder.identify
        )
        if flow is not None and flow.bounded:
            callers.flow, forwarder.paths.pool.account = flow, flow.answers
            tasks.start_soon(SlowReaders(flow).run)
        tasks.start_soon(callers.run, (LOOPBACK, port), tasks)
        await until_open(port)
        yield Rig(port, forwarder, callers, ended)
        tasks.cancel_scope.cancel()


async def until_open(port: int) -> None:
    """Wait until a port accepts connections."""
    while True:
        try:
            stream = await anyio.connect_tcp(LOOPBACK, port)
        except OSError:
            await anyio.sleep(0.005)
            continue
        await stream.aclose()
        return
