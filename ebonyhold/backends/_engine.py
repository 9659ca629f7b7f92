"""Client that sends attempts to model engines."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import anyio
import httpx
from attrs import define, field

from ebonyhold.backends._http import (
    ATTEMPT_HEADER,
    BOOT_HEADER,
    EXPECT_BOOT_HEADER,
    PRIORITY_HEADER,
    RESUME_HEADER,
    RETRYABLE_STATUSES,
    RefusedError,
    base_url,
    check_attempt,
    check_end,
    open_response,
    read_bounded,
)
from ebonyhold.backends._messages import Answer, EngineCall, Timeouts
from ebonyhold.backends._sse import BrokenStreamError, EventSplitter, StreamCheck
from ebonyhold.document import Backend
from ebonyhold.exceptions import BackendError

COMPLETIONS = "/v1/chat/completions"
RENEW_BELOW = 0.9
"""The stall deadline is extended only if less than this part of the timeout is left.

Without this condition each token would set a new timer.
"""

MAX_ANSWER_BYTES = 8_388_608
"""Maximum size of the body of an answer that is not streamed."""

MAX_REFUSAL_BYTES = 16_384
"""Maximum size of the body of a refusal, which has a status from 400 to 499 or 503."""


@define
class EngineClient:
    """Sends attempts to model engines.

    Attributes:
        client: The HTTP client.
        timeouts: The timeouts of each attempt.
    """

    client: httpx.AsyncClient
    timeouts: Timeouts = field(factory=Timeouts)

    @asynccontextmanager
    async def open(
        self, backend: Backend, call: EngineCall
    ) -> AsyncIterator[httpx.Response]:
        """Send an attempt and yield its response before the body is read.

        The response has status 200.

        Raises:
            RefusedError: The engine refused the attempt without running it.
            UnreachableError: No connection could be opened, so nothing was sent.
            BackendError: There was no valid response, or the response belongs to
                another attempt; the attempt may have run.
        """
        request = self.client.build_request(
            "POST",
            base_url(backend) + COMPLETIONS,
            content=call.body,
            headers=call_headers(call),
        )
        async with open_response(
            self.client, request, self.timeouts.headers
        ) as response:
            check_attempt(response, call.attempt)
            if response.status_code != httpx.codes.OK:
                await raise_for_status(response)
            yield response

    async def fetch_answer(self, backend: Backend, call: EngineCall) -> Answer:
        """Send an attempt and return its complete answer.

        Raises:
            RefusedError: The engine refused the attempt without running it.
            BackendError: There was no complete answer of at most `MAX_ANSWER_BYTES`.
        """
        async with self.open(backend, call) as response:
            body = await read_bounded(response, MAX_ANSWER_BYTES)
            await check_end(response)
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
        """Send an attempt and deliver its checked events until the answer is complete.

        Args:
            backend: The engine.
            call: The attempt.
            check: The state of the answer over all its attempts; after an error
                `check.expected` is the number of tokens delivered.
            deliver: Called with the bytes of one or more events for the caller; an
                exception that it raises ends the attempt.

        Raises:
            RefusedError: The engine refused the attempt without running it.
            BackendError: The stream failed before the answer was complete.
        """
        check.begin()
        async with self.open(backend, call) as response:
            with anyio.move_on_after(self.timeouts.stall) as scope:
                await self.deliver_events(response, check, deliver, scope)
            if scope.cancelled_caught:
                raise BrokenStreamError(
                    "the stream made no progress within the stall timeout"
                )

    async def deliver_events(
        self,
        response: httpx.Response,
        check: StreamCheck,
        deliver: Callable[[bytes], None],
        scope: anyio.CancelScope,
    ) -> None:
        """Deliver events, and extend the stall deadline whenever some were delivered.

        Bytes that complete no event for the caller do not extend the deadline, so that
        an engine cannot keep an attempt open by sending a few bytes at a time.

        Raises:
            BrokenStreamError: The stream failed, is invalid or ended too early.
        """
        splitter = EventSplitter()
        stall = self.timeouts.stall
        try:
            async for data in response.aiter_raw():
                output = b"".join(map(check.accept, splitter.feed(data)))
                if output:
                    deliver(output)
                    now = anyio.current_time()
                    if scope.deadline - now < stall * RENEW_BELOW:
                        scope.deadline = now + stall
        except (httpx.HTTPError, httpx.StreamError) as error:
            raise BrokenStreamError(f"reading the stream failed: {error!r}") from error
        if not check.done:
            raise BrokenStreamError("the stream ended before the answer was complete")


def call_headers(call: EngineCall) -> dict[str, str]:
    """Return the request headers of an attempt."""
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


async def raise_for_status(response: httpx.Response) -> None:
    """Raise the error for a response with a status other than 200.

    Raises:
        RefusedError: The status is 503 or from 400 to 499: the engine refused the
            attempt without running it.
        BackendError: The status is another one, or the body is too large; the attempt
            may have run.
    """
    status = response.status_code
    if status in RETRYABLE_STATUSES:
        body = await read_bounded(response, MAX_REFUSAL_BYTES)
        raise RefusedError(status, body, permanent=False)
    if 400 <= status < 500:
        body = await read_bounded(response, MAX_REFUSAL_BYTES)
        raise RefusedError(status, body, permanent=True)
    raise BackendError(f"the engine returned status {status}", ran=True)
