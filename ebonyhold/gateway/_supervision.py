"""Supervision of the gateway's tasks: what happens when one of them fails.

All tasks run in one process, together with all requests and holds. An error in one task
must not end the process unless its rule requires that, and each failure is logged and
counted.
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

FIRST_RESTART_DELAY: Seconds = 0.25
"""Delay before the first restart of a task that calls the store or opens a port. A
retry costs a store call of about 12 ms, and the cause may be transient."""

SECOND_RESTART_DELAY: Seconds = 0.05
"""Delay before the second restart of a task that is restarted at once; it doubles with
each further one."""

MAX_RESTART_DELAY: Seconds = 2.0
"""The maximum restart delay. Changes of the configuration and of the server list must
be in force within two seconds."""

RARE_RETRY_DELAY: Seconds = 30.0
"""Delay before the restart of a task that no request depends on, such as the metrics
listener; metrics are scraped about every 15 s."""

STABLE_AFTER: Seconds = 10.0
"""If a task ran at least this long before it failed, the failure counts as its first,
so the restart has the first delay."""

MAX_DOUBLINGS = 8
"""Maximum number of doublings of a delay, which keeps the computed number small; the
maximum delay is reached earlier."""

EXIT_OK = 0
"""The exit status after a stop that a signal requested."""

EXIT_PORT = 3
"""The exit status of a process that could not listen at its port for callers or for
readiness checks; 2 means unusable settings."""

EXIT_FAULT = 4
"""The exit status after a failed task has ended the process, in order or at once."""


class Action(Enum):
    """The action that follows a task's failure.

    Attributes:
        RESTART: Run the task again after a delay.
        LEAVE: Do not run the task again; all others continue.
        STOP: Begin the orderly stop of the process.
        EXIT: Cancel all tasks, which ends the process at once.
    """

    RESTART = "restart"
    LEAVE = "leave"
    STOP = "stop"
    EXIT = "exit"


@frozen
class Policy:
    """The action that follows a task's failure, and its delays.

    Attributes:
        name: The policy's name in logs and metrics.
        action: The action.
        first: The delay before the first restart; unused by other actions.
        next: The delay before the second restart, which doubles with each further one.
        max_delay: The maximum delay.
    """

    name: str
    action: Action
    first: Seconds = 0.0
    next: Seconds = SECOND_RESTART_DELAY
    max_delay: Seconds = MAX_RESTART_DELAY

    def delay(self, failures: int) -> Seconds:
        """Return the restart delay after this many failures in a row.

        >>> [AT_ONCE.delay(failures) for failures in (1, 2, 3, 4, 20)]
        [0.0, 0.05, 0.1, 0.2, 2.0]
        >>> [AFTER_PAUSE.delay(failures) for failures in (1, 2, 3, 4, 5, 20)]
        [0.25, 0.25, 0.5, 1.0, 2.0, 2.0]
        """
        if failures <= 1:
            return self.first
        doubled: Seconds = self.next * 2 ** min(failures - 2, MAX_DOUBLINGS)
        return min(self.max_delay, doubled)


AT_ONCE = Policy("restart at once", Action.RESTART)
AFTER_PAUSE = Policy(
    "restart after a pause",
    Action.RESTART,
    first=FIRST_RESTART_DELAY,
    next=FIRST_RESTART_DELAY,
)
RETRY_RARELY = Policy(
    "try again seldom",
    Action.RESTART,
    first=RARE_RETRY_DELAY,
    next=RARE_RETRY_DELAY,
    max_delay=RARE_RETRY_DELAY,
)
FAIL_ALONE = Policy("ends alone", Action.LEAVE)
ORDERLY_STOP = Policy("orderly stop", Action.STOP)
EXIT_NOW = Policy("exit at once", Action.EXIT)


@frozen
class TaskRule:
    """How one task's failures are handled.

    Attributes:
        task: The task's name, also in logs and metrics.
        failure: The effect of the task's failure.
        policy: The policy that is applied.
        reason: Why this policy is right.
        port_policy: The policy if the task cannot listen at its address; None if
            `policy` applies to this too.
    """

    task: str
    failure: str
    policy: Policy
    reason: str
    port_policy: Policy | None = None

    def policy_for(self, error: Exception) -> Policy:
        """Return the policy for an error: `port_policy`, if set, for `ListenError`."""
        if self.port_policy is not None and isinstance(error, ListenError):
            return self.port_policy
        return self.policy


TASK_RULES: dict[str, TaskRule] = {
    rule.task: rule
    for rule in (
        TaskRule(
            "signals",
            "the next signal ends the process without an orderly stop",
            AT_ONCE,
            "it has no state, and until it runs again a signal cuts requests",
        ),
        TaskRule(
            "rules",
            "the configuration is not updated",
            AFTER_PAUSE,
            "requests are served with the last configuration; the next call continues "
            "from its version",
        ),
        TaskRule(
            "servers",
            "the list of servers is not updated",
            AFTER_PAUSE,
            "requests are served with the last list; failed connections show which "
            "servers are gone",
        ),
        TaskRule(
            "others' observations",
            "what other routers observed is not known here",
            AFTER_PAUSE,
            "requests that crash servers are rejected for what is known; the next call "
            "continues from its version",
        ),
        TaskRule(
            "observations",
            "what this router observed is not known to the others",
            AFTER_PAUSE,
            "what is not published yet stays recorded and is published later",
        ),
        TaskRule(
            "renewals",
            "the stored limits may not match how this router uses its grants",
            ORDERLY_STOP,
            "after an error that does not come from the store, it is unknown which "
            "limit applies",
        ),
        TaskRule(
            "presence",
            "after some counts, other routers do not count this one and request tokens "
            "elsewhere",
            AFTER_PAUSE,
            "the count decides only the shares of budgets and the choice of holders",
        ),
        TaskRule(
            "treasury",
            "cached rows, ledgers and changes in doubt may be inconsistent",
            ORDERLY_STOP,
            "an error that does not come from the store interrupted a change; tokens "
            "that the stop does not return count as spent",
        ),
        TaskRule(
            "settlements",
            "holders do not receive the cost of requests",
            AFTER_PAUSE,
            "unconfirmed settlements are sent again; a holder charges a hold without a "
            "settlement in full",
        ),
        TaskRule(
            "streams",
            "other routers are not told which software version began a stream",
            AFTER_PAUSE,
            "a stream of which nobody knows is refused while several versions serve",
        ),
        TaskRule(
            "versions",
            "routers that start later do not learn which software versions have served",
            AFTER_PAUSE,
            "the rows are read again; a stream that nobody knows is refused until they "
            "were read once",
        ),
        TaskRule(
            "load exchange",
            "this router does not know what other routers have at the servers, and "
            "they do not know what it has there",
            AFTER_PAUSE,
            "servers are chosen by this router's own load; if its port is taken, "
            "restarts are rare",
            port_policy=RETRY_RARELY,
        ),
        TaskRule(
            "server reports",
            "requests that no router reports are missing in the totals",
            AFTER_PAUSE,
            "they are few, and the next reports state them again",
        ),
        TaskRule(
            "memory leases",
            "requests that wait here for memory of a server get no answer",
            AFTER_PAUSE,
            "the routers that ask give up in time, and leases expire",
        ),
        TaskRule(
            "memory returns",
            "memory of servers that is not used any more stays leased until it expires",
            AFTER_PAUSE,
            "unconfirmed returns are sent again",
        ),
        TaskRule(
            "memory expiry",
            "memory of requests that broke off stays counted in the own share",
            AFTER_PAUSE,
            "the next request at the same server frees what has expired",
        ),
        TaskRule(
            "lent holds",
            "expired holds of killed routers are not ended",
            AFTER_PAUSE,
            "their tokens cannot be used by others meanwhile, but none is spent twice",
        ),
        TaskRule(
            "expiry",
            "servers that did not return after an outage stay listed",
            AT_ONCE,
            "it has no state, and such servers only cost failed connections",
        ),
        TaskRule(
            "reclaim",
            "the grants of earlier incarnations are not reclaimed",
            AFTER_PAUSE,
            "each grant is reclaimed in one transaction, so no token counts twice if "
            "it is repeated",
        ),
        TaskRule(
            "pressure",
            "an overload of this router is not detected",
            AT_ONCE,
            "its only state is measurements",
        ),
        TaskRule(
            "partition",
            "a suspicion that this router is cut off from servers is not examined, and "
            "the end of such a partition is not noticed",
            AFTER_PAUSE,
            "the evidence and the verdict are kept, and the next probe decides",
        ),
        TaskRule(
            "slow readers",
            "callers that do not read are not disconnected",
            AT_ONCE,
            "what is held for them stays bounded, and the next look starts anew",
        ),
        TaskRule(
            "token waits",
            "requests that wait for tokens are refused later than their callers wait",
            AT_ONCE,
            "those that wait are kept, and the next look refuses what is due",
        ),
        TaskRule(
            "sweep",
            "unused connections to servers are not closed",
            AFTER_PAUSE,
            "each request checks a connection before it uses it",
        ),
        TaskRule(
            "callers",
            "no new connection of a caller is accepted",
            AFTER_PAUSE,
            "open connections continue; a lack of file descriptors is transient",
            port_policy=ORDERLY_STOP,
        ),
        TaskRule(
            "readiness",
            "readiness checks fail, so no callers are sent here",
            AFTER_PAUSE,
            "the same as for callers",
            port_policy=ORDERLY_STOP,
        ),
        TaskRule(
            "metrics",
            "the metrics of this router cannot be scraped",
            RETRY_RARELY,
            "no request depends on them",
            port_policy=RETRY_RARELY,
        ),
        TaskRule(
            "transfers",
            "other gateways get no tokens from this one",
            AFTER_PAUSE,
            "they handle this like a gateway that does not answer; if its port is "
            "taken, restarts are rare",
            port_policy=RETRY_RARELY,
        ),
        TaskRule(
            "caller connection",
            "one caller gets a 500, or a closed connection if its answer had begun",
            FAIL_ALONE,
            "a 500 does not state whether the request was executed, so it is correct "
            "in either case",
        ),
        TaskRule(
            "server connection",
            "the attempt on it counts as lost",
            FAIL_ALONE,
            "for the request, this is the same as a broken connection",
        ),
        TaskRule(
            "return",
            "one workspace's grant is not returned at the stop",
            FAIL_ALONE,
            "all other grants are returned; the tokens of this one count as spent "
            "until a successor proves them unspent",
        ),
        TaskRule(
            "stop",
            "grants that are not returned yet stay granted",
            EXIT_NOW,
            "no other task could end the process in order; a successor reclaims the "
            "tokens that the limits prove unspent",
        ),
    )
}
"""The rules of a gateway's tasks, by task; docs/design-platform.md has the same table.
"""


async def run_caught(run: Run) -> Exception | None:
    """Run a task; return the error that ended it, or None if it ended normally.

    All exceptions are caught, so that the supervisor can log and count them. A
    cancellation is no error and is passed on.
    """
    found: list[Exception] = []
    try:
        await run()
    except* Exception as group:
        found.append(unwrap_group(group))
    return found[0] if found else None


def unwrap_group(error: Exception) -> Exception:
    """Return the only error in nested groups, or a group of several as it is."""
    while isinstance(error, ExceptionGroup) and len(error.exceptions) == 1:
        error = error.exceptions[0]
    return error


def error_fields(error: Exception) -> dict[str, object]:
    """Return an error's code or type, its text and its traceback as log fields."""
    known = isinstance(error, EbonyholdError)
    return {
        "error": error.code if known else type(error).__name__,  # type: ignore[attr-defined]
        "detail": str(error),
        "trace": "".join(traceback.format_exception(error)),
    }


