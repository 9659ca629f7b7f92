"""The membership view of one router, and the rule that merges two views.

The view is a hint.  Nothing that must be safe rests on it: a router that is
wrongly called gone may be sealed, and then it only takes a new incarnation.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from enum import Enum

from attrs import define, field, frozen

from ebonyhold.types import RouterId, Seconds

FINAL_REVISION = 2**53
"""The revision of an incarnation that another one replaced; nothing refutes it."""


class MemberStatus(Enum):
    """What is believed of a router; the larger value wins at the same revision."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    GONE = 3


@frozen
class MemberUpdate:
    """One statement about one incarnation, as routers pass it on.

    Attributes:
        router: The incarnation.
        address: Where its peers reach it, ``ip:port``.
        domain: Its failure domain.
        status: What is believed.
        revision: Raised only by the router itself, to refute what is said of it.
        started: When the incarnation began, in milliseconds since the epoch; it
            orders the incarnations of one name.
    """

    router: RouterId
    address: str
    domain: str
    status: MemberStatus
    revision: int = 0
    started: int = 0

    @property
    def name(self) -> str:
        """Return the VM's name, which the next incarnation will have too."""
        return self.router.rpartition(".")[0]

    @property
    def order(self) -> tuple[int, int]:
        """Return what decides which of two statements holds."""
        return (self.revision, self.status.value)


@frozen
class Listed:
    """One router in the platform's membership list.

    Attributes:
        name: The VM's name.
        address: Where its peers reach it, ``ip:port``.
        domain: Its failure domain.
        leaving: Whether the platform is about to stop it.
    """

    name: str
    address: str
    domain: str = ""
    leaving: bool = False


@define
class Member:
    """What this router knows of another incarnation.

    Attributes:
        update: The statement that holds.
        heard_at: When it last spoke to this router itself, or None.
        silent_at: Since when it is believed silent, or None.
        gone_at: When it was called gone here, or None.
    """

    update: MemberUpdate
    heard_at: Seconds | None = None
    silent_at: Seconds | None = None
    gone_at: Seconds | None = None

    @property
    def present(self) -> bool:
        """Say whether it is believed to run, if perhaps slowly."""
        return self.update.status is not MemberStatus.GONE


@define
class MemberView:
    """All that is known of the other routers.

    Attributes:
        members: By incarnation.
        listed: The platform's list by name, as last read; None before.
    """

    members: dict[RouterId, Member] = field(factory=dict)
    listed: dict[str, Listed] | None = None

    def present(self) -> list[Member]:
        """Return the members that are not gone."""
        return [member for member in self.members.values() if member.present]

    def merge(self, update: MemberUpdate, now: Seconds) -> bool:
        """Take in one statement; return whether it was news.

        The rule is commutative, associative and idempotent, so the order in
        which statements arrive, and how often, does not matter.
        """
        member = self.members.get(update.router)
        if member is not None and update.order <= member.update.order:
            return False
        if member is None:
            member = self.members[update.router] = Member(update)
        member.update = update
        self.stamp(member, now)
        self.replace_older(update, now)
        return True

    def stamp(self, member: Member, now: Seconds) -> None:
        """Set the member's times to fit its new status."""
        status = member.update.status
        if status is MemberStatus.ALIVE:
            member.silent_at = None
        elif status is MemberStatus.SUSPECT and member.silent_at is None:
            member.silent_at = now
        gone = status is MemberStatus.GONE
        member.gone_at = (member.gone_at or now) if gone else None

    def replace_older(self, update: MemberUpdate, now: Seconds) -> None:
        """Call the older incarnations of a name gone for ever.

        A delayed message of the incarnation before must not call its successor
        gone, which would show as a healthy router being sealed.  The start
        times order the two whatever the order of arrival.
        """
        same = [
            member
            for member in self.members.values()
            if member.update.name == update.name
        ]
        newest = max(same, key=lambda member: member.update.started)
        for member in same:
            if member.update.started < newest.update.started and member.present:
                member.update = final(member.update)
                self.stamp(member, now)

    def forget(self, router: RouterId) -> None:
        """Remove a member."""
        self.members.pop(router, None)


def final(update: MemberUpdate) -> MemberUpdate:
    """Return the statement that this incarnation is gone and cannot come back."""
    return MemberUpdate(
        update.router,
        update.address,
        update.domain,
        MemberStatus.GONE,
        FINAL_REVISION,
        update.started,
    )


def responsible(job: str, survivors: Iterable[RouterId]) -> RouterId | None:
    """Choose who does a job, the same choice for all who see the same survivors.

    Rendezvous hashing: when a survivor goes, only its own jobs move.

    >>> responsible("recover a.1", ["b.1", "c.1", "d.1"])
    'b.1'
    >>> responsible("recover a.1", ["b.1", "c.1"])
    'b.1'
    """
    return max(survivors, key=lambda router: weight(job, router), default=None)


def weight(job: str, router: RouterId) -> bytes:
    """Return the rank of a router for a job, as bytes to compare."""
    return hashlib.blake2b(f"{job}\n{router}".encode(), digest_size=16).digest()
