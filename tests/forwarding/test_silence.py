"""Telling the silence of one server from that of all."""

from __future__ import annotations

import pytest

from ebonyhold.forwarding import BackendEntry
from ebonyhold.forwarding._silence import OtherServers, compare, prefers_second
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
    other.heard_at = heard_at
    if busy_since is not None:
        other.busy_since = busy_since
    expected = OtherServers(**{kind: frozenset({"two"})})
    assert compare(silent, [silent, other], NOW - 2.0, NOW) == expected


PREFERENCES = [
    # when the first, the second and a third server sent something after the second one
    # got the request; None for not at all: whether the first one is left
    (None, None, None, False),
    (None, 0.1, None, True),
    (None, None, 0.1, True),
    (0.1, 0.2, 0.2, False),
    (0.1, None, None, False),
]


@pytest.mark.parametrize(("first", "second", "third", "leaves"), PREFERENCES)
def test_silent_server_is_left_only_if_it_alone_is_silent(
    first: float | None, second: float | None, third: float | None, leaves: bool
) -> None:
    """If nobody sends anything, the run that is under way must not be given up."""
    entries = [BackendEntry(Server(name, good).backend()) for name in "abc"]
    for entry, heard in zip(entries, (first, second, third), strict=True):
        entry.heard_at = NOW + heard if heard is not None else NOW - 1.0
    assert prefers_second(entries[0], entries[1], entries, NOW) is leaves
