"""A gateway with one guard left out, which the soak must find.

Run as ``python -m tests.platform.weak_gateway GUARD``.
"""

from __future__ import annotations

import random
import sys
from collections.abc import Callable

from ebonyhold.forwarding import BackendTable, _forwarder
from ebonyhold.gateway.__main__ import main
from ebonyhold.prepaid import Predecessor


def trust_nothing_was_used() -> None:
    """A successor returns all that its predecessor was granted and has not filed."""
    Predecessor.limit = lambda self, workspace: 0  # type: ignore[method-assign]


def repeat_everything() -> None:
    """A request that may have run is sent again, whatever its kind."""
    verdict = _forwarder.Forwarder.verdict

    def weak(self, exchange, result):  # type: ignore[no-untyped-def]
        exchange.may_have_run = False
        return verdict(self, exchange, result)

    _forwarder.Forwarder.verdict = weak  # type: ignore[method-assign]


def fail_in_a_task() -> None:
    """A task meets an error that nobody expects, some 30 s after the start at most."""
    expire = BackendTable.expire

    def weak(self: BackendTable, now: float) -> None:
        if random.random() < 0.01:
            raise ValueError("list.remove(x): x not in list")
        expire(self, now)

    BackendTable.expire = weak  # type: ignore[method-assign]


GUARDS: dict[str, Callable[[], None]] = {
    "proof": trust_nothing_was_used,
    "not-run": repeat_everything,
    "sound-tasks": fail_in_a_task,
}


if __name__ == "__main__":
    GUARDS[sys.argv[1]]()
    main()
