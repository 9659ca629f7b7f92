"""Engines of several software versions side by side, with real gateway processes."""

from __future__ import annotations

import random
import signal
import time
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from pathlib import Path

import anyio
import httpx
import pytest
from attrs import define, field

from tests.platform.fleet import CONTACT_TIME, running_gateways, wait_until_ready
from tests.platform.kit import configuration
from tests.platform.soak._run import SoakRun

pytestmark = pytest.mark.anyio

GATEWAYS = 5

ENGINES = "a" * 10

CALLERS = 20

EVENTS = 12

TARGET = f"/chat/x?events={EVENTS}&pause=0.03&per_run=4&sound=1"
"""A stream whose runs break off after four events each."""

MAX_TRIES = 5
"""Number of times that a caller asks for one stream."""

RETURN_DELAY = 0.05
"""Seconds from the break of a stream until its caller takes it up again."""

MAX_MIXED = 2
"""Number of streams of two versions that the platform allows."""

MIN_GOING_ON = 0.95
"""Share of the streams taken up that must go on, as a part of the share of the new ones
that begin."""


@pytest.fixture
def anyio_backend() -> str:
    """Run on asyncio, as the gateways do."""
    return "asyncio"


@define
class StreamTry:
    """One request of a caller for a stream.

    Attributes:
        gateway: The gateway that it was sent to.
        taken_up: Whether the caller has events of the stream already.
        sent_at: When it was sent.
        status: The status of the answer; 0 if there was none.
        versions: The software versions of the events that it brought, in order.
        whole: Whether the answer ended as complete.
    """

    gateway: int
    taken_up: bool
    sent_at: float = field(factory=time.monotonic)
    status: int = 0
    versions: list[str] = field(factory=list)
    whole: bool = False

    @property
    def goes_on(self) -> bool:
        """Whether it brought events, or the end of the stream."""
        return bool(self.versions) or self.whole


@define
class Stream:
    """A stream, with all requests for it."""

    tries: list[StreamTry] = field(factory=list)

    @property
    def versions(self) -> set[str]:
        """The versions of its events."""
        return {version for one in self.tries for version in one.versions}


async def ask(
    soak: SoakRun, one: StreamTry, request: str, first: str, last_event: int
) -> int:
    """Send a request for a stream; return the number of its last event."""
    gateway = soak.gateways[one.gateway]
    headers = {
        "host": "chat.example",
        "x-ebonyhold-request-id": request,
        "x-ebonyhold-key": "key-vast",
        "x-ebonyhold-deadline-milliseconds": "4000",
    }
    if last_event:
        headers |= {"resumes": first, "last-event-id": str(last_event)}
    url = f"http://{gateway.address}:{gateway.port}{TARGET}"
    async with httpx.AsyncClient(verify=False) as client:
        try:
            async with client.stream("POST", url, headers=headers) as answer:
                one.status = answer.status_code
                if one.status != 200:
                    return last_event
                async for line in answer.aiter_lines():
                    if line.startswith("id:"):
                        number = int(line[3:])
                        assert number == last_event + 1
                        last_event = number
                    if line.startswith("version:"):
                        one.versions.append(line[8:].strip())
                one.whole = True
        except httpx.TransportError:
            pass
    return last_event


async def call(soak: SoakRun, caller: int, streams: list[Stream]) -> None:
    """Ask for streams, and take each up at other gateways, until cancelled."""
    rng = random.Random(caller)
    number = 0
    while True:
        number += 1
        stream = Stream()
        streams.append(stream)
        first, last_event = "", 0
        for attempt in range(MAX_TRIES):
            one = StreamTry(rng.randrange(GATEWAYS), last_event > 0)
            stream.tries.append(one)
            request = f"stream-{caller}-{number}-{attempt}"
            last_event = await ask(soak, one, request, first, last_event)
            first = first or (request if last_event else "")
            if one.whole:
                break
            await anyio.sleep(RETURN_DELAY)


