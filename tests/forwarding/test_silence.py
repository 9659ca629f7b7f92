"""Telling the silence of one server from that of all."""

from __future__ import annotations

import pytest

from ebonyhold.forwarding import BackendEntry
from ebonyhold.forwarding._silence import OtherServers, compare
from tests.forwarding.kit import Server
from tests.forwarding.test_attempts import good

NOW = 10.0

OTHERS = [
    # when the other server last sent something, since when it has requests; None for
    # none: what it counts as after a silence of 2 s
    (9.9, 5.0, "heard"),
    (9.9, None, "heard"),
    (8.1, 5.0, "silent"),
    (7.0, 8.9, "silent"),
    (7.0, 9.9, "idle"),
    (8.1, None, "idle"),
]


@pytest.mark.parametrize(("heard_at", "busy_since", "kind"), OTHERS)
def test_server_is_compared_by_the_second_half_of_a_silence(
    heard_at: float, busy_since: float | None, kind: str
) -> None:
    """What others sent just before a common silence must not count as sent in it."""
    silent, other = (
        BackendEntry(Server(name, good).backend()) for name in ("one", "two")
    )
    silent.in_flight = 1
    other.heard_at = heard_at
    if busy_since is not None:
        other.in_flight, other.busy_since = 1, busy_since
    expected = OtherServers(**{kind: frozenset({"two"})})
    assert compare(silent, [silent, other], NOW - 2.0, NOW) == expected
