"""Authenticated encryption of what routers send, with protection from replay.

Each start of a router takes a random session, from which a key of its own is
derived; within the session the sequence number is the nonce, so no nonce is used
twice with the same key.  Sender, receiver and their incarnations are bound to the
ciphertext.
"""

from __future__ import annotations

import os
from collections import OrderedDict

import attrs
import cattrs
import msgpack
from attrs import define, field, frozen
from cattrs import UnstructureStrategy
from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.ciphers.aead import ChaCha20Poly1305
from cryptography.hazmat.primitives.hashes import SHA256
from cryptography.hazmat.primitives.kdf.hkdf import HKDF

from ebonyhold.exceptions import RefusedMessageError
from ebonyhold.routers._keys import SECRET_BYTES, KeyRing, PeerKey
from ebonyhold.types import RouterId

WIRE_VERSION = 1
SESSION_BYTES = 16
NONCE_BYTES = 12
LENGTH_BYTES = 2
MAX_ENVELOPE = 65_536
"""The longest envelope, in bytes; longer ones are refused unread."""

WINDOW = 256
"""How far behind the newest sequence number a message may arrive."""

MAX_SESSIONS = 4096
"""Sessions whose windows are kept: two weeks of 280 restarts a day."""

converter = cattrs.Converter(unstruct_strat=UnstructureStrategy.AS_TUPLE)


@frozen
class Header:
    """What travels in the clear, but cannot be changed.

    Attributes:
        version: The form of the envelope.
        key: The name of the shared key.
        session: Random for each start of the sender.
        sequence: Counts the sender's messages in the session.
        sender: The sending incarnation.
        receiver: The incarnation it is for; empty when only its address is known.
        address: The address it is for, ``ip:port``.
        ring: The names of the keys that the sender has, newest first.
    """

    version: int
    key: str
    session: bytes
    sequence: int
    sender: RouterId
    receiver: RouterId
    address: str
    ring: tuple[str, ...] = ()


attrs.resolve_types(Header)


@frozen
class Opened:
    """A message that was accepted.

    Attributes:
        header: Its header, now proved.
        body: What it says.
    """

    header: Header
    body: bytes


@define
class ReplayWindow:
    """The sequence numbers that have been seen of one session.

    >>> window = ReplayWindow()
    >>> [window.accept(n) for n in (1, 3, 2, 3, 1000, 4)]
    [True, True, True, False, True, False]
    """

    newest: int = -1
    seen: int = 0

    def accept(self, sequence: int) -> bool:
        """Say whether a number is new, and remember it."""
        if sequence > self.newest:
            shift = min(sequence - self.newest, WINDOW)
            self.seen = ((self.seen << shift) | 1) & ((1 << WINDOW) - 1)
            self.newest = sequence
            return True
        bit = 1 << (self.newest - sequence)
        if bit >= 1 << WINDOW or self.seen & bit:
            return False
        self.seen |= bit
        return True


def derive(key: PeerKey, session: bytes) -> ChaCha20Poly1305:
    """Derive the cipher of one session from a shared key."""
    hkdf = HKDF(SHA256(), SECRET_BYTES, salt=session, info=b"ebonyhold peers 1")
    return ChaCha20Poly1305(hkdf.derive(key.secret))


@define
class Ciphers:
    """The derived ciphers in use, the least recently used dropped first."""

    limit: int = MAX_SESSIONS
    kept: OrderedDict[tuple[bytes, bytes], ChaCha20Poly1305] = field(
        factory=OrderedDict
    )

    def of(self, key: PeerKey, session: bytes) -> ChaCha20Poly1305:
        """Return the cipher of a session."""
        place = (key.secret, session)
        if place not in self.kept:
            self.kept[place] = derive(key, session)
        self.kept.move_to_end(place)
        while len(self.kept) > self.limit:
            self.kept.popitem(last=False)
        return self.kept[place]


