"""The messages and parameters of the membership protocol."""

from __future__ import annotations

from enum import Enum

from attrs import frozen

from ebonyhold.coordination._members import MemberUpdate
from ebonyhold.types import RouterId, Seconds


@frozen
class MembershipOptions:
    """Parameters of the membership protocol.

    Attributes:
        period: The time from one probe to the next, in seconds.
        answer_timeout: How long to wait for an answer before other routers are asked to
            relay the probe, in seconds.
        relays: The maximum number of routers that are asked to relay a probe.
        suspicion_periods: Length of a suspicion, in periods for each doubling of the
            fleet's size.
        unlisted_factor: Multiplies the length of a suspicion of a router that is not in
            the platform's list.
        recover_factor: How long a router that is still listed must be gone before it
            may be recovered, as a multiple of the length of a suspicion.
        partition_share: If more than this share of the listed routers is gone at the
            same time, a partition is assumed instead of separate failures.
        partition_delay: How long a listed router must be gone before it may be
            recovered when a partition is assumed, in seconds.  Connections between
            regions can fail for minutes.
        grace: How long the open row of an incarnation that is not in the view must be
            observed before the incarnation may be recovered, in seconds.
        max_updates: The maximum number of gossiped updates in one heartbeat.
        page_size: The maximum number of members sent to a router that lacks some.
        repeats: How often an update is sent, for each doubling of the fleet's size.
        forget_after: How long a gone router is kept in the view, in seconds.
    """

    period: Seconds = 1.0
    answer_timeout: Seconds = 0.4
    relays: int = 3
    suspicion_periods: float = 2.0
    unlisted_factor: float = 0.3
    recover_factor: float = 2.0
    partition_share: float = 0.1
    partition_delay: Seconds = 300.0
    grace: Seconds = 20.0
    max_updates: int = 6
    page_size: int = 40
    repeats: float = 2.0
    forget_after: Seconds = 600.0


class BeatKind(Enum):
    """The purpose of a heartbeat.

    Attributes:
        PROBE: Requests an acknowledgement from the receiver.
        ACK: Acknowledges a probe, directly or through a relay.
        RELAY: Requests that the receiver probes another router.
    """

    PROBE = 0
    ACK = 1
    RELAY = 2


@frozen
class Beat:
    """One heartbeat.

    Attributes:
        kind: Its purpose.
        sequence: Chosen by the prober; the acknowledgement returns it.
        updates: Membership updates; the first is the sender's own.
        target: In a relay request: the router to probe.
        address: In a relay request: the address of that router.
        after: In a probe: if the sender lacks members, the identifier after which the
            page in the answer starts; otherwise None.
        known: How many members the sender knows that are not gone.
        page_end: In an answer with a page: the last identifier of the page.
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
        to: The receiving incarnation, or empty when only its address is known.
        address: The receiver's address, ``ip:port``.
        beat: The heartbeat.
    """

    to: RouterId
    address: str
    beat: Beat
