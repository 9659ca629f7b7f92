"""Suspicions of members that do not answer, until they are refuted or time out."""

from __future__ import annotations

from collections.abc import Iterator

from attrs import define, evolve

from ebonyhold.coordination._heartbeats import MembershipOptions
from ebonyhold.coordination._members import (
    Member,
    MemberStatus,
    MemberUpdate,
    MemberView,
)
from ebonyhold.coordination._recoverable import RecoveryEligibility
from ebonyhold.types import RouterId, Seconds


@define
class Suspicions:
    """The suspicions in one router's view.

    Attributes:
        view: The router's view of the others.
        eligibility: Determines how long a suspicion lasts.
        options: The protocol's parameters.
        raised: Counts the suspicions raised here.
    """

    view: MemberView
    eligibility: RecoveryEligibility
    options: MembershipOptions
    raised: int = 0

    def postpone(self, late: Seconds) -> None:
        """Extend all suspicions by the length of a pause of this process."""
        for member in self.view.members.values():
            if member.suspected_at is not None:
                member.suspected_at += late

    def suspect(self, router: RouterId, now: Seconds) -> MemberUpdate | None:
        """Suspect a member that did not answer.

        Returns:
            The update to gossip, or None if the member is unknown or its status is not
            alive.
        """
        member = self.view.members.get(router)
        if member is None or not member.present:
            return None
        if member.suspected_at is None:
            member.suspected_at = now
            self.raised += 1
        if member.update.status is not MemberStatus.ALIVE:
            return None
        return evolve(member.update, status=MemberStatus.SUSPECT)

    def expire(self, now: Seconds) -> Iterator[MemberUpdate]:
        """Yield the updates that declare members gone after their suspicion timed out.

        It also removes members that have been gone for longer than `forget_after`.
        """
        for member in list(self.view.members.values()):
            if member.gone_at is not None:
                self.forget(member, member.gone_at, now)
            elif member.suspected_at is not None and self.has_expired(member, now):
                yield evolve(member.update, status=MemberStatus.GONE)

    def forget(self, member: Member, gone_at: Seconds, now: Seconds) -> None:
        """Remove a long-gone member that was replaced or is no longer listed."""
        listed = self.view.listed
        unlisted = listed is not None and member.update.name not in listed
        long_gone = now > gone_at + self.options.forget_after
        if long_gone and (unlisted or self.eligibility.is_superseded(member)):
            self.view.forget(member)

    def has_expired(self, member: Member, now: Seconds) -> bool:
        """Return whether a suspicion has timed out.

        If a message of the member arrived after the suspicion began, the suspicion ends
        instead.
        """
        assert member.suspected_at is not None
        if now < member.suspected_at + self.eligibility.suspicion_length(member):
            return False
        if (
            member.last_message_at is not None
            and member.last_message_at > member.suspected_at
        ):
            member.suspected_at = None
            return False
        return True
