"""Telling the silence of one server from that of all."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any, cast

import anyio
import pytest
from attrs import evolve

from ebonyhold.forwarding import BackendEntry, RouteKind
from ebonyhold.forwarding._exchange import Exchange
from ebonyhold.forwarding._silence import OtherServers, compare, prefers_second
from ebonyhold.forwarding._silence_watch import SilenceWatch
from tests.forwarding.kit import Server, route
from tests.forwarding.test_attempts import good

NOW = 10.0

OTHERS = [
    # when the other server last sent something, and since when it has without a long
    # pause; since when it has requests, None for none: what it counts as after 2 s
    (9.9, 5.0, 5.0, {"heard"}),
    (9.9, 5.0, None, {"heard"}),
    (9.9, 9.8, 5.0, {"heard", "returned"}),
    (9.99, 9.95, 5.0, {"heard", "returned", "ends_now"}),
    (9.9, 9.7, 5.0, {"heard"}),
    (8.1, 5.0, 5.0, {"silent"}),
    (7.0, 5.0, 8.9, {"silent"}),
    (7.0, 5.0, 9.9, {"idle"}),
    (8.1, 5.0, None, {"idle"}),
]


@pytest.mark.parametrize(("heard_at", "heard_since", "busy_since", "kinds"), OTHERS)
def test_server_is_compared_by_the_second_half_of_a_silence(
    heard_at: float, heard_since: float, busy_since: float | None, kinds: set[str]
) -> None:
    """What others sent just before a common silence must not count as sent in it."""
    silent, other = (
        BackendEntry(Server(name, good).backend()) for name in ("one", "two")
    )
    other.heard_at, other.heard_since = heard_at, heard_since
    if busy_since is not None:
        other.busy_since = busy_since
    names: dict[str, Any] = {k: frozenset({"two"}) for k in kinds - {"ends_now"}}
    expected = evolve(OtherServers(**names), ends_now="ends_now" in kinds)
    assert compare(silent, [silent, other], NOW - 2.0, NOW) == expected


PAUSES = [
    # when it was heard before, since when it has requests (None for none): whether it
    # counts as one that sends again
    (9.4, 5.0, True),
    (9.6, 5.0, False),
    (5.0, 9.4, True),
    (5.0, 9.6, False),
    (5.0, None, False),
]


@pytest.mark.parametrize(("heard_at", "busy_since", "returned"), PAUSES)
def test_server_without_requests_has_made_no_pause(
    heard_at: float, busy_since: float | None, returned: bool
) -> None:
    """Servers with few requests must not look like a silence that has just ended."""
    entry = BackendEntry(Server("one", good).backend())
    entry.heard_at = entry.heard_since = heard_at
    if busy_since is not None:
        entry.busy_since = busy_since
    entry.record_heard(NOW)
    assert entry.heard_at == NOW
    assert (entry.heard_since == NOW) is returned


PREFERENCES = [
    # when the first and the second server sent something after the second one got the
    # request; None for not at all; when the first one got it, None if it has begun to
    # answer; when the latest request was sent that it has answered; whether it is left
    (None, None, 0.0, 0.0, False),
    (None, 0.1, 0.0, 0.0, True),
    (0.1, None, None, 0.0, False),
    (0.1, 0.2, 1.0, 0.5, False),
    (0.1, 0.2, 1.0, 1.5, True),
    (0.1, 0.2, None, 0.5, True),
]


@pytest.mark.parametrize(
    ("first", "second", "sent_at", "answered", "leaves"), PREFERENCES
)
def test_silent_server_is_left_only_for_one_that_is_heard(
    first: float | None,
    second: float | None,
    sent_at: float | None,
    answered: float,
    leaves: bool,
) -> None:
    """If the second server sends nothing, the first run must not be given up for it."""
    entries = [BackendEntry(Server(name, good).backend()) for name in "ab"]
    for entry, heard in zip(entries, (first, second), strict=True):
        entry.heard_at = NOW + heard if heard is not None else NOW - 1.0
    entries[0].newest_answered = answered
    assert prefers_second(entries[0], entries[1], NOW, sent_at) is leaves


SHARED = [
    # the other servers: "h"eard, "r"eturned, "s"ilent, "i"dle; whether they share it
    ("", False),
    ("i", False),
    ("hs", False),
    ("hss", True),
    ("hrs", True),
    ("r", True),
    ("rh", False),
    ("s", True),
    ("hhhs", False),
]


@pytest.mark.parametrize(("kinds", "shared"), SHARED)
def test_silence_of_most_servers_is_a_common_one(kinds: str, shared: bool) -> None:
    """The few servers that send must not get the streams of all others at once."""
    names: dict[str, Any] = {
        kind: frozenset(f"{n}" for n, each in enumerate(kinds) if each in chosen)
        for kind, chosen in {"heard": "hr", "returned": "r", "silent": "s"}.items()
    }
    assert OtherServers(**names).share_silence is shared


LIMITS = [
    # the route's kind and target, the longest pause on time if an event was sent; for
    # how long callers wait for the next event
    (RouteKind.STREAM, 0.1, None, 2.0),
    (RouteKind.STREAM, 0.5, None, 2.0),
    (RouteKind.STREAM, 0.6, None, 2.4),
    (RouteKind.STREAM, 2.0, None, 8.0),
    (RouteKind.STREAM, 0.6, 0.1, 2.0),
    (RouteKind.STREAM, 0.6, 0.5, 4.0),
    (RouteKind.SAFE, 0.1, None, 2.0),
]


@pytest.mark.anyio
@pytest.mark.parametrize(("kind", "target", "max_gap", "patience"), LIMITS)
async def test_dark_server_is_left_in_time_when_most_are_silent(
    kind: RouteKind, target: float, max_gap: float | None, patience: float
) -> None:
    """A server that can take a stream must get it before its caller has left."""
    exchange = SimpleNamespace(
        match=SimpleNamespace(route=route("any", kind, target=target, resumable=True)),
        attempts_left=True,
    )
    watch = SilenceWatch(cast(Exchange, exchange), max_gap)
    watch.waiting_since = anyio.current_time() - 0.85 * patience
    assert watch.is_very_long
