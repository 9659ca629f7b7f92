"""A router's stop over sockets: real listener, application and lifecycle.

The money and the backend servers are scripted, so that each step of the stop
lasts for as long as a test wants.
"""

from __future__ import annotations

import json
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any, cast

import anyio
import httpx
from anyio.abc import SocketStream
from attrs import define, field

from ebonyhold.callers import CallersApp
from ebonyhold.coordination import Outcome
from ebonyhold.daemon._lifecycle import Lifecycle
from ebonyhold.daemon._servers import serve_listener
from ebonyhold.misc import free_port
from ebonyhold.money import Permit
from ebonyhold.settings import Listener
from ebonyhold.types import Seconds
from tests.backends.kit import Engine, Script, good
from tests.callers.kit import KEY, Bench, FakeMoney, make_bench, make_document
from tests.daemon.kit import LOOPBACK

PATIENCE: Seconds = 20.0
LOOK: Seconds = 0.01
CHAT = json.dumps(
    {"model": "assistant", "messages": [{"role": "user", "content": "is it dry"}]}
).encode()
STREAM = json.dumps({**json.loads(CHAT), "stream": True}).encode()


@define
class SlowMoney(FakeMoney):
    """Money whose last steps last as long as a test wants.

    Attributes:
        settles: Holds back the outcomes of requests until it is set, if it is there.
        drains: Holds back the stop's settlement until it is set, if it is there.
        draining: Set when the stop has come to its settlement.
        unsettled: Requests that had not ended when the stop settled.
    """

    settles: anyio.Event | None = None
    drains: anyio.Event | None = None
    draining: anyio.Event = field(factory=anyio.Event)
    unsettled: int = 0

    async def finish(
        self, permit: Permit, outcome: Outcome, *, durable_within: float = 0.0
    ) -> None:
        if self.settles is not None:
            await self.settles.wait()
        await super().finish(permit, outcome, durable_within=durable_within)

    async def drain(self) -> None:
        self.draining.set()
        self.unsettled = len(self.orders) - len(self.outcomes)
        if self.drains is not None:
            await self.drains.wait()


class Network:
    """The other routers, who only hear that this one leaves."""

    def leave(self) -> None:
        """Tell nobody."""


@define
class Answer:
    """What came back on a connection, up to the end of one answer or its cut."""

    status: int = 0
    headers: dict[str, str] = field(factory=dict)
    body: bytes = b""
    whole: bool = False

    @property
    def error(self) -> dict[str, Any]:
        """The error of a refusal."""
        error: dict[str, Any] = json.loads(self.body)["error"]
        return error

    @property
    def told_not_run(self) -> bool:
        """Whether this is a true refusal of a request that did not run."""
        return (
            self.whole
            and self.status == 503
            and self.error.get("not_run") is True
            and int(self.headers.get("retry-after", "0")) > 0
        )


@define
class Caller:
    """One connection of a caller, byte by byte.

    Attributes:
        stream: The connection.
        buffer: What came and was not read yet.
        cut: Whether the other side closed while this one was still sending.
    """

    stream: SocketStream
    buffer: bytes = b""
    cut: bool = False

    async def send(self, data: bytes) -> None:
        """Send bytes, and note if nobody takes them."""
        try:
            await self.stream.send(data)
        except anyio.BrokenResourceError:
            self.cut = True

    async def more(self) -> bool:
        """Take more bytes; return whether there were any."""
        try:
            self.buffer += await self.stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return False
        return True

    async def answer(self) -> Answer:
        """Read one answer, or what there is of it."""
        answer = Answer()
        with anyio.fail_after(PATIENCE):
            while b"\r\n\r\n" not in self.buffer:
                if not await self.more():
                    return answer
            head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
            first, *lines = head.decode().split("\r\n")
            answer.status = int(first.split()[1])
            for line in lines:
                name, _, value = line.partition(":")
                answer.headers[name.lower()] = value.strip()
            await self.read_body(answer)
        return answer

    async def read_body(self, answer: Answer) -> None:
        """Read the body, as long or chunked as the head says."""
        if "content-length" in answer.headers:
            size = int(answer.headers["content-length"])
            while len(self.buffer) < size:
                if not await self.more():
                    return
            answer.body, self.buffer = self.buffer[:size], self.buffer[size:]
            answer.whole = True
            return
        while b"0\r\n\r\n" not in self.buffer:
            if not await self.more():
                answer.body = self.buffer
                return
        answer.body, _, self.buffer = self.buffer.partition(b"0\r\n\r\n")
        answer.whole = True


