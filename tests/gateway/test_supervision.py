"""A failing task does not end the process, and each failure is reported."""

from __future__ import annotations

import errno
import io
import json
import logging
import sys
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import anyio
import pytest
from attrs import define, field

from ebonyhold.exceptions import UnavailableError
from ebonyhold.forwarding import CallerLimits, CallerListener
from ebonyhold.gateway import (
    EXIT_FAULT,
    EXIT_OK,
    EXIT_PORT,
    TASK_RULES,
    Action,
    GuardedTasks,
    ListenError,
    Supervisor,
    configure_output,
    listen,
)
from tests.virtual import anyio_backend

pytestmark = pytest.mark.anyio
__all__ = ["anyio_backend"]

Run = Callable[[], Coroutine[Any, Any, None]]
DESIGN_PAGE = Path(__file__).parents[2] / "docs" / "design-platform.md"
PORT_TAKEN = ListenError("127.0.0.1:1: in use")


@define(eq=False)
class Spy:
    """Records what a supervisor does.

    Attributes:
        counted: The failures that were counted.
        stops: The number of orderly stops.
        ran_at: The times at which the task was started.
    """

    counted: list[tuple[str, str]] = field(factory=list)
    stops: int = 0
    ran_at: list[float] = field(factory=list)

    def count(self, task: str, then: str) -> None:
        self.counted.append((task, then))

    def stop(self) -> None:
        self.stops += 1

    def failing(self, *errors: Exception, after: float = 0.0) -> Run:
        """Return a task that raises these errors, one per start, and then never ends.

        Each error is raised `after` seconds after the start.
        """
        left = list(errors)

        async def run() -> None:
            self.ran_at.append(anyio.current_time())
            if left:
                await anyio.sleep(after)
                raise left.pop(0)
            await anyio.sleep_forever()

        return run


async def supervise(spy: Spy, task: str, run: Run) -> int:
    """Supervise this task for a minute beside another one; return the exit status."""
    async with anyio.create_task_group() as tasks:
        supervisor = Supervisor(tasks, spy.count, spy.stop)
        supervisor.start("pressure", anyio.sleep_forever)
        supervisor.start(task, run)
        await anyio.sleep(60)
        tasks.cancel_scope.cancel()
    return supervisor.status


@pytest.mark.parametrize(
    "task", [n for n, r in TASK_RULES.items() if r.policy.action is Action.RESTART]
)
async def test_restartable_task_is_restarted(task: str) -> None:
    """An unexpected error in such a task must not end the process.

    The task runs again, and no stop begins. The metrics task is restarted so late that
    its third error may not occur within the minute.
    """
    spy = Spy()
    run = spy.failing(*[ValueError("x not in list")] * 3)
    assert await supervise(spy, task, run) == EXIT_OK
    assert (
        spy.counted == [(task, TASK_RULES[task].policy.name)] * 3 or task == "metrics"
    )
    assert spy.stops == 0 and len(spy.ran_at) >= 2


@pytest.mark.parametrize("task", ["treasury", "renewals"])
async def test_inconsistent_state_stops_process_in_order(task: str) -> None:
    spy = Spy()
    assert await supervise(spy, task, spy.failing(KeyError("x"))) == EXIT_FAULT
    assert spy.stops == 1 and len(spy.ran_at) == 1


@pytest.mark.parametrize(
    ("task", "status", "stops"),
    [
        ("callers", EXIT_PORT, 1),
        ("readiness", EXIT_PORT, 1),
        ("metrics", EXIT_OK, 0),
    ],
)
async def test_used_port(task: str, status: int, stops: int) -> None:
    """A used port stops the process, except for that of the metrics."""
    spy = Spy()
    assert await supervise(spy, task, spy.failing(PORT_TAKEN)) == status
    assert spy.stops == stops


async def test_listener_restarts_after_too_many_open_files() -> None:
    spy = Spy()
    full = OSError(errno.EMFILE, "too many open files")
    assert await supervise(spy, "callers", spy.failing(full)) == EXIT_OK
    assert len(spy.ran_at) == 2 and spy.stops == 0


