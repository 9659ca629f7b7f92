"""Failure detection and dissemination: probes, relays and gossip.

The protocol follows SWIM (Das et al., 2002).  In each period a router probes one other
router.  If there is no answer, it asks a few routers to relay the probe.  If they get
no answer either, it spreads a suspicion that the suspect can refute.  The traffic of a
router does not grow with the fleet.  `Membership` is a state machine without I/O: the
caller passes in the time, the random numbers and the messages.
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
from ebonyhold.coordination._recoverable import RecoveryEligibility
from ebonyhold.coordination._rumours import Rumours
from ebonyhold.coordination._suspicions import Suspicions
from ebonyhold.types import RouterId, Seconds


class Membership:
    """One router's state machine of the membership protocol.

    Attributes:
        own_update: The router's update about itself.
        view: The router's view of the others.
        options: The protocol's parameters.
        wake_at: When `tick` must be called next.
        suspected: The current suspicions in this router's view.
        pauses: Counts the detected pauses of this process.
    """

    def __init__(
        self,
        own_update: MemberUpdate,
        rng: random.Random,
        now: Seconds,
        options: MembershipOptions | None = None,
        seeds: Iterable[str] = (),
    ) -> None:
        self.own_update = own_update
        self.rng = rng
        self.options = options or MembershipOptions()
        self.view = MemberView()
        self.eligibility = RecoveryEligibility(own_update, self.view, self.options)
        self.seeds = set(seeds) - {own_update.address}
        self.wake_at = now + rng.random() * self.options.period
        self.probe: Probe | None = None
        self.next_probe_at = self.wake_at
        self.sequence = 0
        self.probe_queue: list[str] = []
        self.rumours = Rumours(self.options.max_updates, self.options.repeats)
        self.relayed: dict[int, RelayedProbe] = {}
        join_until = now + JOIN_PERIODS * self.options.period
        self.joining = Joining(
            self.view, self.options.page_size, own_update.router, join_until
        )
        self.suspected = Suspicions(self.view, self.eligibility, self.options)
        self.pauses = 0

    # Queries by the router.

    @property
    def suspicion_count(self) -> int:
        """The number of suspicions raised by this router."""
        return self.suspected.raised

    def alive(self) -> tuple[RouterId, ...]:
        """Return the routers that requests may be sent to.

        They have the status alive, and some router has received a message from them.
        """
        return tuple(
            member.update.router
            for member in self.view.members.values()
            if not member.unconfirmed and self.status_of(member) is MemberStatus.ALIVE
        )

    def status_of(self, member: Member) -> MemberStatus:
        """Return a member's status: LEAVING if it is alive but listed as leaving.

        Each router reads the platform's list itself, so the entries are not gossiped.
        A router would refute a gossiped entry that is outdated, and the next read of
        the list would gossip it again.
        """
        entry = (self.view.listed or {}).get(member.update.name)
        status = member.update.status
        if entry is not None and entry.leaving and status is MemberStatus.ALIVE:
            return MemberStatus.LEAVING
        return status

    def recoverable(self, now: Seconds) -> tuple[RouterId, ...]:
        """Return the incarnations that may be recovered."""
        return self.eligibility.recoverable(now)

    def may_recover(self, router: RouterId, unknown_for: Seconds, now: Seconds) -> bool:
        """Return whether an incarnation with an open row may be recovered.

        Args:
            router: The incarnation.
            unknown_for: How long its row has been observed while the incarnation was
                not alive in this router's view, in seconds.
            now: The time, in seconds.
        """
        return self.eligibility.may_recover(router, unknown_for, now)

    # Input from the platform.

    def update_list(self, listed: Iterable[Listed]) -> None:
        """Store the platform's membership list, without this router's own entry."""
        entries = {entry.name: entry for entry in listed}
        entries.pop(self.own_update.name, None)
        self.view.listed = entries

    # Input from the table.

    def add_row(self, update: MemberUpdate, now: Seconds) -> None:
        """Add an incarnation that has an open row in the table.

        A router may start, serve and crash before any other has received a message from
        it.  Once its row is read, it is probed like all members, so its failure is
        detected in the same way.  Rows with this router's own name are ignored.
        """
        if update.name != self.own_update.name:
            self.view.add_unconfirmed(update, now)

    def introduce(self) -> list[Outgoing]:
        """Return probes that announce this router to a few unconfirmed routers."""
        addresses = {
            member.update.address
            for member in self.view.members.values()
            if member.unconfirmed
        }
        count = min(self.options.relays, len(addresses))
        chosen = self.rng.sample(sorted(addresses), count)
        return [self.send_probe("", address) for address in chosen]

    # Changes of the router itself.

    def start_incarnation(self, router: RouterId, started: int) -> None:
        """Continue as a new incarnation of the same name, and gossip its update."""
        self.own_update = evolve(
            self.own_update,
            router=router,
            started=started,
            revision=0,
            status=MemberStatus.ALIVE,
        )
        self.eligibility.own_update = self.own_update
        self.spread(self.own_update)

    def leave(self) -> list[Outgoing]:
        """Mark this router as leaving; return probes that notify a few peers."""
        revision = self.own_update.revision + 1
        self.own_update = evolve(
            self.own_update, status=MemberStatus.LEAVING, revision=revision
        )
        self.spread(self.own_update)
        peers = self.sample(self.options.relays, "")
        return [
            self.send_probe(peer.update.router, peer.update.address) for peer in peers
        ]

    # Time.

    def tick(self, now: Seconds) -> list[Outgoing]:
        """Run the steps that are due, and return the heartbeats to send.

        Also set `wake_at` to the time of the next step.
        """
        self.detect_pause(now)
        out: list[Outgoing] = []
        if now >= self.next_probe_at:
            self.end_probe(now)
            self.expire(now)
            out += self.start_probe()
            self.next_probe_at = now + self.probe_interval(now)
            self.wake_at = min(now + self.options.answer_timeout, self.next_probe_at)
        else:
            out += self.request_relays(now)
            self.wake_at = self.next_probe_at
        return out

    def probe_interval(self, now: Seconds) -> Seconds:
        """Return the time to the next probe, with a random jitter of at most 10 %."""
        spread = 0.9 + 0.2 * self.rng.random()
        return self.options.period * spread * self.joining.period_factor(now)

    def detect_pause(self, now: Seconds) -> None:
        """Detect a pause of this process, so that no peer is suspected because of it.

        A call that is at least half a period late is taken for a pause.  After a pause
        all answers seem late, and the whole fleet would be suspected at once.  So the
        current probe is dropped and all suspicions are extended by the pause.
        """
        late = now - self.wake_at
        if late < self.options.period / 2:
            return
        self.pauses += 1
        self.probe = None
        self.suspected.postpone(late)

    def end_probe(self, now: Seconds) -> None:
        """Suspect the target of the last probe if neither it nor a relay answered."""
        probe = self.probe
        self.probe = None
        if probe is None:
            return
        update = self.suspected.suspect(probe.target, now)
        if update is not None:
            self.merge_update(update, now)

    def expire(self, now: Seconds) -> None:
        """Declare members gone whose suspicion timed out; drop old relayed probes."""
        for gone in self.suspected.expire(now):
            self.merge_update(gone, now)
        for sequence, relayed in list(self.relayed.items()):
            if now > relayed.until:
                del self.relayed[sequence]

    def start_probe(self) -> list[Outgoing]:
        """Return a probe of the next address; an empty list if no address is known."""
        address = self.next_address()
        if address is None:
            return []
        member = self.view.by_address.get(address)
        router = "" if member is None else member.update.router
        self.sequence += 1
        self.probe = Probe(router, address, self.sequence)
        # A probe of an unconfirmed router is not addressed to its incarnation: a later
        # one may run at the same address.
        receiver = "" if member is None or member.unconfirmed else router
        return [self.make_probe(receiver, address, self.sequence)]

    def next_address(self) -> str | None:
        """Return the address to probe next: each once per round, in random order."""
        if not self.probe_queue:
            self.probe_queue = self.addresses()
            self.rng.shuffle(self.probe_queue)
        return self.probe_queue.pop() if self.probe_queue else None

    def addresses(self) -> list[str]:
        """Return the addresses to probe in a round.

        Routers that are gone are included, because otherwise they would stay gone after
        the end of a partition.
        """
        found = {entry.address for entry in (self.view.listed or {}).values()}
        known = {
            member.update.address
            for member in self.view.members.values()
            if not self.eligibility.is_superseded(member)
        }
        return sorted((found | known | self.seeds) - {self.own_update.address})

    def request_relays(self, now: Seconds) -> list[Outgoing]:
        """Return relay requests for an unanswered probe, at most once per probe."""
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
        self,
        sender: RouterId,
        beat: Beat,
        now: Seconds,
        *,
        to_this_incarnation: bool = True,
    ) -> list[Outgoing]:
        """Handle a heartbeat; return the heartbeats to send.

        Of a heartbeat from an unknown sender only the updates are used.

        Args:
            sender: The incarnation that sent it, authenticated by the envelope.
            beat: The heartbeat.
            now: The time, in seconds.
            to_this_incarnation: Whether it was addressed to this incarnation.
                Otherwise it may be a replay of a heartbeat from before this incarnation
                started, and is no evidence that the sender is alive.
        """
        for update in beat.updates:
            self.receive_update(update, now)
        member = self.view.members.get(sender)
        if member is None:
            return []
        self.view.confirm(member)
        if to_this_incarnation:
            member.last_message_at = now
        if beat.kind is BeatKind.PROBE:
            return [self.answer_probe(member.update, beat)]
        if beat.kind is BeatKind.RELAY:
            return [self.start_relay(member.update, beat, now)]
        return self.receive_ack(beat)

    def answer_probe(self, prober: MemberUpdate, beat: Beat) -> Outgoing:
        """Acknowledge a probe, with a page of members if the prober lacks some."""
        ack = self.make_beat(BeatKind.ACK, beat.sequence, prober.router)
        if beat.after is not None:
            page = self.joining.page_after(beat.after)
            end = page[-1].router if page else ""
            ack = evolve(ack, updates=ack.updates + page, page_end=end)
        return Outgoing(prober.router, prober.address, ack)

    def start_relay(self, origin: MemberUpdate, beat: Beat, now: Seconds) -> Outgoing:
        """Return a probe of the requested router, on behalf of the origin."""
        self.sequence += 1
        until = now + self.options.period
        self.relayed[self.sequence] = RelayedProbe(
            origin.router, origin.address, beat.sequence, until
        )
        return self.make_probe(beat.target, beat.address, self.sequence)

    def receive_ack(self, beat: Beat) -> list[Outgoing]:
        """End the answered probe, or return the answer to forward for a relayed one."""
        relayed = self.relayed.pop(beat.sequence, None)
        if relayed is not None:
            ack = self.make_beat(BeatKind.ACK, relayed.origin_sequence, relayed.origin)
            return [Outgoing(relayed.origin, relayed.origin_address, ack)]
        if self.probe is not None and self.probe.sequence == beat.sequence:
            self.probe = None
        self.joining.receive_page(beat)
        return []

    # Membership updates.

    def receive_update(self, update: MemberUpdate, now: Seconds) -> None:
        """Handle an update from a peer; refute a false one about this router."""
        if update.router == self.own_update.router:
            self.refute(update)
            return
        self.merge_update(update, now)
        if update.status is MemberStatus.ALIVE:
            self.view.confirm(self.view.members[update.router])

    def refute(self, update: MemberUpdate) -> None:
        """Raise this router's revision above that of a false update about it.

        An update with the final revision is not refuted: this incarnation was replaced.
        """
        if update.revision >= FINAL_REVISION:
            return
        if (
            update.status is self.own_update.status
            or update.order <= self.own_update.order
        ):
            return
        self.own_update = evolve(self.own_update, revision=update.revision + 1)
        self.spread(self.own_update)

    def merge_update(self, update: MemberUpdate, now: Seconds) -> None:
        """Merge an update, and gossip it if it changed the view."""
        if self.view.merge(update, now):
            self.spread(update)

    def spread(self, update: MemberUpdate) -> None:
        """Queue an update to be sent with the next heartbeats."""
        self.rumours.add(update)

    def make_probe(self, to: RouterId, address: str, sequence: int) -> Outgoing:
        """Return a probe; it requests a page if this router lacks members."""
        beat = self.make_beat(BeatKind.PROBE, sequence, to)
        wanted = self.joining.lacks_members() or not to
        after = self.joining.cursor if wanted else None
        return Outgoing(to, address, evolve(beat, after=after))

    def send_probe(self, to: RouterId, address: str) -> Outgoing:
        """Return a probe outside the usual round; a missing answer has no effect."""
        self.sequence += 1
        return self.make_probe(to, address, self.sequence)

    def make_beat(self, kind: BeatKind, sequence: int, to: RouterId) -> Beat:
        """Return a heartbeat with this router's update and those due for gossip."""
        known = self.view.present_count
        rumours = self.rumours.next_updates(to, known)
        updates = (self.own_update, *self.update_about(to), *rumours)
        return Beat(kind, sequence, updates, known=known)

    def update_about(self, to: RouterId) -> tuple[MemberUpdate, ...]:
        """Return the update about a receiver if it is known and not alive.

        The receiver refutes the update if it is false.
        """
        member = self.view.members.get(to)
        if member is None or member.update.status is MemberStatus.ALIVE:
            return ()
        return (member.update,)

    def sample(self, count: int, without: RouterId) -> list[Member]:
        """Return at most `count` random alive members, other than `without`."""
        alive = [
            member
            for member in self.view.present()
            if member.update.router != without
            and member.update.status is MemberStatus.ALIVE
        ]
        return self.rng.sample(alive, min(count, len(alive)))
