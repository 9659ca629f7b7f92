"""Callers of streams, who take each up at other gateways when it breaks off."""

from __future__ import annotations

import random
import time
from collections.abc import Sequence

import anyio
import httpx
from attrs import define, field, frozen

from tests.platform.kit import Gateway

EVENTS = 12

TARGET = f"/chat/x?events={EVENTS}&pause=0.03&per_run=4&sound=1"
"""A stream whose runs break off after four events each."""

MAX_TRIES = 5
"""Number of times that a caller asks for one stream."""

RETURN_DELAY = 0.05
"""Seconds from the break of a stream until its caller takes it up again."""

ANSWER_TIME = 0.5
"""Seconds after which the first event of a stream that is taken up is overdue."""

MAX_MIXED = 2
"""Number of streams of two versions that the platform allows."""


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
        ended: Whether its answer, or the lack of one, is known.
    """

    gateway: int
    taken_up: bool
    sent_at: float = field(factory=time.monotonic)
    status: int = 0
    versions: list[str] = field(factory=list)
    whole: bool = False
    ended: bool = False

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
    gateway: Gateway, one: StreamTry, request: str, first: str, last_event: int
) -> int:
    """Send a request for a stream; return the number of its last event."""
    headers = {
        "host": "chat.example",
        "x-ebonyhold-request-id": request,
        "x-ebonyhold-key": "key-vast",
        "x-ebonyhold-deadline-milliseconds": "4000",
    }
    if last_event:
        headers |= {"resumes": first, "last-event-id": str(last_event)}
    url = f"http://{gateway.address}:{gateway.port}{TARGET}"
    # Gateways take requests with the same content for one, which was at all engines.
    content = request.rpartition("-")[0]
    async with httpx.AsyncClient(verify=False) as client:
        try:
            async with client.stream(
                "POST", url, headers=headers, content=content
            ) as answer:
                one.status = answer.status_code
                if one.status != 200:
                    one.ended = True
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
    one.ended = True
    return last_event


@frozen
class Patience:
    """How often and how soon a caller takes a stream up.

    Attributes:
        tries: Number of times that it asks for one stream.
        delay: Seconds from the break of a stream until it is taken up again.
    """

    tries: int = MAX_TRIES
    delay: float = RETURN_DELAY


USUAL_PATIENCE = Patience()


async def call(
    gateways: Sequence[Gateway],
    caller: str,
    streams: list[Stream],
    patience: Patience = USUAL_PATIENCE,
) -> None:
    """Ask for streams, and take each up at other gateways, until cancelled."""
    rng = random.Random(caller)
    number = 0
    while True:
        number += 1
        stream = Stream()
        streams.append(stream)
        first, last_event = "", 0
        for attempt in range(patience.tries):
            one = StreamTry(rng.randrange(len(gateways)), last_event > 0)
            stream.tries.append(one)
            request = f"stream-{caller}-{number}-{attempt}"
            last_event = await ask(
                gateways[one.gateway], one, request, first, last_event
            )
            first = first or (request if last_event else "")
            if one.whole:
                break
            await anyio.sleep(patience.delay)


def leave_out_unanswered(streams: Sequence[Stream], now: float) -> None:
    """Remove the tries that were sent just before their callers are stopped.

    No answer to them is due yet, so they tell nothing.
    """
    for stream in streams:
        stream.tries = [
            one
            for one in stream.tries
            if one.ended or one.goes_on or one.sent_at < now - ANSWER_TIME
        ]


def mixed(streams: Sequence[Stream]) -> list[Stream]:
    """Return the streams that hold events of several versions."""
    return [stream for stream in streams if len(stream.versions) > 1]
