"""Two attempts of one request, without servers."""

from __future__ import annotations

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, cast

import anyio
import pytest

from ebonyhold.forwarding._attempt import Attempt
from ebonyhold.forwarding._exchange import AttemptEnd, AttemptResult
from ebonyhold.forwarding._hedge import Hedge
from ebonyhold.forwarding._silence import SilenceOutcome

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    """Start tasks in order."""
    return "asyncio"


class FakeAttempt:
    """An attempt whose server sends an answer when it is told to."""

    def __init__(self, exchange: SimpleNamespace) -> None:
        self.exchange = exchange
        self.watch = SimpleNamespace(is_hedged=False, end_hedge=lambda: None)
        self.entry = SimpleNamespace(backend=SimpleNamespace(name="any"))
        self.relay = None
        self.sent_at: float | None = None
        self.is_replaced = False
        self.on_claim: Callable[[], None] = lambda: None
        self.on_sent: Callable[[], None] = lambda: None
        self.arrived = anyio.Event()

    async def resume(self) -> AttemptResult:
        """Pass on what has arrived, without a wait if it has already."""
        if not self.arrived.is_set():
            await self.arrived.wait()
        await Attempt.claim(cast(Any, self))
        await anyio.sleep(0.01)
        return AttemptResult(AttemptEnd.DELIVERED)

    async def release(self) -> None:
        """Do nothing."""

    def record_begin(self) -> None:
        """Do nothing."""

    def leave(self, outcome: SilenceOutcome, to: str) -> None:
        """Do nothing."""


class FakeHedge:
    """A hedge, its two attempts, and what was done with them."""

    def __init__(self) -> None:
        self.begun: list[object] = []
        self.given_back: list[object] = []
        exchange = SimpleNamespace(
            writer=None, reasons=[], match=SimpleNamespace(service="svc")
        )
        dispatcher = SimpleNamespace(
            silences=SimpleNamespace(on_standby=lambda service, result: None),
            streams=SimpleNamespace(recheck=lambda exchange: None),
        )
        standbys = SimpleNamespace(
            dispatcher=dispatcher,
            run=self.run_second,
            give_retry_back=self.given_back.append,
        )
        self.first, self.second = FakeAttempt(exchange), FakeAttempt(exchange)
        self.hedge = Hedge(
            cast(Any, standbys),
            cast(Any, exchange),
            cast(Any, self.first),
            cast(Any, self.second),
        )

    async def run_second(self, attempt: FakeAttempt) -> AttemptResult:
        """Run the second attempt."""
        self.begun.append(attempt)
        attempt.sent_at = anyio.current_time()
        return await attempt.resume()


async def test_second_attempt_does_not_begin_after_the_first_has_answered() -> None:
    """An attempt that is not needed any more must not count as sent."""
    fake = FakeHedge()
    fake.first.arrived.set()
    attempt, result = await fake.hedge.run()
    assert cast(object, attempt) is fake.first
    assert result.end is AttemptEnd.DELIVERED
    assert not fake.begun
    assert len(fake.given_back) == 1


@pytest.mark.parametrize("kept", ["first", "second"])
async def test_answer_that_arrives_as_its_attempt_is_ended_ends_no_other(
    kept: str,
) -> None:
    """If each attempt ended the other one, the request would have no answer."""
    fake = FakeHedge()
    ended: list[tuple[Attempt, AttemptResult]] = []

    async def run() -> None:
        ended.append(await fake.hedge.run())

    with anyio.fail_after(2.0):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run)
            await anyio.sleep(0.02)
            if kept == "first":
                fake.second.arrived.set()
                fake.hedge.withdraw_second()
            else:
                fake.first.arrived.set()
                fake.hedge.leave_first(SilenceOutcome.LEFT)
            await anyio.sleep(0.02)
            (fake.first if kept == "first" else fake.second).arrived.set()
    ((attempt, result),) = ended
    assert cast(object, attempt) is getattr(fake, kept)
    assert result.end is AttemptEnd.DELIVERED
