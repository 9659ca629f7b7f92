"""Datagrams in which gateways tell each other of the load of servers.

A datagram is a msgpack array of the version of this format, the kind of message, the
sender's name, epoch and number, the index and the number of the message's parts, and
the servers; then follows what belongs to the kind. Elements after the known ones are
ignored, so that later builds may add some.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from itertools import chain
from typing import Any, TypeAlias

import msgpack
from attrs import define, field, frozen

from ebonyhold.coordination import (
    Floors,
    LoadMessage,
    LoadReport,
    LoadSum,
    LoadTotal,
    RunKey,
    ServerShare,
    Shares,
    Stamp,
)
from ebonyhold.exceptions import MalformedMessageError

VERSION = 1

REPORT, SUM, TOTAL = 1, 2, 3

MAX_DATAGRAM = 1_400
"""Maximum size in bytes, so that no datagram is split on links with an MTU of 1,500."""

FIXED_BYTES = 64
"""Upper bound of the size of all elements but names and servers."""

DOMAIN_BYTES = 8
"""Upper bound of the size of an age, without the domain's name."""

FLOOR_BYTES = 12
"""Size of the number of requests that a server states, with its key."""

MAX_FLOORS = 64
"""Maximum number of servers of one failure domain whose statements are sent."""

MAX_PARTS = 16
"""Maximum number of datagrams of one message."""

MAX_PENDING = 256
"""Maximum number of messages of which some parts are missing."""

MAX_COUNT = 0xFFFF
"""Upper bound of counts in messages, which bounds the size of a server's entry."""

MAX_FIGURE = 0xFFFF_FFFF
"""Upper bound of all other numbers in messages."""

MAX_AGE_MS = 0xFFFF

MAX_NAME = 128
"""Maximum length of a name."""

COUNTS = (0, 5, 6)
"""Which figures of a server are counts."""

FIGURES = 7
"""Number of figures of a server."""

KNOWN = 8
"""Number of elements that all kinds of messages have."""


@frozen
class Part:
    """One decoded datagram.

    Attributes:
        kind: The kind of message.
        sender: The name of the router that sent it.
        stamp: The message's place among those of the sender.
        index: Which part of the message it is, from 0.
        parts: Number of the message's parts.
        shares: The servers in this part.
        rest: The elements that belong to the kind.
    """

    kind: int
    sender: str
    stamp: Stamp
    index: int
    parts: int
    shares: Shares
    rest: tuple[Any, ...]


Packed: TypeAlias = tuple[bytes, ...]
"""The servers of one message, packed into arrays that fit into one datagram each."""


def entry_of(key: RunKey, share: ServerShare) -> list[object]:
    """Return the entry of a server; zeros at its end are left out."""
    figures = [min(figure, MAX_FIGURE) for figure in share.figures]
    for index in COUNTS:
        figures[index] = min(figures[index], MAX_COUNT)
    while figures and not figures[-1]:
        figures.pop()
    return [key, *figures]


def pack_shares(shares: Shares, room: int, packer: msgpack.Packer) -> Packed:
    """Pack the servers into as few arrays as possible of at most `room` bytes.

    Servers that do not fit into MAX_PARTS arrays are left out.
    """
    groups: list[list[bytes]] = [[]]
    used = 0
    for key, share in shares.items():
        entry: bytes = packer.pack(entry_of(key, share))
        if used + len(entry) > room:
            if len(groups) == MAX_PARTS:
                break
            groups.append([])
            used = 0
        groups[-1].append(entry)
        used += len(entry)
    return tuple(
        packer.pack_array_header(len(group)) + b"".join(group) for group in groups
    )


