"""Suspicions of silent members, until a sign of life or a verdict ends them."""

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
from ebonyhold.coordination._recoverable import RecoveryJudge
from ebonyhold.types import RouterId, Seconds


@define
class Suspicions:
    """The suspicions that one router holds.

    Attributes:
        view: What the router knows of the others.
        judge: Says how long a suspicion lasts.
        options: Times and bounds.
        raised: Counts the suspicions raised here.
    """

    view: MemberView
    judge: RecoveryJudge
    options: MembershipOptions
    raised: int = 0

    def postpone(self, late: Seconds) -> None:
        """Move all suspicions by a time in which this process did not run."""
        for member in self.view.members.values():
            if member.silent_at is not None:
                member.silent_at += late

    def raise_against(self, router: RouterId, now: Seconds) -> MemberUpdate | None:
        """Suspect a member that did not answer; return the statement if it is new."""
        member = self.view.members.get(router)
        if member is None or not member.present:
            return None
        if member.silent_at is None:
            member.silent_at = now
            self.raised += 1
        if member.update.status is not MemberStatus.ALIVE:
            return None
        return evolve(member.update, status=MemberStatus.SUSPECT)

    def expire(self, now: Seconds) -> Iterator[MemberUpdate]:
        """Yield whom to call gone, as their time has run out; forget the long gone."""
        for member in list(self.view.members.values()):
            if member.gone_at is not None:
                self.forget(member, member.gone_at, now)
            elif member.silent_at is not None and self.is_over(member, now):
                yield evolve(member.update, status=MemberStatus.GONE)

    def forget(self, member: Member, gone_at: Seconds, now: Seconds) -> None:
        """Drop a member that has been gone for long and will not come back."""
        listed = self.view.listed
        finished = listed is not None and member.update.name not in listed
        old = now > gone_at + self.options.forget_after
        if old and (finished or self.judge.is_superseded(member)):
            self.view.forget(member)

    def is_over(self, member: Member, now: Seconds) -> bool:
        """Say whether a suspicion has run out; a sign of life since ends it."""
        assert member.silent_at is not None
        if now < member.silent_at + self.judge.suspicion_length(member):
            return False
        if member.heard_at is not None and member.heard_at > member.silent_at:
            member.silent_at = None
            return False
        return True
