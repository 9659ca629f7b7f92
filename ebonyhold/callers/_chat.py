"""Answers chat requests, with a whole answer or a stream of events."""

from __future__ import annotations

import base64

import anyio
from attrs import define, field

from ebonyhold._asgi import Request, Send, StreamingResponse, header, send_body
from ebonyhold.backends import Answer, BackendState, EngineCall
from ebonyhold.callers._codes import (
    ANSWER_INCOMPLETE,
    BACKEND_FAILED,
    CALLER_TOO_SLOW,
    Ran,
)
from ebonyhold.callers._disconnect import run_until_disconnect
from ebonyhold.callers._open_request import stop_deadline, stop_refusal
from ebonyhold.callers._pipe import Pipe
from ebonyhold.callers._refusals import Refusal, refusal_for
from ebonyhold.callers._run import ChatRun, ReplayedError, read_answer_usage
from ebonyhold.coordination import KeptAnswer
from ebonyhold.types import RequestId, Seconds

REQUEST_HEADER = "x-request-id"
EVENT_STREAM = "text/event-stream; charset=utf-8"
BASE64_MARK = "base64:"
"""Prefix of the content type of a stored answer whose body is not UTF-8."""

SLOW_GRACE: Seconds = 5.0
"""Time that a too slow caller has to read the error event before it is cut off."""


@define
class WholeChat:
    """Answers a chat request with a whole answer, without a stream.

    Attributes:
        run: Runs the attempts of the request.
        answer: The engine's answer, once it is complete.
        producing: Cancels the attempts.
    """

    run: ChatRun
    answer: Answer | None = None
    producing: anyio.CancelScope = field(factory=anyio.CancelScope)

    def interrupt(self) -> None:
        """Cancel the attempts at `stop_deadline`, if they have not ended by then."""
        self.producing.deadline = stop_deadline()

    async def respond(self, request: Request, send: Send) -> None:
        """Run the request, settle it, and send its answer or a stored one.

        Nothing is sent if the caller has closed the connection.

        Raises:
            Refusal: There is no answer.
        """
        failure: Exception | None = None
        gone = False
        ran = Ran.UNKNOWN
        try:
            gone = await run_until_disconnect(request, self.produce)
        except Exception as error:
            failure = error
        finally:
            ran = await self.run.settle()
        if gone:
            return
        if self.producing.cancelled_caught:
            raise stop_refusal(ran)
        if failure is not None:
            await answer_failure(failure, ran, self.run.request, send)
        elif self.answer is not None:
            await send_body(
                send,
                200,
                self.answer.body,
                self.answer.content_type,
                [header(REQUEST_HEADER, self.run.request)],
            )

    async def produce(self) -> None:
        """Make attempts until one gives the answer or `producing` is cancelled."""
        with self.producing:
            await self.run.run(self.dispatch)
        if self.producing.cancelled_caught:
            # The router's stop ended the attempt, and the caller got nothing.  So the
            # caller doesn't pay for what the engine ran.
            self.run.aborted = False

    async def dispatch(self, state: BackendState, call: EngineCall) -> None:
        """Make one attempt and store its answer and usage."""
        answer = await self.run.backends.engines.fetch_answer(state.backend, call)
        self.run.usage = read_answer_usage(answer.body)
        self.answer = answer


