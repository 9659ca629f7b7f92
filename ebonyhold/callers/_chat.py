"""Answering a chat request, streamed or whole."""

from __future__ import annotations

import base64

import anyio
from attrs import define, field

from ebonyhold._asgi import Request, Send, StreamingResponse, header, send_body
from ebonyhold.backends import Answer, BackendState, EngineCall
from ebonyhold.callers._caller import until_gone
from ebonyhold.callers._codes import (
    ANSWER_INCOMPLETE,
    BACKEND_FAILED,
    CALLER_TOO_SLOW,
    Ran,
)
from ebonyhold.callers._flight import last_moment, stopped
from ebonyhold.callers._pipe import Pipe
from ebonyhold.callers._refusals import Refusal, refusal_for
from ebonyhold.callers._run import ChatRun, ReplayedError, read_whole
from ebonyhold.coordination import KeptAnswer
from ebonyhold.types import RequestId, Seconds

REQUEST_HEADER = "x-request-id"
EVENT_STREAM = "text/event-stream; charset=utf-8"
BASE64_MARK = "base64:"
"""Stands before the content type of a kept answer that is no text."""

SLOW_GRACE: Seconds = 5.0
"""How long a caller that is too slow has to take the error event."""


@define
class WholeChat:
    """Answers a chat request whole.

    Attributes:
        run: The request.
        answer: The engine's answer, once it is there.
        producing: Cancels the engine's side.
    """

    run: ChatRun
    answer: Answer | None = None
    producing: anyio.CancelScope = field(factory=anyio.CancelScope)

    def interrupt(self) -> None:
        """End the request soon, unless its answer is there by then."""
        self.producing.deadline = last_moment()

    async def respond(self, request: Request, send: Send) -> None:
        """Run the request and send its answer.

        Raises:
            Refusal: There is no answer.
        """
        failure: Exception | None = None
        gone = False
        ran = Ran.UNKNOWN
        try:
            gone = await until_gone(request, self.produce)
        except Exception as error:
            failure = error
        finally:
            ran = await self.run.settle()
        if gone:
            return
        if self.producing.cancelled_caught:
            raise stopped(ran)
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
        """Get the answer from an engine."""
        with self.producing:
            await self.run.run(self.dispatch)
        if self.producing.cancelled_caught:
            # The caller has got nothing, and it was not the caller who gave up.
            self.run.given_up = False

    async def dispatch(self, state: BackendState, call: EngineCall) -> None:
        """Make one attempt."""
        answer = await self.run.backends.engines.whole(state.backend, call)
        self.run.usage = read_whole(answer.body)
        self.answer = answer


@define(eq=False)
class StreamedChat:
    """Answers a chat request with a stream of events.

    Attributes:
        run: The request.
        pipe: From the engine's side to the caller's.
        tail: The last events; they go out once the request is settled, so that
            a caller which saw the end can spend what was not used at once.
    """

    run: ChatRun
    pipe: Pipe
    tail: bytes = b""
    settled: Ran | None = None
    scope: anyio.CancelScope = field(factory=anyio.CancelScope)
    producing: anyio.CancelScope = field(factory=anyio.CancelScope)

    async def respond(self, request: Request, send: Send) -> None:
        """Run the request and send its answer.

        Raises:
            Refusal: There is none, and no byte of it was sent.
        """
        response = StreamingResponse(send)
        try:
            with self.scope:
                gone = await until_gone(request, lambda: self.both(response))
                if gone:
                    return
        finally:
            await self.settle()
        error = self.pipe.error
        if error is not None and not response.started:
            assert self.settled is not None
            if self.producing.cancel_called:
                raise stopped(self.settled)
            await answer_failure(error, self.settled, self.run.request, send)

    def interrupt(self) -> None:
        """End the stream now, with an explicit error event."""
        if not self.pipe.closed:
            self.pipe.close(Refusal(ANSWER_INCOMPLETE, "this router is stopping"))
            self.producing.cancel()

    async def both(self, response: StreamingResponse) -> None:
        """Run the engine's side beside the caller's."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.produce)
            await self.forward(response)

    async def produce(self) -> None:
        """Get the answer from an engine, or from several in turn."""
        try:
            with self.producing:
                await self.run.run(self.dispatch)
        except Exception as error:
            self.pipe.close(error)
            if isinstance(error, Refusal) and error.reason is CALLER_TOO_SLOW:
                # The caller may never take another byte.  Its request would
                # stay open with all its memory; the deadline ends it.
                self.scope.deadline = anyio.current_time() + SLOW_GRACE
            return
        await self.settle()
        if not self.pipe.closed:
            self.pipe.close()

    async def dispatch(self, state: BackendState, call: EngineCall) -> None:
        """Make one attempt."""
        engines = self.run.backends.engines
        await engines.stream(state.backend, call, self.run.check, self.deliver)

    def deliver(self, data: bytes) -> None:
        """Take events from the engine."""
        if self.run.check.done:
            self.tail = data
        else:
            self.pipe.put(data)

    async def forward(self, response: StreamingResponse) -> None:
        """Send to the caller what comes, and an explicit end of either kind."""
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
        """Settle the request, once."""
        if self.settled is None:
            self.settled = Ran.UNKNOWN
            self.settled = await self.run.settle()


async def answer_failure(
    failure: Exception, ran: Ran, request: RequestId, send: Send
) -> None:
    """Replay a kept answer, or raise the refusal that tells the truth.

    Raises:
        Refusal: There is no answer to replay.
    """
    if isinstance(failure, ReplayedError):
        await send_kept(failure.replay.answer, request, send)
        return
    refusal = refusal_for(failure)
    if ran is Ran.UNKNOWN:
        refusal.ran = Ran.UNKNOWN
    elif refusal.reason is BACKEND_FAILED:
        # Every engine that was asked has said that nothing ran.
        refusal.ran = Ran.NO
    raise refusal


async def send_kept(kept: KeptAnswer, request: RequestId, send: Send) -> None:
    """Send an answer that was kept for a retry."""
    body = kept.body.encode()
    content_type = kept.content_type
    if content_type.startswith(BASE64_MARK):
        body = base64.b64decode(kept.body)
        content_type = content_type.removeprefix(BASE64_MARK)
    headers = [header(REQUEST_HEADER, request), header("x-replayed", "true")]
    await send_body(send, kept.status, body, content_type, headers)


def keep(answer: Answer) -> KeptAnswer:
    """Return an answer in the form that is kept for a retry."""
    try:
        text = answer.body.decode()
    except UnicodeDecodeError:
        text = base64.b64encode(answer.body).decode()
        return KeptAnswer(answer.status, BASE64_MARK + answer.content_type, text)
    return KeptAnswer(answer.status, answer.content_type, text)
