"""One caller's request, and what it saw of the answer."""

from __future__ import annotations

import anyio
import h11
from anyio.abc import ByteStream
from attrs import define, field

from tests.platform.soak._world import EVENT_TOKENS, Gateway


@define
class Outcome:
    """What one caller saw of one request.

    Attributes:
        request: Its identifier.
        status: The status; 0 if there was no answer.
        events: The numbers of the whole events that came, in order.
        whole: Whether the answer ended as it should.
        expected: How many events the answer has.
        ended_at: When, by the monotonic clock.
    """

    request: str
    workspace: str
    prompt: int
    expected: int
    status: int = 0
    events: list[int] = field(factory=list)
    whole: bool = False
    right: bool = True
    ended_at: float = 0.0


async def ask(gateway: Gateway, outcome: Outcome, booking: bool) -> None:
    """Send one request and read its answer, event by event."""
    fields = [
        ("host", "book.example" if booking else "chat.example"),
        ("x-ebonyhold-request-id", outcome.request),
        ("x-ebonyhold-key", f"key-{outcome.workspace}"),
        ("x-ebonyhold-deadline-milliseconds", "5000"),
        ("content-length", "3"),
    ]
    if booking:
        outcome.prompt, outcome.expected = 0, 0
    else:
        most = outcome.expected * EVENT_TOKENS
        fields.append(("x-ebonyhold-token-counts", f"{outcome.prompt},{most}"))
    target = "/book/a" if booking else "/chat/a"
    parser = h11.Connection(h11.CLIENT)
    async with await anyio.connect_tcp(gateway.address, gateway.port) as stream:
        request = h11.Request(method="POST", target=target, headers=fields)
        data = parser.send(request) or b""
        data += parser.send(h11.Data(data=b"abc")) or b""
        await stream.send(data + (parser.send(h11.EndOfMessage()) or b""))
        await read(parser, stream, outcome)


async def read(parser: h11.Connection, stream: ByteStream, outcome: Outcome) -> None:
    """Read an answer into an outcome."""
    text = b""
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            try:
                parser.receive_data(await stream.receive())
            except anyio.EndOfStream:
                parser.receive_data(b"")
        elif isinstance(event, h11.Response):
            outcome.status = event.status_code
            names = dict(event.headers)
            echoed = names.get(b"x-ebonyhold-request-id", b"").decode()
            outcome.right = echoed == outcome.request
        elif isinstance(event, h11.Data):
            text += bytes(event.data)
            *whole, _ = text.split(b"\n\n")
            outcome.events = [int(e.split()[1]) for e in whole if e[:3] == b"id:"]
        elif isinstance(event, h11.EndOfMessage):
            outcome.whole = True
            return
        else:
            return
