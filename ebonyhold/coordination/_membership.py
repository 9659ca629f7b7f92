"""Failure detection and dissemination: probes, relays, and gossip on top of them.

After SWIM (Das et al., 2002): each router probes one other a period, asks a few
to try for it when there is no answer, then tells of a suspicion that the suspect
can refute.  What a router sends does not grow with the fleet.  It is a state
machine without I/O: the clock, the random numbers and the messages come from
outside.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from attrs import evolve

from ebonyhold.coordination._heartbeats import (
    Beat,
    BeatKind,
    MembershipOptions,
    Outgoing,
)
from ebonyhold.coordination._joining import JOIN_PERIODS, Joining
from ebonyhold.coordination._members import (
    FINAL_REVISION,
    Listed,
    Member,
    MemberStatus,
    MemberUpdate,
    MemberView,
)
from ebonyhold.coordination._probes import Probe, RelayedProbe
from ebonyhold.coordination._recoverable import RecoveryJudge
from ebonyhold.coordination._rumours import Rumours
from ebonyhold.coordination._suspicions import Suspicions
from ebonyhold.types import RouterId, Seconds


class Membership:
    """One router's part in the membership protocol.

    Attributes:
        me: The router's own statement.
        view: What it knows of the others.
        options: Times and bounds.
        wake_at: When `tick` wants to be called next.
        suspected: The suspicions that this router holds.
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
        self.judge = RecoveryJudge(me, self.view, self.options)
        self.seeds = set(seeds) - {me.address}
        self.wake_at = now + rng.random() * self.options.period
        self.probe: Probe | None = None
        self.next_probe_at = self.wake_at
        self.sequence = 0
        self.round: list[str] = []
        self.rumours = Rumours(self.options.updates, self.options.repeats)
        self.relayed: dict[int, RelayedProbe] = {}
        hurry_until = now + JOIN_PERIODS * self.options.period
        self.joining = Joining(self.view, self.options.page, me.router, hurry_until)
        self.suspected = Suspicions(self.view, self.judge, self.options)
        self.pauses = 0

    # What the router asks.

    @property
    def suspicions(self) -> int:
        """Return how many suspicions were raised here."""
        return self.suspected.raised

    def alive(self) -> tuple[RouterId, ...]:
        """Return the routers to turn to: met, and not suspect, leaving or gone."""
        return tuple(
            member.update.router
            for member in self.view.members.values()
            if not member.unmet and self.status_of(member) is MemberStatus.ALIVE
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
        """Return the incarnations that others may recover."""
        return self.judge.gone(now)

    def may_recover(self, router: RouterId, unknown_for: Seconds, now: Seconds) -> bool:
        """Say whether an incarnation with an open row may be recovered.

        Args:
            router: The incarnation.
            unknown_for: For how long its row has been seen while the incarnation
                was not alive here, in seconds.
            now: The time, in seconds.
        """
        return self.judge.may_recover(router, unknown_for, now)

    # What the platform says.

    def read_list(self, listed: Iterable[Listed]) -> None:
        """Take in the platform's list, which lags."""
        entries = {entry.name: entry for entry in listed}
        entries.pop(self.me.name, None)
        self.view.listed = entries

    # What the table says.

    def read_row(self, update: MemberUpdate, now: Seconds) -> None:
        """Take in the open row of an incarnation in the table.

        A router may serve and die before any other has heard of it.  From here on
        it is probed like all members, so that its silence is noticed as theirs is.
        """
        if update.name != self.me.name:
            self.view.add_unmet(update, now)

    def introduce(self) -> list[Outgoing]:
        """Return probes that make this router known to a few of those in the table."""
        addresses = {
            member.update.address
            for member in self.view.members.values()
            if member.unmet
        }
        count = min(self.options.relays, len(addresses))
        chosen = self.rng.sample(sorted(addresses), count)
        return [self.send_probe("", address) for address in chosen]

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
        self.judge.me = self.me
        self.spread(self.me)

    def leave(self) -> list[Outgoing]:
        """Say that this router is stopping; return what tells a few peers at once."""
        revision = self.me.revision + 1
        self.me = evolve(self.me, status=MemberStatus.LEAVING, revision=revision)
        self.spread(self.me)
        peers = self.sample(self.options.relays, "")
        return [
            self.send_probe(peer.update.router, peer.update.address) for peer in peers
        ]

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
        return self.options.period * spread * self.joining.hurry(now)

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
        self.suspected.postpone(late)

    def end_probe(self, now: Seconds) -> None:
        """Suspect the target of the last probe, if nobody got an answer."""
        probe = self.probe
        self.probe = None
        if probe is None:
            return
        statement = self.suspected.raise_against(probe.target, now)
        if statement is not None:
            self.learn(statement, now)

    def expire(self, now: Seconds) -> None:
        """End the suspicions, and the probes for others, whose time has run out."""
        for gone in self.suspected.expire(now):
            self.learn(gone, now)
        for sequence, relayed in list(self.relayed.items()):
            if now > relayed.until:
                del self.relayed[sequence]

    def start_probe(self) -> list[Outgoing]:
        """Probe the next router of a shuffled round."""
        address = self.next_address()
        if address is None:
            return []
        member = self.view.by_address.get(address)
        router = "" if member is None else member.update.router
        self.sequence += 1
        self.probe = Probe(router, address, self.sequence)
        # The successor of an unmet router may be what answers at its address.
        receiver = "" if member is None or member.unmet else router
        return [self.make_probe(receiver, address, self.sequence)]

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
            if not self.judge.is_superseded(member)
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
        self.view.meet(member)
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
            page = self.joining.page_after(beat.after)
            end = page[-1].router if page else ""
            ack = evolve(ack, updates=ack.updates + page, page_end=end)
        return Outgoing(prober.router, prober.address, ack)

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
        self.joining.turn_page(beat)
        return []

    # Statements.

    def hear_of(self, update: MemberUpdate, now: Seconds) -> None:
        """Take in a statement of another router; refute one about this router."""
        if update.router == self.me.router:
            self.refute(update)
            return
        self.learn(update, now)
        if update.status is MemberStatus.ALIVE:
            self.view.meet(self.view.members[update.router])

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
        wanted = self.joining.lacks_members() or not to
        after = self.joining.cursor if wanted else None
        return Outgoing(to, address, evolve(beat, after=after))

    def send_probe(self, to: RouterId, address: str) -> Outgoing:
        """Return a probe outside the usual round, whose answer is not awaited."""
        self.sequence += 1
        return self.make_probe(to, address, self.sequence)

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
