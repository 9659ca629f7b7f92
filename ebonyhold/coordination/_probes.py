"""The probes that a router has under way."""

from __future__ import annotations

from attrs import define

from ebonyhold.types import RouterId, Seconds


@define
class Probe:
    """The probe in progress.

    Attributes:
        target: Who is probed, or empty when only its address is known.
        address: Where it is reached.
        sequence: The number that its answer must carry.
        relayed: Whether others were asked to try.
    """

    target: RouterId
    address: str
    sequence: int
    relayed: bool = False


@define
class RelayedProbe:
    """A probe made for another router."""

    origin: RouterId
    origin_address: str
    origin_sequence: int
    until: Seconds
