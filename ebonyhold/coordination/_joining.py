"""How a router that lacks members gets to know them, a page at a time."""

from __future__ import annotations

from attrs import define

from ebonyhold.coordination._heartbeats import Beat
from ebonyhold.coordination._members import MemberUpdate, MemberView
from ebonyhold.types import RouterId, Seconds

JOIN_HURRY = 0.5
"""Multiplies the period while a router that has started lacks members."""

JOIN_PERIODS = 60
"""For how many periods after its start a router is in that hurry."""

COMPLETE = 0.9
"""The part of the fleet that a router must know to ask for no more pages."""


@define
class Joining:
    """The part of the fleet that one router does not know yet.

    Attributes:
        view: What it knows of the others.
        page: The most members in one answer.
        cursor: The last identifier of the last page; the next follows it.
        hurry_until: Until when a router that lacks members probes faster.
        started_lately: Whether it is still in that hurry.
        known_elsewhere: How many members the last answer said there are.
    """

    view: MemberView
    page: int
    cursor: RouterId
    hurry_until: Seconds
    started_lately: bool = True
    known_elsewhere: int = 0

    def hurry(self, now: Seconds) -> float:
        """Return what multiplies the period."""
        self.started_lately = now < self.hurry_until and self.lacks_members()
        return JOIN_HURRY if self.started_lately else 1.0

    def lacks_members(self) -> bool:
        """Say whether the router knows fewer than it should.

        One that has just started wants all of them.  Later a few may be missing:
        the platform's list lags, and lists those that are gone.
        """
        expected = max(len(self.view.listed or {}), self.known_elsewhere)
        enough = expected if self.started_lately else COMPLETE * expected
        return self.view.present_count < enough

    def page_after(self, after: RouterId) -> tuple[MemberUpdate, ...]:
        """Return the present members that follow an identifier, round and round."""
        present = sorted(
            (member.update for member in self.view.present()),
            key=lambda update: (update.router <= after, update.router),
        )
        return tuple(present[: self.page])

    def turn_page(self, beat: Beat) -> None:
        """Note what an answer says of the members that are lacking here."""
        self.known_elsewhere = beat.known
        if beat.page_end:
            self.cursor = beat.page_end
