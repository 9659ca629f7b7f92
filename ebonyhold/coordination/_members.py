"""One router's view of the membership, and the rule that merges two views.

The view is only a hint and no safety property depends on it: a router that is wrongly
declared gone may be sealed and then starts a new incarnation.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable
from enum import Enum

from attrs import define, field, frozen

from ebonyhold.types import RouterId, Seconds

FINAL_REVISION = 2**53
"""The revision of an update that declares a replaced incarnation gone.

The incarnation does not refute such an update.
"""


class MemberStatus(Enum):
    """The assumed status of a router.

    Of two updates with the same revision, the one with the larger value is valid.
    """

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    GONE = 3


@frozen
class MemberUpdate:
    """An update about one incarnation, as routers gossip it.

    Attributes:
        router: The incarnation.
        address: Its address for its peers, ``ip:port``.
        domain: Its failure domain.
        status: Its assumed status.
        revision: Increased only by the router itself, to refute an update.
        started: When the incarnation started, in milliseconds since the epoch; it
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
        """The VM's name, which the next incarnation also has."""
        return self.router.rpartition(".")[0]

    @property
    def order(self) -> tuple[int, int]:
        """Sort key: of two updates about an incarnation the larger one is valid."""
        return (self.revision, self.status.value)


@frozen
class Listed:
    """One router in the platform's membership list.

    Attributes:
        name: The VM's name.
        address: Its address for its peers, ``ip:port``.
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
        update: The update that is currently valid.
        last_message_at: When its last message to this router's current incarnation
            arrived, or None.
        suspected_at: Since when it has been suspected, without pauses of this process,
            or None.
        gone_at: When it was declared gone here, or None.
        unconfirmed: Whether it is known only from its row in the table, while no router
            is known to have received a message from it.  It is probed, but gets no
            requests.
    """

    update: MemberUpdate
    last_message_at: Seconds | None = None
    suspected_at: Seconds | None = None
    gone_at: Seconds | None = None
    unconfirmed: bool = False

    @property
    def present(self) -> bool:
        """Whether it has not been declared gone."""
        return self.update.status is not MemberStatus.GONE

    @property
    def counted(self) -> bool:
        """Whether it is present and at least one router has received a message from it.

        A router without a connection to its peers may read the rows of the whole fleet.
        If these counted, it would consider itself connected and recover all the other
        routers.
        """
        return self.present and not self.unconfirmed


StatusChange = Callable[["Member", MemberStatus | None], None]
"""Callback for a status change or a confirmation.

Its arguments are the member and the previous status, which is None for a new member.
"""


def ignore_change(member: Member, before: MemberStatus | None) -> None:
    """Do nothing; the default callback."""


@define
class MemberView:
    """One router's view of all the others.

    Attributes:
        on_change: Called when a member's status changes or a member is confirmed.
        members: The members by incarnation.
        by_name: The incarnations of each name.
        by_address: The latest incarnation at each address.
        listed: The platform's list by name, as last read; None before the first read.
        present_count: The number of members that are not gone, without unconfirmed
            ones.
    """

    on_change: StatusChange = ignore_change
    members: dict[RouterId, Member] = field(factory=dict)
    by_name: dict[str, list[Member]] = field(factory=dict)
    by_address: dict[str, Member] = field(factory=dict)
    listed: dict[str, Listed] | None = None
    present_count: int = 0

    def present(self) -> list[Member]:
        """Return the members that are not gone, without unconfirmed ones."""
        return [member for member in self.members.values() if member.counted]

    def is_superseded(self, member: Member) -> bool:
        """Return whether a later incarnation of the same name is known."""
        started = member.update.started
        same = self.by_name.get(member.update.name, [])
        return any(other.update.started > started for other in same)

    def merge(self, update: MemberUpdate, now: Seconds) -> bool:
        """Merge one update; return whether it changed the view.

        The rule is commutative, associative and idempotent, so the order in which
        updates arrive, and how often, does not matter.
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
        self.supersede_older(update, now)
        return True

    def add_unconfirmed(self, update: MemberUpdate, now: Seconds) -> None:
        """Add an incarnation that is known only from its row in the table.

        The row is ignored if the incarnation is already a member, or if another
        incarnation of its name is present, which may still be serving.  If the
        incarnation in the row is the later one, an update that it sends declares the
        other one gone.
        """
        same = self.by_name.get(update.name, [])
        if update.router in self.members or any(other.present for other in same):
            return
        member = self.add(Member(update, unconfirmed=True))
        self.on_change(member, None)
        self.supersede_older(update, now)

    def confirm(self, member: Member) -> None:
        """Record that some router has received a message from a member."""
        if not member.unconfirmed:
            return
        member.unconfirmed = False
        self.present_count += member.counted
        self.on_change(member, member.update.status)

    def add(self, member: Member) -> Member:
        """Add a member to all indexes, and return it."""
        update = member.update
        self.members[update.router] = member
        self.by_name.setdefault(update.name, []).append(member)
        self.present_count += member.counted
        known = self.by_address.get(update.address)
        if known is None or known.update.started <= update.started:
            self.by_address[update.address] = member
        return member

    def change(self, member: Member, update: MemberUpdate, now: Seconds) -> None:
        """Replace a member's update, and adapt `suspected_at` and `gone_at` to it."""
        self.present_count -= member.counted
        member.update = update
        self.present_count += member.counted
        if update.status is MemberStatus.ALIVE:
            member.suspected_at = None
        elif update.status is MemberStatus.SUSPECT and member.suspected_at is None:
            member.suspected_at = now
        gone_at = now if member.gone_at is None else member.gone_at
        member.gone_at = None if member.present else gone_at

    def supersede_older(self, update: MemberUpdate, now: Seconds) -> None:
        """Declare the older incarnations of a name gone permanently.

        The incarnations are ordered by their start times, whatever the order in which
        their updates arrive.  Otherwise a delayed update about a previous incarnation
        would declare its healthy successor gone.
        """
        for member in self.by_name[update.name]:
            if self.is_superseded(member):
                before = member.update.status
                self.change(member, final_update(member.update), now)
                if before is not MemberStatus.GONE:
                    self.on_change(member, before)

    def forget(self, member: Member) -> None:
        """Remove a member from all indexes."""
        update = member.update
        del self.members[update.router]
        self.present_count -= member.counted
        self.by_name[update.name].remove(member)
        if not self.by_name[update.name]:
            del self.by_name[update.name]
        if self.by_address.get(update.address) is member:
            del self.by_address[update.address]


def final_update(update: MemberUpdate) -> MemberUpdate:
    """Return the update that declares an incarnation gone permanently."""
    return MemberUpdate(
        update.router,
        update.address,
        update.domain,
        MemberStatus.GONE,
        FINAL_REVISION,
        update.started,
    )


def responsible(job: str, survivors: Iterable[RouterId]) -> RouterId | None:
    """Return the survivor that does a job; None if there are no survivors.

    Routers with equal views choose the same one.  They use rendezvous hashing, so when
    a router leaves, only its own jobs move.

    >>> responsible("recover a.1", ["b.1", "c.1", "d.1"])
    'b.1'
    >>> responsible("recover a.1", ["b.1", "c.1"])
    'b.1'
    """
    return max(survivors, key=lambda router: hash_rank(job, router), default=None)


def hash_rank(job: str, router: RouterId) -> bytes:
    """Return the hash that ranks a router for a job."""
    return hashlib.blake2b(f"{job}\n{router}".encode(), digest_size=16).digest()