@define(eq=False)
class Supervisor:
    """Runs the tasks of a gateway, and applies their rules when they fail.

    Attributes:
        tasks: The task group that runs the tasks.
        count: Called for each failure with the names of the task and of the policy.
        stop: Begins the orderly stop.
        status: The exit status of the process, set by the first failure that ends it.
    """

    tasks: TaskGroup
    count: Callable[[str, str], None]
    stop: Callable[[], None]
    status: int = EXIT_OK

    def start(
        self, task: str, run: Callable[..., Awaitable[None]], *args: object
    ) -> None:
        """Start a task under the rule in `TASK_RULES` with its name."""
        self.tasks.start_soon(self.run_task, TASK_RULES[task], partial(run, *args))

    async def run_task(self, rule: TaskRule, run: Run) -> None:
        """Run a task, and restart it after failures as its rule requires.

        Return when the task ended normally, or after a failure without a restart.
        """
        failures = 0
        while True:
            began = anyio.current_time()
            error = await run_caught(run)
            if error is None:
                return
            stable = anyio.current_time() - began >= STABLE_AFTER
            failures = 1 if stable else failures + 1
            policy = rule.policy_for(error)
            self.report(rule, policy, error, failures)
            if policy.action is not Action.RESTART:
                self.apply(policy, error)
                return
            await anyio.sleep(policy.delay(failures))

    def apply(self, policy: Policy, error: Exception) -> None:
        """Apply a policy that does not restart the task.

        STOP begins the orderly stop, and EXIT cancels all tasks; both set the exit
        status. LEAVE does nothing.
        """
        if policy.action is Action.LEAVE:
            return
        if self.status == EXIT_OK:
            self.status = EXIT_PORT if isinstance(error, ListenError) else EXIT_FAULT
        if policy.action is Action.STOP:
            self.stop()
        else:
            self.tasks.cancel_scope.cancel()

    def report(
        self, rule: TaskRule, policy: Policy, error: Exception, failures: int
    ) -> None:
        """Log a failure with its traceback, and count it."""
        fields = {"task": rule.task, "then": policy.name, "failures": failures}
        log.error("task failed", extra={**fields, **error_fields(error)})
        self.count(rule.task, policy.name)

    async def guard(self, task: str, run: Run) -> bool:
        """Run one of many similar tasks once; return whether it ended without an error.

        A failure is logged and counted, and its policy, which never is a restart, is
        applied.
        """
        rule = TASK_RULES[task]
        error = await run_caught(run)
        if error is None:
            return True
        self.report(rule, rule.policy, error, 1)
        self.apply(rule.policy, error)
        return False


@define(eq=False)
class GuardedTasks:
    """Starts tasks that can fail independently, unlike tasks of a plain task group.

    Attributes:
        supervisor: Runs the tasks and handles their failures.
        task: The name of the rule for all these tasks.
    """

    supervisor: Supervisor
    task: str = field()

    def start_soon(
        self,
        func: Callable[[*Args], Coroutine[Any, Any, Any]],
        *args: *Args,
        name: object = None,
    ) -> None:
        """Start a task; its failure does not cancel the others."""
        run = partial(func, *args)
        self.supervisor.tasks.start_soon(
            self.supervisor.guard, self.task, run, name=name
        )
