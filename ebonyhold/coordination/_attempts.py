"""Names of attempts, and what a backend server can say about one of them."""

from __future__ import annotations

from enum import Enum

from attrs import frozen

from ebonyhold.types import AttemptId, RouterId, Tokens

SEPARATOR = "~"


class AttemptState(Enum):
    """What a backend server says about an attempt that was closed."""

    FINISHED = "finished"
    CANCELLED = "cancelled"
    NEVER_RAN = "never_ran"
    UNKNOWN = "unknown"


@frozen
class AttemptTruth:
    """A backend server's word on one attempt, after it was closed.

    Attributes:
        state: Whether it ran, and how far.
        prompt_tokens: Tokens of the prompt.
        completion_tokens: Tokens of the answer so far.
        boot: The server's boot identifier: another boot forgot what ran before.
    """

    state: AttemptState
    prompt_tokens: Tokens = 0
    completion_tokens: Tokens = 0
    boot: str = ""


def first_attempt(router: RouterId, serial: int) -> AttemptId:
    """Name the first attempt of an incarnation's run number `serial`.

    >>> first_attempt("r1.7", 3)
    'r1.7~3~1'
    """
    return SEPARATOR.join((router, str(serial), "1"))


def next_attempt(attempt: AttemptId) -> AttemptId:
    """Name the attempt that follows one under the same hold.

    >>> next_attempt("r1.7~3~1")
    'r1.7~3~2'
    """
    run, number = attempt.rsplit(SEPARATOR, 1)
    return SEPARATOR.join((run, str(int(number) + 1)))


def run_of(attempt: AttemptId) -> str:
    """Return the run that an attempt belongs to: all share one hold and one bill.

    >>> run_of("r1.7~3~2")
    'r1.7~3'
    """
    return attempt.rsplit(SEPARATOR, 1)[0]


def router_of(attempt: AttemptId) -> RouterId:
    """Return the incarnation that named an attempt.

    >>> router_of("r1.7~3~2")
    'r1.7'
    """
    return attempt.split(SEPARATOR, 1)[0]
