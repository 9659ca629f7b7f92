"""Observations of the speed and the failures of servers."""

from __future__ import annotations

import pytest

from ebonyhold.coordination import ServerEvidence, ServerShare, rate_servers
from ebonyhold.coordination._server_evidence import BASE_WORK, MAX_SLOWNESS


def share(
    requests: int, slowness: float = 1.0, failing: float = 0.0, attempts: int = 0
) -> ServerShare:
    """Return the observations of some requests of 5,000 tokens at 10 tokens per ms."""
    expected = requests * 5_000
    ended = (attempts or requests) * 10
    return ServerShare(
        0,
        0,
        0,
        round(expected / 10 * slowness),
        expected,
        ended,
        round(ended * failing),
    )


USUAL = {b"1": share(20), b"2": share(20, 1.1), b"3": share(20, 0.9)}


@pytest.mark.parametrize(
    ("observed", "slowness"),
    [
        (share(20), (0.95, 1.05)),
        (share(20, 5.0), (4.5, 5.0)),
        # A server that gets a request every 2 s must stay known as slow.
        (share(1, 5.0), (3.0, 5.0)),
        (share(20, 0.2), (0.2, 0.3)),
        (ServerShare(0, 0, 0, 900, 600), (3.0, 5.0)),
        # A single late answer must not make a server appear very slow.
        (ServerShare(0, 0, 0, 200, 600), (1.0, 2.0)),
        (share(20, 500.0), (MAX_SLOWNESS, MAX_SLOWNESS)),
        (ServerShare(3, 100, 100), (1.0, 1.0)),
    ],
)
def test_slowness_is_relative_to_the_median(
    observed: ServerShare, slowness: tuple[float, float]
) -> None:
    rating = rate_servers({**USUAL, b"x": observed})[b"x"]
    assert slowness[0] <= rating.slowness <= slowness[1]


def test_two_servers_are_not_compared() -> None:
    ratings = rate_servers({b"1": share(20), b"2": share(20, 5.0)})
    assert {rating.slowness for rating in ratings.values()} == {1.0}


@pytest.mark.parametrize(
    ("observed", "others", "failing"),
    [
        (share(20, failing=0.45), 0.0, 0.45),
        (share(4, failing=0.75), 0.0, 0.0),
        (share(5, failing=0.4), 0.0, 0.4),
        # All servers time out under an overload; none of them is to be ejected.
        (share(20, failing=0.4), 0.4, 0.0),
        (share(20, failing=0.9), 0.4, 0.5),
    ],
)
def test_failures_in_excess_of_the_median_count(
    observed: ServerShare, others: float, failing: float
) -> None:
    shares = {key: share(20, failing=others) for key in USUAL}
    rating = rate_servers({**shares, b"x": observed})[b"x"]
    assert rating.failing == pytest.approx(failing)


def test_observations_lose_weight_and_end() -> None:
    evidence = ServerEvidence()
    assert evidence.share(0, 0, 0, 0.0) is None
    evidence.record_answer(2.0, 1_500, 10.0)
    evidence.record_end(True, 10.0)
    assert evidence.share(1, 2, 3, 10.0) == ServerShare(
        1, 2, 3, 2_000, BASE_WORK + 1_500, 10, 10
    )
    later = evidence.share(0, 0, 0, 13.0)
    assert later is not None and later.attempts == later.failures == 4
    assert later.observed / later.expected == pytest.approx(1.0, rel=0.01)
    assert evidence.share(0, 0, 0, 30.0) is None
    assert evidence.share(1, 2, 3, 30.0) == ServerShare(1, 2, 3)
