"""The router's own stop, step by step, under a virtual clock."""

from __future__ import annotations

import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any, cast

import anyio
import pytest
from attrs import define, field

from ebonyhold.daemon._lifecycle import FILING_TIMEOUT, UNREADY_GRACE, Lifecycle
from ebonyhold.exceptions import EbonyholdError, SealedError, UnavailableError
from ebonyhold.types import Seconds
from tests.virtual import anyio_backend

__all__ = ["anyio_backend"]

pytestmark = pytest.mark.anyio

DRAIN: Seconds = 30.0
SLACK: Seconds = 0.2


@define
class Stage:
    """The parts that a stop leads, as one fake that notes what is asked of it.

    Attributes:
        active: Requests in flight.
        drain_takes: How long the table takes for the last bills.
        drain_error: What comes of them instead.
        began: When the test began.
        steps: What was asked for, and how many seconds after the signal.
    """

    active: int = 0
    drain_takes: Seconds = 0.0
    drain_error: EbonyholdError | None = None
    began: Seconds = field(factory=anyio.current_time)
    steps: dict[str, Seconds] = field(factory=dict)
    _stopping: bool = False

    def note(self, step: str) -> None:
        self.steps[step] = anyio.current_time() - self.began

    @property
    def stopping(self) -> bool:
        return self._stopping

    @stopping.setter
    def stopping(self, value: bool) -> None:
        self._stopping = value
        self.note("refuse")

    def leave(self) -> None:
        self.note("tell")

    async def interrupt(self) -> None:
        self.note("interrupt")

    async def drain(self) -> None:
        self.note("drain")
        await anyio.sleep(self.drain_takes)
        if self.drain_error:
            raise self.drain_error
        self.note("drained")


def lifecycle_of(stage: Stage, *, registered: bool = True) -> Lifecycle:
    part = cast(Any, stage)
    return Lifecycle(part, part, part, lambda: DRAIN, registered=registered)


@asynccontextmanager
async def stopping(stage: Stage) -> AsyncIterator[Lifecycle]:
    """Run a stop whose first signal comes now; leave when it has ended."""
    lifecycle = lifecycle_of(stage)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(lifecycle.run)
        lifecycle.stop_requested.set()
        yield lifecycle
        await lifecycle.ended.wait()
        stage.note("ended")


async def test_idle_router_stops_in_order() -> None:
    stage = Stage()
    async with stopping(stage) as lifecycle:
        await anyio.sleep(UNREADY_GRACE / 2)
        assert lifecycle.leaving
        assert not stage.stopping
    assert list(stage.steps) == [
        "tell",
        "refuse",
        "interrupt",
        "drain",
        "drained",
        "ended",
    ]
    assert stage.steps["refuse"] == pytest.approx(UNREADY_GRACE)
    assert stage.steps["ended"] < UNREADY_GRACE + SLACK


async def test_streams_end_before_the_bills_are_filed() -> None:
    """A stream is cut in a planned stop although it needed only seconds more.

    The stop must wait for it, and give the grants back only afterwards: the
    stream's bill is paid from them.
    """
    stage = Stage(active=1)
    async with stopping(stage):
        await anyio.sleep(DRAIN / 2)
        assert stage.stopping
        assert "interrupt" not in stage.steps
        assert "drain" not in stage.steps
        stage.active = 0
    assert stage.steps["interrupt"] == pytest.approx(DRAIN / 2, abs=SLACK)


async def test_stream_without_an_end_meets_the_bound() -> None:
    """A stop hangs because one caller reads its stream for hours.

    After the document's bound such streams end with an explicit error event,
    and the stop goes on.
    """
    stage = Stage(active=1)
    async with stopping(stage):
        pass
    assert stage.steps["interrupt"] == pytest.approx(UNREADY_GRACE + DRAIN, abs=SLACK)
    assert stage.steps["ended"] < UNREADY_GRACE + DRAIN + FILING_TIMEOUT


@pytest.mark.parametrize("after", [0.0, UNREADY_GRACE / 2, UNREADY_GRACE + 1.0])
async def test_second_signal_hurries(after: Seconds) -> None:
    """An operator asks twice and loses bills.

    The second signal ends the waits, for the balancer and for streams, but the
    bills are still filed and the grants given back.
    """
    stage = Stage(active=1, drain_takes=1.0)
    async with stopping(stage) as lifecycle:
        await anyio.sleep(after)
        lifecycle.expedited.set()
    assert stage.steps["interrupt"] == pytest.approx(after, abs=SLACK)
    assert stage.steps["drained"] == pytest.approx(after + 1.0, abs=SLACK)


@pytest.mark.parametrize(
    "fault",
    [
        Stage(drain_takes=3600.0, began=0.0),
        Stage(drain_error=UnavailableError("the table is away"), began=0.0),
        Stage(drain_error=SealedError("another router was faster"), began=0.0),
    ],
    ids=["no-answer", "refused", "sealed"],
)
async def test_table_is_down_at_the_end(
    fault: Stage, caplog: pytest.LogCaptureFixture
) -> None:
    """The table is away when a router stops, and the stop never ends.

    What is not filed stands in the journal and any other router files it, so
    the stop says so and ends within its stated time.
    """
    stage = Stage(drain_takes=fault.drain_takes, drain_error=fault.drain_error)
    async with stopping(stage):
        pass
    assert "drained" not in stage.steps
    assert stage.steps["ended"] <= UNREADY_GRACE + FILING_TIMEOUT + SLACK
    assert "left to be recovered" in caplog.text


async def test_signal_before_the_router_is_registered() -> None:
    """A router that waits for the table at its start cannot be stopped.

    The first signal was only waited for once the router served, and there was
    no other way to end it than to kill it.
    """
    stage = Stage()
    lifecycle = lifecycle_of(stage, registered=False)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(lifecycle.run)
        lifecycle.stop_requested.set()
        await lifecycle.ended.wait()
    assert stage.steps == {}
    assert lifecycle.leaving


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
async def test_signals_ask_and_then_hurry(number: signal.Signals) -> None:
    lifecycle = lifecycle_of(Stage())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(lifecycle.follow_signals)
        await anyio.wait_all_tasks_blocked()
        signal.raise_signal(number)
        await lifecycle.stop_requested.wait()
        assert not lifecycle.expedited.is_set()
        signal.raise_signal(number)
        await lifecycle.expedited.wait()
        tasks.cancel_scope.cancel()


async def test_hangup_asks_for_nothing() -> None:
    """An operator sends SIGHUP, to have files read again, and cuts every request.

    The router did not take that signal, so that it ended the process at once.
    Evidence: with a stream under way, its caller's connection closed in the middle
    of the answer, before and during a stop alike.  Files are followed anyway.
    """
    lifecycle = lifecycle_of(Stage())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(lifecycle.follow_signals)
        await anyio.wait_all_tasks_blocked()
        signal.raise_signal(signal.SIGHUP)
        await anyio.wait_all_tasks_blocked()
        assert not lifecycle.stop_requested.is_set()
        signal.raise_signal(signal.SIGTERM)
        await lifecycle.stop_requested.wait()
        signal.raise_signal(signal.SIGHUP)
        await anyio.wait_all_tasks_blocked()
        assert not lifecycle.expedited.is_set()
        tasks.cancel_scope.cancel()
