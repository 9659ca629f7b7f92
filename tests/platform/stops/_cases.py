"""The table: which VMs stop how, and what their callers do meanwhile."""

from __future__ import annotations

from enum import Enum

from attrs import frozen

from tests.platform.kit import Length, Style


class Overlap(Enum):
    """How the stops of a domain lie to each other."""

    ALONE = "one VM stops"
    TOGETHER = "all VMs stop within a moment"
    ROLLING = "all stop, a second or so apart, and start again after their end"
    SERIES = "each stops once the one before has started again"


class Disturbance(Enum):
    """What else happens around the stops."""

    NONE = "nothing"
    AGAIN = "further SIGTERMs come during the stop"
    RELOAD = "SIGHUPs come before and during the stop"
    STARTING = "the SIGTERM comes while the process starts"
    SILENT = "nothing passes on the way to the store, from before the signal on"


PLAIN = Length(0, 0.02)
DELAYED = Length(0, 1.5)
SHORT = Length(2, 0.02)
MIDDLE = Length(20, 0.06)
LONG = Length(60, 0.06)
ENDLESS = Length(150, 0.06)
"""9 s: longer than the grace."""

USUAL_LENGTHS = (PLAIN, SHORT, MIDDLE)
ALL_LENGTHS = (PLAIN, DELAYED, SHORT, MIDDLE, LONG, ENDLESS)
USUAL_STYLES = (Style.NEW, Style.KEPT)
ALL_STYLES = tuple(Style)


@frozen
class Case:
    """One row of the table.

    Attributes:
        name: What the row is called.
        vms: The VMs of the domain.
        overlap: How their stops lie.
        styles: What callers do; the first caller has the first style, and so on.
        lengths: The answers that they ask for, by chance.
        trouble: What else happens.
        priced: Whether requests name tokens of a workspace that has prepaid.
        callers: How many there are.
    """

    name: str
    vms: int = 1
    overlap: Overlap = Overlap.TOGETHER
    styles: tuple[Style, ...] = USUAL_STYLES
    lengths: tuple[Length, ...] = USUAL_LENGTHS
    disturbance: Disturbance = Disturbance.NONE
    metered: bool = True
    callers: int = 6


CASES = (
    Case("idle", callers=0),
    Case("one-new", styles=(Style.NEW,)),
    Case("one-kept", styles=(Style.KEPT,)),
    Case("one-pipelined", styles=(Style.PIPELINED,)),
    Case("one-crossing", styles=(Style.CROSSING,), lengths=(PLAIN, DELAYED)),
    Case("one-slow-head", styles=(Style.SLOW_HEAD,)),
    Case("one-slow-body", styles=(Style.SLOW_BODY,)),
    Case("one-long", lengths=(DELAYED, MIDDLE, LONG, ENDLESS)),
    Case("one-without-price", lengths=ALL_LENGTHS, metered=False),
    Case("one-again", styles=ALL_STYLES, disturbance=Disturbance.AGAIN),
    Case("one-reload", styles=ALL_STYLES, disturbance=Disturbance.RELOAD),
    Case("three-starting", vms=3, disturbance=Disturbance.STARTING),
    Case("one-silent", disturbance=Disturbance.SILENT),
    Case("two-alone", vms=2, overlap=Overlap.ALONE, styles=ALL_STYLES),
    Case("two-together", vms=2, styles=ALL_STYLES, lengths=ALL_LENGTHS),
    Case("two-series", vms=2, overlap=Overlap.SERIES),
    Case("three-rolling", vms=3, overlap=Overlap.ROLLING, lengths=ALL_LENGTHS),
    Case("three-together", vms=3, styles=ALL_STYLES),
)
"""The rows that each change plays."""

LONG_CASES = (
    *CASES,
    *(
        Case(
            f"{vms}-{overlap.name}-{disturbance.name}".lower(),
            vms,
            overlap,
            ALL_STYLES,
            ALL_LENGTHS,
            disturbance,
        )
        for vms in (1, 2, 3)
        for overlap in Overlap
        for disturbance in Disturbance
        # A process that is stopped while it starts has no others' stops to overlap.
        if disturbance is not Disturbance.STARTING or overlap is Overlap.TOGETHER
    ),
)
"""The rows that are played by hand."""
