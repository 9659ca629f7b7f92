"""Which routers may be recovered, as far as one router can guess.

Recovery is safe whoever is wrong about whom.  What a wrong guess costs is a new
incarnation and the streams of the old one, so the guesses here are careful.
"""

from __future__ import annotations

import math

from attrs import define

from ebonyhold.coordination._heartbeats import MembershipOptions
from ebonyhold.coordination._members import Member, MemberUpdate, MemberView
from ebonyhold.types import RouterId, Seconds


@define
class RecoveryJudge:
    """Weighs silence, the platform's list and incarnations.

    Attributes:
        me: The router's own statement.
        view: What it knows of the others.
        options: Times and bounds.
    """

    me: MemberUpdate
    view: MemberView
    options: MembershipOptions

    def gone(self, now: Seconds) -> tuple[RouterId, ...]:
        """Return the incarnations that others may recover.

        One router whose own network fails would otherwise call all the others
        gone and seal them, which shows as the whole fleet taking new
        incarnations again and again.  Those that the platform still lists are
        only recovered after a long silence, and only by a router that hears
        from at least half of the list.
        """
        connected = self.is_connected()
        return tuple(
            member.update.router
            for member in self.view.members.values()
            if self.is_recoverable(member, now, connected)
        )

    def is_recoverable(self, member: Member, now: Seconds, connected: bool) -> bool:
        """Say whether a member's grants and bills may be taken over."""
        if member.gone_at is None:
            return False
        if self.is_superseded(member) or not self.is_listed(member):
            return True
        return connected and now >= member.gone_at + self.patience(member)

    def patience(self, member: Member) -> Seconds:
        """Return how long a gone router that the platform still lists is left alone.

        When two regions lose each other, each sees many routers fall silent that
        go on serving.  Sealing them is safe, but cuts their streams.  Deaths come
        one by one or are soon followed by the platform's list or by a new
        incarnation, so silence that many share is given more time.  Routers that
        left the list do not count: after a fleet was made smaller, one death would
        else look like a partition and strand its tokens for minutes.
        """
        listed = self.view.listed or {}
        silent = sum(
            1
            for other in self.view.members.values()
            if other.gone_at is not None
            and not self.is_superseded(other)
            and self.is_listed(other)
        )
        if silent > max(1.0, self.options.shared_part * len(listed)):
            return self.options.shared_patience
        return self.options.recover_factor * self.suspicion_length(member)

    def may_recover(self, router: RouterId, unknown_for: Seconds, now: Seconds) -> bool:
        """Say whether an incarnation with an open row in the table may be recovered.

        Rows tell of incarnations that nobody alive has known, as after a total
        restart.  Most are members from when their rows are read; the others have a
        name that another incarnation has now.  A router that is leaving, suspect, or
        only silent for the moment also is not among those alive; it must not be sealed
        for that.

        Args:
            router: The incarnation.
            unknown_for: For how long its row has been seen while the incarnation
                was unknown here, in seconds.
            now: The time, in seconds.
        """
        connected = self.is_connected()
        member = self.view.members.get(router)
        if member is not None:
            return self.is_recoverable(member, now, connected)
        name = router.rpartition(".")[0]
        same = self.view.by_name.get(name, [])
        if name == self.me.name or any(member.present for member in same):
            return unknown_for >= self.options.grace
        listed = self.view.listed
        if listed is not None and name not in listed:
            return connected and unknown_for >= self.options.grace
        return connected and unknown_for >= self.options.shared_patience

    def is_superseded(self, member: Member) -> bool:
        """Say whether a later incarnation of the same name is known."""
        update = member.update
        own = update.name == self.me.name and update.started < self.me.started
        return own or self.view.is_superseded(member)

    def is_listed(self, member: Member) -> bool:
        """Say whether the platform lists the member; True while no list was read."""
        listed = self.view.listed
        return listed is None or member.update.name in listed

    def is_connected(self) -> bool:
        """Say whether this router and those present are at least half of all."""
        listed = self.view.listed
        known = len(self.view.members if listed is None else listed)
        return 2 * (self.view.present_count + 1) >= known + 1

    def suspicion_length(self, member: Member) -> Seconds:
        """Return how long a suspicion may last before the member is called gone.

        It grows with the logarithm of the fleet, as the time does that a
        suspicion and its refutation need to reach everybody.
        """
        doublings = math.log2(self.view.present_count + 2)
        length = self.options.suspicion * max(doublings, 2.0) * self.options.period
        if not self.is_listed(member):
            length *= self.options.unlisted_factor
        return length