@asynccontextmanager
async def streaming(folder: Path) -> AsyncIterator[tuple[SoakRun, list[Stream]]]:
    """Run gateways, and callers of streams; yield these."""
    streams: list[Stream] = []
    rules = configuration()
    async with running_gateways(folder, GATEWAYS, rules, ENGINES) as soak:
        await wait_until_ready(soak)
        await anyio.sleep(2.0)
        async with anyio.create_task_group() as tasks:
            for caller in range(CALLERS):
                tasks.start_soon(call, soak, caller, streams)
            yield soak, streams
            tasks.cancel_scope.cancel()


async def turn_engines(soak: SoakRun, engines: Sequence[int], version: str) -> None:
    """Restart engines with another version, one after the other, one as before named.

    The last one keeps its name.
    """
    for engine in engines:
        name = " same name" if engine == engines[-1] else ""
        await soak.write(f"test-versions//i-{engine}", version + name)
        await soak.write(f"test-restart//i-{engine}", version)
        await anyio.sleep(0.6)


def share_going_on(tries: Sequence[StreamTry]) -> float:
    """Return the share of tries that brought events or an end."""
    return sum(one.goes_on for one in tries) / len(tries)


def check_streams(
    streams: Sequence[Stream], in_touch: Callable[[StreamTry], bool]
) -> None:
    """Check that streams are not mixed, and go on where they can.

    Args:
        streams: The streams.
        in_touch: Returns whether a try was at a gateway in touch.
    """
    mixed = [stream for stream in streams if len(stream.versions) > 1]
    assert len(mixed) <= MAX_MIXED, f"{len(mixed)} of {len(streams)}"
    tries = [one for stream in streams for one in stream.tries if in_touch(one)]
    taken_up = [one for one in tries if one.taken_up]
    new = [one for one in tries if not one.taken_up]
    assert len(taken_up) >= 12
    wanted = MIN_GOING_ON * share_going_on(new)
    assert share_going_on(taken_up) >= wanted, (len(taken_up), len(new))


async def test_streams_go_on_at_the_version_that_began_them(tmp_path: Path) -> None:
    """A roll-out must not mix versions in a stream, whichever router takes it up."""
    async with streaming(tmp_path) as (soak, streams):
        await anyio.sleep(1.0)
        await turn_engines(soak, range(5), "v2")
        await anyio.sleep(5.0)
    check_streams(streams, lambda one: True)
    assert {version for stream in streams for version in stream.versions} == {
        "v1",
        "v2",
    }


async def test_streams_of_a_killed_gateway_go_on_at_their_version(
    tmp_path: Path,
) -> None:
    """Routers must know the version of a stream whose first router is gone."""
    async with streaming(tmp_path) as (soak, streams):
        await turn_engines(soak, range(5), "v2")
        await anyio.sleep(2.5)
        soak.gateways[0].send(signal.SIGKILL)
        await anyio.sleep(4.0)
    check_streams(streams, lambda one: one.gateway != 0)


async def test_streams_are_not_mixed_while_the_store_is_away(tmp_path: Path) -> None:
    """A router that cannot read the list must not guess a stream's version."""
    async with streaming(tmp_path) as (soak, streams):
        await turn_engines(soak, range(4), "v2")
        for proxy in soak.proxies:
            proxy.mode = "reset"
        away_at = time.monotonic()
        await turn_engines(soak, range(4, 6), "v2")
        await anyio.sleep(2.0)
        for proxy in soak.proxies:
            proxy.mode = "open"
        back_at = time.monotonic()
        await anyio.sleep(6.0)

    def in_touch(one: StreamTry) -> bool:
        return not away_at <= one.sent_at <= back_at + CONTACT_TIME

    check_streams(streams, in_touch)


async def test_streams_go_on_while_one_version_serves(tmp_path: Path) -> None:
    """Streams of a fleet with one version must be taken up as new ones begin."""
    async with streaming(tmp_path) as (soak, streams):
        await anyio.sleep(4.0)
        soak.gateways[0].send(signal.SIGKILL)
        await anyio.sleep(3.0)
    check_streams(streams, lambda one: one.gateway != 0)
