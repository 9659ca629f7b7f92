"""Envelopes and frames: which are accepted, and why others are refused."""

from __future__ import annotations

from collections.abc import Callable

import msgpack
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ebonyhold.coordination import Beat, BeatKind, MemberStatus, MemberUpdate
from ebonyhold.exceptions import RefusedMessageError
from ebonyhold.routers import Envelopes, KeyRing, PeerKey, VersionNotice
from ebonyhold.routers._envelope import MAX_ENVELOPE, REPLAY_WINDOW
from ebonyhold.routers._exchange import Frame, Purpose
from ebonyhold.routers._wire import MAX_BODY, Gossip, decode, encode

K1, K2, K3 = (PeerKey(f"k{n}", bytes([n]) * 32) for n in (1, 2, 3))
HERE, THERE = "10.0.0.1:1", "10.0.0.2:1"
BODY = b"a message"

quick = settings(max_examples=150, derandomize=True, deadline=None)


def make_pair(
    sender: tuple[PeerKey, ...] = (K1,), receiver: tuple[PeerKey, ...] = (K1,)
) -> tuple[Envelopes, Envelopes]:
    return (
        Envelopes("a.1", HERE, KeyRing(sender)),
        Envelopes("b.1", THERE, KeyRing(receiver)),
    )


def reason(receiver: Envelopes, data: bytes) -> str:
    try:
        receiver.open(data)
    except RefusedMessageError as error:
        return error.reason
    return "accepted"


def flip_bit(data: bytes, place: int) -> bytes:
    changed = bytearray(data)
    changed[place] ^= 1
    return bytes(changed)


@pytest.mark.parametrize(
    ("change", "wanted"),
    [
        (lambda data: data, "accepted"),
        (lambda data: b"", "malformed"),
        (lambda data: data[:1], "malformed"),
        (lambda data: data[:40], "malformed"),
        (lambda data: data[:-1], "forged"),
        (lambda data: data + b"x", "forged"),
        (lambda data: flip_bit(data, -1), "forged"),
        (lambda data: flip_bit(data, -20), "forged"),
        (lambda data: data.replace(b"a.1", b"c.1"), "forged"),
        (lambda data: data.replace(b"b.1", b"b.2"), "forged"),
        (lambda data: data.replace(b"k1", b"k9"), "unknown_key"),
        (lambda data: data + b"x" * MAX_ENVELOPE, "oversized"),
        (lambda data: b"\x00\x01\x90" + data, "malformed"),
    ],
)
def test_a_changed_envelope_is_refused(
    change: Callable[[bytes], bytes], wanted: str
) -> None:
    sender, receiver = make_pair()
    assert reason(receiver, change(sender.seal(BODY, "b.1", THERE))) == wanted


@pytest.mark.parametrize(
    ("to", "address", "wanted"),
    [
        ("b.1", THERE, "accepted"),
        ("b.1", "10.9.9.9:1", "accepted"),
        ("", THERE, "accepted"),
        ("", "10.9.9.9:1", "other_receiver"),
        ("b.0", THERE, "other_receiver"),
        ("c.1", THERE, "other_receiver"),
    ],
)
def test_only_messages_to_this_incarnation_are_accepted(
    to: str, address: str, wanted: str
) -> None:
    """A message is queued while its receiver starts a new incarnation.

    The new incarnation has the same address and must refuse the message.  A message
    that names no incarnation is accepted only at the address that it names.
    """
    sender, receiver = make_pair()
    assert reason(receiver, sender.seal(BODY, to, address)) == wanted


def test_a_reflected_message_is_refused() -> None:
    sender, _ = make_pair()
    assert reason(sender, sender.seal(BODY, "", HERE)) == "reflected"


def test_replayed_messages_are_refused() -> None:
    """Someone on the network records messages and sends them again.

    A message that was accepted before, or is older than the replay window, is refused.
    A reordered one within the window is accepted.
    """
    sender, receiver = make_pair()
    messages = [sender.seal(BODY, "b.1", THERE) for _ in range(REPLAY_WINDOW + 3)]
    assert reason(receiver, messages[5]) == "accepted"
    assert reason(receiver, messages[4]) == "accepted"
    assert reason(receiver, messages[5]) == "replayed"
    assert reason(receiver, messages[-1]) == "accepted"
    assert reason(receiver, messages[1]) == "replayed"
    assert reason(receiver, messages[10]) == "accepted"


