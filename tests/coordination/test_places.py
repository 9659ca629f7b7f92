"""Shares of a brittle server's places."""

from __future__ import annotations

import pytest

from ebonyhold.coordination import LimitShares, PlaceWindow


def shares(routers: int) -> list[LimitShares]:
    """Return the shares of each router in a fleet that all know."""
    names = [f"vm-{number}" for number in range(routers)]
    found = []
    for name in names:
        one = LimitShares(name, lambda: routers)
        one.update(names)
        found.append(one)
    return found


@pytest.mark.parametrize("routers", [1, 6, 9, 84, 330])
@pytest.mark.parametrize("places", [1, 6, 16, 128, 700])
def test_shares_add_up_to_the_places(routers: int, places: int) -> None:
    """Routers together must never send more than a brittle server has places for."""
    fleet = shares(routers)
    for server in ("i-1", "i-2"):
        assert sum(one.places(server, places) for one in fleet) == places


@pytest.mark.parametrize("places", [0, 5])
def test_unknown_fleet_gets_no_more_than_an_equal_share(places: int) -> None:
    """Routers that have just started must not take a whole server each."""
    assert LimitShares("vm-1", lambda: 8).places("i-1", places) == 0


WINDOWS = [
    # case, window, in flight, share, time, expected wait
    ("room", PlaceWindow(4), 2, 3, 0.0, 0.0),
    ("share used up", PlaceWindow(9), 3, 3, 0.0, None),
    ("just started", PlaceWindow(1), 1, 3, 0.0, None),
    ("no share", PlaceWindow(4), 0, 0, 0.0, None),
    ("turned away", PlaceWindow(4, paused_until=2.0), 0, 3, 1.5, 0.5),
]


@pytest.mark.parametrize(
    ("window", "in_flight", "share", "now", "wait"),
    [row[1:] for row in WINDOWS],
    ids=[row[0] for row in WINDOWS],
)
def test_wait(
    window: PlaceWindow, in_flight: int, share: int, now: float, wait: float | None
) -> None:
    assert window.wait(in_flight, share, now) == wait


def test_window_shrinks_when_a_request_is_turned_away() -> None:
    """A server without room must get less at once, and more only with its answers."""
    window = PlaceWindow(16)
    window.record_declined(in_flight=8, now=1.0)
    assert window.wait(4, 16, 1.5) == 0.5
    assert window.wait(4, 16, 2.0) is None
    window.record_answer()
    assert window.wait(4, 16, 2.0) == 0.0
