"""No task of a gateway ends the process, and none fails unseen."""

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
    EXIT_PORT,
    EXIT_SOUND,
    RULES,
    Act,
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
PAGE = Path(__file__).parents[2] / "docs" / "design-platform.md"
PORT_TAKEN = ListenError("127.0.0.1:1: in use")


@define(eq=False)
class Watch:
    """What a supervisor did.

    Attributes:
        counted: The failures it counted.
        stops: How often it began the orderly stop.
        ran_at: When the task was run.
    """

    counted: list[tuple[str, str]] = field(factory=list)
    stops: int = 0
    ran_at: list[float] = field(factory=list)

    def count(self, task: str, then: str) -> None:
        self.counted.append((task, then))

    def stop(self) -> None:
        self.stops += 1

    def fails(self, *errors: Exception, after: float = 0.0) -> Run:
        """Return a task that fails so at its first runs, and then goes on for ever."""
        left = list(errors)

        async def run() -> None:
            self.ran_at.append(anyio.current_time())
            if left:
                await anyio.sleep(after)
                raise left.pop(0)
            await anyio.sleep_forever()

        return run


async def played(watch: Watch, task: str, run: Run) -> int:
    """Supervise a task for a minute beside another one, and return the status."""
    async with anyio.create_task_group() as tasks:
        supervisor = Supervisor(tasks, watch.count, watch.stop)
        supervisor.start("pressure", anyio.sleep_forever)
        supervisor.start(task, run)
        await anyio.sleep(60)
        tasks.cancel_scope.cancel()
    return supervisor.status


@pytest.mark.parametrize(
    "task", [n for n, r in RULES.items() if r.policy.act is Act.RESTART]
)
async def test_a_task_that_keeps_no_books_is_run_again(task: str) -> None:
    """One unexpected error in any task ended the process with all its requests."""
    watch = Watch()
    run = watch.fails(*[ValueError("x not in list")] * 3)
    assert await played(watch, task, run) == EXIT_SOUND
    assert watch.counted == [(task, RULES[task].policy.name)] * 3 or task == "metrics"
    assert watch.stops == 0 and len(watch.ran_at) >= 2


@pytest.mark.parametrize("task", ["treasury", "renewals"])
async def test_books_in_doubt_stop_the_process_in_order(task: str) -> None:
    watch = Watch()
    assert await played(watch, task, watch.fails(KeyError("x"))) == EXIT_FAULT
    assert watch.stops == 1 and len(watch.ran_at) == 1


@pytest.mark.parametrize(
    ("task", "status", "stops"),
    [
        ("callers", EXIT_PORT, 1),
        ("readiness", EXIT_PORT, 1),
        ("metrics", EXIT_SOUND, 0),
    ],
)
async def test_a_taken_port(task: str, status: int, stops: int) -> None:
    """Without callers or readiness the process is of no use; without metrics it is."""
    watch = Watch()
    assert await played(watch, task, watch.fails(PORT_TAKEN)) == status
    assert watch.stops == stops


async def test_a_listener_that_runs_out_of_files_listens_again() -> None:
    watch = Watch()
    full = OSError(errno.EMFILE, "too many open files")
    assert await played(watch, "callers", watch.fails(full)) == EXIT_SOUND
    assert len(watch.ran_at) == 2 and watch.stops == 0


async def test_a_task_that_fails_always_takes_no_processor() -> None:
    """Its pauses grow, and no more than one run in two seconds is left."""
    watch = Watch()
    await played(watch, "expiry", watch.fails(*[ValueError("again")] * 1000))
    pauses = [b - a for a, b in zip(watch.ran_at, watch.ran_at[1:], strict=False)]
    doubled = [0.0, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6]
    assert pauses[:7] == pytest.approx(doubled, abs=0.001)
    assert pauses[7:] == pytest.approx([2.0] * len(pauses[7:]), abs=0.001)


async def test_a_task_that_ran_for_long_starts_at_once_again() -> None:
    watch = Watch()
    await played(watch, "expiry", watch.fails(*[ValueError("x")] * 3, after=15.0))
    assert watch.ran_at == pytest.approx([0.0, 15.0, 30.0, 45.0], abs=0.01)


async def test_a_stop_that_fails_ends_the_process() -> None:
    watch = Watch()
    began = anyio.current_time()
    assert await played(watch, "stop", watch.fails(KeyError("x"))) == EXIT_FAULT
    assert anyio.current_time() - began < 1.0


async def test_the_end_of_the_process_is_no_failure() -> None:
    watch = Watch()
    await played(watch, "rules", anyio.sleep_forever)
    assert watch.counted == []


async def test_one_of_many_tasks_fails_alone() -> None:
    """A connection's reading task fails, and the others read on."""
    watch = Watch()
    async with anyio.create_task_group() as tasks:
        guarded = GuardedTasks(
            Supervisor(tasks, watch.count, watch.stop), "server connection"
        )
        sound = Watch()
        guarded.start_soon(sound.fails())
        guarded.start_soon(watch.fails(RuntimeError("odd")))
        await anyio.sleep(1)
        tasks.cancel_scope.cancel()
    assert watch.counted == [("server connection", "ends alone")]
    assert watch.stops == 0


async def test_errors_at_once_are_all_told(caplog: pytest.LogCaptureFixture) -> None:
    async def fail(error: Exception) -> None:
        raise error

    async def two() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(fail, KeyError("one"))
            tasks.start_soon(fail, ValueError("two"))

    await played(Watch(), "treasury", two)
    [line] = [r for r in caplog.records if r.message == "task failed"]
    trace = line.__dict__["trace"]
    assert "KeyError: 'one'" in trace and "ValueError: two" in trace


async def test_a_listener_can_be_run_again() -> None:
    """A scope that ends the accepting can be entered only once."""

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


async def test_a_failure_is_one_line_of_json(monkeypatch: pytest.MonkeyPatch) -> None:
    """A bare traceback is some thirty lines that no reader of the log can parse."""
    out = io.StringIO()
    root = logging.getLogger()
    monkeypatch.setattr(root, "handlers", root.handlers[:])
    monkeypatch.setattr(sys, "excepthook", sys.excepthook)
    level = root.level
    handler = configure_output("INFO", "vm-1.a", 1)
    assert isinstance(handler, logging.StreamHandler)
    handler.setStream(out)
    try:
        await played(Watch(), "rules", Watch().fails(UnavailableError("odd\nlines")))
        sys.excepthook(ValueError, ValueError("last"), None)
    finally:
        root.setLevel(level)
    lines = [json.loads(line) for line in out.getvalue().splitlines()]
    first, last = lines
    assert (first["task"], first["error"]) == ("rules", "platform_unavailable")
    assert first["level"] == "ERROR" and "Traceback" in first["trace"]
    assert last["message"] == "process failed" and "last" in last["exc_info"]


def test_the_page_tells_what_the_code_does() -> None:
    page = " ".join(PAGE.read_text().split())
    for rule in RULES.values():
        row = f"| {rule.task} | {rule.failure} | {rule.policy.name}"
        assert row in page, rule.task
        assert f"| {rule.because} |" in page, rule.task
