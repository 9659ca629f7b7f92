"""Sends a request to a second server while the first one is silent."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import anyio
from anyio.abc import TaskGroup
from attrs import define, field

from ebonyhold.forwarding._attempt import Attempt
from ebonyhold.forwarding._exchange import AttemptEnd, AttemptResult, Exchange
from ebonyhold.forwarding._silence import (
    SilenceOutcome,
    StandbyResult,
    prefers_second,
)
from ebonyhold.forwarding._standby import Standbys
from ebonyhold.types import Seconds

if TYPE_CHECKING:
    from ebonyhold.forwarding._dispatcher import Dispatcher

MAX_OVERLAP: Seconds = 0.3
"""Time for which two servers may have a request before either has answered.

The platform allows two runs of one request side by side for 0.4 s.
"""

NEVER_SENT = frozenset(
    {AttemptEnd.NOT_SENT, AttemptEnd.NO_PATH, AttemptEnd.WITHHELD},
)
"""The ends of attempts that use no retry budget."""

HAS_NOT_FAILED = frozenset({AttemptEnd.DELIVERED, AttemptEnd.SILENT})
"""The ends of attempts whose server has not failed."""


@define(eq=False)
class Hedge:
    """Two attempts of one request, of which the one that answers first goes on.

    The other one is ended. If neither answers within `MAX_OVERLAP`, the second one is
    ended, unless its server is heard on other connections and the first one is not or
    has passed the request over, or only the first one accepts no connections any more.

    Attributes:
        standbys: Runs the second attempt.
        exchange: The request.
        first: The attempt whose server is silent.
        second: The attempt at the other server, not begun.
        running: The attempts that have not ended.
        scopes: The cancel scopes of the attempts.
        tasks: Runs the attempts.
        is_first_dark: Whether the silent server accepts no connections, though the
            other one does.
        last: The attempt that has ended last, with its result.
        error: The unexpected error that has ended the attempts.
    """

    standbys: Standbys
    exchange: Exchange
    first: Attempt
    second: Attempt
    running: list[Attempt] = field(init=False)
    scopes: dict[Attempt, anyio.CancelScope] = field(init=False)
    tasks: TaskGroup = field(init=False)
    is_first_dark: bool = field(init=False, default=False)
    last: tuple[Attempt, AttemptResult] | None = field(init=False, default=None)
    error: Exception | None = field(init=False, default=None)

    @property
    def dispatcher(self) -> Dispatcher:
        """What records how attempts end."""
        return self.standbys.dispatcher

    def __attrs_post_init__(self) -> None:
        self.running = [self.first, self.second]
        self.scopes = {attempt: anyio.CancelScope() for attempt in self.running}

    async def run(self) -> tuple[Attempt, AttemptResult]:
        """Return the attempt that has ended last, or is silent alone, and its result.

        The result of the other one has been recorded.
        """
        self.exchange.writer = None
        for attempt in self.running:
            attempt.watch.is_hedged = True
        self.first.on_claim = self.withdraw_second
        self.second.on_claim = self.move
        self.second.on_sent = self.begin_overlap
        try:
            async with anyio.create_task_group() as self.tasks:
                self.tasks.start_soon(self.follow, self.first, self.first.resume)
                self.tasks.start_soon(self.follow, self.second, self.run_second)
        finally:
            for attempt in (self.first, self.second):
                if self.last is None or self.last[0] is not attempt:
                    await attempt.release()
        if self.error is not None:
            raise self.error
        assert self.last is not None
        return self.last

    async def run_second(self) -> AttemptResult:
        """Run the second attempt."""
        return await self.standbys.run(self.second)

    async def follow(
        self, attempt: Attempt, step: Callable[[], Awaitable[AttemptResult]]
    ) -> None:
        """Take a step of an attempt, and handle its result unless it is cancelled."""
        if attempt not in self.running:
            # The other one has answered before this one began.
            return
        with self.scopes[attempt]:
            try:
                result = await step()
            except Exception as error:
                self.error = error
                self.tasks.cancel_scope.cancel()
                return
            self.handle_result(attempt, result)

    def handle_result(self, attempt: Attempt, result: AttemptResult) -> None:
        """Return the result of the last attempt from `run`; record that of another."""
        if attempt not in self.running:
            return
        never_sent = attempt is self.second and result.end in NEVER_SENT
        if never_sent and self.first in self.running:
            # Otherwise the retry is used for what replaces the first attempt.
            self.standbys.give_retry_back(self.exchange)
        if attempt is self.second and result.end not in HAS_NOT_FAILED:
            self.count(StandbyResult.FAILED)
        if len(self.running) == 1 or result.end is AttemptEnd.DELIVERED:
            self.last = attempt, result
            self.tasks.cancel_scope.cancel()
            return
        self.dispatcher.record_result(self.exchange, attempt, result)
        self.end_hedge(attempt)

    def end_hedge(self, ended: Attempt) -> None:
        """Let the other attempt go on alone."""
        self.running.remove(ended)
        for attempt in self.running:
            attempt.watch.end_hedge()

    def end_other(self, ended: Attempt) -> None:
        """End an attempt, and let the other one go on alone."""
        # Until its next wait it runs on, and may have read something to pass on.
        ended.is_replaced = True
        self.end_hedge(ended)
        self.scopes[ended].cancel()

    def move(self) -> None:
        """Leave the silent server, since the other one has answered."""
        self.count(StandbyResult.ANSWERED)
        if self.first in self.running:
            self.leave_first(SilenceOutcome.MOVED)

    def leave_first(self, outcome: SilenceOutcome) -> None:
        """Leave the silent server."""
        self.first.leave(outcome, self.second.entry.backend.name)
        self.dispatcher.streams.recheck(self.exchange)
        self.end_other(self.first)

    def withdraw_second(self) -> None:
        """End the second attempt, since its server is not needed any more."""
        if self.second not in self.running:
            return
        self.count(StandbyResult.WITHDRAWN)
        if self.second.sent_at is not None:
            name = self.second.entry.backend.name
            self.exchange.reasons.append(f"{name}: withdrawn")
        else:
            self.standbys.give_retry_back(self.exchange)
        self.end_other(self.second)

    def begin_overlap(self) -> None:
        """Bound the time for which two servers have the request."""
        self.tasks.start_soon(self.bound_overlap, anyio.current_time())
        if self.first.relay is None and self.second.relay is None:
            self.tasks.start_soon(self.check_first)

    async def check_first(self) -> None:
        """Check whether the silent server accepts connections.

        The system accepts them for a process that is paused, but not without power.
        That both servers accept none may be a fault of the network.
        """
        paths, first = self.dispatcher.paths, self.first.entry.backend
        if not await paths.accepts(first):
            self.is_first_dark = await paths.accepts(self.second.entry.backend)

    async def bound_overlap(self, since: Seconds) -> None:
        """End one of the attempts if neither server has answered in time."""
        await anyio.sleep(MAX_OVERLAP)
        if len(self.running) == 1 or self.exchange.writer is not None:
            return
        first, second = self.first.entry, self.second.entry
        sent_at = None if self.first.has_begun else self.first.sent_at
        if self.is_first_dark or prefers_second(first, second, since, sent_at):
            self.leave_first(SilenceOutcome.LEFT)
        else:
            self.withdraw_second()

    def count(self, result: StandbyResult) -> None:
        """Count what came of the second attempt."""
        service = self.exchange.match.service
        self.dispatcher.silences.on_standby(service, result)
