"""Which parts of prompts are held responsible for crashes of servers."""

from __future__ import annotations

import pytest

from ebonyhold.coordination import PartRecords, RequestLoss, ServerRun
from ebonyhold.coordination._crash_parts import REJECT_CONTESTED_PART_AFTER
from ebonyhold.coordination._crashes import ANSWER_VALIDITY, MAX_LOSSES, MAX_REPORTED

NOW = 1_790_000_000.0


def loss(
    part: str, server: str, holder: str, depth: int = 2, alone: bool = True
) -> RequestLoss:
    """Return the loss of a part that a request had, in a server's crash."""
    at = NOW + ord(server[0])
    return RequestLoss(part, ServerRun(server, 1), depth, at, alone, holder)


def records(*losses: RequestLoss) -> PartRecords:
    """Return the records of a router that has seen some losses."""
    known = PartRecords()
    for each in losses:
        known.add(each)
    return known


def losses(part: str, servers: str, **options: bool | int) -> list[RequestLoss]:
    """Return losses of a part, each with a request of its own."""
    return [
        loss(part, server, f"request at {server}", **options)  # type: ignore[arg-type]
        for server in servers
    ]


CASES = {
    "three crashes": (losses("p", "abc"), []),
    "four crashes": (losses("p", "abcd"), [{"p"}]),
    "four crashes with one request": ([loss("p", s, "r") for s in "abcd"], []),
    "two requests, each at three servers": (
        [*(loss("p", s, "r") for s in "abc"), *(loss("p", s, "q") for s in "def")],
        [{"p"}],
    ),
    "two requests, each at two servers": (
        [*(loss("p", s, "r") for s in "ab"), *(loss("p", s, "q") for s in "cd")],
        [],
    ),
    "all sent before a crash was known": (losses("p", "abcd", depth=1), []),
    "six servers that ended with others": (losses("p", "abcdef", alone=False), []),
    "eight servers that ended with others": (
        losses("p", "abcdefgh", alone=False),
        [{"p"}],
    ),
    "two parts that cannot be told apart": (
        [*losses("p", "abcd"), *losses("q", "abcd")],
        [{"p", "q"}],
    ),
    "a part that was at one server less": (
        [*losses("p", "abcde"), *losses("q", "abcd")],
        [{"p"}],
    ),
    "two parts that crash servers": (
        [*losses("p", "abcd"), *losses("q", "efgh")],
        [{"p"}, {"q"}],
    ),
    "a part that two others were with": (
        [*losses("p", "abce"), *losses("q", "dfgh"), *losses("s", "abdf")],
        [],
    ),
}


@pytest.mark.parametrize("name", CASES)
def test_rejected_parts(name: str) -> None:
    found, groups = CASES[name]
    assert sorted(map(sorted, records(*found).groups)) == sorted(map(sorted, groups))


def test_request_is_rejected_only_with_all_parts_that_cannot_be_told_apart() -> None:
    """Guards against a sound part that is refused for the one it always came with."""
    known = records(*losses("p", "abcd"), *losses("q", "abcd"))
    assert known.is_rejected(("p", "q", "r"))
    assert not known.is_rejected(("q", "r"))
    known.retract("q", NOW + 200.0)
    assert known.groups == (frozenset({"p"}),)


def test_part_that_is_answered_all_the_time_is_never_rejected() -> None:
    """Guards against a part that everybody shares, which is in every crash."""
    known = PartRecords()
    for server in "abcdefghijklmnop":
        each = loss("shared", server, f"request at {server}")
        known.retract("shared", each.at - ANSWER_VALIDITY / 2)
        known.add(each)
    assert not known.losses
    assert not known.groups


def test_contested_part_is_rejected_in_the_end() -> None:
    """Guards against parts that excuse each other for ever."""
    servers = "abcdefgh"[:REJECT_CONTESTED_PART_AFTER]
    known = records(*losses("p", servers[1:] + "x"), *losses("q", servers[:-1] + "y"))
    assert known.groups


def test_records_of_parts_are_bounded() -> None:
    """Guards against memory and rows that grow with the parts of a rack's requests."""
    known = PartRecords()
    for number in range(MAX_LOSSES + 100):
        known.add(loss(f"p{number}", "a", "r"))
    assert len(known.losses) == MAX_LOSSES
    assert len(known.report().losses) == MAX_REPORTED
