"""Two attempts of one request, without servers."""

from __future__ import annotations

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, cast

import anyio
import pytest

from ebonyhold.forwarding._exchange import AttemptEnd, AttemptResult
from ebonyhold.forwarding._hedge import Hedge

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    """Start tasks in order."""
    return "asyncio"


class FakeAttempt:
    """An attempt that has an answer at once."""

    def __init__(self) -> None:
        self.watch = SimpleNamespace(is_hedged=False, end_hedge=lambda: None)
        self.is_sent = False
        self.on_claim: Callable[[], None] = lambda: None
        self.on_sent: Callable[[], None] = lambda: None

    async def resume(self) -> AttemptResult:
        """Pass on what has arrived already, without a wait before that."""
        self.on_claim()
        await anyio.sleep(0.01)
        return AttemptResult(AttemptEnd.DELIVERED)

    async def release(self) -> None:
        """Do nothing."""


async def test_second_attempt_does_not_begin_after_the_first_has_answered() -> None:
    """An attempt that is not needed any more must not count as sent."""
    begun = []

    async def run_standby(attempt: object) -> AttemptResult:
        begun.append(attempt)
        return AttemptResult(AttemptEnd.LOST)

    first, second = FakeAttempt(), FakeAttempt()
    given_back: list[object] = []
    dispatcher = SimpleNamespace(
        run_standby=run_standby,
        give_retry_back=given_back.append,
        silences=SimpleNamespace(on_standby=lambda service, result: None),
    )
    exchange = SimpleNamespace(
        writer=None, reasons=[], match=SimpleNamespace(service="svc")
    )
    hedge = Hedge(
        cast(Any, dispatcher), cast(Any, exchange), *cast(Any, (first, second))
    )
    attempt, result = await hedge.run()
    assert cast(object, attempt) is first
    assert result.end is AttemptEnd.DELIVERED
    assert not begun
    assert len(given_back) == 1
