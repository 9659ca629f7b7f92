"""The chat-completions form of an engine's answers."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator

import anyio
from attrs import define

from ebonyhold.standins._answers import Answer
from ebonyhold.standins._asgi import Dropped
from ebonyhold.standins._attempts import Attempt, AttemptState
from ebonyhold.standins._control import StreamFault, StreamTrouble

CREATED = 1_700_000_000
"""A fixed time, so that equal requests have equal answers."""

HUGE = 4 * 1024 * 1024
"""The length of an oversized chunk, in bytes."""

DONE = b"data: [DONE]\n\n"


def usage(attempt: Attempt) -> dict[str, object]:
    """Return the tokens of an attempt, resumed ones included."""
    prompt = len(attempt.job.words)
    return {
        "prompt_tokens": prompt,
        "completion_tokens": attempt.completed,
        "total_tokens": prompt + attempt.completed,
        "prompt_tokens_details": {"cached_tokens": attempt.cached},
    }


def completion(attempt: Attempt) -> dict[str, object]:
    """Return a whole answer as the protocol has it."""
    indices = range(attempt.job.resumed, attempt.completed)
    text = "".join(attempt.answer.token(index) for index in indices)
    choice = {
        "index": 0,
        "message": {"role": "assistant", "content": text},
        "finish_reason": attempt.finish_reason,
    }
    return {
        "id": f"chatcmpl-{attempt.job.attempt}",
        "object": "chat.completion",
        "created": CREATED,
        "model": attempt.job.model,
        "choices": [choice],
        "usage": usage(attempt),
    }


def event(value: object, index: int | None = None) -> bytes:
    """Return one server-sent event."""
    number = "" if index is None else f"id: {index}\n"
    return f"{number}data: {json.dumps(value, separators=(',', ':'))}\n\n".encode()


@define
class ChunkWriter:
    """Writes the chunks of one answer, with what goes wrong in it.

    Attributes:
        attempt: Whose answer it is.
        with_usage: Whether the caller asked for the usage.
        trouble: What goes wrong, if anything.
    """

    attempt: Attempt
    with_usage: bool
    trouble: StreamTrouble | None = None

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the answer bit by bit.

        Raises:
            Dropped: The connection is cut.
        """
        written = 0
        async for index in self.attempt.output:
            if self.trouble and written == self.trouble.after:
                async for chunk in self.disturb(self.trouble, index):
                    yield chunk
                if self.trouble.kind is StreamFault.HALF:
                    return
            else:
                yield self.token(index)
            written += 1
        if self.attempt.state is not AttemptState.FINISHED:
            raise Dropped
        yield self.last()
        self.attempt.sent = True

    async def disturb(self, trouble: StreamTrouble, index: int) -> AsyncIterator[bytes]:
        """Yield what takes the place of one token."""
        match trouble.kind:
            case StreamFault.DIE:
                raise Dropped
            case StreamFault.STALL:
                await anyio.sleep_forever()
            case StreamFault.MALFORMED:
                yield b'data: {"choices": [{"del\n\n'
            case StreamFault.OVERSIZED:
                yield b'data: {"choices": "' + b"x" * HUGE + b'"}\n\n'
            case StreamFault.DOUBLED:
                yield self.token(index)
                yield self.token(index)
            case StreamFault.CROSSED:
                yield self.other(index)
            case _:
                return

    def token(self, index: int) -> bytes:
        """Return the chunk of one token."""
        text = self.attempt.answer.token(index)
        return event(self.chunk({"role": "assistant", "content": text}), index)

    def other(self, index: int) -> bytes:
        """Return a chunk of another attempt's answer."""
        text = Answer(f"{'f' * 8}{self.attempt.job.digest}").token(index)
        chunk = self.chunk({"role": "assistant", "content": text})
        return event({**chunk, "id": "chatcmpl-another-attempt"}, index)

    def last(self) -> bytes:
        """Return what follows the last token."""
        parts = [event(self.chunk({}, self.attempt.finish_reason))]
        if self.with_usage:
            end = {**self.chunk({}), "choices": [], "usage": usage(self.attempt)}
            parts.append(event(end))
        parts.append(DONE)
        return b"".join(parts)

    def chunk(
        self, delta: dict[str, str], finish_reason: str | None = None
    ) -> dict[str, object]:
        """Return one chunk as the protocol has it."""
        choice = {"index": 0, "delta": delta, "finish_reason": finish_reason}
        return {
            "id": f"chatcmpl-{self.attempt.job.attempt}",
            "object": "chat.completion.chunk",
            "created": CREATED,
            "model": self.attempt.job.model,
            "choices": [choice],
        }
