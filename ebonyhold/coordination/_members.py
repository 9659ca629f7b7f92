"""The membership view of one router, and the rule that merges two views.

The view is a hint.  Nothing that must be safe rests on it: a router that is
wrongly called gone may be sealed, and then it only takes a new incarnation.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable
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
        unmet: Whether only its row in the table tells of it.  No router is known to
            have heard from it, so it is probed but not turned to.
    """

    update: MemberUpdate
    heard_at: Seconds | None = None
    silent_at: Seconds | None = None
    gone_at: Seconds | None = None
    unmet: bool = False

    @property
    def present(self) -> bool:
        """Say whether it is believed to run, if perhaps slowly."""
        return self.update.status is not MemberStatus.GONE

    @property
    def counted(self) -> bool:
        """Say whether it is one of the present members that somebody has met.

        A router that is cut off reads the rows of the whole fleet; if they counted,
        it would take itself for connected and recover all the others.
        """
        return self.present and not self.unmet


StatusChange = Callable[["Member", MemberStatus | None], None]
"""Is told of a member and what was believed of it before; None for a new one."""


def ignore_change(member: Member, before: MemberStatus | None) -> None:
    """Take no note of a change."""


@define
class MemberView:
    """All that is known of the other routers.

    Attributes:
        on_change: Is told whenever the status of a member changes.
        members: By incarnation.
        by_name: The incarnations of each name.
        by_address: The newest incarnation at each address.
        listed: The platform's list by name, as last read; None before.
        present_count: How many members are not gone, the unmet left out.
    """

    on_change: StatusChange = ignore_change
    members: dict[RouterId, Member] = field(factory=dict)
    by_name: dict[str, list[Member]] = field(factory=dict)
    by_address: dict[str, Member] = field(factory=dict)
    listed: dict[str, Listed] | None = None
    present_count: int = 0

    def present(self) -> list[Member]:
        """Return the members that are not gone, the unmet left out."""
        return [member for member in self.members.values() if member.counted]

    def is_superseded(self, member: Member) -> bool:
        """Say whether a later incarnation of the same name is known."""
        started = member.update.started
        same = self.by_name.get(member.update.name, [])
        return any(other.update.started > started for other in same)

    def merge(self, update: MemberUpdate, now: Seconds) -> bool:
        """Take in one statement; return whether it was news.

        The rule is commutative, associative and idempotent, so the order in
        which statements arrive, and how often, does not matter.
        """
        member = self.members.get(update.router)
        if member is not None and update.order <= member.update.order:
            return False
        before = None if member is None else member.update.status
        if member is None:
            member = self.add(Member(update))
        self.change(member, update, now)
        if before is not update.status:
            self.on_change(member, before)
        self.replace_older(update, now)
        return True

    def add_unmet(self, update: MemberUpdate, now: Seconds) -> None:
        """Begin to know an incarnation of which only its row in the table tells.

        One of a name that is present is left out: its predecessor may still be the
        one that answers, and a statement of its own will say which is the later.
        """
        same = self.by_name.get(update.name, [])
        if update.router in self.members or any(other.present for other in same):
            return
        member = self.add(Member(update, unmet=True))
        self.on_change(member, None)
        self.replace_older(update, now)

    def meet(self, member: Member) -> None:
        """Note that somebody has met a member."""
        if not member.unmet:
            return
        member.unmet = False
        self.present_count += member.counted
        self.on_change(member, member.update.status)

    def add(self, member: Member) -> Member:
        """Begin to know an incarnation."""
        update = member.update
        self.members[update.router] = member
        self.by_name.setdefault(update.name, []).append(member)
        self.present_count += member.counted
        known = self.by_address.get(update.address)
        if known is None or known.update.started <= update.started:
            self.by_address[update.address] = member
        return member

    def change(self, member: Member, update: MemberUpdate, now: Seconds) -> None:
        """Set what holds of a member, and its times to fit."""
        self.present_count -= member.counted
        member.update = update
        self.present_count += member.counted
        if update.status is MemberStatus.ALIVE:
            member.silent_at = None
        elif update.status is MemberStatus.SUSPECT and member.silent_at is None:
            member.silent_at = now
        gone_at = now if member.gone_at is None else member.gone_at
        member.gone_at = None if member.present else gone_at

    def replace_older(self, update: MemberUpdate, now: Seconds) -> None:
        """Call the older incarnations of a name gone for ever.

        A delayed message of the incarnation before must not call its successor
        gone, which would show as a healthy router being sealed.  The start
        times order the two whatever the order of arrival.
        """
        for member in self.by_name[update.name]:
            if self.is_superseded(member):
                before = member.update.status
                self.change(member, final(member.update), now)
                if before is not MemberStatus.GONE:
                    self.on_change(member, before)

    def forget(self, member: Member) -> None:
        """Remove a member."""
        update = member.update
        del self.members[update.router]
        self.present_count -= member.counted
        self.by_name[update.name].remove(member)
        if not self.by_name[update.name]:
            del self.by_name[update.name]
        if self.by_address.get(update.address) is member:
            del self.by_address[update.address]


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
