"""Authenticated encryption of the messages between routers, with replay protection.

Each start of a router chooses a random session id, from which a session key is
derived.  Within the session the sequence number is the nonce, so no nonce is used
twice with the same key.  The incarnations of sender and receiver are part of the
authenticated header.
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
"""The maximum size of an envelope, in bytes; a larger one is refused undecoded."""

REPLAY_WINDOW = 256
"""A message this many or more numbers behind the newest of its session is refused."""

MAX_SESSIONS = 4096
"""Maximum number of sessions with a replay window.

This is enough for 280 router restarts a day over two weeks.  Above it the window of
the least recently used session is dropped.
"""

converter = cattrs.Converter(unstruct_strat=UnstructureStrategy.AS_TUPLE)


@frozen
class Header:
    """The header of an envelope: authenticated, but not encrypted.

    Attributes:
        version: The version of the envelope's format.
        key: The name of the shared key.
        session: The random id of the sender's session.
        sequence: The number of the message in the sender's session.
        sender: The sending incarnation.
        receiver: The receiving incarnation; empty if only the receiver's address is
            known.
        address: The address of the receiver, ``ip:port``.
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
class OpenedMessage:
    """A message that was authenticated, is for this router and is no replay.

    Attributes:
        header: The authenticated header.
        body: The decrypted body, an encoded frame.
    """

    header: Header
    body: bytes


@define
class ReplayWindow:
    """The sequence numbers that were received in one session.

    Attributes:
        newest: The largest number received; -1 before the first one.
        received: Bitmap of the last `REPLAY_WINDOW` numbers; bit `n` is set if
            `newest` - `n` was received.

    >>> window = ReplayWindow()
    >>> [window.accept(n) for n in (1, 3, 2, 3, 1000, 4)]
    [True, True, True, False, True, False]
    """

    newest: int = -1
    received: int = 0

    def accept(self, sequence: int) -> bool:
        """Record a number and return True, or return False if it must be refused.

        It is refused if it was received before, or if it is `REPLAY_WINDOW` or more
        behind the newest one.
        """
        if sequence > self.newest:
            shift = min(sequence - self.newest, REPLAY_WINDOW)
            self.received = ((self.received << shift) | 1) & ((1 << REPLAY_WINDOW) - 1)
            self.newest = sequence
            return True
        bit = 1 << (self.newest - sequence)
        if bit >= 1 << REPLAY_WINDOW or self.received & bit:
            return False
        self.received |= bit
        return True


def derive_cipher(key: PeerKey, session: bytes) -> ChaCha20Poly1305:
    """Return the cipher of one session, derived from a shared key."""
    hkdf = HKDF(SHA256(), SECRET_BYTES, salt=session, info=b"ebonyhold peers 1")
    return ChaCha20Poly1305(hkdf.derive(key.secret))


@define
class Ciphers:
    """A cache of session ciphers that evicts the least recently used one.

    Attributes:
        limit: The maximum number of ciphers.
        cached: The ciphers by secret and session id, least recently used first.
    """

    limit: int = MAX_SESSIONS
    cached: OrderedDict[tuple[bytes, bytes], ChaCha20Poly1305] = field(
        factory=OrderedDict
    )

    def get(self, key: PeerKey, session: bytes) -> ChaCha20Poly1305:
        """Return the cipher of a session, deriving it if it is not cached."""
        cache_key = (key.secret, session)
        if cache_key not in self.cached:
            self.cached[cache_key] = derive_cipher(key, session)
        self.cached.move_to_end(cache_key)
        while len(self.cached) > self.limit:
            self.cached.popitem(last=False)
        return self.cached[cache_key]