def test_a_restarted_sender_starts_a_new_session() -> None:
    _, receiver = make_pair()
    for _ in range(2):
        sender, _ = make_pair()
        assert reason(receiver, sender.seal(BODY, "b.1", THERE)) == "accepted"


@pytest.mark.parametrize(
    ("sender_keys", "receiver_keys", "wanted"),
    [
        ((K1,), (K1,), "accepted"),
        ((K2, K1), (K1,), "accepted"),
        ((K1,), (K2, K1), "accepted"),
        ((K2, K1), (K2, K1), "accepted"),
        ((K2,), (K2, K1), "accepted"),
        ((K2, K1), (K2,), "accepted"),
        ((K1,), (K2,), "unknown_key"),
        ((PeerKey("k1", b"x" * 32),), (K1,), "forged"),
    ],
)
def test_each_step_of_a_rotation(
    sender_keys: tuple[PeerKey, ...], receiver_keys: tuple[PeerKey, ...], wanted: str
) -> None:
    """Operators add a new key to one router after another while all run.

    The sender learns the receiver's keys from one accepted message, and then uses a
    key that both have.  A message with a removed key is refused.
    """
    sender, receiver = make_pair(sender_keys, receiver_keys)
    for _ in range(2):
        first = receiver.seal(BODY, "a.1", HERE)
        if reason(sender, first) == "accepted":
            break
    assert reason(receiver, sender.seal(BODY, "b.1", THERE)) == wanted


def test_each_key_is_tried_for_a_receiver_with_unknown_keys() -> None:
    sender, receiver = make_pair((K3, K2, K1), (K1,))
    found = {reason(receiver, sender.seal(BODY, "b.1", THERE)) for _ in range(3)}
    assert found == {"accepted", "unknown_key"}


@quick
@given(st.binary(max_size=400))
def test_any_bytes_are_refused(data: bytes) -> None:
    _, receiver = make_pair()
    assert reason(receiver, data) != "accepted"


@quick
@given(st.integers(0, 10_000), st.binary(min_size=1, max_size=8))
def test_any_damage_is_refused(place: int, noise: bytes) -> None:
    sender, receiver = make_pair()
    data = sender.seal(BODY, "b.1", THERE)
    place %= len(data)
    damaged = data[:place] + noise + data[place + len(noise) :]
    assert damaged == data or reason(receiver, damaged) != "accepted"
    assert reason(receiver, data) in ("accepted", "replayed")


msgpack_values = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | st.text(max_size=9),
    lambda inner: st.lists(inner, max_size=5),
    max_leaves=12,
)


@quick
@given(
    st.one_of(
        st.binary(max_size=200),
        msgpack_values.map(msgpack.packb),
        msgpack_values.map(lambda value: msgpack.packb([0, 1, "gossip", value])),
        msgpack_values.map(
            lambda value: msgpack.packb([1, 1, "version_notice", value])
        ),
    )
)
def test_a_faulty_peer_cannot_end_the_receiving_task(body: bytes) -> None:
    """A faulty peer with the right key sends malformed messages.

    Each must be decoded or refused as malformed; another exception would end the
    receiving task.
    """
    try:
        assert isinstance(decode(body), Frame)
    except RefusedMessageError as error:
        assert error.reason == "malformed"


@pytest.mark.parametrize(
    "message",
    [
        VersionNotice(7, "digest"),
        Gossip(
            Beat(
                BeatKind.PROBE,
                1,
                (MemberUpdate("a.1", HERE, "d", MemberStatus.SUSPECT, 3, 9),),
                after="b.1",
            )
        ),
    ],
)
def test_a_frame_is_decoded_as_it_was_encoded(message: VersionNotice | Gossip) -> None:
    frame = Frame(Purpose.QUESTION, 5, message)
    assert decode(encode(frame)) == frame


def test_a_message_that_is_too_long_is_not_sent() -> None:
    with pytest.raises(RefusedMessageError) as raised:
        encode(Frame(Purpose.NOTICE, 0, VersionNotice(1, "x" * MAX_BODY)))
    assert raised.value.reason == "oversized"


def test_a_later_release_may_append_fields() -> None:
    body = msgpack.packb([0, 0, "version_notice", [7, "digest", "more"]])
    assert decode(body).message == VersionNotice(7, "digest")
