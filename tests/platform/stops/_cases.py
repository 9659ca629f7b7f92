"""Table of cases: how VMs are stopped, and how callers use them meanwhile."""

from __future__ import annotations

from enum import Enum

from attrs import frozen

from tests.platform.kit import Length, Style


class Overlap(Enum):
    """How the stops of a domain's VMs overlap."""

    ALONE = "one VM stops"
    TOGETHER = "all VMs stop within a moment"
    ROLLING = "all stop, a second or so apart, and start again after their end"
    SERIES = "each stops once the one before has started again"


class Disturbance(Enum):
    """Further events around the stops."""

    NONE = "nothing"
    AGAIN = "further SIGTERMs come during the stop"
    RELOAD = "SIGHUPs come before and during the stop"
    STARTING = "the SIGTERM comes while the process starts"
    SILENT = "nothing passes on the way to the store, from before the signal on"


PLAIN = Length(0, 0.02)
"""One body after a short pause."""

DELAYED = Length(0, 1.5)
"""One body after a long pause."""

SHORT = Length(2, 0.02)
MIDDLE = Length(20, 0.06)
LONG = Length(60, 0.06)
ENDLESS = Length(150, 0.06)
"""A stream of 9 s, longer than the grace of 8 s."""

USUAL_LENGTHS = (PLAIN, SHORT, MIDDLE)
"""Answers of at most 1.2 s, much less than the grace."""

ALL_LENGTHS = (PLAIN, DELAYED, SHORT, MIDDLE, LONG, ENDLESS)
SLOWER_LENGTHS = (Length(43, 0.1), Length(0, 4.3))
"""Answers of 4.3 s, longer than what is left of the grace when they are asked for."""

USUAL_STYLES = (Style.NEW, Style.KEPT)
"""Connections for one request, and connections that are kept for several."""

ALL_STYLES = tuple(Style)


@frozen
class Case:
    """One row of the table.

    Attributes:
        name: The row's name.
        vms: The number of VMs in the domain.
        overlap: How the stops of these VMs overlap.
        styles: How callers use connections; callers have the styles in turn.
        lengths: The sizes of answers, of which each request has a random one.
        disturbance: Further events around the stops.
        metered: Whether requests state numbers of tokens, which are charged to a
            prepaid workspace.
        callers: The number of callers.
        slower_late: Whether one in four of the requests that come late in a stop has
            one of `SLOWER_LENGTHS`.
    """

    name: str
    vms: int = 1
    overlap: Overlap = Overlap.TOGETHER
    styles: tuple[Style, ...] = USUAL_STYLES
    lengths: tuple[Length, ...] = USUAL_LENGTHS
    disturbance: Disturbance = Disturbance.NONE
    metered: bool = True
    callers: int = 6
    slower_late: bool = False


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
    Case("one-slower-late", slower_late=True),
    Case("one-slower-late-pipelined", styles=(Style.PIPELINED,), slower_late=True),
)
"""The cases that CI runs."""

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
        # Stops during the start come at random times, whatever the overlap.
        if disturbance is not Disturbance.STARTING or overlap is Overlap.TOGETHER
    ),
)
"""`CASES` and each combination of VMs, overlap and disturbance.

They run by hand and in the tests marked `soak`.
"""
