"""Requests whose servers are silent, each with what operators are to see of it."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
from anyio.abc import SocketStream
from attrs import frozen

from tests.forwarding.kit import (
    Rig,
    Script,
    Server,
    answer,
    chunk,
    event,
    request,
    rig,
    stream_head,
)
from tests.forwarding.test_attempts import fails, silent
from tests.forwarding.test_silent_servers import (
    good_answer,
    late_answer,
    paused_stream,
)

END_AFTER = 0.45
"""Seconds after which a silent server ends: while another one may work beside it."""

NOT_SENT = frozenset({"no_retry", "no_server", "other_version", "common_silence"})
"""The results of searches after which a request is sent to no other server."""

SLOW_ANSWER = 0.6
"""Seconds that a server works on an answer: longer than two may do so side by side."""


async def ends(server: Server, stream: SocketStream, head: str) -> None:
    """Be silent for a while, and close the connection."""
    await anyio.sleep(END_AFTER)
    await stream.aclose()


async def slow_answer(server: Server, stream: SocketStream, head: str) -> None:
    """Answer well after it may work beside another server."""
    await anyio.sleep(SLOW_ANSWER)
    await stream.send(answer(head))


async def breaks_late(server: Server, stream: SocketStream, head: str) -> None:
    """Close the connection well after it may work beside another server."""
    await anyio.sleep(SLOW_ANSWER)
    await stream.aclose()


async def steady_stream(server: Server, stream: SocketStream, head: str) -> None:
    """Send an event every twentieth of a second."""
    await stream.send(stream_head(head))
    for number in range(1, 40):
        await stream.send(chunk(event(number)))
        await anyio.sleep(0.05)


@frozen
class Silence:
    """A silence of the server that gets a request first.

    Attributes:
        name: What happens.
        first: The script for the request at this server.
        other: The script for it at a further server.
        outcome: What becomes of the silence.
        results: What comes of the searches for another server.
        reason: The start of why an attempt has failed, with the names of the servers.
        path: The request's path.
        servers: The number of servers.
        versions: The version of each one's software.
        retries: The retries in the budget.
        beside: Path and script of a request that is open at another server meanwhile.
    """

    name: str
    first: Script
    other: Script
    outcome: str
    results: frozenset[str]
    reason: str = ""
    path: str = "/safe/x"
    servers: int = 2
    versions: tuple[str, str] = ("", "")
    retries: float = 50.0
    beside: tuple[str, Script] | None = None

    def __str__(self) -> str:
        return self.name

    def script(self) -> Script:
        """Return a script for all servers: the first one asked, and the others."""
        seen: list[str] = []

        async def run(server: Server, stream: SocketStream, head: str) -> None:
            if self.beside is not None and f" {self.beside[0]} " in head:
                await self.beside[1](server, stream, head)
                return
            seen.append(server.name)
            script = self.first if server.name == seen[0] else self.other
            await script(server, stream, head)

        return run

    @asynccontextmanager
    async def rig(self) -> AsyncIterator[Rig]:
        """Run a router with the servers."""
        script = self.script()
        servers = [
            Server(f"server-{number}", script, version=version)
            for number, version in enumerate(self.versions[: self.servers], 1)
        ]
        async with rig(*servers, extra_retries=self.retries) as router:
            yield router

    async def ask(self, router: Rig) -> bytes:
        """Return what the caller of the request r1 gets."""
        async with anyio.create_task_group() as tasks:
            if self.beside is not None:
                other = request(self.beside[0]).replace(b"r1", b"r2")
                tasks.start_soon(router.ask, other)
                await anyio.sleep(0.05)
            got = await router.ask(request(self.path))
            tasks.cancel_scope.cancel()
        return got


SILENCES = [
    Silence(
        "another answers",
        silent,
        good_answer,
        "moved",
        frozenset({"answered"}),
        "{first}: no answer in time, moved",
    ),
    Silence(
        "both silent",
        late_answer,
        silent,
        "went_on",
        frozenset({"withdrawn"}),
        "{other}: withdrawn",
    ),
    Silence(
        "another fails",
        late_answer,
        fails,
        "went_on",
        frozenset({"failed"}),
        "{other}: answered 500",
    ),
    Silence(
        "no retry left",
        late_answer,
        good_answer,
        "went_on",
        frozenset({"no_retry"}),
        retries=0.0,
    ),
    Silence(
        "no other server",
        late_answer,
        good_answer,
        "went_on",
        frozenset({"no_server"}),
        servers=1,
    ),
    Silence(
        "other version",
        paused_stream,
        good_answer,
        "went_on",
        frozenset({"other_version"}),
        path="/stream/x",
        versions=("v1", "v2"),
    ),
    Silence(
        "all silent",
        late_answer,
        good_answer,
        "went_on",
        frozenset({"common_silence"}),
        beside=("/unsafe/x", silent),
    ),
    Silence(
        "server ends",
        ends,
        good_answer,
        "ended",
        frozenset({"no_server"}),
        "{first}: no answer",
        servers=1,
    ),
    Silence(
        "server ends beside another",
        ends,
        slow_answer,
        "ended",
        frozenset({"answered"}),
        "{first}: no answer",
    ),
    Silence(
        "silent alone",
        silent,
        slow_answer,
        "left",
        frozenset({"answered"}),
        "{first}: no answer in time, left",
        beside=("/once/x", steady_stream),
    ),
    Silence(
        "silent for good",
        silent,
        silent,
        "unanswered",
        frozenset({"no_server"}),
        servers=1,
    ),
]