class Envelopes:
    """Encrypts the messages that one router sends, and decrypts those it receives.

    Attributes:
        router: This router's current incarnation.
        address: The address of this router.
        keys: The shared keys.
        session: The random session id of this process.
        sequence: The number of the last message sent in this session.
        ciphers: The session ciphers in use.
        rings: By other incarnation: the key names in its last accepted envelope.
        windows: The replay windows, by session of the sender.
    """

    def __init__(self, router: RouterId, address: str, keys: KeyRing) -> None:
        self.router = router
        self.address = address
        self.keys = keys
        self.session = os.urandom(SESSION_BYTES)
        self.sequence = 0
        self.ciphers = Ciphers()
        self.rings: OrderedDict[RouterId, tuple[str, ...]] = OrderedDict()
        self.windows: OrderedDict[bytes, ReplayWindow] = OrderedDict()

    def seal(self, body: bytes, to: RouterId, address: str) -> bytes:
        """Return a new envelope with an encoded frame.

        Args:
            body: The encoded frame.
            to: The receiving incarnation, or empty if only its address is known.
            address: The address of the receiver, ``ip:port``.
        """
        self.sequence += 1
        key = self.choose_key(to)
        header = Header(
            WIRE_VERSION,
            key.identifier,
            self.session,
            self.sequence,
            self.router,
            to,
            address,
            self.keys.identifiers,
        )
        clear: bytes = msgpack.packb(converter.unstructure(header))
        cipher = self.ciphers.get(key, self.session)
        sealed = cipher.encrypt(make_nonce(self.sequence), body, clear)
        return len(clear).to_bytes(LENGTH_BYTES, "big") + clear + sealed

    def choose_key(self, to: RouterId) -> PeerKey:
        """Return the newest own key that the receiver is known to have.

        During a key rotation some routers lack the newest key and refuse messages
        encrypted with it.  So each envelope lists its sender's key names.  As long as
        the receiver's keys are unknown, successive messages use the own keys in turn.
        If there is no common key, the newest own key is used.
        """
        ring = self.rings.get(to)
        if ring is None:
            return self.keys.keys[self.sequence % len(self.keys.keys)]
        shared = [key for key in self.keys.keys if key.identifier in ring]
        return shared[0] if shared else self.keys.keys[0]

    def open(self, data: bytes) -> OpenedMessage:
        """Check and decrypt an envelope, and record its session and its sender's keys.

        Raises:
            RefusedMessageError: The envelope is oversized, malformed, not authentic,
                replayed, too old, not for this incarnation, or has an unknown key.
        """
        clear, sealed = split_envelope(data)
        header = parse_header(clear)
        key = self.keys.find(header.key)
        if key is None:
            raise RefusedMessageError("unknown_key", f"no key is named {header.key!r}")
        body = self.decrypt(key, header, clear, sealed)
        self.check_receiver(header)
        self.check_replay(header)
        self.record_ring(header)
        return OpenedMessage(header, body)

    def decrypt(
        self, key: PeerKey, header: Header, clear: bytes, sealed: bytes
    ) -> bytes:
        """Decrypt the body, which also authenticates the header.

        The cipher of a session is cached only once a message of the session was
        accepted, so that forged envelopes cannot evict the ciphers in use.

        Raises:
            RefusedMessageError: The envelope is not authentic.
        """
        known = header.session in self.windows
        cipher = (self.ciphers.get if known else derive_cipher)(key, header.session)
        try:
            return cipher.decrypt(make_nonce(header.sequence), sealed, clear)
        except InvalidTag:
            raise RefusedMessageError(
                "forged", f"not authentic, sender {header.sender!r}"
            ) from None

    def check_receiver(self, header: Header) -> None:
        """Refuse a message that is not for this incarnation, or that it sent itself.

        A message that names no receiving incarnation must name this router's address.
        A message to an earlier incarnation may arrive late, when this incarnation
        already uses the address.  If it were a transfer and were accepted, it would
        credit tokens that the giver never settles with this incarnation.

        Raises:
            RefusedMessageError: The message is for another receiver, or was sent by
                this incarnation.
        """
        if header.sender == self.router:
            raise RefusedMessageError("reflected", "sent by this router itself")
        if header.receiver:
            wrong = header.receiver != self.router
        else:
            wrong = header.address != self.address
        if wrong:
            text = f"for {header.receiver!r} at {header.address}"
            raise RefusedMessageError("other_receiver", text)

    def check_replay(self, header: Header) -> None:
        """Refuse a message whose sequence number is not new in its session.

        Raises:
            RefusedMessageError: The number was received before, or is too far behind.
        """
        window = self.windows.setdefault(header.session, ReplayWindow())
        self.windows.move_to_end(header.session)
        if len(self.windows) > MAX_SESSIONS:
            self.windows.popitem(last=False)
        if not window.accept(header.sequence):
            text = f"sequence number {header.sequence} of {header.sender!r}"
            raise RefusedMessageError("replayed", text)

    def record_ring(self, header: Header) -> None:
        """Store the sender's key names, for the last `MAX_SESSIONS` senders."""
        self.rings[header.sender] = header.ring
        self.rings.move_to_end(header.sender)
        if len(self.rings) > MAX_SESSIONS:
            self.rings.popitem(last=False)


def make_nonce(sequence: int) -> bytes:
    """Return a sequence number as a nonce of `NONCE_BYTES` bytes."""
    return sequence.to_bytes(NONCE_BYTES, "big")


def split_envelope(data: bytes) -> tuple[bytes, bytes]:
    """Split an envelope into its encoded header and its encrypted body.

    Raises:
        RefusedMessageError: The envelope is too long, or ends before its body.
    """
    if len(data) > MAX_ENVELOPE:
        raise RefusedMessageError("oversized", f"envelope of {len(data)} bytes")
    end = LENGTH_BYTES + int.from_bytes(data[:LENGTH_BYTES], "big")
    if len(data) <= end:
        raise RefusedMessageError(
            "malformed", f"envelope of {len(data)} bytes ends before its body"
        )
    return data[LENGTH_BYTES:end], data[end:]


def parse_header(clear: bytes) -> Header:
    """Parse a header, which is not authenticated yet.

    Raises:
        RefusedMessageError: The bytes are not a valid header of `WIRE_VERSION`.
    """
    try:
        header = converter.structure(msgpack.unpackb(clear), Header)
    except Exception as error:
        raise RefusedMessageError("malformed", repr(error)[:200]) from error
    valid = len(header.session) == SESSION_BYTES and 0 <= header.sequence < 2**64
    if header.version != WIRE_VERSION or not valid or not header.sender:
        raise RefusedMessageError("malformed", "invalid header")
    return header
