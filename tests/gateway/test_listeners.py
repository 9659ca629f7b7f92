"""The platform's questions to a gateway that stops: readiness and metrics."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, cast

import anyio
import pytest
from anyio.abc import TaskGroup
from attrs import define, field, frozen

from ebonyhold.forwarding import CallerLimits, CallerListener
from ebonyhold.gateway._gateway import Gateway
from ebonyhold.misc import free_port
from tests.daemon.kit import LOOPBACK
from tests.daemon.stopkit import LOOK, PATIENCE, Caller

pytestmark = pytest.mark.anyio

QUESTION = b"GET / HTTP/1.1\r\nhost: vm\r\n\r\n"


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class Meters:
    """Metrics with one line."""

    def render(self) -> bytes:
        return b"up 1\n"


@define
class Stage:
    """As much of a gateway as its two small listeners use."""

    ready: bool = True
    meters: Meters = field(factory=Meters)

    def measure(self) -> None:
        """Bring no gauge up to date."""


@define
class Listening:
    """One of the small listeners, as the gateway starts it.

    Attributes:
        stage: The gateway.
        port: Where the platform asks.
        tasks: What the gateway's stop cancels at its very end.
    """

    stage: Stage
    port: int
    tasks: TaskGroup

    @asynccontextmanager
    async def caller(self) -> AsyncIterator[Caller]:
        """Connect, once it listens."""
        with anyio.fail_after(PATIENCE):
            while True:
                try:
                    stream = await anyio.connect_tcp(LOOPBACK, self.port)
                    break
                except OSError:
                    await anyio.sleep(LOOK)
        async with stream:
            yield Caller(stream)


@asynccontextmanager
async def listening(name: str) -> AsyncIterator[Listening]:
    """Listen as the gateway does."""
    stage = Stage()
    gateway = cast(Any, stage)
    port = free_port()

    async def answer(connection: Any, head: Any, body: bytes) -> None:
        tell = Gateway.tell_readiness if name == "readiness" else Gateway.tell_metrics
        await tell(gateway, connection, head, body)

    listener = CallerListener(answer, CallerLimits)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.run, (LOOPBACK, port), tasks)
        yield Listening(stage, port, tasks)
        tasks.cancel_scope.cancel()


@frozen
class Kind:
    """What is sent before the stop and during it, and the answers to both."""

    before: bytes
    after: bytes
    heard: int = 0
    hears: int = 1


KINDS = {
    "new": Kind(b"", QUESTION),
    "kept": Kind(QUESTION, QUESTION, heard=1),
    "half head": Kind(QUESTION[:9], QUESTION[9:]),
    "pipelined": Kind(QUESTION, QUESTION * 3, heard=1, hears=3),
}


@pytest.mark.parametrize("kind", KINDS.values(), ids=KINDS)
@pytest.mark.parametrize(("name", "status"), [("readiness", 503), ("metrics", 200)])
async def test_a_stopping_gateway_answers_the_platform(
    name: str, status: int, kind: Kind
) -> None:
    """The platform hears from a stopping gateway that it is, and its metrics.

    Both listeners go on to the end of the process, for every way to ask.
    """
    async with listening(name) as here, here.caller() as caller:
        await caller.send(kind.before)
        for _ in range(kind.heard):
            assert (await caller.answer()).status == 200
        here.stage.ready = False
        await caller.send(kind.after)
        answers = [await caller.answer() for _ in range(kind.hears)]
        assert [(one.status, one.whole) for one in answers] == [(status, True)] * (
            kind.hears
        )


@pytest.mark.parametrize("name", ["readiness", "metrics"])
async def test_the_end_leaves_no_question_open(name: str) -> None:
    """A question that isn't whole at the very end holds nothing up.

    The process's end cancels the listener: the connection closes, and a new one is
    refused rather than left without an answer.
    """
    async with listening(name) as here, here.caller() as caller:
        await caller.send(QUESTION[:9])
        here.tasks.cancel_scope.cancel()
        with anyio.CancelScope(shield=True):
            assert not (await caller.answer()).whole
            with pytest.raises(OSError, match="connection attempts failed"):
                await anyio.connect_tcp(LOOPBACK, here.port)