@define(eq=False)
class StreamedChat:
    """Answers a chat request with a stream of events.

    Attributes:
        run: Runs the attempts of the request.
        pipe: Buffers events from the engine until the caller takes them.
        tail: The last events.  They are sent after the request is settled, so that
            the unused tokens of its hold are available when the caller gets the end.
        settled: Whether the request may have run; None before it is settled, UNKNOWN
            while it is being settled.
        scope: Cancels both the attempts and the response.
        producing: Cancels the attempts.
    """

    run: ChatRun
    pipe: Pipe
    tail: bytes = b""
    settled: Ran | None = None
    scope: anyio.CancelScope = field(factory=anyio.CancelScope)
    producing: anyio.CancelScope = field(factory=anyio.CancelScope)

    async def respond(self, request: Request, send: Send) -> None:
        """Run the request, settle it, and stream its answer or send a stored one.

        Raises:
            Refusal: There is no answer, and the response has not started.
        """
        response = StreamingResponse(send)
        try:
            with self.scope:
                gone = await run_until_disconnect(
                    request, lambda: self.produce_and_forward(response)
                )
                if gone:
                    return
        finally:
            await self.settle()
        error = self.pipe.error
        if error is not None and not response.started:
            assert self.settled is not None
            if self.producing.cancel_called:
                raise stop_refusal(self.settled)
            await answer_failure(error, self.settled, self.run.request, send)

    def interrupt(self) -> None:
        """Stop the attempts, and end the stream with an error event.

        If the response has not started, the request is refused instead.
        """
        if not self.pipe.closed:
            self.pipe.close(Refusal(ANSWER_INCOMPLETE, "this router is stopping"))
            self.producing.cancel()

    async def produce_and_forward(self, response: StreamingResponse) -> None:
        """Run the attempts and the sending of events concurrently."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.produce)
            await self.forward(response)

    async def produce(self) -> None:
        """Get the answer from an engine, or from several in turn.

        Then this settles the request and closes the pipe.  After an error it only
        closes the pipe, with the error; `respond` settles the request.
        """
        try:
            with self.producing:
                await self.run.run(self.dispatch)
        except Exception as error:
            self.pipe.close(error)
            if isinstance(error, Refusal) and error.reason is CALLER_TOO_SLOW:
                # The caller may never read again.  The deadline ends the request,
                # which would otherwise stay open and keep its memory.
                self.scope.deadline = anyio.current_time() + SLOW_GRACE
            return
        await self.settle()
        if not self.pipe.closed:
            self.pipe.close()

    async def dispatch(self, state: BackendState, call: EngineCall) -> None:
        """Make one attempt; its events go to `deliver`."""
        engines = self.run.backends.engines
        await engines.stream(state.backend, call, self.run.check, self.deliver)

    def deliver(self, data: bytes) -> None:
        """Put events into the pipe, or into `tail` if they complete the answer."""
        if self.run.check.done:
            self.tail = data
        else:
            self.pipe.put(data)

    async def forward(self, response: StreamingResponse) -> None:
        """Send the events of the pipe, then the last events or an error event.

        Nothing is sent if an error comes before the response has started.
        """
        while data := await self.pipe.take():
            if not response.started:
                await response.start(200, self.headers())
            await response.write(data)
        error = self.pipe.error
        if error is None:
            if not response.started:
                await response.start(200, self.headers())
            await response.end(self.tail)
        elif response.started:
            refusal = refusal_for(error)
            if refusal.ran is Ran.NO:
                refusal = Refusal(ANSWER_INCOMPLETE, str(refusal))
            await response.end(refusal.event(self.run.request))

    def headers(self) -> list[tuple[bytes, bytes]]:
        """Return the headers of the stream."""
        return [
            header("content-type", EVENT_STREAM),
            header("cache-control", "no-cache"),
            header(REQUEST_HEADER, self.run.request),
        ]

    async def settle(self) -> None:
        """Settle the request at the first call; do nothing at later calls."""
        if self.settled is None:
            self.settled = Ran.UNKNOWN
            self.settled = await self.run.settle()


async def answer_failure(
    failure: Exception, ran: Ran, request: RequestId, send: Send
) -> None:
    """Send the stored answer of an earlier request, or raise the refusal.

    Args:
        failure: The error that ended the request.
        ran: Whether the request may have run; if UNKNOWN, it is never refused as "not
            run".
        request: The request's identifier.
        send: The ASGI send callable.

    Raises:
        Refusal: `failure` is not a `ReplayedError`.
    """
    if isinstance(failure, ReplayedError):
        await send_kept(failure.replay.answer, request, send)
        return
    refusal = refusal_for(failure)
    if ran is Ran.UNKNOWN:
        refusal.ran = Ran.UNKNOWN
    elif refusal.reason is BACKEND_FAILED:
        # Every engine has confirmed that it ran nothing of the request.
        refusal.ran = Ran.NO
    raise refusal


async def send_kept(kept: KeptAnswer, request: RequestId, send: Send) -> None:
    """Send the stored answer of an earlier request with the same key."""
    body = kept.body.encode()
    content_type = kept.content_type
    if content_type.startswith(BASE64_MARK):
        body = base64.b64decode(kept.body)
        content_type = content_type.removeprefix(BASE64_MARK)
    headers = [header(REQUEST_HEADER, request), header("x-replayed", "true")]
    await send_body(send, kept.status, body, content_type, headers)


def to_kept_answer(answer: Answer) -> KeptAnswer:
    """Return an answer in its stored form; a body that isn't UTF-8 becomes base64."""
    try:
        text = answer.body.decode()
    except UnicodeDecodeError:
        text = base64.b64encode(answer.body).decode()
        return KeptAnswer(answer.status, BASE64_MARK + answer.content_type, text)
    return KeptAnswer(answer.status, answer.content_type, text)
