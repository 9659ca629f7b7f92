"""Readiness checks and metrics scrapes of a gateway that stops."""

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
from tests.daemon.stopkit import POLL_INTERVAL, TIMEOUT, Caller

pytestmark = pytest.mark.anyio

REQUEST = b"GET / HTTP/1.1\r\nhost: vm\r\n\r\n"


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class Metrics:
    """Metrics whose text is one fixed line."""

    def render(self) -> bytes:
        return b"up 1\n"


@define
class FakeGateway:
    """The parts of a gateway that its readiness and metrics listeners use."""

    ready: bool = True
    metrics: Metrics = field(factory=Metrics)

    def update_gauges(self) -> None:
        """Update no gauge."""


@define
class ListenerRig:
    """A running readiness or metrics listener.

    Attributes:
        gateway_double: Stands for the gateway that answers.
        port: The listener's port.
        tasks: The task group of the listener, which a test cancels to end it.
    """

    gateway_double: FakeGateway
    port: int
    tasks: TaskGroup

    @asynccontextmanager
    async def caller(self) -> AsyncIterator[Caller]:
        """Connect as soon as the listener is open."""
        with anyio.fail_after(TIMEOUT):
            while True:
                try:
                    stream = await anyio.connect_tcp(LOOPBACK, self.port)
                    break
                except OSError:
                    await anyio.sleep(POLL_INTERVAL)
        async with stream:
            yield Caller(stream)


@asynccontextmanager
async def running_listener(name: str) -> AsyncIterator[ListenerRig]:
    """Run a listener with the gateway's handler."""
    gateway_double = FakeGateway()
    gateway = cast(Any, gateway_double)
    port = free_port()

    async def answer(connection: Any, head: Any, body: bytes) -> None:
        respond = (
            Gateway.answer_readiness if name == "readiness" else Gateway.answer_metrics
        )
        await respond(gateway, connection, head, body)

    listener = CallerListener(answer, CallerLimits)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listener.run, (LOOPBACK, port), tasks)
        yield ListenerRig(gateway_double, port, tasks)
        tasks.cancel_scope.cancel()


@frozen
class Case:
    """Bytes sent before and during the stop, and the numbers of answers to them."""

    before: bytes
    after: bytes
    answers_before: int = 0
    answers_after: int = 1


CASES = {
    "new": Case(b"", REQUEST),
    "kept": Case(REQUEST, REQUEST, answers_before=1),
    "half head": Case(REQUEST[:9], REQUEST[9:]),
    "pipelined": Case(REQUEST, REQUEST * 3, answers_before=1, answers_after=3),
}


@pytest.mark.parametrize("kind", CASES.values(), ids=CASES)
@pytest.mark.parametrize(("name", "status"), [("readiness", 503), ("metrics", 200)])
async def test_stopping_gateway_answers_the_platform(
    name: str, status: int, kind: Case
) -> None:
    """A stopping gateway answers readiness checks with 503 and still serves metrics.

    This applies to new and kept connections and to partial and pipelined requests.
    """
    async with running_listener(name) as here, here.caller() as caller:
        await caller.send(kind.before)
        for _ in range(kind.answers_before):
            assert (await caller.answer()).status == 200
        here.gateway_double.ready = False
        await caller.send(kind.after)
        answers = [await caller.answer() for _ in range(kind.answers_after)]
        assert [(one.status, one.whole) for one in answers] == [(status, True)] * (
            kind.answers_after
        )


@pytest.mark.parametrize("name", ["readiness", "metrics"])
async def test_exit_leaves_no_request_open(name: str) -> None:
    """A partial request does not delay the end of the process, which cancels tasks.

    Its connection is closed without an answer, and new connections are refused instead
    of staying unanswered.
    """
    async with running_listener(name) as here, here.caller() as caller:
        await caller.send(REQUEST[:9])
        here.tasks.cancel_scope.cancel()
        with anyio.CancelScope(shield=True):
            assert not (await caller.answer()).whole
            with pytest.raises(OSError, match="connection attempts failed"):
                await anyio.connect_tcp(LOOPBACK, here.port)
