"""A fleet of routers, with servers that crash above their memory, on a virtual clock.

Messages are lost, doubled and late, routers are killed, frozen and cut off from the
store and from each other.  The memory that is used at a server is what its requests
need, each shared part counted once.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable

from attrs import define, field

from ebonyhold.coordination import (
    LENT_SHARE,
    VIEW_INTERVALS,
    LeaseAnswer,
    LeaseOutcome,
    LenderView,
    MemoryLender,
    MemoryNeed,
    RouterMemory,
    RouterRun,
    WantedLease,
    own_share,
)

MEMORY = 64_000
INTERVAL = 4.0
MAX_TIME = 8.0
SERVERS = ("s1", "s2")


@define(eq=False)
class Guards:
    """The rules of the protocol that a variant may leave out."""

    share: Callable[[int], int] = lambda routers: own_share(MEMORY, routers)
    quiet: bool = True
    view_age: bool = True
    highest_count: bool = True
    counted_first: bool = True
    lasts: float = 1.0
    lender: Callable[[], MemoryLender] = MemoryLender


@define(eq=False)
class Running:
    """A request at a server."""

    router: Router
    server: str
    need: MemoryNeed
    leased: bool


@define(eq=False)
class Router:
    """One run of a router's process."""

    name: str
    domain: str
    run: str
    guards: Guards
    view: LenderView = field(init=False)
    lender: MemoryLender = field(init=False)
    memory: RouterMemory = field(factory=RouterMemory)
    versions: dict[str, tuple[int, int]] = field(factory=dict)
    highest: int = 0
    readings: int = 0
    has_leases: bool = False
    frozen_until: float = 0.0
    cut_until: float = 0.0

    def __attrs_post_init__(self) -> None:
        self.view = LenderView(self.name, self.domain)
        self.lender = self.guards.lender()

    def read(self, rows: dict[str, list[object]], now: float) -> None:
        """Store the own row and read all, as `Presence` does."""
        version = int(str(rows.get(self.name, [0])[0])) + 1
        rows[self.name] = [version, self.domain, self.run, self.has_leases]
        self.readings += 1
        for name, row in rows.items():
            known, unchanged = self.versions.get(name, (0, 0))
            count = unchanged + 1 if known == row[0] else 0
            self.versions[name] = (int(str(row[0])), count)
        alive = {n: str(row[1]) for n, row in rows.items() if self.versions[n][1] < 4}
        self.highest = max(self.highest, len(rows)) if self.guards.highest_count else 1
        runs = {n: RouterRun(str(rows[n][2]), bool(rows[n][3])) for n in rows}
        self.view.update(alive, now, VIEW_INTERVALS * INTERVAL, runs)

    def lends(self, server: str, now: float) -> bool:
        """Return whether this router may lend memory of a server."""
        if not self.guards.view_age:
            self.view.read_at = max(self.view.read_at, now - 1.0)
        left = self.view.quiet_left(server, now, MAX_TIME)
        return left <= 0.0 or (not self.guards.quiet and left < 1e9)


