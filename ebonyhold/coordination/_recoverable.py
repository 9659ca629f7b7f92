"""Decides, by one router's view of the membership, which others may be recovered.

Recovery is safe even if the view is wrong.  But a running router that is recovered must
start a new incarnation and loses its open streams, so the rules are conservative.
"""

from __future__ import annotations

import math

from attrs import define

from ebonyhold.coordination._heartbeats import MembershipOptions
from ebonyhold.coordination._members import Member, MemberUpdate, MemberView
from ebonyhold.types import RouterId, Seconds


@define
class RecoveryEligibility:
    """Decides which routers may be recovered.

    It considers how long they have been gone, the platform's list, and later
    incarnations.

    Attributes:
        own_update: The router's update about itself.
        view: The router's view of the others.
        options: The protocol's parameters.
    """

    own_update: MemberUpdate
    view: MemberView
    options: MembershipOptions

    def recoverable(self, now: Seconds) -> tuple[RouterId, ...]:
        """Return the incarnations that may be recovered.

        Routers that the platform still lists are recovered only after a delay, and only
        by a router that is connected to at least half of the list.  Otherwise a router
        whose own network fails would declare all others gone and seal them, and the
        whole fleet would repeatedly start new incarnations.
        """
        connected = self.is_connected()
        return tuple(
            member.update.router
            for member in self.view.members.values()
            if self.is_recoverable(member, now, connected)
        )

    def is_recoverable(self, member: Member, now: Seconds, connected: bool) -> bool:
        """Return whether a member may be recovered.

        A gone member may be recovered immediately if it was replaced or is not listed.
        Otherwise it must have been gone for `recovery_delay`, and this router must be
        connected (see `is_connected`).
        """
        if member.gone_at is None:
            return False
        if self.is_superseded(member) or not self.is_listed(member):
            return True
        return connected and now >= member.gone_at + self.recovery_delay(member)

    def recovery_delay(self, member: Member) -> Seconds:
        """Return how long a listed router must be gone before it is recovered.

        When two regions lose their connection, the routers of each declare many routers
        of the other gone, although these are still serving.  Sealing these is safe but
        cuts their streams.  Real failures are isolated, or soon confirmed by the
        platform's list or a new incarnation, so the delay is longer when many routers
        are gone at the same time.  Routers that are no longer listed are not counted.
        After a fleet was scaled down, they would make a single failure look like a
        partition, and its tokens would be unavailable for minutes.
        """
        listed = self.view.listed or {}
        silent = sum(
            1
            for other in self.view.members.values()
            if other.gone_at is not None
            and not self.is_superseded(other)
            and self.is_listed(other)
        )
        if silent > max(1.0, self.options.partition_share * len(listed)):
            return self.options.partition_delay
        return self.options.recover_factor * self.suspicion_length(member)

    def may_recover(self, router: RouterId, unknown_for: Seconds, now: Seconds) -> bool:
        """Return whether an incarnation with an open row in the table may be recovered.

        After a restart of the whole fleet, the table holds rows of incarnations that no
        running router has known.  Most become members when their rows are read.  The
        others share their name with a present incarnation and are recovered after a
        delay.  A member is recovered only when it is gone: one that is leaving or
        suspect may still be serving.

        Args:
            router: The incarnation.
            unknown_for: How long its row has been observed while the incarnation was
                not alive in this router's view, in seconds.
            now: The time, in seconds.
        """
        connected = self.is_connected()
        member = self.view.members.get(router)
        if member is not None:
            return self.is_recoverable(member, now, connected)
        name = router.rpartition(".")[0]
        same = self.view.by_name.get(name, [])
        if name == self.own_update.name or any(member.present for member in same):
            return unknown_for >= self.options.grace
        listed = self.view.listed
        if listed is not None and name not in listed:
            return connected and unknown_for >= self.options.grace
        return connected and unknown_for >= self.options.partition_delay

    def is_superseded(self, member: Member) -> bool:
        """Return whether a later incarnation of the same name is known."""
        update = member.update
        replaced = (
            update.name == self.own_update.name
            and update.started < self.own_update.started
        )
        return replaced or self.view.is_superseded(member)

    def is_listed(self, member: Member) -> bool:
        """Return whether the platform lists a member; True before the first read."""
        listed = self.view.listed
        return listed is None or member.update.name in listed

    def is_connected(self) -> bool:
        """Return whether at least half of the routers are present, including this one.

        The platform's list determines how many there are, or, before the first read of
        the list, the view.
        """
        listed = self.view.listed
        known = len(self.view.members if listed is None else listed)
        return 2 * (self.view.present_count + 1) >= known + 1

    def suspicion_length(self, member: Member) -> Seconds:
        """Return how long a suspicion lasts before the member is declared gone.

        It grows with the logarithm of the fleet's size, as does the time that a
        suspicion and its refutation need to reach all routers.  It is shorter for a
        member that the platform does not list.
        """
        doublings = math.log2(self.view.present_count + 2)
        length = (
            self.options.suspicion_periods * max(doublings, 2.0) * self.options.period
        )
        if not self.is_listed(member):
            length *= self.options.unlisted_factor
        return length