async def test_restart_delays_grow() -> None:
    """A task that fails at each start is restarted at most every two seconds.

    Restarts without a delay would use all processor time.
    """
    spy = Spy()
    await supervise(spy, "expiry", spy.failing(*[ValueError("again")] * 1000))
    pauses = [b - a for a, b in zip(spy.ran_at, spy.ran_at[1:], strict=False)]
    doubled = [0.0, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6]
    assert pauses[:7] == pytest.approx(doubled, abs=0.001)
    assert pauses[7:] == pytest.approx([2.0] * len(pauses[7:]), abs=0.001)


async def test_stable_task_restarts_at_once() -> None:
    spy = Spy()
    await supervise(spy, "expiry", spy.failing(*[ValueError("x")] * 3, after=15.0))
    assert spy.ran_at == pytest.approx([0.0, 15.0, 30.0, 45.0], abs=0.01)


async def test_failing_stop_ends_process() -> None:
    spy = Spy()
    began = anyio.current_time()
    assert await supervise(spy, "stop", spy.failing(KeyError("x"))) == EXIT_FAULT
    assert anyio.current_time() - began < 1.0


async def test_cancellation_is_no_failure() -> None:
    spy = Spy()
    await supervise(spy, "rules", anyio.sleep_forever)
    assert spy.counted == []


async def test_guarded_task_fails_alone() -> None:
    """The task that reads from one connection fails, and the others continue."""
    spy = Spy()
    async with anyio.create_task_group() as tasks:
        guarded = GuardedTasks(
            Supervisor(tasks, spy.count, spy.stop), "server connection"
        )
        running = Spy()
        guarded.start_soon(running.failing())
        guarded.start_soon(spy.failing(RuntimeError("odd")))
        await anyio.sleep(1)
        tasks.cancel_scope.cancel()
    assert spy.counted == [("server connection", "ends alone")]
    assert spy.stops == 0


async def test_concurrent_errors_are_all_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def fail(error: Exception) -> None:
        raise error

    async def two() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(fail, KeyError("one"))
            tasks.start_soon(fail, ValueError("two"))

    await supervise(Spy(), "treasury", two)
    [line] = [r for r in caplog.records if r.message == "task failed"]
    trace = line.__dict__["trace"]
    assert "KeyError: 'one'" in trace and "ValueError: two" in trace


async def test_listener_can_run_again() -> None:
    """A listener fails, and its task is restarted.

    A cancel scope can be entered only once, so a second run with the same scope would
    fail at once.
    """

    class Failing(CallerListener):
        async def run(self, address, tasks):  # type: ignore[no-untyped-def]
            with self.accepting:
                raise OSError(errno.EMFILE, "too many open files")

    async def serve(*_: object) -> None:
        """Answer nothing."""

    listener = Failing(serve, CallerLimits)
    async with anyio.create_task_group() as tasks:
        for _ in range(2):
            with pytest.raises(OSError, match="too many"):
                await listen(listener, ("127.0.0.1", 1), tasks)
        listener.stop_accepting()
        await listen(listener, ("127.0.0.1", 1), tasks)


async def test_failure_is_one_json_line(monkeypatch: pytest.MonkeyPatch) -> None:
    """A failure must not be logged as a plain traceback.

    Log readers cannot parse the traceback's thirty lines.
    """
    out = io.StringIO()
    root = logging.getLogger()
    monkeypatch.setattr(root, "handlers", root.handlers[:])
    monkeypatch.setattr(sys, "excepthook", sys.excepthook)
    level = root.level
    handler = configure_output("INFO", "vm-1.a", 1)
    assert isinstance(handler, logging.StreamHandler)
    handler.setStream(out)
    try:
        await supervise(Spy(), "rules", Spy().failing(UnavailableError("odd\nlines")))
        sys.excepthook(ValueError, ValueError("last"), None)
    finally:
        root.setLevel(level)
    lines = [json.loads(line) for line in out.getvalue().splitlines()]
    first, last = lines
    assert (first["task"], first["error"]) == ("rules", "platform_unavailable")
    assert first["level"] == "ERROR" and "Traceback" in first["trace"]
    assert last["message"] == "process failed" and "last" in last["exc_info"]


def test_design_page_lists_task_rules() -> None:
    page = " ".join(DESIGN_PAGE.read_text().split())
    for rule in TASK_RULES.values():
        row = f"| {rule.task} | {rule.failure} | {rule.policy.name}"
        assert row in page, rule.task
        assert f"| {rule.reason} |" in page, rule.task