def head(size: int, path: str = "/v1/chat/completions", method: str = "POST") -> bytes:
    """Return the head of a request."""
    return (
        f"{method} {path} HTTP/1.1\r\nhost: router\r\nauthorization: Bearer {KEY}\r\n"
        f"content-length: {size}\r\n\r\n"
    ).encode()


def request(body: bytes = CHAT, path: str = "/v1/chat/completions") -> bytes:
    """Return a whole request."""
    return head(len(body), path) + body


@define
class Held:
    """A script that answers well, but only once it is let go."""

    go: anyio.Event = field(factory=anyio.Event)
    arrived: anyio.Event = field(factory=anyio.Event)

    async def __call__(self, engine: Engine, request: httpx.Request) -> httpx.Response:
        self.arrived.set()
        await self.go.wait()
        return await good(engine, request)


@define
class Router:
    """A router on a socket of its own.

    Attributes:
        port: Where callers connect.
        bench: The application in front of scripted servers.
        money: Its money.
        lifecycle: Leads its stop.
        gone: Set when its listener has ended, as its process would.
    """

    port: int
    bench: Bench
    money: SlowMoney
    lifecycle: Lifecycle
    gone: anyio.Event = field(factory=anyio.Event)

    @property
    def app(self) -> CallersApp:
        """The callers' application."""
        return self.bench.app

    def script(self, *scripts: Script) -> None:
        """Let every backend server do this with its calls, the last one repeated."""
        for server in self.bench.servers.values():
            server.scripts = list(scripts)

    def ran(self) -> int:
        """Return how many requests reached a backend server."""
        return sum(len(server.calls) for server in self.bench.servers.values())

    @asynccontextmanager
    async def caller(self) -> AsyncIterator[Caller]:
        """Connect."""
        async with await anyio.connect_tcp(LOOPBACK, self.port) as stream:
            yield Caller(stream)

    async def run(self) -> None:
        """Serve until the lifecycle has come to its end."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.lifecycle.run)
            await serve_listener(
                self.app, Listener(f"{LOOPBACK}:{self.port}"), self.lifecycle.ended
            )
        self.gone.set()

    async def wait_listening(self) -> None:
        """Wait until callers can connect."""
        with anyio.fail_after(PATIENCE):
            while True:
                try:
                    async with self.caller():
                        return
                except OSError:
                    await anyio.sleep(LOOK)


@asynccontextmanager
async def routing(drain: Seconds = PATIENCE) -> AsyncIterator[Router]:
    """Serve a router; it has stopped, and its listener ended, after the block."""
    bench = make_bench(make_document(engines=1, service_count=1))
    money = SlowMoney()
    bench.app.money = money
    part = cast(Any, money)
    lifecycle = Lifecycle(
        bench.app, part, cast(Any, Network()), lambda: drain, registered=True
    )
    router = Router(free_port(), bench, money, lifecycle)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(router.run)
        await router.wait_listening()
        yield router
        lifecycle.stop_requested.set()
        with anyio.fail_after(PATIENCE):
            await router.gone.wait()
    # A listener that ends as cancelled cancels this group without an error.
    assert router.gone.is_set()


async def wait_until(wanted: Callable[[], bool]) -> None:
    """Wait until a look says yes."""
    with anyio.fail_after(PATIENCE):
        while not wanted():  # noqa: ASYNC110 - the parts offer no event
            await anyio.sleep(LOOK)
