"""The evidence that raises a suspicion on this router's links, and the verdict."""

from __future__ import annotations

import anyio
import pytest

from ebonyhold.forwarding import ConnectOutcome, Reach, Reachability
from ebonyhold.forwarding._reach import CALM_TIME, MAX_VERDICT_WAIT
from tests.virtual import anyio_backend

pytestmark = pytest.mark.anyio
__all__ = ["anyio_backend"]

OUTCOMES = {
    "+": ConnectOutcome.MADE,
    "-": ConnectOutcome.REFUSED,
    "~": ConnectOutcome.TIMED_OUT,
}

CONNECTS = [
    # case, servers listed, attempts (server, outcome and time), whether suspected
    ("three refuse", 9, "a-1.0 b-1.1 c-1.2", True),
    ("three are silent", 9, "a~1.0 b~1.1 c~1.2", True),
    ("two refuse", 9, "a-1.0 b-1.1 b-1.2", False),
    ("one accepts", 9, "a-1.0 d+1.0 b-1.1 c-1.2", False),
    ("one accepted long ago", 9, "d+0.0 a-1.5 b-1.6 c-1.7", True),
    ("too far apart", 9, "a-1.0 b-2.1 c-3.2", False),
    ("both of two", 2, "a-1.0 b-1.1", True),
]


@pytest.mark.parametrize(
    ("listed", "attempts", "suspicion"),
    [row[1:] for row in CONNECTS],
    ids=[row[0] for row in CONNECTS],
)
def test_failed_connects_raise_a_suspicion(
    listed: int, attempts: str, suspicion: bool
) -> None:
    reach = Reachability(lambda: listed)
    for attempt in attempts.split():
        reach.record_connect(attempt[0], OUTCOMES[attempt[1]], float(attempt[2:]))
    assert reach.examining is suspicion
    assert reach.is_connected


SILENCES = [
    # case, when requests were sent and to whom, when servers were heard, suspicion at 2
    ("several wait", [("a", 1.0), ("b", 1.2)], [], True),
    ("one waits a second", [("a", 1.0)], [], True),
    ("one waits less", [("a", 1.1)], [], False),
    ("several wait less", [("a", 1.6), ("b", 1.7)], [], False),
    ("another sends", [("a", 0.5), ("b", 0.5)], [("c", 1.8)], False),
    ("all have answered", [("a", 0.5), ("b", 0.5)], [("a", 0.9), ("b", 0.9)], False),
]


@pytest.mark.parametrize(
    ("sent", "heard", "suspicion"),
    [row[1:] for row in SILENCES],
    ids=[row[0] for row in SILENCES],
)
def test_silence_of_all_servers_raises_a_suspicion(
    sent: list[tuple[str, float]], heard: list[tuple[str, float]], suspicion: bool
) -> None:
    """Requests on connections that carry nothing must not hide a cut."""
    reach = Reachability()
    for server, now in sent:
        reach.record_sent(server, now)
    for server, now in heard:
        reach.record_heard(server, now)
    reach.check_silence(2.0)
    assert reach.examining is suspicion


def test_unfounded_suspicion_is_not_raised_again_at_once() -> None:
    """Slow servers must not cause a probe every time that silence is checked."""
    reach = Reachability()
    reach.record_sent("a", 1.0)
    reach.check_silence(2.0)
    reach.decide(Reach.CONNECTED, False, 2.1)
    reach.check_silence(2.2)
    assert not reach.examining
    reach.check_silence(2.1 + CALM_TIME)
    assert reach.examining


async def test_request_waits_for_the_verdict_alone() -> None:
    """Nothing must wait while there is no suspicion, nor for one without an end."""
    reach = Reachability()
    await reach.settle()
    assert anyio.current_time() == 0.0
    reach.suspect()
    await reach.settle()
    assert anyio.current_time() == pytest.approx(MAX_VERDICT_WAIT)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(reach.settle)
        await anyio.sleep(0.1)
        reach.decide(Reach.PARTITIONED, True, anyio.current_time())
    assert anyio.current_time() == pytest.approx(MAX_VERDICT_WAIT + 0.1)
    assert not reach.is_connected


def test_servers_that_are_not_listed_are_forgotten() -> None:
    """Memory must not grow with the servers that come and go."""
    reach = Reachability()
    for number in range(100):
        reach.record_connect(f"i-{number}", ConnectOutcome.MADE, 1.0)
        reach.record_sent(f"i-{number}", 1.0)
    reach.forget_unlisted({"i-1"})
    assert (set(reach.contacts), set(reach.waiting)) == ({"i-1"}, {"i-1"})
