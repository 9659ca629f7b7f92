"""Datagrams about the load of servers."""

from __future__ import annotations

import random
from itertools import pairwise

import msgpack
import pytest

from ebonyhold.coordination import (
    LoadMessage,
    LoadReport,
    LoadSum,
    LoadTotal,
    ServerRun,
    ServerShare,
    Stamp,
    run_key,
)
from ebonyhold.exceptions import MalformedMessageError
from ebonyhold.gateway._load_messages import MAX_DATAGRAM, Decoder, Encoder

LARGE = ServerShare(65_535, 2**32 - 1, 2**32 - 1, 2**32 - 1, 2**32 - 1, 65_535, 65_535)
STAMP = Stamp(4_000_000_000, 4_000_000_000)
AGES = {f"failure-domain-{number}": 1.25 for number in range(3)}


def shares(count: int, share: ServerShare) -> dict[bytes, ServerShare]:
    return {run_key(ServerRun(f"server-{n}", n)): share for n in range(count)}


def messages(count: int, share: ServerShare) -> list[LoadMessage]:
    """Return one message of each kind with this number of servers."""
    servers = shares(count, share)
    total = LoadTotal(STAMP, True, 0.1, STAMP, AGES, servers)
    floors = dict.fromkeys(list(servers)[:11], 65_535)
    sums = LoadSum(STAMP, True, 0.5, servers, floors)
    return [LoadReport(STAMP, servers), sums, total]


@pytest.mark.parametrize(
    ("count", "share", "parts"),
    [
        (0, LARGE, 1),
        (33, ServerShare(3, 20_000, 30_000), 1),
        (30, LARGE, 1),
        (100, LARGE, 4),
    ],
)
def test_message_is_read_as_written(count: int, share: ServerShare, parts: int) -> None:
    for message in messages(count, share):
        datagrams = Encoder("vm-" + "x" * 30).encode(message)
        assert len(datagrams) <= parts
        assert max(map(len, datagrams)) <= MAX_DATAGRAM
        decoder = Decoder()
        random.Random(1).shuffle(datagrams)
        found = [decoder.decode(data) for data in datagrams]
        assert found[:-1] == [None] * (len(datagrams) - 1)
        assert found[-1] == ("vm-" + "x" * 30, message)


def test_message_with_a_lost_part_is_replaced_by_the_next() -> None:
    encoder, decoder = Encoder("vm-1"), Decoder()
    first = encoder.encode(LoadReport(Stamp(1, 1), shares(100, LARGE)))
    second = encoder.encode(LoadReport(Stamp(1, 2), shares(100, LARGE)))
    assert decoder.decode(first[0]) is None
    found = [decoder.decode(data) for data in second]
    assert found[-1] is not None and found[-1][1].stamp == Stamp(1, 2)
    assert all(decoder.decode(data) is None for data in first[1:])


def test_later_builds_may_add_elements() -> None:
    for message in messages(3, LARGE):
        (data,) = Encoder("vm-1").encode(message)
        raw = msgpack.unpackb(data)
        raw[7] = [[*entry, "new"] for entry in raw[7]]
        assert Decoder().decode(msgpack.packb([*raw, "new"])) == ("vm-1", message)


VALID = [1, 1, "vm-1", 1, 1, 0, 1, [[b"123456", 1, 2, 3]]]


MALFORMED: dict[int, list[object]] = {
    0: [2],
    1: [4, 2, "1"],
    2: ["", 7, "x" * 200],
    3: [-1],
    4: [2**40, True],
    5: [1],
    6: [0, 17],
    7: [5, [5], [[]], [["a"]], [[b"a", -1]], [[b"a", 0.5]], [[b"a", [1]]], [[[1], 1]]],
}
"""Elements of which none may be in the place that the key states."""


@pytest.mark.parametrize(
    ("place", "value"), [(place, v) for place, vs in MALFORMED.items() for v in vs]
)
def test_malformed_message_is_rejected(place: int, value: object) -> None:
    raw = [value if index == place else each for index, each in enumerate(VALID)]
    with pytest.raises(MalformedMessageError):
        Decoder().decode(msgpack.packb(raw))


def test_random_bytes_are_rejected() -> None:
    """Any other error would end the task that reads the socket."""
    rng = random.Random(7)
    datagrams = [d for m in messages(5, LARGE) for d in Encoder("vm").encode(m)]
    samples = [rng.randbytes(rng.randrange(1_500)) for _ in range(3_000)]
    for one, other in pairwise(datagrams * 700):
        cut = rng.randrange(len(one))
        samples.append(one[:cut] + rng.randbytes(2) + other[cut + 2 :])
    decoder, rejected = Decoder(), 0
    for sample in samples:
        try:
            decoder.decode(sample)
        except MalformedMessageError:
            rejected += 1
    assert rejected > 3_000
    assert len(decoder.pending) <= 256