@define(eq=False)
class Encoder:
    """Encodes the messages of one router.

    The servers of a total are packed once for all its receivers.

    Attributes:
        sender: This router's name.
        packer: Packs values; a new one allocates a large buffer.
        last: The servers that were packed last, and the room for which they were.
        packed: The result.
    """

    sender: str
    packer: msgpack.Packer = field(factory=msgpack.Packer)
    last: tuple[Shares, int] | None = None
    packed: Packed = ()

    def encode(self, message: LoadMessage) -> list[bytes]:
        """Return the datagrams of a message."""
        kind, rest = kind_and_rest(message)
        ages = message.ages if isinstance(message, LoadTotal) else ()
        names = len(self.sender.encode())
        names += sum(len(name.encode()) + DOMAIN_BYTES for name in ages)
        if isinstance(message, LoadSum):
            names += FLOOR_BYTES * min(len(message.floors), MAX_FLOORS)
        room = MAX_DATAGRAM - FIXED_BYTES - names
        known = self.last is not None and self.last[0] is message.shares
        if not known or self.last is None or self.last[1] != room:
            self.last, self.packed = (message.shares, room), ()
            self.packed = pack_shares(message.shares, room, self.packer)
        packer = self.packer
        suffix = b"".join(packer.pack(each) for each in rest)
        count = len(self.packed)
        stamp = message.stamp
        head = (VERSION, kind, self.sender, stamp.epoch, stamp.number)
        start = packer.pack_array_header(KNOWN + len(rest))
        start += b"".join(packer.pack(each) for each in head)
        return [
            b"".join((start, packer.pack(index), packer.pack(count), servers, suffix))
            for index, servers in enumerate(self.packed)
        ]


def kind_and_rest(message: LoadMessage) -> tuple[int, tuple[object, ...]]:
    """Return the kind of a message, and the elements that belong to this kind."""
    if isinstance(message, LoadReport):
        return REPORT, ()
    if isinstance(message, LoadSum):
        stated = list(message.floors.items())[:MAX_FLOORS]
        floors = [[key, min(requests, MAX_COUNT)] for key, requests in stated]
        return SUM, (message.complete, in_ms(message.age), floors)
    included = message.included
    ages = [[domain, in_ms(age)] for domain, age in message.ages.items()]
    interval = in_ms(message.interval)
    rest = (message.complete, interval, included.epoch, included.number, ages)
    return TOTAL, rest


def in_ms(seconds: float) -> int:
    """Return a time in ms, bounded."""
    return max(0, min(MAX_AGE_MS, round(seconds * 1_000)))


def read_part(data: bytes) -> Part:
    """Decode a datagram.

    Raises:
        MalformedMessageError: It is too large, or no message of this version.
    """
    if len(data) > MAX_DATAGRAM:
        raise MalformedMessageError(f"{len(data)} bytes")
    try:
        raw = msgpack.unpackb(data)
    except (ValueError, TypeError, RecursionError, msgpack.UnpackException) as error:
        raise MalformedMessageError(f"{data[:20]!r}: {error!r}") from error
    if not isinstance(raw, list) or len(raw) < KNOWN or raw[0] != VERSION:
        raise MalformedMessageError(f"{data[:20]!r}: another format")
    kind, sender, epoch, number, index, parts, servers = raw[1:KNOWN]
    numbers = (check_number(each) for each in (kind, epoch, number, index, parts))
    kind, epoch, number, index, parts = numbers
    if not 0 <= index < parts <= MAX_PARTS:
        raise MalformedMessageError(f"part {index} of {parts}")
    name = check_name(sender)
    shares = read_entries(check_list(servers))
    rest = tuple(raw[KNOWN:])
    return Part(kind, name, Stamp(epoch, number), index, parts, shares, rest)


def check_number(value: object, limit: int = MAX_FIGURE) -> int:
    """Return a number of a message; raise MalformedMessageError if it is none."""
    if type(value) is not int or not 0 <= value <= limit:
        raise MalformedMessageError(f"{str(value)[:20]} as a number")
    return value


def check_name(value: object) -> str:
    """Return a name in a message; raise MalformedMessageError if it is none."""
    if not isinstance(value, str) or not 0 < len(value) <= MAX_NAME:
        raise MalformedMessageError(f"{str(value)[:20]} as a name")
    return value


