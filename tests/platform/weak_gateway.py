"""A gateway with one guard removed, to test that the soak detects this.

Run as ``python -m tests.platform.weak_gateway GUARD``.
"""

from __future__ import annotations

import random
import sys
from collections.abc import Callable
from functools import partial
from typing import Any

from attrs import evolve

from ebonyhold.coordination import LimitShares
from ebonyhold.forwarding import (
    Backend,
    BackendTable,
    EventSplitter,
    StrayFilter,
    _dispatcher,
)
from ebonyhold.forwarding._delivery import AnswerDelivery
from ebonyhold.forwarding._server_list import ServerList
from ebonyhold.gateway import Observations
from ebonyhold.gateway.__main__ import main
from ebonyhold.prepaid import Predecessor


def assume_nothing_was_used() -> None:
    """Make a successor return its predecessor's whole grant except the filed charges.

    Tokens that the predecessor spent without filing them are then spent twice.
    """
    Predecessor.limit = lambda self, workspace: 0  # type: ignore[method-assign]


def resend_everything() -> None:
    """Make the gateway resend requests that may have run, whatever their kind."""
    check_retry = _dispatcher.Dispatcher.check_retry

    def weakened(self, exchange, result):  # type: ignore[no-untyped-def]
        exchange.may_have_run = False
        return check_retry(self, exchange, result)

    _dispatcher.Dispatcher.check_retry = weakened  # type: ignore[method-assign]


def fail_in_a_task() -> None:
    """Make a task raise an unexpected error, usually within some 30 s of the start."""
    expire = ServerList.expire

    def weakened(self: ServerList, now: float) -> None:
        if random.random() < 0.01:
            raise ValueError("list.remove(x): x not in list")
        expire(self, now)

    ServerList.expire = weakened  # type: ignore[method-assign]


def keep_observations() -> None:
    """Make the gateway tell the others nothing of what it has observed."""

    async def weakened(self: Observations) -> None:
        pass

    Observations.publish = weakened  # type: ignore[method-assign]


def use_whole_limits() -> None:
    """Make the gateway use the whole limit of each server for itself."""
    LimitShares.rate = lambda self, server, limit: limit  # type: ignore[method-assign]


def ignore_statements(**ignored: object) -> None:
    """Make the gateway ignore what servers state about themselves."""
    record = BackendTable.record_statement

    def weakened(self, entry, facts, now):  # type: ignore[no-untyped-def]
        record(self, entry, evolve(facts, **ignored), now)

    BackendTable.record_statement = weakened  # type: ignore[method-assign]


def believe_all_ends() -> None:
    """Make the gateway take answers that end with their connection for whole."""

    async def weakened(self: AnswerDelivery) -> None:
        pass

    AnswerDelivery.check_end = weakened  # type: ignore[method-assign]
    EventSplitter.is_inside_event = False  # type: ignore[assignment]


def ignore_versions() -> None:
    """Make the gateway carry streams on at servers of any version."""
    update = ServerList.update

    def weakened(self: ServerList, backend: Backend, *more: Any) -> None:
        update(self, evolve(backend, version=""), *more)

    ServerList.update = weakened  # type: ignore[method-assign,assignment]


def take_all_rejections() -> None:
    """Make the gateway take a rejection of any request for the one that waits."""
    is_answer = StrayFilter.is_answer

    def weakened(self, entry, facts, request, earlier):  # type: ignore[no-untyped-def]
        if facts.not_run:
            return True
        return is_answer(self, entry, facts, request, earlier)

    StrayFilter.is_answer = weakened  # type: ignore[method-assign]


GUARDS: dict[str, Callable[[], None]] = {
    "proof": assume_nothing_was_used,
    "not-run": resend_everything,
    "sound-tasks": fail_in_a_task,
    "observations": keep_observations,
    "shares": use_whole_limits,
    "leaving": partial(ignore_statements, leaving=False),
    "endings": believe_all_ends,
    "versions": ignore_versions,
    "identity": take_all_rejections,
    "rest": partial(ignore_statements, rest=0.0),
}


if __name__ == "__main__":
    GUARDS[sys.argv[1]]()
    main()
