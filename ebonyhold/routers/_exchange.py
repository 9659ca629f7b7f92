"""Notices, requests and answers between routers, independent of the transport."""

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
from ebonyhold.tracing import hop_in_trace
from ebonyhold.types import RouterId, Seconds

logger = logging.getLogger(__name__)

MAX_PENDING = 1024
"""Maximum number of own requests without an answer yet; further ones fail at once."""


class Purpose(Enum):
    """The kind of a frame.

    A notice gets no answer.  A question is the frame of a request; it gets one answer,
    or none if its handler is missing, fails or returns None.
    """

    NOTICE = 0
    QUESTION = 1
    ANSWER = 2


@frozen
class Frame:
    """One message, with the number by which an answer is assigned to its request.

    Attributes:
        purpose: Whether the frame is a notice, a request or an answer.
        correlation: The number of a request, repeated in its answer; 0 for a notice.
        message: The message.
    """

    purpose: Purpose
    correlation: int
    message: PeerMessage


Transmit = Callable[[RouterId, Frame], Awaitable[None]]


@define
class PendingRequest:
    """A request that waits for its answer.

    Attributes:
        receiver: The router that must answer.
        answered: Set once the answer has arrived.
        answer: The answer, of any kind; None until it arrives.
    """

    receiver: RouterId
    answered: anyio.Event = field(factory=anyio.Event)
    answer: PeerMessage | None = None


class Exchange:
    """The handlers and the pending requests of one router.

    It has no sockets and no tasks.  The transport passes each frame to `deliver`, which
    awaits the handler.  Answers may be passed to `accept_answer` instead, which never
    waits.

    Attributes:
        transmit: Sends one frame to another router; the frame may be lost.
        handlers: The handler of each kind of message.
        pending: The pending requests by correlation number.
        unexpected: Number of messages without a handler, plus number of answers that
            are late, duplicate or not from the receiver of the request.
        failed: Number of calls of handlers that raised an exception.
        correlations: Yields the correlation numbers, from 1.
    """

    def __init__(self, transmit: Transmit) -> None:
        self.transmit = transmit
        self.handlers: dict[type[PeerMessage], Handler] = {}
        self.pending: dict[int, PendingRequest] = {}
        self.unexpected = 0
        self.failed = 0
        self.correlations = itertools.count(1)

    def handle(self, kind: type[PeerMessage], handler: Handler) -> None:
        """Register the handler of a kind of message, in place of an earlier one."""
        self.handlers[kind] = handler

    async def send(self, to: RouterId, message: PeerMessage) -> None:
        """Pass a notice to the transport; its delivery is not awaited."""
        await self.transmit(to, Frame(Purpose.NOTICE, 0, message))

    async def ask(
        self, to: RouterId, message: PeerMessage, reply: type[Reply], timeout: Seconds
    ) -> Reply:
        """Send a request and return its answer.

        Raises:
            PeerError: There was no answer in time, the answer is of another kind, or
                `MAX_PENDING` requests are pending already.
        """
        if len(self.pending) >= MAX_PENDING:
            raise PeerError("too many requests to peers are pending")
        number = next(self.correlations)
        request = PendingRequest(to)
        self.pending[number] = request
        try:
            name = f"peer {type(message).__name__}"
            with hop_in_trace(name), anyio.move_on_after(timeout):
                await self.transmit(to, Frame(Purpose.QUESTION, number, message))
                await request.answered.wait()
        finally:
            del self.pending[number]
        if not isinstance(request.answer, reply):
            raise PeerError(f"no valid answer from {to} to {type(message).__name__}")
        return request.answer

    async def deliver(self, sender: RouterId, frame: Frame) -> None:
        """Handle one frame: complete a pending request, or run a handler.

        The handler's answer to a request, if any, is sent back.
        """
        if frame.purpose is Purpose.ANSWER:
            self.accept_answer(sender, frame)
            return
        answer = await self.call_handler(sender, frame.message)
        if answer is not None and frame.purpose is Purpose.QUESTION:
            reply = Frame(Purpose.ANSWER, frame.correlation, answer)
            await self.transmit(sender, reply)

    def accept_answer(self, sender: RouterId, frame: Frame) -> None:
        """Complete the pending request that a frame answers.

        A late or duplicate answer, or one from another router, must not complete a
        different request: that one would return a wrong result or amount.  So each
        correlation number is used once, and the sender is checked.  An answer that
        matches no pending request is only counted.
        """
        request = self.pending.get(frame.correlation)
        if request is None or request.receiver != sender or request.answered.is_set():
            self.unexpected += 1
            return
        request.answer = frame.message
        request.answered.set()

    async def call_handler(
        self, sender: RouterId, message: PeerMessage
    ) -> PeerMessage | None:
        """Run the handler of a message and return its answer, if any.

        A message without a handler is counted, and an exception of the handler is
        logged and counted.  In both cases the result is None.
        """
        handler = self.handlers.get(type(message))
        if handler is None:
            self.unexpected += 1
            return None
        try:
            return await handler(sender, message)
        except Exception:
            self.failed += 1
            logger.exception("handler of a peer message failed", extra={"peer": sender})
            return None
