"""Sending an answer while knowing whether it began."""

from __future__ import annotations

import anyio
from attrs import define, field

from ebonyhold._asgi import Message, Request, Send, header, send_json
from ebonyhold.callers._refusals import Refusal
from ebonyhold.types import RequestId, Seconds

REQUEST_HEADER = "x-request-id"


@define
class Watched:
    """Passes messages on to the listener, and knows whether an answer began.

    Attributes:
        send: The listener's own callable.
        request: The request's identifier, once it is known.
        arrived: When the request came.
        first: When its answer began, or None.
    """

    send: Send
    request: RequestId = ""
    arrived: Seconds = field(factory=anyio.current_time)
    first: Seconds | None = None

    @property
    def started(self) -> bool:
        """Whether the answer began."""
        return self.first is not None

    async def __call__(self, message: Message) -> None:
        """Pass a message on."""
        if self.first is None:
            self.first = anyio.current_time()
        await self.send(message)


async def refuse(refusal: Refusal, request: Request, send: Watched) -> None:
    """Send a refusal."""
    headers = [*refusal.headers(), header(REQUEST_HEADER, send.request)]
    value = refusal.value(send.request)
    await send_json(send, refusal.reason.status, value, headers, request)
