"""What a gateway does when one of its tasks fails: which task, and with what error.

All tasks share one process with every request, stream and hold in it.  None of them
may end it by an error of its own, and none may fail without a line in the log and a
count in the metrics.
"""

from __future__ import annotations

import logging
import traceback
from collections.abc import Awaitable, Callable, Coroutine
from enum import Enum
from functools import partial
from typing import Any, TypeVarTuple

import anyio
from anyio.abc import TaskGroup
from attrs import define, field, frozen

from ebonyhold.exceptions import EbonyholdError
from ebonyhold.gateway._listening import ListenError
from ebonyhold.tasks import Run
from ebonyhold.types import Seconds

log = logging.getLogger(__name__)

Args = TypeVarTuple("Args")

FIRST_PAUSE: Seconds = 0.25
"""Before the first restart of a task that asks the store or opens a port: what it ran
into takes some 12 ms of a call to be asked again, and may pass by itself."""

NEXT_PAUSE: Seconds = 0.05
"""Before the second restart of a task that is restarted at once; then it doubles."""

MOST_PAUSE: Seconds = 2.0
"""The longest pause: changes must be in force within two seconds."""

SELDOM: Seconds = 30.0
"""Between two tries of what no request needs; a scrape comes each 15 s or so."""

STEADY: Seconds = 10.0
"""A task that ran for this long without a failure counts as sound again."""

MOST_DOUBLINGS = 8
"""Doublings of a pause that are counted; the longest pause comes before."""

EXIT_SOUND = 0
"""The exit status of a process that was told to stop."""

EXIT_PORT = 3
"""The exit status of a process that could not listen where callers or the platform's
questions of readiness go; 2 is that of settings that cannot be used."""

EXIT_FAULT = 4
"""The exit status of a process that stopped in order for a fault of its own."""


class Act(Enum):
    """What is done about a task that failed."""

    RESTART = "restart"
    LEAVE = "leave"
    STOP = "stop"
    EXIT = "exit"


@frozen
class Policy:
    """What is done about a task that failed, and when.

    Attributes:
        name: What the log calls it.
        act: What is done.
        first: The pause before the first restart.
        next: The pause before the second one, which doubles with each further one.
        most: The longest pause.
    """

    name: str
    act: Act
    first: Seconds = 0.0
    next: Seconds = NEXT_PAUSE
    most: Seconds = MOST_PAUSE

    def pause(self, failures: int) -> Seconds:
        """Return the pause after so many failures in a row, the last one counted.

        >>> [AT_ONCE.pause(failures) for failures in (1, 2, 3, 4, 20)]
        [0.0, 0.05, 0.1, 0.2, 2.0]
        >>> [AFTER_PAUSE.pause(failures) for failures in (1, 2, 3, 4, 5, 20)]
        [0.25, 0.25, 0.5, 1.0, 2.0, 2.0]
        """
        if failures <= 1:
            return self.first
        doubled: Seconds = self.next * 2 ** min(failures - 2, MOST_DOUBLINGS)
        return min(self.most, doubled)


AT_ONCE = Policy("restart at once", Act.RESTART)
AFTER_PAUSE = Policy(
    "restart after a pause", Act.RESTART, first=FIRST_PAUSE, next=FIRST_PAUSE
)
NOW_AND_THEN = Policy(
    "try again seldom", Act.RESTART, first=SELDOM, next=SELDOM, most=SELDOM
)
ALONE = Policy("ends alone", Act.LEAVE)
ORDERLY_STOP = Policy("orderly stop", Act.STOP)
EXIT_NOW = Policy("exit at once", Act.EXIT)


@frozen
class Rule:
    """What is done about one task.

    Attributes:
        task: Which one.
        failure: What its failure means.
        policy: What is done about it.
        because: Why that.
        no_port: What is done instead if it cannot listen at its address.
    """

    task: str
    failure: str
    policy: Policy
    because: str
    no_port: Policy | None = None

    def policy_for(self, error: Exception) -> Policy:
        """Return what is done about an error."""
        if self.no_port is not None and isinstance(error, ListenError):
            return self.no_port
        return self.policy


