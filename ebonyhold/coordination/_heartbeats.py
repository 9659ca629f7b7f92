"""The messages of the membership protocol, and its times and bounds."""

from __future__ import annotations

from enum import Enum

from attrs import frozen

from ebonyhold.coordination._members import MemberUpdate
from ebonyhold.types import RouterId, Seconds


@frozen
class MembershipOptions:
    """Times and bounds of the protocol.

    Attributes:
        period: From one probe to the next, in seconds.
        answer_within: How long to wait before others are asked to try.
        relays: How many others are asked.
        suspicion: Length of a suspicion, in periods for each doubling of the
            fleet's size.
        unlisted_factor: Multiplies that length for a router that is missing in
            the platform's list as well.
        recover_factor: For how many such lengths a router that is still listed
            stays gone before others may recover it.
        shared_part: If more than this part of the listed routers is silent at
            once, it is taken for a partition rather than for deaths.
        shared_patience: How long such routers stay gone before others may
            recover them, in seconds; regions lose each other for minutes.
        grace: How long an incarnation may be unknown here, while its row in the
            table is open, before others may recover it, in seconds.
        updates: The most statements in one message.
        page: The most statements sent to a router that knows too little.
        repeats: How often a statement is passed on, for each doubling of the
            fleet's size.
        forget_after: How long a gone router is kept, in seconds.
    """

    period: Seconds = 1.0
    answer_within: Seconds = 0.4
    relays: int = 3
    suspicion: float = 2.0
    unlisted_factor: float = 0.3
    recover_factor: float = 2.0
    shared_part: float = 0.1
    shared_patience: Seconds = 300.0
    grace: Seconds = 20.0
    updates: int = 6
    page: int = 40
    repeats: float = 2.0
    forget_after: Seconds = 600.0


class BeatKind(Enum):
    """What a heartbeat asks for."""

    PROBE = 0
    ACK = 1
    RELAY = 2


@frozen
class Beat:
    """One heartbeat.

    Attributes:
        kind: What it asks for.
        sequence: Chosen by whoever probes; the answer carries it back.
        updates: Statements passed on; the first is the sender's about itself.
        target: For a relay: whom to probe.
        address: For a relay: where it is reached.
        after: In a probe: the sender lacks members, and wants those whose
            identifiers follow this one; None when it lacks none.
        known: How many present members the sender knows.
        page_end: In an answer to that: the last identifier of the page.
    """

    kind: BeatKind
    sequence: int
    updates: tuple[MemberUpdate, ...] = ()
    target: RouterId = ""
    address: str = ""
    after: str | None = None
    known: int = 0
    page_end: str = ""


@frozen
class Outgoing:
    """A heartbeat to send.

    Attributes:
        to: The incarnation, or empty when only the address is known.
        address: Where to, ``ip:port``.
        beat: What to send.
    """

    to: RouterId
    address: str
    beat: Beat
