"""The order and the time limits of a router's stop, under a virtual clock."""

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
    """Fake callers' application, money and network, which record the steps of a stop.

    Attributes:
        active: Number of requests in flight.
        drain_takes: How long filing the last bills takes.
        drain_error: The error with which filing ends after that; None for success.
        began: When the stop was requested.
        steps: The steps, with the seconds from `began` to each.
    """

    active: int = 0
    drain_takes: Seconds = 0.0
    drain_error: EbonyholdError | None = None
    began: Seconds = field(factory=anyio.current_time)
    steps: dict[str, Seconds] = field(factory=dict)
    _stopping: bool = False

    def record(self, step: str) -> None:
        self.steps[step] = anyio.current_time() - self.began

    @property
    def stopping(self) -> bool:
        return self._stopping

    @stopping.setter
    def stopping(self, value: bool) -> None:
        self._stopping = value
        self.record("refuse")

    def leave(self) -> None:
        self.record("announce")

    async def interrupt(self) -> None:
        self.record("interrupt")

    async def drain(self) -> None:
        self.record("drain")
        await anyio.sleep(self.drain_takes)
        if self.drain_error:
            raise self.drain_error
        self.record("drained")


def lifecycle_of(stage: Stage, *, registered: bool = True) -> Lifecycle:
    part = cast(Any, stage)
    return Lifecycle(part, part, part, lambda: DRAIN, registered=registered)


@asynccontextmanager
async def stopping(stage: Stage) -> AsyncIterator[Lifecycle]:
    """Request a stop, run it beside the block, and wait for its end."""
    lifecycle = lifecycle_of(stage)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(lifecycle.run)
        lifecycle.stop_requested.set()
        yield lifecycle
        await lifecycle.ended.wait()
        stage.record("ended")


async def test_idle_router_stops_in_order() -> None:
    stage = Stage()
    async with stopping(stage) as lifecycle:
        await anyio.sleep(UNREADY_GRACE / 2)
        assert lifecycle.leaving
        assert not stage.stopping
    assert list(stage.steps) == [
        "announce",
        "refuse",
        "interrupt",
        "drain",
        "drained",
        "ended",
    ]
    assert stage.steps["refuse"] == pytest.approx(UNREADY_GRACE)
    assert stage.steps["ended"] < UNREADY_GRACE + SLACK


async def test_bills_are_filed_after_streams_have_ended() -> None:
    """Guards against a planned stop that cuts a stream which ends within the limit.

    The grants are returned only after the stream, as its bill is paid from them.
    """
    stage = Stage(active=1)
    async with stopping(stage):
        await anyio.sleep(DRAIN / 2)
        assert stage.stopping
        assert "interrupt" not in stage.steps
        assert "drain" not in stage.steps
        stage.active = 0
    assert stage.steps["interrupt"] == pytest.approx(DRAIN / 2, abs=SLACK)


async def test_endless_stream_is_interrupted() -> None:
    """Guards against a stop that waits for hours for a stream.

    Streams are interrupted at the document's ``drain`` limit, and the stop goes on.
    """
    stage = Stage(active=1)
    async with stopping(stage):
        pass
    assert stage.steps["interrupt"] == pytest.approx(UNREADY_GRACE + DRAIN, abs=SLACK)
    assert stage.steps["ended"] < UNREADY_GRACE + DRAIN + FILING_TIMEOUT


@pytest.mark.parametrize("after", [0.0, UNREADY_GRACE / 2, UNREADY_GRACE + 1.0])
async def test_second_signal_ends_the_waits(after: Seconds) -> None:
    """Guards against bills that aren't filed after a second signal.

    The second signal ends the waits for the load balancer and for streams, but the
    bills are still filed and the grants returned.
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
        Stage(drain_error=UnavailableError("the table is unavailable"), began=0.0),
        Stage(
            drain_error=SealedError("sealed by another router"),
            began=0.0,
        ),
    ],
    ids=["no-answer", "refused", "sealed"],
)
async def test_table_is_unavailable_at_the_stop(
    fault: Stage, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a stop that never ends while the table is unavailable.

    Other routers file the remaining bills from the journal, so the stop logs the
    failure and ends within its time limit.
    """
    stage = Stage(drain_takes=fault.drain_takes, drain_error=fault.drain_error)
    async with stopping(stage):
        pass
    assert "drained" not in stage.steps
    assert stage.steps["ended"] <= UNREADY_GRACE + FILING_TIMEOUT + SLACK
    assert "left to be recovered" in caplog.text


async def test_stop_before_the_router_is_registered() -> None:
    """Guards against a router that can't be stopped while it waits to register.

    The router holds no tokens yet, so no step of the stop runs.
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
async def test_second_signal_expedites_the_stop(number: signal.Signals) -> None:
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


async def test_hangup_signal_is_ignored() -> None:
    """Guards against SIGHUP ending the process and cutting every request.

    Operators send it to have files reloaded, which happens without it. It neither
    requests a stop nor expedites one.
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
