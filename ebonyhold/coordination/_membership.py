"""Failure detection and dissemination: probes, relays, and gossip on top of them.

After SWIM (Das et al., 2002): each router probes one other a period, asks a few
to try for it when there is no answer, then tells of a suspicion that the suspect
can refute.  What a router sends does not grow with the fleet.  It is a state
machine without I/O: the clock, the random numbers and the messages come from
outside.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable

from attrs import define, evolve

from ebonyhold.coordination._heartbeats import (
    Beat,
    BeatKind,
    MembershipOptions,
    Outgoing,
)
from ebonyhold.coordination._members import (
    FINAL_REVISION,
    Listed,
    Member,
    MemberStatus,
    MemberUpdate,
    MemberView,
)
from ebonyhold.coordination._rumours import Rumours
from ebonyhold.types import RouterId, Seconds

JOIN_HURRY = 0.5
"""Multiplies the period while a router that has started lacks members."""

JOIN_PERIODS = 60
"""For how many periods after its start a router is in that hurry."""

COMPLETE = 0.9
"""The part of the fleet that a router must know to ask for no more pages."""


@define
class Probe:
    """The probe in progress.

    Attributes:
        target: Who is probed, or empty when only its address is known.
        address: Where it is reached.
        sequence: The number that its answer must carry.
        relayed: Whether others were asked to try.
    """

    target: RouterId
    address: str
    sequence: int
    relayed: bool = False


@define
class RelayedProbe:
    """A probe made for another router."""

    origin: RouterId
    origin_address: str
    origin_sequence: int
    until: Seconds


class Membership:
    """One router's part in the membership protocol.

    Attributes:
        me: The router's own statement.
        view: What it knows of the others.
        options: Times and bounds.
        wake_at: When `tick` wants to be called next.
        suspicions: Counts the suspicions raised here.
        pauses: Counts the pauses of this process that were noticed.
    """

    def __init__(
        self,
        me: MemberUpdate,
        rng: random.Random,
        now: Seconds,
        options: MembershipOptions | None = None,
        seeds: Iterable[str] = (),
    ) -> None:
        self.me = me
        self.rng = rng
        self.options = options or MembershipOptions()
        self.view = MemberView()
        self.seeds = set(seeds) - {me.address}
        self.wake_at = now + rng.random() * self.options.period
        self.probe: Probe | None = None
        self.next_probe_at = self.wake_at
        self.sequence = 0
        self.round: list[str] = []
        self.rumours = Rumours(self.options.updates, self.options.repeats)
        self.relayed: dict[int, RelayedProbe] = {}
        self.cursor = me.router
        self.known_elsewhere = 0
        self.joining = True
        self.hurry_until = now + JOIN_PERIODS * self.options.period
        self.suspicions = 0
        self.pauses = 0

    # What the router asks.

    def alive(self) -> tuple[RouterId, ...]:
        """Return the routers to turn to: neither suspect, leaving nor gone."""
        return tuple(
            member.update.router
            for member in self.view.members.values()
            if self.status_of(member) is MemberStatus.ALIVE
        )

    def status_of(self, member: Member) -> MemberStatus:
        """Return a member's status, with what the platform says of it.

        Each router reads the list itself, so what it says is not passed on: a
        lagging entry of the incarnation before would else be refuted and stated
        again without end.
        """
        entry = (self.view.listed or {}).get(member.update.name)
        status = member.update.status
        if entry is not None and entry.leaving and status is MemberStatus.ALIVE:
            return MemberStatus.LEAVING
        return status

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
        incarnation, so silence that many share is given more time.
        """
        listed = self.view.listed or {}
        silent = sum(
            1
            for other in self.view.members.values()
            if other.gone_at is not None and not self.is_superseded(other)
        )
        if silent > max(1.0, self.options.shared_part * len(listed)):
            return self.options.shared_patience
        return self.options.recover_factor * self.suspicion_length(member)

    def may_recover(self, router: RouterId, unknown_for: Seconds, now: Seconds) -> bool:
        """Say whether an incarnation with an open row in the table may be recovered.

        Rows tell of incarnations that nobody alive has known, as after a total
        restart.  A router that is leaving, suspect, or only silent for the moment
        also is not among those alive; it must not be sealed for that.

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

    # What the platform says.

    def read_list(self, listed: Iterable[Listed]) -> None:
        """Take in the platform's list, which lags."""
        entries = {entry.name: entry for entry in listed}
        entries.pop(self.me.name, None)
        self.view.listed = entries

    # What the router itself does.

    def become(self, router: RouterId, started: int) -> None:
        """Go on as a new incarnation of the same name."""
        self.me = evolve(
            self.me,
            router=router,
            started=started,
            revision=0,
            status=MemberStatus.ALIVE,
        )
        self.spread(self.me)

    def leave(self) -> list[Outgoing]:
        """Say that this router is stopping; return what tells a few peers at once."""
        revision = self.me.revision + 1
        self.me = evolve(self.me, status=MemberStatus.LEAVING, revision=revision)
        self.spread(self.me)
        peers = self.sample(self.options.relays, "")
        return [self.send_probe(peer.update) for peer in peers]

    # Time.

    def tick(self, now: Seconds) -> list[Outgoing]:
        """Do what is due; return what to send."""
        self.notice_pause(now)
        out: list[Outgoing] = []
        if now >= self.next_probe_at:
            self.end_probe(now)
            self.expire(now)
            out += self.start_probe()
            self.next_probe_at = now + self.wait(now)
            self.wake_at = min(now + self.options.answer_within, self.next_probe_at)
        else:
            out += self.ask_relays(now)
            self.wake_at = self.next_probe_at
        return out

    def wait(self, now: Seconds) -> Seconds:
        """Return the time to the next probe."""
        spread = 0.9 + 0.2 * self.rng.random()
        self.joining = now < self.hurry_until and self.lacks_members()
        return self.options.period * spread * (JOIN_HURRY if self.joining else 1.0)

    def lacks_members(self) -> bool:
        """Say whether this router knows fewer than it should.

        One that has just started wants all of them.  Later a few may be missing:
        the platform's list lags, and lists those that are gone.
        """
        expected = max(len(self.view.listed or {}), self.known_elsewhere)
        enough = expected if self.joining else COMPLETE * expected
        return self.view.present_count < enough

    def notice_pause(self, now: Seconds) -> None:
        """Trust no silence from a time when this process itself did not run.

        After a pause every answer looks late, and a whole fleet would be
        suspected at once.  The probe in progress is dropped and all suspicions
        are moved by the time lost, so a pause here convicts nobody.
        """
        late = now - self.wake_at
        if late < self.options.period / 2:
            return
        self.pauses += 1
        self.probe = None
        for member in self.view.members.values():
            if member.silent_at is not None:
                member.silent_at += late

    def end_probe(self, now: Seconds) -> None:
        """Suspect the target of the last probe, if nobody got an answer."""
        probe = self.probe
        self.probe = None
        if probe is None:
            return
        member = self.view.members.get(probe.target)
        if member is None or not member.present:
            return
        if member.silent_at is None:
            member.silent_at = now
            self.suspicions += 1
        if member.update.status is MemberStatus.ALIVE:
            self.learn(evolve(member.update, status=MemberStatus.SUSPECT), now)

    def expire(self, now: Seconds) -> None:
        """Call those gone whose suspicion has run out, and forget the long gone."""
        for member in list(self.view.members.values()):
            if member.gone_at is not None:
                self.forget(member, member.gone_at, now)
            elif member.silent_at is not None:
                self.expire_suspicion(member, now)
        for sequence, relayed in list(self.relayed.items()):
            if now > relayed.until:
                del self.relayed[sequence]

    def forget(self, member: Member, gone_at: Seconds, now: Seconds) -> None:
        """Drop a member that has been gone for long and will not come back."""
        listed = self.view.listed
        finished = listed is not None and member.update.name not in listed
        old = now > gone_at + self.options.forget_after
        if old and (finished or self.is_superseded(member)):
            self.view.forget(member)

    def expire_suspicion(self, member: Member, now: Seconds) -> None:
        """End one suspicion, if it is time, for or against the member."""
        assert member.silent_at is not None
        if now < member.silent_at + self.suspicion_length(member):
            return
        if member.heard_at is not None and member.heard_at > member.silent_at:
            member.silent_at = None
            return
        self.learn(evolve(member.update, status=MemberStatus.GONE), now)

    def start_probe(self) -> list[Outgoing]:
        """Probe the next router of a shuffled round."""
        address = self.next_address()
        if address is None:
            return []
        member = self.view.by_address.get(address)
        router = "" if member is None else member.update.router
        self.sequence += 1
        self.probe = Probe(router, address, self.sequence)
        return [self.make_probe(router, address, self.sequence)]

    def next_address(self) -> str | None:
        """Return whom to probe next: each once a round, in random order."""
        if not self.round:
            self.round = self.addresses()
            self.rng.shuffle(self.round)
        return self.round.pop() if self.round else None

    def addresses(self) -> list[str]:
        """Return whom to probe in a round.

        Those that are gone are among them: after a partition nobody else would
        find out that they are back.
        """
        found = {entry.address for entry in (self.view.listed or {}).values()}
        known = {
            member.update.address
            for member in self.view.members.values()
            if not self.is_superseded(member)
        }
        return sorted((found | known | self.seeds) - {self.me.address})

    def ask_relays(self, now: Seconds) -> list[Outgoing]:
        """Ask others to try, when the probe has had no answer yet."""
        probe = self.probe
        if probe is None or probe.relayed or not probe.target:
            return []
        probe.relayed = True
        beat = self.make_beat(BeatKind.RELAY, probe.sequence, probe.target)
        beat = evolve(beat, target=probe.target, address=probe.address)
        return [
            Outgoing(peer.update.router, peer.update.address, beat)
            for peer in self.sample(self.options.relays, probe.target)
        ]

    # Messages.

    def receive(
        self, sender: RouterId, beat: Beat, now: Seconds, *, fresh: bool = True
    ) -> list[Outgoing]:
        """Take in a heartbeat; return what to send.

        Args:
            sender: The incarnation that sent it, as the envelope proves.
            beat: What it sent.
            now: The time, in seconds.
            fresh: Whether it was addressed to this very incarnation.  Only then
                can it not be a recording from before this one began, and counts
                as a sign of life.
        """
        for update in beat.updates:
            self.hear_of(update, now)
        member = self.view.members.get(sender)
        if member is None:
            return []
        if fresh:
            member.heard_at = now
        if beat.kind is BeatKind.PROBE:
            return [self.answer_probe(member.update, beat)]
        if beat.kind is BeatKind.RELAY:
            return [self.start_relay(member.update, beat, now)]
        return self.take_ack(beat)

    def answer_probe(self, prober: MemberUpdate, beat: Beat) -> Outgoing:
        """Acknowledge a probe, with a page of members for whoever lacks them."""
        ack = self.make_beat(BeatKind.ACK, beat.sequence, prober.router)
        if beat.after is not None:
            page = self.page_after(beat.after)
            end = page[-1].router if page else ""
            ack = evolve(ack, updates=ack.updates + page, page_end=end)
        return Outgoing(prober.router, prober.address, ack)

    def page_after(self, after: str) -> tuple[MemberUpdate, ...]:
        """Return the present members that follow an identifier, round and round."""
        present = sorted(
            (member.update for member in self.view.present()),
            key=lambda update: (update.router <= after, update.router),
        )
        return tuple(present[: self.options.page])

    def start_relay(self, origin: MemberUpdate, beat: Beat, now: Seconds) -> Outgoing:
        """Probe somebody for another router."""
        self.sequence += 1
        until = now + self.options.period
        self.relayed[self.sequence] = RelayedProbe(
            origin.router, origin.address, beat.sequence, until
        )
        return self.make_probe(beat.target, beat.address, self.sequence)

    def take_ack(self, beat: Beat) -> list[Outgoing]:
        """End the probe that was answered, or pass the answer on."""
        relayed = self.relayed.pop(beat.sequence, None)
        if relayed is not None:
            ack = self.make_beat(BeatKind.ACK, relayed.origin_sequence, relayed.origin)
            return [Outgoing(relayed.origin, relayed.origin_address, ack)]
        if self.probe is not None and self.probe.sequence == beat.sequence:
            self.probe = None
        self.turn_page(beat)
        return []

    def turn_page(self, beat: Beat) -> None:
        """Note what the answer says of the members that are lacking here."""
        self.known_elsewhere = beat.known
        if beat.page_end:
            self.cursor = beat.page_end

    # Statements.

    def hear_of(self, update: MemberUpdate, now: Seconds) -> None:
        """Take in a statement of another router; refute one about this router."""
        if update.router == self.me.router:
            self.refute(update)
            return
        self.learn(update, now)

    def refute(self, update: MemberUpdate) -> None:
        """Contradict a statement about this router that is not true."""
        if update.revision >= FINAL_REVISION:
            return
        if update.status is self.me.status or update.order <= self.me.order:
            return
        self.me = evolve(self.me, revision=update.revision + 1)
        self.spread(self.me)

    def learn(self, update: MemberUpdate, now: Seconds) -> None:
        """Take in a statement and pass it on, if it is news."""
        if self.view.merge(update, now):
            self.spread(update)

    def spread(self, update: MemberUpdate) -> None:
        """Pass a statement on with the next messages."""
        self.rumours.add(update)

    def make_probe(self, to: RouterId, address: str, sequence: int) -> Outgoing:
        """Return a probe."""
        beat = self.make_beat(BeatKind.PROBE, sequence, to)
        after = self.cursor if self.lacks_members() or not to else None
        return Outgoing(to, address, evolve(beat, after=after))

    def send_probe(self, to: MemberUpdate) -> Outgoing:
        """Return a probe outside the usual round, whose answer is not awaited."""
        self.sequence += 1
        return self.make_probe(to.router, to.address, self.sequence)

    def make_beat(self, kind: BeatKind, sequence: int, to: RouterId) -> Beat:
        """Return a heartbeat with the statements that are due."""
        known = self.view.present_count
        rumours = self.rumours.take(to, known)
        updates = (self.me, *self.about(to), *rumours)
        return Beat(kind, sequence, updates, known=known)

    def about(self, to: RouterId) -> tuple[MemberUpdate, ...]:
        """Return what is said of the receiver, if it should refute it."""
        member = self.view.members.get(to)
        if member is None or member.update.status is MemberStatus.ALIVE:
            return ()
        return (member.update,)

    def sample(self, count: int, without: RouterId) -> list[Member]:
        """Return a few random members that are believed alive."""
        alive = [
            member
            for member in self.view.present()
            if member.update.router != without
            and member.update.status is MemberStatus.ALIVE
        ]
        return self.rng.sample(alive, min(count, len(alive)))
