"""How a router that lacks members requests them from its peers, in pages."""

from __future__ import annotations

from attrs import define

from ebonyhold.coordination._heartbeats import Beat
from ebonyhold.coordination._members import MemberUpdate, MemberView
from ebonyhold.types import RouterId, Seconds

JOIN_PERIOD_FACTOR = 0.5
"""Multiplies the probe period of a newly started router that lacks members."""

JOIN_PERIODS = 60
"""How long after its start a router may use the shorter period, in probe periods."""

SUFFICIENT_SHARE = 0.9
"""A router that knows less than this share of the expected members requests pages.

While a router is joining, it requests pages until it knows all expected members.
"""


@define
class Joining:
    """State of one router's requests for members that it does not know yet.

    Attributes:
        view: The router's view of the others.
        page_size: The maximum number of members in one answer.
        cursor: The last identifier of the last page; the next page follows it.
        join_until: Until when a router that lacks members probes faster.
        is_joining: Whether it currently probes faster.
        reported_count: The number of members that the last answer reported.
    """

    view: MemberView
    page_size: int
    cursor: RouterId
    join_until: Seconds
    is_joining: bool = True
    reported_count: int = 0

    def period_factor(self, now: Seconds) -> float:
        """Return the factor for the probe period, and update `is_joining`."""
        self.is_joining = now < self.join_until and self.lacks_members()
        return JOIN_PERIOD_FACTOR if self.is_joining else 1.0

    def lacks_members(self) -> bool:
        """Return whether the router knows fewer members than expected.

        The expected number is that of the platform's list or that in the last answer,
        whichever is larger.  A router that has just started needs all expected members.
        Later a few may be missing, because the list may still contain routers that are
        gone.
        """
        expected = max(len(self.view.listed or {}), self.reported_count)
        sufficient = expected if self.is_joining else SUFFICIENT_SHARE * expected
        return self.view.present_count < sufficient

    def page_after(self, after: RouterId) -> tuple[MemberUpdate, ...]:
        """Return a page of the present members after an identifier, wrapping around."""
        present = sorted(
            (member.update for member in self.view.present()),
            key=lambda update: (update.router <= after, update.router),
        )
        return tuple(present[: self.page_size])

    def receive_page(self, beat: Beat) -> None:
        """Record the member count and the end of the page from an answer."""
        self.reported_count = beat.known
        if beat.page_end:
            self.cursor = beat.page_end
