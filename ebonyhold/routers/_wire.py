"""Encodes frames as msgpack arrays, and decodes bytes that may be malformed."""

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
"""The maximum size of an encoded frame, in bytes."""

converter = cattrs.Converter(unstruct_strat=UnstructureStrategy.AS_TUPLE)


@peer_message("gossip")
@frozen
class Gossip(PeerMessage):
    """A heartbeat of the membership protocol."""

    beat: Beat


def encode(frame: Frame) -> bytes:
    """Return a frame as a msgpack array.

    Raises:
        RefusedMessageError: The encoding is longer than `MAX_BODY`.
    """
    kind = NAMES[type(frame.message)]
    fields = converter.unstructure(frame.message)
    body: bytes = msgpack.packb([frame.purpose.value, frame.correlation, kind, fields])
    if len(body) > MAX_BODY:
        raise RefusedMessageError("oversized", f"{kind} message of {len(body)} bytes")
    return body


def decode(body: bytes) -> Frame:
    """Return the frame that is encoded in a message body.

    A faulty peer, or one of another release, may send bytes on which the codecs raise
    any exception.  Each becomes a `RefusedMessageError`; any other exception would end
    the receiving task, and the router would receive no further messages.

    Raises:
        RefusedMessageError: The bytes are not a frame of a known kind.
    """
    try:
        purpose, correlation, kind, fields = msgpack.unpackb(body)
        message = converter.structure(fields, KINDS[kind])
        return Frame(Purpose(purpose), int(correlation), message)
    except Exception as error:
        raise RefusedMessageError("malformed", repr(error)[:200]) from error
