"""Notices, questions and answers between routers, whatever carries them."""

from __future__ import annotations

import itertools
import logging
from collections.abc import Awaitable, Callable
from enum import Enum

import anyio
from attrs import define, field, frozen

from ebonyhold.exceptions import PeerError
from ebonyhold.routers._interface import Handler, Reply
from ebonyhold.routers._registry import PeerMessage
from ebonyhold.tracing import inner_hop
from ebonyhold.types import RouterId, Seconds

logger = logging.getLogger(__name__)

MAX_PENDING = 1024
"""Questions that may wait for an answer at once; more are refused locally."""


class Purpose(Enum):
    """What the receiver is to do with a frame."""

    NOTICE = 0
    QUESTION = 1
    ANSWER = 2


@frozen
class Frame:
    """One message with its place in a conversation.

    Attributes:
        purpose: What the receiver is to do with it.
        correlation: Ties an answer to its question; 0 for a notice.
        message: What is said.
    """

    purpose: Purpose
    correlation: int
    message: PeerMessage


Transmit = Callable[[RouterId, Frame], Awaitable[None]]


@define
class Question:
    """A question that waits for its answer."""

    asked: RouterId
    answered: anyio.Event = field(factory=anyio.Event)
    answer: PeerMessage | None = None


class Exchange:
    """The handlers and the open questions of one router.

    It owns no sockets and no tasks: whoever carries the frames calls `deliver`.

    Attributes:
        transmit: Carries one frame to another router; it may lose it.
        handlers: Who answers messages of which kind.
        pending: The open questions by correlation number.
        unexpected: Counts frames for which there was no handler or question.
        failed: Counts handlers that raised.
    """

    def __init__(self, transmit: Transmit) -> None:
        self.transmit = transmit
        self.handlers: dict[type[PeerMessage], Handler] = {}
        self.pending: dict[int, Question] = {}
        self.unexpected = 0
        self.failed = 0
        self.correlations = itertools.count(1)

    def handle(self, kind: type[PeerMessage], handler: Handler) -> None:
        """Register who answers messages of this kind."""
        self.handlers[kind] = handler

    async def send(self, to: RouterId, message: PeerMessage) -> None:
        """Send without waiting for an answer."""
        await self.transmit(to, Frame(Purpose.NOTICE, 0, message))

    async def ask(
        self, to: RouterId, message: PeerMessage, reply: type[Reply], timeout: Seconds
    ) -> Reply:
        """Send and wait for the answer.

        Raises:
            PeerError: There was none in time, or one of another kind.
        """
        if len(self.pending) >= MAX_PENDING:
            raise PeerError("too many questions are open")
        number = next(self.correlations)
        question = Question(to)
        self.pending[number] = question
        try:
            name = f"peer {type(message).__name__}"
            with inner_hop(name), anyio.move_on_after(timeout):
                await self.transmit(to, Frame(Purpose.QUESTION, number, message))
                await question.answered.wait()
        finally:
            del self.pending[number]
        if not isinstance(question.answer, reply):
            raise PeerError(f"{to} did not answer {type(message).__name__} in time")
        return question.answer

    async def deliver(self, sender: RouterId, frame: Frame) -> None:
        """Act on one frame that arrived."""
        if frame.purpose is Purpose.ANSWER:
            self.settle(sender, frame)
            return
        answer = await self.call_handler(sender, frame.message)
        if answer is not None and frame.purpose is Purpose.QUESTION:
            reply = Frame(Purpose.ANSWER, frame.correlation, answer)
            await self.transmit(sender, reply)

    def settle(self, sender: RouterId, frame: Frame) -> None:
        """Give an answer to whoever asked.

        A late answer, a doubled one, or one of a router that was not asked must
        not end another question: it would show as a wrong fate or amount.  The
        number is used once, and the sender is compared, so none of them can.
        """
        question = self.pending.get(frame.correlation)
        if question is None or question.asked != sender or question.answered.is_set():
            self.unexpected += 1
            return
        question.answer = frame.message
        question.answered.set()

    async def call_handler(
        self, sender: RouterId, message: PeerMessage
    ) -> PeerMessage | None:
        """Run the handler for a message; its failure is logged and goes no further."""
        handler = self.handlers.get(type(message))
        if handler is None:
            self.unexpected += 1
            return None
        try:
            return await handler(sender, message)
        except Exception:
            self.failed += 1
            logger.exception("a handler failed", extra={"peer": sender})
            return None