class Envelopes:
    """Seals what one router sends, and opens what it receives.

    Attributes:
        me: The incarnation that sends and receives now.
        address: Where it is reached.
        keys: The shared keys.
        session: The random session of this start.
        rings: Which keys the other incarnations were last seen to have.
        windows: The replay windows, by session of the sender.
    """

    def __init__(self, me: RouterId, address: str, keys: KeyRing) -> None:
        self.me = me
        self.address = address
        self.keys = keys
        self.session = os.urandom(SESSION_BYTES)
        self.sequence = 0
        self.ciphers = Ciphers()
        self.rings: OrderedDict[RouterId, tuple[str, ...]] = OrderedDict()
        self.windows: OrderedDict[bytes, ReplayWindow] = OrderedDict()

    def seal(self, body: bytes, to: RouterId, address: str) -> bytes:
        """Encrypt a message for one receiver."""
        self.sequence += 1
        key = self.choose_key(to)
        header = Header(
            WIRE_VERSION,
            key.identifier,
            self.session,
            self.sequence,
            self.me,
            to,
            address,
            self.keys.identifiers,
        )
        clear: bytes = msgpack.packb(converter.unstructure(header))
        cipher = self.ciphers.of(key, self.session)
        sealed = cipher.encrypt(nonce_of(self.sequence), body, clear)
        return len(clear).to_bytes(LENGTH_BYTES, "big") + clear + sealed

    def choose_key(self, to: RouterId) -> PeerKey:
        """Choose the newest key that the receiver is known to have too.

        While a new key reaches one router after another, the first to have it
        would be refused by all the others.  So each envelope names its sender's
        keys, and a receiver whose keys are unknown is tried with each in turn.
        """
        ring = self.rings.get(to)
        if ring is None:
            return self.keys.keys[self.sequence % len(self.keys.keys)]
        shared = [key for key in self.keys.keys if key.identifier in ring]
        return shared[0] if shared else self.keys.keys[0]

    def open(self, data: bytes) -> Opened:
        """Check and decrypt an envelope.

        Raises:
            RefusedMessageError: It is not for this router, or not to be trusted.
        """
        clear, sealed = split(data)
        header = parse_header(clear)
        key = self.keys.find(header.key)
        if key is None:
            raise RefusedMessageError("unknown_key", f"key {header.key!r}")
        body = self.decrypt(key, header, clear, sealed)
        self.check_receiver(header)
        self.check_replay(header)
        self.remember_ring(header)
        return Opened(header, body)

    def decrypt(
        self, key: PeerKey, header: Header, clear: bytes, sealed: bytes
    ) -> bytes:
        """Decrypt the body, which also proves the header.

        Ciphers of unproved sessions are not kept: a stranger could else push
        out those in use.
        """
        known = header.session in self.windows
        cipher = (self.ciphers.of if known else derive)(key, header.session)
        try:
            return cipher.decrypt(nonce_of(header.sequence), sealed, clear)
        except InvalidTag:
            raise RefusedMessageError("forged", f"as {header.sender!r}") from None

    def check_receiver(self, header: Header) -> None:
        """Refuse what was meant for another router or incarnation.

        A message delayed beyond the life of its receiver arrives at the next
        incarnation on the same address, which never asked for it: taken in, a
        transfer would be credited that its giver never settles with this one.

        Raises:
            RefusedMessageError: It was.
        """
        if header.sender == self.me:
            raise RefusedMessageError("reflected", "it is this router's own")
        if header.receiver:
            wrong = header.receiver != self.me
        else:
            wrong = header.address != self.address
        if wrong:
            text = f"for {header.receiver!r} at {header.address}"
            raise RefusedMessageError("other_receiver", text)

    def check_replay(self, header: Header) -> None:
        """Refuse what has been seen before, or is too old to tell.

        Raises:
            RefusedMessageError: It is.
        """
        window = self.windows.setdefault(header.session, ReplayWindow())
        self.windows.move_to_end(header.session)
        if len(self.windows) > MAX_SESSIONS:
            self.windows.popitem(last=False)
        if not window.accept(header.sequence):
            text = f"{header.sequence} of {header.sender!r}"
            raise RefusedMessageError("replayed", text)

    def remember_ring(self, header: Header) -> None:
        """Note which keys the sender has."""
        self.rings[header.sender] = header.ring
        self.rings.move_to_end(header.sender)
        if len(self.rings) > MAX_SESSIONS:
            self.rings.popitem(last=False)


def nonce_of(sequence: int) -> bytes:
    """Return the nonce of a sequence number."""
    return sequence.to_bytes(NONCE_BYTES, "big")


def split(data: bytes) -> tuple[bytes, bytes]:
    """Split an envelope into its clear header and its sealed body.

    Raises:
        RefusedMessageError: It is too long, or too short.
    """
    if len(data) > MAX_ENVELOPE:
        raise RefusedMessageError("oversized", f"{len(data)} bytes")
    end = LENGTH_BYTES + int.from_bytes(data[:LENGTH_BYTES], "big")
    if len(data) <= end:
        raise RefusedMessageError("malformed", f"{len(data)} bytes")
    return data[LENGTH_BYTES:end], data[end:]


def parse_header(clear: bytes) -> Header:
    """Parse a header, which nothing has proved yet.

    Raises:
        RefusedMessageError: It is not a header of this version.
    """
    try:
        header = converter.structure(msgpack.unpackb(clear), Header)
    except Exception as error:
        raise RefusedMessageError("malformed", repr(error)[:200]) from error
    sound = len(header.session) == SESSION_BYTES and 0 <= header.sequence < 2**64
    if header.version != WIRE_VERSION or not sound or not header.sender:
        raise RefusedMessageError("malformed", "header")
    return header