def check_list(value: object) -> Sequence[Any]:
    """Return a list in a message; raise MalformedMessageError if it is none."""
    if not isinstance(value, list):
        raise MalformedMessageError(f"{str(value)[:20]} as a list")
    return value


def read_entries(entries: Sequence[Any]) -> dict[RunKey, ServerShare]:
    """Decode the servers in a message; later builds may add figures at the end.

    All figures are checked together, since a total has some 200 of them.
    """
    for entry in entries:
        if not (isinstance(entry, list) and entry and isinstance(entry[0], bytes)):
            raise MalformedMessageError("a server without a key")
    found = [(entry[0], entry[1 : 1 + FIGURES]) for entry in entries]
    figures = list(chain.from_iterable(each for _, each in found))
    if set(map(type, figures)) - {int}:
        raise MalformedMessageError("a figure of a server that is no number")
    if figures and not 0 <= min(figures) <= max(figures) <= MAX_FIGURE:
        raise MalformedMessageError("a figure of a server out of range")
    return {key: ServerShare(*each) for key, each in found}


def read_ages(value: object) -> Mapping[str, float]:
    """Decode the ages of the sums of failure domains, in seconds."""
    ages: dict[str, float] = {}
    for item in check_list(value):
        pair = check_list(item)
        if len(pair) < 2:
            raise MalformedMessageError("an age without a domain")
        ages[check_name(pair[0])] = check_number(pair[1]) / 1_000
    return ages


def read_floors(value: object) -> Floors:
    """Decode the numbers of requests that servers state."""
    floors: dict[RunKey, int] = {}
    for item in check_list(value):
        pair = check_list(item)
        if len(pair) < 2 or not isinstance(pair[0], bytes):
            raise MalformedMessageError("a number of requests without a server")
        floors[pair[0]] = check_number(pair[1])
    return floors


def build(part: Part, shares: Shares) -> LoadMessage:
    """Return the message with the servers of all its parts.

    Raises:
        MalformedMessageError: It is no message of a known kind.
    """
    stamp, rest = part.stamp, part.rest
    if part.kind == REPORT:
        return LoadReport(stamp, shares)
    if part.kind == SUM and len(rest) >= 2:
        age = check_number(rest[1]) / 1_000
        floors = read_floors(rest[2]) if len(rest) > 2 else {}
        return LoadSum(stamp, rest[0] is True, age, shares, floors)
    if part.kind == TOTAL and len(rest) >= 5:
        interval = check_number(rest[1]) / 1_000
        included = Stamp(check_number(rest[2]), check_number(rest[3]))
        ages = read_ages(rest[4])
        return LoadTotal(stamp, rest[0] is True, interval, included, ages, shares)
    raise MalformedMessageError(f"kind {part.kind} with {len(rest)} elements")


@define(eq=False)
class Decoder:
    """Decodes datagrams, and puts messages of several parts together.

    Attributes:
        pending: The parts that have arrived, of messages with missing ones, by sender
            and kind.
    """

    pending: dict[tuple[str, int], list[Part]] = field(factory=dict)

    def decode(self, data: bytes) -> tuple[str, LoadMessage] | None:
        """Return the sender and the message that a datagram completes, or None.

        Raises:
            MalformedMessageError: It is no message of this version.
        """
        part = read_part(data)
        if part.parts == 1:
            return part.sender, build(part, part.shares)
        key = part.sender, part.kind
        found = self.pending.pop(key, [])
        if found and found[0].stamp != part.stamp:
            if not part.stamp.is_after(found[0].stamp):
                self.pending[key] = found
                return None
            found = []
        found = [each for each in found if each.index != part.index] + [part]
        if len(found) < part.parts:
            self.pending[key] = found
            if len(self.pending) > MAX_PENDING:
                del self.pending[next(iter(self.pending))]
            return None
        return part.sender, build(part, merge(each.shares for each in found))


def merge(parts: Iterable[Shares]) -> dict[RunKey, ServerShare]:
    """Return the servers of all parts, which have different ones."""
    merged: dict[RunKey, ServerShare] = {}
    for part in parts:
        merged.update(part)
    return merged
