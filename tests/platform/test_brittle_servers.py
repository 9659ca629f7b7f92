"""Servers that fall over if they must turn requests away, with real gateways."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import anyio
import pytest
from attrs import define, field

from tests.platform.fleet import running_gateways, wait_until_ready
from tests.platform.kit import Gateway, configuration
from tests.platform.soak._run import SoakRun

pytestmark = pytest.mark.anyio

GATEWAYS = 5

ENGINES = "a" * 6

PLACES = 6
"""Number of requests that an engine runs at once."""

RUN_TIME = 0.4
"""Seconds that a request takes at an engine."""

CAPACITY = len(ENGINES) * PLACES / RUN_TIME
"""Requests that all engines together run in a second."""

BRITTLE = "3"
"""How many requests a brittle engine may turn away in a second, as it states it."""

CONTACT_TIME = 3.0
"""Seconds from the first statement until it binds."""

SPELL = 9.0
"""Seconds for which the engines are brittle."""

MAX_FALLS = 2 + len(ENGINES) / 10
"""How often engines may fall in one spell: the platform's bound."""

MIN_SERVED = 0.8
"""Share of the requests for which there is room that must be served."""


@pytest.fixture
def anyio_backend() -> str:
    """Run on asyncio, as the gateways do."""
    return "asyncio"


@define
class Answer:
    """The answer to one request.

    Attributes:
        sent_at: When the request was sent.
        status: The status; 0 if there was no answer.
        ended_at: When it came.
    """

    sent_at: float = field(factory=time.monotonic)
    status: int = 0
    ended_at: float = 0.0


async def ask(gateway: Gateway, name: str, answers: list[Answer]) -> None:
    """Send a booking that takes RUN_TIME, and add its answer."""
    answer = Answer()
    head = (
        f"POST /book/x?sound=1&pause={RUN_TIME} HTTP/1.1\r\nhost: book.example\r\n"
        f"x-ebonyhold-request-id: {name}\r\nx-ebonyhold-key: key-vast\r\n"
        "x-ebonyhold-deadline-milliseconds: 2500\r\nconnection: close\r\n"
        "content-length: 0\r\n\r\n"
    )
    try:
        async with await anyio.connect_tcp(gateway.address, gateway.port) as stream:
            await stream.send(head.encode())
            answer.status = int((await stream.receive()).split()[1])
    except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
        answer.status = 0
    answer.ended_at = time.monotonic()
    answers.append(answer)


@asynccontextmanager
async def asking(soak: SoakRun, share: float) -> AsyncIterator[list[Answer]]:
    """Send a share of what the engines can run, evenly to all gateways."""
    answers: list[Answer] = []

    async def send(gateway: Gateway) -> None:
        number = 0
        async with anyio.create_task_group() as requests:
            while True:
                number += 1
                name = f"ask-{gateway.number}-{number}"
                requests.start_soon(ask, gateway, name, answers)
                await anyio.sleep(GATEWAYS / (CAPACITY * share))

    async with anyio.create_task_group() as tasks:
        for gateway in soak.gateways:
            tasks.start_soon(send, gateway)
        yield answers
        tasks.cancel_scope.cancel()


@asynccontextmanager
async def small_engines(folder: Path) -> AsyncIterator[SoakRun]:
    """Run gateways with engines that have PLACES each."""
    rules = configuration()
    async with running_gateways(folder, GATEWAYS, rules, ENGINES) as soak:
        for engine in range(len(ENGINES)):
            await soak.write(f"test-places//i-{engine}", str(PLACES))
        await wait_until_ready(soak)
        yield soak


async def state_brittle(soak: SoakRun, value: str | None) -> None:
    """Make all engines state that they are brittle; None ends it."""
    for engine in range(len(ENGINES)):
        await soak.write(f"test-brittle//i-{engine}", value)


def served(answers: list[Answer], start: float, end: float) -> int:
    """Return how many requests were served in a period."""
    return sum(one.status == 200 and start <= one.ended_at < end for one in answers)


@pytest.mark.parametrize("share", [1.5, 0.8], ids=["overload", "busy"])
async def test_brittle_servers_stand_and_serve(tmp_path: Path, share: float) -> None:
    """Routers together must not send brittle servers more than they have places for."""
    async with small_engines(tmp_path) as soak, asking(soak, share) as answers:
        await anyio.sleep(2.0)
        await state_brittle(soak, BRITTLE)
        start = time.monotonic() + CONTACT_TIME
        await anyio.sleep(SPELL)
        end = time.monotonic()
        await state_brittle(soak, None)
        await anyio.sleep(5.0)
        records = await soak.engine_records()
    room = CAPACITY * min(1.0, share)
    assert len(records["falls"]) <= MAX_FALLS
    assert served(answers, start, end) >= MIN_SERVED * room * (end - start)
    later = served(answers, end + 2.0, end + 5.0)
    assert later >= MIN_SERVED * room * 3.0


@pytest.mark.parametrize("value", ["", "abc", "-1", "1e9", "3,3"])
async def test_unusable_statement_binds_nothing(tmp_path: Path, value: str) -> None:
    """A value that states no number must neither fail requests nor hide a server."""
    async with small_engines(tmp_path) as soak, asking(soak, 0.5) as answers:
        await state_brittle(soak, value)
        await anyio.sleep(2.0)
    assert {one.status for one in answers} == {200}
