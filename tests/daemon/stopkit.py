"""A router on a socket, with the real listener, application and lifecycle.

The backend servers, and the component that holds grants and files bills, are fakes.
They delay each step of a stop for as long as a test needs.
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

TIMEOUT: Seconds = 20.0
POLL_INTERVAL: Seconds = 0.01
CHAT = json.dumps(
    {"model": "assistant", "messages": [{"role": "user", "content": "is it dry"}]}
).encode()
STREAM = json.dumps({**json.loads(CHAT), "stream": True}).encode()


@define
class SlowMoney(FakeMoney):
    """A fake component that holds grants and files bills, whose calls a test can delay.

    Attributes:
        settles: If given, `finish` waits for it before it records an outcome.
        drains: If given, `drain` waits for it.
        draining: Set when `drain` is called.
        unsettled: Number of requests without an outcome when `drain` was called.
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
    """A fake network for a router without peers."""

    def leave(self) -> None:
        """Do nothing, as there is no router to notify."""


@define
class Answer:
    """One answer as received on a connection, possibly cut off.

    Attributes:
        status: The HTTP status; 0 if the head is incomplete.
        headers: The headers, with lower-case names.
        body: The bytes of the body received, with chunk sizes if it is chunked.
        whole: Whether the answer is complete.
    """

    status: int = 0
    headers: dict[str, str] = field(factory=dict)
    body: bytes = b""
    whole: bool = False

    @property
    def error(self) -> dict[str, Any]:
        """The error object in the body of a refusal."""
        error: dict[str, Any] = json.loads(self.body)["error"]
        return error

    @property
    def refused_as_not_run(self) -> bool:
        """Whether this is a whole 503 with ``not_run`` and a positive retry-after."""
        return (
            self.whole
            and self.status == 503
            and self.error.get("not_run") is True
            and int(self.headers.get("retry-after", "0")) > 0
        )


@define
class Caller:
    """One connection of a caller, which sends and receives raw bytes.

    Attributes:
        stream: The connection.
        buffer: Bytes that were received and not parsed yet.
        cut: Whether sending has failed because the router closed the connection.
    """

    stream: SocketStream
    buffer: bytes = b""
    cut: bool = False

    async def send(self, data: bytes) -> None:
        """Send bytes; set `cut` if the connection is broken."""
        try:
            await self.stream.send(data)
        except anyio.BrokenResourceError:
            self.cut = True

    async def more(self) -> bool:
        """Receive more bytes; return whether the connection was still open."""
        try:
            self.buffer += await self.stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return False
        return True

    async def answer(self) -> Answer:
        """Read one answer, or the part received before the connection ended."""
        answer = Answer()
        with anyio.fail_after(TIMEOUT):
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
        """Read the body, by its content length or else as chunks.

        Leave `whole` unset if the connection ends before the body does.
        """
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
    """Return the head of a request whose body has `size` bytes."""
    return (
        f"{method} {path} HTTP/1.1\r\nhost: router\r\nauthorization: Bearer {KEY}\r\n"
        f"content-length: {size}\r\n\r\n"
    ).encode()


def request(body: bytes = CHAT, path: str = "/v1/chat/completions") -> bytes:
    """Return a POST request with head and body."""
    return head(len(body), path) + body


@define
class HeldScript:
    """A script of a backend server that answers once a test allows it.

    Attributes:
        released: Set by a test to let calls be answered.
        arrived: Set when a call has arrived.
    """

    released: anyio.Event = field(factory=anyio.Event)
    arrived: anyio.Event = field(factory=anyio.Event)

    async def __call__(self, engine: Engine, request: httpx.Request) -> httpx.Response:
        self.arrived.set()
        await self.released.wait()
        return await good(engine, request)


@define
class Router:
    """A router that listens on a socket.

    Attributes:
        port: Where callers connect.
        bench: The application and its fake backend servers.
        money: The fake of the component that holds grants and files bills.
        lifecycle: Runs the stop.
        gone: Set when the listener has ended, at which point a process would exit.
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
        """Set the scripts of each backend server; the last one is repeated."""
        for server in self.bench.servers.values():
            server.scripts = list(scripts)

    def ran(self) -> int:
        """Return the number of calls that reached any backend server."""
        return sum(len(server.calls) for server in self.bench.servers.values())

    @asynccontextmanager
    async def caller(self) -> AsyncIterator[Caller]:
        """Open a connection to the router, and close it after the block."""
        async with await anyio.connect_tcp(LOOPBACK, self.port) as stream:
            yield Caller(stream)

    async def run(self) -> None:
        """Serve until the stop has ended and the listener has closed."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.lifecycle.run)
            await serve_listener(
                self.app, Listener(f"{LOOPBACK}:{self.port}"), self.lifecycle.ended
            )
        self.gone.set()

    async def wait_listening(self) -> None:
        """Wait until callers can connect."""
        with anyio.fail_after(TIMEOUT):
            while True:
                try:
                    async with self.caller():
                        return
                except OSError:
                    await anyio.sleep(POLL_INTERVAL)


@asynccontextmanager
async def running_router(drain: Seconds = TIMEOUT) -> AsyncIterator[Router]:
    """Run a router during the block; stop it after the block, and wait for its end.

    Args:
        drain: The document's maximum wait for requests in flight at a stop.
    """
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
        with anyio.fail_after(TIMEOUT):
            await router.gone.wait()
    # If the listener is cancelled, this task group ends without an error.
    assert router.gone.is_set()


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until the condition holds, for at most `TIMEOUT`."""
    with anyio.fail_after(TIMEOUT):
        while not condition():  # noqa: ASYNC110 - there is no event to wait for
            await anyio.sleep(POLL_INTERVAL)