@define(eq=False)
class MemoryFleet:
    """The routers, the store's rows, the messages under way and the servers."""

    seed: int
    guards: Guards = field(factory=Guards)
    routers: dict[str, Router] = field(factory=dict)
    rows: dict[str, list[object]] = field(factory=dict)
    running: list[Running] = field(factory=list)
    events: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    numbers: itertools.count[int] = field(factory=itertools.count)
    cut_links: dict[frozenset[str], float] = field(factory=dict)
    waiting: dict[str, Callable[[LeaseAnswer], None]] = field(factory=dict)
    now: float = 0.0
    granted: int = 0
    rng: random.Random = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.rng = random.Random(self.seed)

    def at(self, delay: float, action: Callable[[], None]) -> None:
        """Do something later."""
        heapq.heappush(self.events, (self.now + delay, next(self.numbers), action))

    def run(self, duration: float, routers: int = 9) -> None:
        """Play a history; an AssertionError shows a server above its memory."""
        for number in range(routers):
            self.start(f"vm-{number}")
        self.at(16.0, self.traffic)
        self.at(20.0, self.fault)
        while self.events and self.events[0][0] < duration:
            self.now, _, action = heapq.heappop(self.events)
            action()

    def check(self) -> None:
        """Check that neither the own shares nor the leases exceed half of a server."""
        for server in SERVERS:
            for leased in (False, True):
                used = self.used(server, leased)
                assert used <= MEMORY // 2, (self.seed, self.now, server, leased, used)

    def used(self, server: str, leased: bool) -> int:
        """Return the memory used at a server by own shares or by leases."""
        there = [r for r in self.running if r.server == server and r.leased == leased]
        parts = {k: v for one in there for k, v in one.need.shared.items()}
        return sum(one.need.own for one in there) + sum(parts.values())

    def pick(self) -> Router | None:
        """Return a random router; None if all are down."""
        return self.rng.choice([*self.routers.values()] or [None])

    def start(self, name: str) -> None:
        """Start a router's process, as a new run of it."""
        router = Router(
            name,
            f"domain-{int(name[3:]) % 3}",
            f"{name}.{next(self.numbers)}",
            self.guards,
        )
        self.routers[name] = router
        self.count(router)

    def is_up(self, router: Router) -> bool:
        """Return whether a process runs and is not frozen."""
        alive = self.routers.get(router.name) is router
        return alive and router.frozen_until <= self.now

    def count(self, router: Router) -> None:
        """Let a router count the fleet, and again after an interval."""
        if self.routers.get(router.name) is not router:
            return
        if self.is_up(router) and router.cut_until <= self.now:
            router.read(self.rows, self.now)
        wait = 1.5 if router.readings < 2 else INTERVAL
        self.at(wait + self.rng.uniform(0, 0.1), lambda: self.count(router))

    def traffic(self) -> None:
        """Let a router start a request, and the lenders answer what waits."""
        self.at(self.rng.expovariate(60), self.traffic)
        for lender in self.routers.values():
            for decision in lender.lender.decide(self.now):
                if decision.lease in self.waiting:
                    self.waiting.pop(decision.lease)(decision.answer)
        router = self.pick()
        if router is None or not self.is_up(router):
            return
        # Sizes that fill the own share of nine routers and a lender's quarter.
        shared = self.rng.choice([{}, {}, {}, {}, {"p": 4000}])
        need = MemoryNeed(self.rng.choice([800, 800, 1600, 4000]), shared)
        lease = f"{router.name}/{next(self.numbers)}"
        Asking(self, router, self.rng.choice(SERVERS), need, lease).begin()

    def post(self, sender: Router, to: str, arrive: Callable[[Router], None]) -> None:
        """Send a message, which may be lost, late or doubled."""
        for _ in range(self.rng.choice([0, 1, 1, 1, 1, 1, 1, 1, 2])):
            late = self.rng.random() < 0.05
            delay = self.rng.uniform(0.1, 6.0) if late else 0.01
            self.at(delay, lambda: self.deliver(sender, to, arrive))

    def deliver(
        self, sender: Router, to: str, arrive: Callable[[Router], None]
    ) -> None:
        """Deliver a message unless its receiver is cut off or does not run."""
        receiver = self.routers.get(to)
        cut = self.cut_links.get(frozenset({sender.name, to}), 0.0) > self.now
        if receiver is not None and not cut:
            if receiver.frozen_until > self.now:
                wait = receiver.frozen_until - self.now
                self.at(wait, lambda: self.deliver(sender, to, arrive))
            else:
                arrive(receiver)

    def fault(self) -> None:
        """Kill, freeze or cut off a router, or kill all."""
        self.at(self.rng.expovariate(0.1), self.fault)
        router = self.pick()
        if router is None:
            return
        # A lender's fault shows more than another's.
        names = {n for r in self.routers.values() for n in r.view.lenders("s1")}
        if self.rng.random() < 0.8 and names & set(self.routers):
            router = self.routers[self.rng.choice(sorted(names & set(self.routers)))]
        kind = self.rng.choice(["kill", "kill", "cut", "cut", "freeze", "link", "all"])
        time = self.rng.choice([0.7, 3.0, 20.0, 45.0])
        if kind == "kill":
            self.kill(router, time)
        elif kind == "cut":
            router.cut_until = self.now + time
        elif kind == "freeze":
            router.frozen_until = self.now + min(time, 20.0)
        elif kind == "link":
            other = self.rng.choice(list(self.routers))
            self.cut_links[frozenset({router.name, other})] = self.now + time
        elif self.rng.random() < 0.2:
            for one in list(self.routers.values()):
                self.kill(one, self.rng.uniform(0.7, 2.3))

    def kill(self, router: Router, time: float) -> None:
        """Kill a process, whose connections end, and start the next one later."""
        if self.routers.pop(router.name, None) is None:
            return
        self.running = [one for one in self.running if one.router is not router]
        self.at(time, lambda: self.start(router.name))


