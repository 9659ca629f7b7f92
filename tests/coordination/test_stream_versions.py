"""Records of streams, and the versions in play."""

from __future__ import annotations

import pytest

from ebonyhold.coordination import (
    BegunStream,
    StreamRecords,
    VersionHistory,
    _stream_versions,
    stream_id,
)

KEPT = _stream_versions.KEPT_FOR
SETTLED = _stream_versions.SETTLED_AFTER


def test_records_are_forgotten_in_time() -> None:
    """What callers cannot take up any more must not be kept."""
    records = StreamRecords()
    records.add("a", BegunStream("svc", "v1"), 0.0)
    records.add("b", BegunStream("svc", "v1"), 1.0)
    records.add("a", BegunStream("svc", "v1"), 2.0)
    records.expire(KEPT + 1.0)
    assert list(records.begun) == ["a"]
    records.expire(KEPT + 2.0)
    assert not records.begun and not records.added_at


def test_number_of_records_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """Callers must not be able to fill a router's memory."""
    monkeypatch.setattr(_stream_versions, "MAX_STREAMS", 3)
    records = StreamRecords()
    for number in range(5):
        records.add(str(number), BegunStream(), 0.0)
    assert list(records.begun) == ["2", "3", "4"]


@pytest.mark.parametrize("attempt", ["", "r-1", "x" * 100_000, "\xff/../"])
def test_identifier_is_short_and_the_workspace_s_own(attempt: str) -> None:
    """Nobody may ask for a stream of another workspace, whatever a caller names."""
    own = stream_id("acme", attempt)
    assert len(own) == 24
    assert own != stream_id("blue", attempt)
    assert own != stream_id("", f"acme{attempt}")


def test_version_is_in_play_until_no_server_has_had_it_for_long() -> None:
    """A caller may come back for a stream of a version that has just gone."""
    history = VersionHistory()
    assert not history.record("svc", "v1", 0.0)
    assert not history.are_several("svc")
    assert history.record("svc", "v2", 5.0)
    assert not history.record("svc", "v2", 9.0)
    assert not history.record("other", "v2", 9.0)
    assert history.are_several("svc") and not history.are_several("other")
    history.expire(KEPT - 1.0)
    assert list(history.in_play("svc")) == ["v1", "v2"]
    history.expire(KEPT)
    assert list(history.in_play("svc")) == ["v2"]
    history.expire(KEPT + 9.0)
    assert not history.seen


@pytest.mark.parametrize(
    ("first", "after", "possible"),
    [
        (False, 0.0, ["v1"]),
        (False, SETTLED - 0.1, ["v1"]),
        (False, SETTLED, ["v1", "v2"]),
        (True, 0.0, ["v1", "v2"]),
    ],
    ids=["just seen", "not yet", "settled", "in the first list"],
)
def test_new_version_settles(first: bool, after: float, possible: list[str]) -> None:
    """Other routers may not know a version that this one has just seen."""
    history = VersionHistory()
    history.record("svc", "v1", 10.0, first)
    history.record("svc", "v2", 10.0, first)
    now = 10.0 + after
    assert history.possible("svc", now) == possible
    assert not history.unsettled_for("svc", "v1", now)
    left = max(0.0, SETTLED - after)
    assert history.unsettled_for("svc", "v2", now) == pytest.approx(left)
