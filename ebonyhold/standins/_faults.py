"""Switches for what goes wrong between a client and a service."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio
from attrs import define, field

from ebonyhold.exceptions import (
    ConflictError,
    ThrottledError,
    UnavailableError,
    UnknownOutcomeError,
)
from ebonyhold.types import Seconds

T = TypeVar("T")


@define
class Faults:
    """What goes wrong with the calls that follow.

    The counted switches count down, one for each call that they hit.

    Attributes:
        down: Every call fails without effect.
        delay: How long each call waits before it takes effect, in seconds.
        answer_delay: How long each answer waits after the effect, in seconds.
        lose_answers: Writes that take effect and whose answer is lost.
        lose_requests: Writes that are lost, without the caller being able to
            tell that from a lost answer.
        late: Writes whose caller gives up, and that take effect at `flush`.
        duplicates: Writes that are delivered twice; the first answer counts.
        throttled: Calls that are refused as too many.
        malformed: Replies that are not what the protocol says (HTTP only).
        oversized: Replies that are far too large (HTTP only).
    """

    down: bool = False
    delay: Seconds = 0.0
    answer_delay: Seconds = 0.0
    lose_answers: int = 0
    lose_requests: int = 0
    late: int = 0
    duplicates: int = 0
    throttled: int = 0
    malformed: int = 0
    oversized: int = 0
    gate: anyio.Event | None = None
    held: list[Callable[[], Awaitable[object]]] = field(factory=list)

    def pause(self) -> None:
        """Hold every call until `release`."""
        if self.gate is None:
            self.gate = anyio.Event()

    def release(self) -> None:
        """Let the held calls and all later ones go on."""
        if self.gate is not None:
            self.gate.set()
            self.gate = None

    def spend(self, switch: str) -> bool:
        """Count a switch down by one, and tell whether it was on."""
        left: int = getattr(self, switch)
        if left <= 0:
            return False
        setattr(self, switch, left - 1)
        return True

    async def flush(self) -> None:
        """Let the late writes take effect now, in their order."""
        held = self.held
        self.held = []
        for call in held:
            await self.repeat(call)

    async def repeat(self, call: Callable[[], Awaitable[object]]) -> None:
        """Run a call whose answer nobody hears."""
        try:
            await call()
        except ConflictError:
            return

    async def enter(self) -> None:
        """Hold, delay or refuse a call before it takes effect.

        Raises:
            UnavailableError: The service is down.
            ThrottledError: The call is refused as one too many.
        """
        if self.gate is not None:
            await self.gate.wait()
        if self.delay:
            await anyio.sleep(self.delay)
        if self.down:
            raise UnavailableError("the service is down")
        if self.spend("throttled"):
            raise ThrottledError("too many calls")

    async def read(self, call: Callable[[], Awaitable[T]]) -> T:
        """Carry out a read under the faults.

        Raises:
            UnavailableError: The service is down or refuses the call.
        """
        await self.enter()
        result = await call()
        if self.answer_delay:
            await anyio.sleep(self.answer_delay)
        return result

    async def write(self, call: Callable[[], Awaitable[T]]) -> T:
        """Carry out a write under the faults.

        Raises:
            UnavailableError: The service is down or refuses the call.
            UnknownOutcomeError: The write or its answer was lost.
        """
        await self.enter()
        if self.spend("lose_requests"):
            raise UnknownOutcomeError("no answer")
        if self.spend("late"):
            self.held.append(call)
            raise UnknownOutcomeError("no answer")
        result = await call()
        if self.spend("duplicates"):
            await self.repeat(call)
        if self.answer_delay:
            await anyio.sleep(self.answer_delay)
        if self.spend("lose_answers"):
            raise UnknownOutcomeError("no answer")
        return result