@define(eq=False)
class Asking:
    """A request of a router on its way to a server."""

    fleet: MemoryFleet
    router: Router
    server: str
    need: MemoryNeed
    lease: str
    began_at: float = 0.0
    lasts: float = 0.0
    lenders: list[str] = field(factory=list)
    is_open: bool = False

    def begin(self) -> None:
        """Use the own share, or ask the lenders."""
        fleet, router = self.fleet, self.router
        self.began_at = fleet.now
        self.lasts = fleet.rng.choice([1.0, MAX_TIME])
        counted = router.highest if router.guards.counted_first else 1
        share = router.guards.share(counted)
        expiry = fleet.now + self.lasts
        memory = router.memory
        if memory.take_own(
            self.server, self.lease, self.need, share, fleet.now, expiry
        ):
            self.send()
            return
        self.lenders = list(router.view.lenders(self.server))
        self.ask_next()

    def ask_next(self) -> None:
        """Ask the next lender; the request is given up if none is left."""
        if not self.lenders:
            return
        lender, self.is_open = self.lenders.pop(0), True
        wanted = WantedLease(
            self.lease,
            self.server,
            self.need,
            self.time_left * self.router.guards.lasts,
            workspace=self.lease[:1],
            waits=self.fleet.rng.choice([0.0, 0.5]),
        )
        self.fleet.post(self.router, lender, lambda to: self.arrive(to, wanted))
        self.fleet.at(wanted.waits + 0.1, lambda: self.give_up(lender))

    @property
    def time_left(self) -> float:
        """Time until the deadline."""
        return max(0.0, self.began_at + self.lasts - self.fleet.now)

    def arrive(self, lender: Router, wanted: WantedLease) -> None:
        """Let a lender decide."""
        fleet = self.fleet
        answer: LeaseAnswer | None = LeaseAnswer(LeaseOutcome.UNAVAILABLE)
        if lender.lends(self.server, fleet.now):
            lender.has_leases = True
            size = int(MEMORY * LENT_SHARE)
            answer = lender.lender.ask(wanted, size, MAX_TIME, fleet.now)
        if answer is None:
            fleet.waiting[self.lease] = lambda found: self.reply(lender, found)
        else:
            self.reply(lender, answer)

    def reply(self, lender: Router, answer: LeaseAnswer) -> None:
        """Send the lender's answer back."""

        def receive(router: Router) -> None:
            if router is not self.router or not self.is_open:
                return
            self.is_open = False
            if answer.outcome is not LeaseOutcome.GRANTED:
                self.ask_next()
                return
            router.has_leases = True
            self.fleet.granted += 1
            self.send(lender.name)

        self.fleet.post(lender, self.router.name, receive)

    def give_up(self, lender: str) -> None:
        """Return a lease whose lender has not answered, and ask the next one."""
        if self.is_open:
            self.is_open = False
            self.give_back(lender)
            self.lease += "'"
            self.ask_next()

    def send(self, lender: str = "") -> None:
        """Send the request to its server until it ends, at the latest in time."""
        if not self.time_left or not self.fleet.is_up(self.router):
            self.end(None, lender)
            return
        ends_at = self.fleet.now + self.time_left * self.fleet.rng.choice([0.5, 1.0])
        run = Running(self.router, self.server, self.need, bool(lender))
        self.fleet.running.append(run)
        self.fleet.check()
        self.fleet.at(ends_at - self.fleet.now, lambda: self.end(run, lender))

    def end(self, run: Running | None, lender: str) -> None:
        """End the request; a killed router's has ended with it."""
        fleet, router = self.fleet, self.router
        if run in fleet.running and run is not None:
            fleet.running.remove(run)
        router.memory.end(self.server, self.lease, fleet.now, fleet.now)
        if lender:
            self.give_back(lender)

    def give_back(self, lender: str) -> None:
        """Return the lease; the message may be lost."""
        fleet, lease = self.fleet, self.lease
        fleet.post(
            self.router, lender, lambda to: to.lender.give_back([lease], fleet.now)
        )