RULES: dict[str, Rule] = {
    rule.task: rule
    for rule in (
        Rule(
            "signals",
            "the next signal would end the process without a stop in order",
            AT_ONCE,
            "it keeps nothing, and until it is back a signal cuts requests",
        ),
        Rule(
            "rules",
            "the configuration in force grows old",
            AFTER_PAUSE,
            "requests are served by what is known; the next call goes on from the "
            "last version",
        ),
        Rule(
            "servers",
            "the list of servers grows old",
            AFTER_PAUSE,
            "the same; servers that left show by failed connections",
        ),
        Rule(
            "renewals",
            "what a successor may assume of this life is not what it does",
            ORDERLY_STOP,
            "an error that is not the store's leaves in doubt which limit binds",
        ),
        Rule(
            "presence",
            "other routers count one less after a few counts, and ask others for "
            "tokens",
            AFTER_PAUSE,
            "only shares of budgets and their holders follow from the count",
        ),
        Rule(
            "treasury",
            "rows, ledger and changes in doubt may not agree",
            ORDERLY_STOP,
            "an error that is not the store's came in the middle of a change; what "
            "is not returned by the stop counts as spent",
        ),
        Rule(
            "settlements",
            "holders do not hear what requests cost",
            AFTER_PAUSE,
            "what was not confirmed is sent again; a holder charges in full what it "
            "never hears of",
        ),
        Rule(
            "lent holds",
            "holds of routers that were killed stay open",
            AFTER_PAUSE,
            "they keep tokens from others and give none twice",
        ),
        Rule(
            "expiry",
            "servers that did not come back stay listed",
            AT_ONCE,
            "it keeps nothing, and such servers cost failed connections",
        ),
        Rule(
            "reclaim",
            "what a predecessor left stays out",
            AFTER_PAUSE,
            "each grant is taken in one transaction, which cannot count twice",
        ),
        Rule(
            "pressure",
            "too many callers are not seen",
            AT_ONCE,
            "it keeps only measurements",
        ),
        Rule(
            "sweep",
            "unused connections stay open",
            AFTER_PAUSE,
            "requests look at a connection themselves before they take it",
        ),
        Rule(
            "callers",
            "no new caller is accepted",
            AFTER_PAUSE,
            "open connections go on; a full table of files passes by itself",
            no_port=ORDERLY_STOP,
        ),
        Rule(
            "readiness",
            "the platform sends no callers here",
            AFTER_PAUSE,
            "the same as with callers",
            no_port=ORDERLY_STOP,
        ),
        Rule(
            "metrics",
            "this router shows no metrics",
            NOW_AND_THEN,
            "no request needs them",
            no_port=NOW_AND_THEN,
        ),
        Rule(
            "transfers",
            "other gateways get no tokens from here",
            AFTER_PAUSE,
            "they do without, as with one that does not answer; its port is taken: it "
            "is tried again seldom",
            no_port=NOW_AND_THEN,
        ),
        Rule(
            "caller connection",
            "one caller gets 500, or a cut if its answer had begun",
            ALONE,
            "500 says nothing of whether the request ran, so it is true in any case",
        ),
        Rule(
            "server connection",
            "the request on it counts as lost",
            ALONE,
            "its end shows like that of a connection that broke",
        ),
        Rule(
            "return",
            "one workspace's grant is not returned at the stop",
            ALONE,
            "all others are, and what stays counts as spent until a successor proves "
            "it unspent",
        ),
        Rule(
            "stop",
            "grants that were not returned yet stay out",
            EXIT_NOW,
            "nothing is left that could end the process in order; a successor "
            "takes what the limits prove unspent",
        ),
    )
}
"""The tasks of a gateway; docs/design-platform.md shows the same table."""


async def caught(run: Run) -> Exception | None:
    """Run something, and return the error that ended it; None if it just ended.

    This is the one place where every error is caught, for the supervisor to log and
    count; the end of a task by cancellation is none and goes on.
    """
    found: list[Exception] = []
    try:
        await run()
    except* Exception as group:
        found.append(single(group))
    return found[0] if found else None


def single(error: Exception) -> Exception:
    """Return the only error of a group, or the group if it has several."""
    while isinstance(error, ExceptionGroup) and len(error.exceptions) == 1:
        error = error.exceptions[0]
    return error


def fields_of(error: Exception) -> dict[str, object]:
    """Return what a log line says of an error."""
    known = isinstance(error, EbonyholdError)
    return {
        "error": error.code if known else type(error).__name__,  # type: ignore[attr-defined]
        "detail": str(error),
        "trace": "".join(traceback.format_exception(error)),
    }


@define(eq=False)
class Supervisor:
    """Runs the tasks of a gateway, and acts by its rules when one fails.

    Attributes:
        tasks: Where they run.
        count: Is told of each failure: which task, and what was done.
        stop: Begins the orderly stop.
        status: The exit status of the process, if it ended now.
    """

    tasks: TaskGroup
    count: Callable[[str, str], None]
    stop: Callable[[], None]
    status: int = EXIT_SOUND

    def start(
        self, task: str, run: Callable[..., Awaitable[None]], *args: object
    ) -> None:
        """Start one of the tasks that have a rule."""
        self.tasks.start_soon(self.keep, RULES[task], partial(run, *args))

    async def keep(self, rule: Rule, run: Run) -> None:
        """Run a task until it ends by itself, or a failure ends it."""
        failures = 0
        while True:
            began = anyio.current_time()
            error = await caught(run)
            if error is None:
                return
            steady = anyio.current_time() - began >= STEADY
            failures = 1 if steady else failures + 1
            policy = rule.policy_for(error)
            self.tell(rule, policy, error, failures)
            if policy.act is not Act.RESTART:
                self.act(policy, error)
                return
            await anyio.sleep(policy.pause(failures))

    def act(self, policy: Policy, error: Exception) -> None:
        """Do what a failure leads to, beyond the end of its task."""
        if policy.act is Act.LEAVE:
            return
        if self.status == EXIT_SOUND:
            self.status = EXIT_PORT if isinstance(error, ListenError) else EXIT_FAULT
        if policy.act is Act.STOP:
            self.stop()
        else:
            self.tasks.cancel_scope.cancel()

    def tell(self, rule: Rule, policy: Policy, error: Exception, failures: int) -> None:
        """Log and count a failure."""
        fields = {"task": rule.task, "then": policy.name, "failures": failures}
        log.error("task failed", extra={**fields, **fields_of(error)})
        self.count(rule.task, policy.name)

    async def guard(self, task: str, run: Run) -> bool:
        """Run one of many alike, and tell whether it ended without a failure."""
        rule = RULES[task]
        error = await caught(run)
        if error is None:
            return True
        self.tell(rule, rule.policy, error, 1)
        self.act(rule.policy, error)
        return False


@define(eq=False)
class GuardedTasks:
    """Starts tasks that may each fail alone, where a task group would end them all.

    Attributes:
        supervisor: Is told of failures.
        task: Which rule they have.
    """

    supervisor: Supervisor
    task: str = field()

    def start_soon(
        self,
        func: Callable[[*Args], Coroutine[Any, Any, Any]],
        *args: *Args,
        name: object = None,
    ) -> None:
        """Start a task."""
        run = partial(func, *args)
        self.supervisor.tasks.start_soon(
            self.supervisor.guard, self.task, run, name=name
        )
