"""Frames as bytes: msgpack arrays, decoded with suspicion."""

from __future__ import annotations

import cattrs
import msgpack
from attrs import frozen
from cattrs import UnstructureStrategy

from ebonyhold.coordination import Beat
from ebonyhold.exceptions import RefusedMessageError
from ebonyhold.routers._exchange import Frame, Purpose
from ebonyhold.routers._registry import KINDS, NAMES, PeerMessage, peer_message

MAX_BODY = 60_000
"""The longest encoded frame, in bytes."""

converter = cattrs.Converter(unstruct_strat=UnstructureStrategy.AS_TUPLE)


@peer_message("gossip")
@frozen
class Gossip(PeerMessage):
    """A heartbeat of the membership protocol."""

    beat: Beat


def encode(frame: Frame) -> bytes:
    """Encode a frame.

    Raises:
        RefusedMessageError: It is too long to send.
    """
    kind = NAMES[type(frame.message)]
    fields = converter.unstructure(frame.message)
    body: bytes = msgpack.packb([frame.purpose.value, frame.correlation, kind, fields])
    if len(body) > MAX_BODY:
        raise RefusedMessageError("oversized", f"{kind} takes {len(body)} bytes")
    return body


def decode(body: bytes) -> Frame:
    """Decode a frame.

    A peer of another release, or with a fault, must not end the receiving task,
    which would show as a router deaf to the whole fleet.  Whatever the codecs
    raise on such bytes becomes one refusal here.

    Raises:
        RefusedMessageError: The bytes are not a frame known here.
    """
    try:
        purpose, correlation, kind, fields = msgpack.unpackb(body)
        message = converter.structure(fields, KINDS[kind])
        return Frame(Purpose(purpose), int(correlation), message)
    except Exception as error:
        raise RefusedMessageError("malformed", repr(error)[:200]) from error
