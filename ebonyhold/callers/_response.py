"""An ASGI send callable that records when the response started."""

from __future__ import annotations

import anyio
from attrs import define, field

from ebonyhold._asgi import Message, Request, Send, header, send_json
from ebonyhold.callers._refusals import Refusal
from ebonyhold.types import RequestId, Seconds

REQUEST_HEADER = "x-request-id"


@define
class Response:
    """Sends the messages of a response, and records when the first one was sent.

    Attributes:
        send: The ASGI send callable of the listener.
        request: The request's identifier, or empty until it is read.
        arrived: When the request arrived, on the clock of the event loop.
        first: When the response started, on the same clock, or None.
    """

    send: Send
    request: RequestId = ""
    arrived: Seconds = field(factory=anyio.current_time)
    first: Seconds | None = None

    @property
    def started(self) -> bool:
        """Whether the response has started."""
        return self.first is not None

    async def __call__(self, message: Message) -> None:
        """Send a message; the first one starts the response."""
        if self.first is None:
            self.first = anyio.current_time()
        await self.send(message)


async def refuse(refusal: Refusal, request: Request, send: Response) -> None:
    """Send a refusal as a JSON response."""
    headers = [*refusal.headers(), header(REQUEST_HEADER, send.request)]
    value = refusal.value(send.request)
    await send_json(send, refusal.reason.status, value, headers, request)
