"""A router's probes in progress."""

from __future__ import annotations

from attrs import define

from ebonyhold.types import RouterId, Seconds


@define
class Probe:
    """The probe in progress.

    Attributes:
        target: The probed router, or empty when only its address is known.
        address: The probed address.
        sequence: The sequence number that the answer must carry.
        relayed: Whether relays have been requested.
    """

    target: RouterId
    address: str
    sequence: int
    relayed: bool = False


@define
class RelayedProbe:
    """A probe on behalf of another router, the origin.

    Attributes:
        origin: The router that requested it.
        origin_address: The address for the answer to the origin.
        origin_sequence: The sequence number of the origin's own probe.
        until: When it is dropped if no answer has arrived.
    """

    origin: RouterId
    origin_address: str
    origin_sequence: int
    until: Seconds
