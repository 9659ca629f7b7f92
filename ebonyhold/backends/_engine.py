"""One attempt at a model engine."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import anyio
import httpx
from attrs import define, field

from ebonyhold.backends._http import (
    ATTEMPT_HEADER,
    BOOT_HEADER,
    ELSEWHERE,
    EXPECT_BOOT_HEADER,
    PRIORITY_HEADER,
    RESUME_HEADER,
    RefusedError,
    base_url,
    check_attempt,
    opened,
    read_bounded,
)
from ebonyhold.backends._messages import Answer, EngineCall, Timeouts
from ebonyhold.backends._sse import BrokenStreamError, EventSplitter, StreamCheck
from ebonyhold.document import Backend
from ebonyhold.exceptions import BackendError

COMPLETIONS = "/v1/chat/completions"
FRESH = 0.9
"""The part of the stall's time that is left at least before it is put off.

Putting it off with every token would cost a timer each.
"""

MOST_ANSWER = 8_388_608
MOST_REFUSAL = 16_384


@define
class EngineClient:
    """Sends attempts to model engines.

    Attributes:
        client: The HTTP client.
        timeouts: How long to wait.
    """

    client: httpx.AsyncClient
    timeouts: Timeouts = field(factory=Timeouts)

    @asynccontextmanager
    async def open(
        self, backend: Backend, call: EngineCall
    ) -> AsyncIterator[httpx.Response]:
        """Dispatch an attempt and give its checked response.

        Raises:
            RefusedError: The engine did not take it.
            BackendError: There was no answer, or another attempt's.
        """
        request = self.client.build_request(
            "POST",
            base_url(backend) + COMPLETIONS,
            content=call.body,
            headers=call_headers(call),
        )
        async with opened(self.client, request, self.timeouts.first) as response:
            check_attempt(response, call.attempt)
            if response.status_code != httpx.codes.OK:
                await refuse(response)
            yield response

    async def whole(self, backend: Backend, call: EngineCall) -> Answer:
        """Dispatch an attempt and read its whole answer.

        Raises:
            RefusedError: The engine did not take it.
            BackendError: There was no whole answer.
        """
        async with self.open(backend, call) as response:
            body = await read_bounded(response, MOST_ANSWER)
            return Answer(
                response.status_code,
                response.headers.get("content-type", "application/json"),
                body,
                response.headers.get(BOOT_HEADER, ""),
            )

    async def stream(
        self,
        backend: Backend,
        call: EngineCall,
        check: StreamCheck,
        deliver: Callable[[bytes], None],
    ) -> None:
        """Dispatch an attempt and deliver its checked events until the answer is whole.

        Args:
            backend: Where to.
            call: What to send.
            check: Follows the answer over its attempts; after an error it knows
                how far this one came.
            deliver: Takes each piece for the caller; what it raises ends the
                attempt.

        Raises:
            RefusedError: The engine did not take it.
            BackendError: The stream broke.
        """
        check.begin()
        async with self.open(backend, call) as response:
            with anyio.move_on_after(self.timeouts.stall) as scope:
                await self.deliver_events(response, check, deliver, scope)
            if scope.cancelled_caught:
                raise BrokenStreamError("the stream stalled")

    async def deliver_events(
        self,
        response: httpx.Response,
        check: StreamCheck,
        deliver: Callable[[bytes], None],
        scope: anyio.CancelScope,
    ) -> None:
        """Deliver events, and put the stall's deadline off with each one.

        A stream that trickles bytes without ever completing an event does not
        move the deadline, so it is found out like one that says nothing.
        """
        splitter = EventSplitter()
        stall = self.timeouts.stall
        try:
            async for data in response.aiter_raw():
                passed = b"".join(map(check.take, splitter.feed(data)))
                if passed:
                    deliver(passed)
                    now = anyio.current_time()
                    if scope.deadline - now < stall * FRESH:
                        scope.deadline = now + stall
        except (httpx.HTTPError, httpx.StreamError) as error:
            raise BrokenStreamError(f"the stream broke: {error!r}") from error
        if not check.done:
            raise BrokenStreamError("the stream ended early")


def call_headers(call: EngineCall) -> dict[str, str]:
    """Return the headers of an attempt."""
    headers = {
        "Content-Type": "application/json",
        "Accept-Encoding": "identity",
        ATTEMPT_HEADER: call.attempt,
        PRIORITY_HEADER: str(call.priority),
    }
    if call.resume:
        headers[RESUME_HEADER] = str(call.resume)
    if call.traceparent:
        headers["traceparent"] = call.traceparent
    if call.boot:
        headers[EXPECT_BOOT_HEADER] = call.boot
    return headers


async def refuse(response: httpx.Response) -> None:
    """Raise what a status other than 200 means."""
    status = response.status_code
    if status in ELSEWHERE:
        body = await read_bounded(response, MOST_REFUSAL)
        raise RefusedError(status, body, final=False)
    if 400 <= status < 500:
        body = await read_bounded(response, MOST_REFUSAL)
        raise RefusedError(status, body, final=True)
    raise BackendError(f"the engine answered {status}", ran=True)
