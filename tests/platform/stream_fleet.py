"""Gateway processes with callers of streams, while engines change their versions."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from pathlib import Path

import anyio

from tests.platform.fleet import running_gateways, wait_until_ready
from tests.platform.kit import configuration
from tests.platform.soak._run import PROGRAM, SoakRun
from tests.platform.streams import (
    MAX_MIXED,
    USUAL_PATIENCE,
    Patience,
    Stream,
    StreamTry,
    call,
    leave_out_unanswered,
    mixed,
)

GATEWAYS = 5

ENGINES = "a" * 10

CALLERS = 20

MIN_GOING_ON = 0.95
"""Share of the streams taken up that must go on, as a part of the share of the new ones
that begin."""


OUTLASTING = Patience(tries=14, delay=0.3)
"""Callers that are still there when killed gateways are back."""


@asynccontextmanager
async def streaming(
    folder: Path, patience: Patience = USUAL_PATIENCE, program: str = PROGRAM
) -> AsyncIterator[tuple[SoakRun, list[Stream]]]:
    """Run gateways, and callers of streams; yield these."""
    streams: list[Stream] = []
    rules = configuration()
    async with running_gateways(
        folder, GATEWAYS, rules, ENGINES, program=program
    ) as soak:
        await wait_until_ready(soak)
        await anyio.sleep(2.0)
        async with anyio.create_task_group() as tasks:
            for caller in range(CALLERS):
                tasks.start_soon(call, soak.gateways, str(caller), streams, patience)
            yield soak, streams
            leave_out_unanswered(streams, time.monotonic())
            tasks.cancel_scope.cancel()


def share_going_on(tries: Sequence[StreamTry]) -> float:
    """Return the share of tries that brought events or an end."""
    return sum(one.goes_on for one in tries) / len(tries)


def check_streams(
    streams: Sequence[Stream],
    in_touch: Callable[[StreamTry], bool],
    min_going_on: float = MIN_GOING_ON,
) -> None:
    """Check that streams are not mixed, and go on where they can.

    Args:
        streams: The streams.
        in_touch: Returns whether a try was at a gateway in touch.
        min_going_on: See `MIN_GOING_ON`.
    """
    found = len(mixed(streams))
    assert found <= MAX_MIXED, f"{found} of {len(streams)}"
    tries = [one for stream in streams for one in stream.tries if in_touch(one)]
    taken_up = [one for one in tries if one.taken_up]
    new = [one for one in tries if not one.taken_up]
    assert len(taken_up) >= 12
    wanted = min_going_on * share_going_on(new)
    found_share = share_going_on(taken_up)
    assert found_share >= wanted, (found_share, len(taken_up), len(new))
