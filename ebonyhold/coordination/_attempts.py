"""Identifiers of attempts, and their status as backend servers report it."""

from __future__ import annotations

from enum import Enum

from attrs import frozen

from ebonyhold.types import AttemptId, RouterId, Tokens

SEPARATOR = "~"


class AttemptState(Enum):
    """State of a closed attempt, as reported by its backend server.

    When an attempt is closed, the server cancels it if it is running, and does not
    start it later.

    Attributes:
        FINISHED: It ran to its end.
        CANCELLED: It ran and was cancelled.
        NEVER_RAN: It has not run, and will not.
        UNKNOWN: The server could not be reached or has no record of the attempt.
    """

    FINISHED = "finished"
    CANCELLED = "cancelled"
    NEVER_RAN = "never_ran"
    UNKNOWN = "unknown"


@frozen
class AttemptStatus:
    """Status of a closed attempt, as reported by its backend server.

    Attributes:
        state: Whether it ran, and whether it finished.
        prompt_tokens: Tokens of the prompt.
        completion_tokens: Tokens generated until the attempt ended.
        boot: The server's boot identifier.  It changes with a restart, in which the
            server loses its record of earlier attempts.
    """

    state: AttemptState
    prompt_tokens: Tokens = 0
    completion_tokens: Tokens = 0
    boot: str = ""


def first_attempt(router: RouterId, serial: int) -> AttemptId:
    """Return the identifier of the first attempt of run number `serial`.

    >>> first_attempt("r1.7", 3)
    'r1.7~3~1'
    """
    return SEPARATOR.join((router, str(serial), "1"))


def next_attempt(attempt: AttemptId) -> AttemptId:
    """Return the identifier of the next attempt of the same run.

    >>> next_attempt("r1.7~3~1")
    'r1.7~3~2'
    """
    run, number = attempt.rsplit(SEPARATOR, 1)
    return SEPARATOR.join((run, str(int(number) + 1)))


def run_of(attempt: AttemptId) -> str:
    """Return the run of an attempt.

    A run is one execution of a request; its attempts share one hold and one bill.

    >>> run_of("r1.7~3~2")
    'r1.7~3'
    """
    return attempt.rsplit(SEPARATOR, 1)[0]


def router_of(attempt: AttemptId) -> RouterId:
    """Return the incarnation that dispatched an attempt.

    >>> router_of("r1.7~3~2")
    'r1.7'
    """
    return attempt.split(SEPARATOR, 1)[0]
