"""Choice of a server when the load that all routers put on the servers is known.

Load that it handles: fleets with several routers for each server, at the peak of a
wave, where one router dispatches about a hundredth of a server's load.

The figures of the other routers are some 0.1 to 0.4 s old, and all routers read the
same ones. If each router chose the cheapest server, all requests of that time would go
to one server. So the choice is drawn: the work that the fleet is expected to place
before the figures change is distributed over the candidates until their costs are
equal, and a candidate's part of it is its probability. The method is the basic load
interpretation of M. Dahlin, "Interpreting Stale Load Information", ICDCS 1999.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator, Sequence

from attrs import define, field, frozen

from ebonyhold.coordination import ServerLoad, ServerRun
from ebonyhold.forwarding._backends import BackendTable
from ebonyhold.forwarding._choice import rank
from ebonyhold.forwarding._entry import BackendEntry
from ebonyhold.forwarding._types import CallerRequest, Service, ServiceName
from ebonyhold.forwarding._work import prompt_size, shared_tokens, sharing_key
from ebonyhold.types import BackendName, Seconds, Tokens

MAX_ORDERS = 1024
"""Maximum number of prompt parts whose order of servers is cached.

Each takes some 400 bytes with 30 servers.
"""

MAX_TRIED = 256
"""Maximum number of runs of slow servers whose last trial is stored."""


@frozen
class ChoiceWeights:
    """The constants of the choice.

    Attributes:
        candidates: Number of servers considered in a prompt's rendezvous order.
        spread: Tokens to be read that the fleet is expected to place on these servers
            before the figures change. A server reads up to 6,000 in 0.2 s (deployment
            A at a peak) or 0.3 s (deployment B on the mean).
        margin: By how much less, beyond the tokens of the shared parts, must wait at a
            server that lacks them for it to cost the same. Without it, differences of
            old figures make parts that are used every 9 to 20 s be read at four
            servers, and none of them keeps the part until its next use.
        running: By which share all slots in use make reading a prompt take longer.
        resident: Cost of each token of requests in flight, in tokens to be read.
        overfull: Cost of each token that exceeds the server's memory, in tokens to be
            read: the request waits until other requests have ended.
        queued: Cost of each request above the server's slots, in tokens to be read.
    """

    candidates: int = 4
    spread: Tokens = 6_000
    margin: Tokens = 5_000
    running: float = 0.2
    resident: float = 0.02
    overfull: float = 4.0
    queued: Tokens = 2_000


WEIGHTS = ChoiceWeights()


@define(eq=False)
class RendezvousOrders:
    """The servers in the rendezvous order of each prompt part, cached.

    Sorting 30 servers by hash takes some 60 microseconds for each request.

    Attributes:
        orders: The names in order and as a set, by prompt part; the oldest first.
    """

    orders: dict[str, tuple[tuple[BackendName, ...], frozenset[BackendName]]] = field(
        factory=dict
    )

    def order(self, key: str, names: Iterable[BackendName]) -> tuple[BackendName, ...]:
        """Return the order of a part; it may include servers that are not in names."""
        known = self.orders.get(key)
        if known is not None and known[1].issuperset(names):
            return known[0]
        # Servers that are left out for a while, such as ejected ones, stay in the
        # order; they are dropped once they are more than the others.
        wanted = frozenset(names)
        merged = wanted | known[1] if known is not None else wanted
        if len(merged) > 2 * len(wanted) + 8:
            merged = wanted
        ordered = tuple(sorted(merged, key=lambda name: rank(key, name)))
        self.orders.pop(key, None)
        self.orders[key] = ordered, merged
        if len(self.orders) > MAX_ORDERS:
            del self.orders[next(iter(self.orders))]
        return ordered


@frozen
class RatedServer:
    """A server that may be chosen, with its load by all routers.

    Attributes:
        entry: The server.
        load: Its load, including this router's own.
        reads: Tokens of the prompt that it is expected to read.
        cost: Expected time to the first event, as prompt tokens at the usual speed.
    """

    entry: BackendEntry
    load: ServerLoad
    reads: Tokens
    cost: float

    @property
    def work(self) -> float:
        """Tokens to be read before the first event, as ones at the usual speed."""
        return (self.load.unread + self.reads) * max(1.0, self.load.slowness)


def total_load(entry: BackendEntry, others: ServerLoad) -> ServerLoad:
    """Return the load of all routers, this one included."""
    return ServerLoad(
        others.requests + entry.in_flight,
        others.unread + entry.work.unread,
        others.resident + entry.work.resident,
        others.slowness,
        others.failing,
    )


def mean_load(loads: Sequence[ServerLoad]) -> ServerLoad:
    """Return the load that is assumed of a server whose load is not known.

    A server that has just restarted is in no total yet. If it counted as idle, all
    routers would send it their requests at once.
    """
    count = len(loads)
    return ServerLoad(
        sum(load.requests for load in loads) // count,
        sum(load.unread for load in loads) // count,
        sum(load.resident for load in loads) // count,
    )


def reading_cost(
    load: ServerLoad,
    reads: Tokens,
    size: Tokens,
    service: Service,
    weights: ChoiceWeights = WEIGHTS,
) -> float:
    """Return the expected time to the first event, in prompt tokens to be read.

    Args:
        load: The load of all routers at the server.
        reads: Tokens of the prompt that the server must read.
        size: Tokens that the request occupies until it ends.
        service: The settings of the service.
        weights: The constants of the choice.
    """
    cost = load.unread + reads + load.resident * weights.resident
    if service.slots:
        cost *= 1.0 + weights.running * load.requests / service.slots
        cost += max(0, load.requests + 1 - service.slots) * weights.queued
    if service.memory:
        cost += max(0, load.resident + size - service.memory) * weights.overfull
    return cost * max(load.slowness, 0.1)


def parts_of(costs: Sequence[float], amount: float) -> list[float]:
    """Return how an amount of work is distributed so that the final costs are equal.

    Candidates that cost more than the level that the others reach get nothing.

    >>> parts_of([100, 0, 1000], 300)
    [100.0, 200.0, 0.0]
    """
    level, total = 0.0, amount
    for count, cost in enumerate(sorted(costs), 1):
        total += cost
        if count > 1 and level <= cost:
            break
        level = total / count
    return [max(0.0, level - cost) for cost in costs]


@define(eq=False)
class SharedChoice:
    """Chooses servers by the load of all routers.

    Attributes:
        domain: The failure domain of this router.
        backends: The known servers, with the load of the other routers.
        weights: The constants of the choice.
        rng: The source of chance.
        orders: The rendezvous orders of prompt parts.
        tried_in: The last time slot in which each slow server was sent a trial request.
    """

    domain: str
    backends: BackendTable
    weights: ChoiceWeights = WEIGHTS
    rng: random.Random = field(factory=random.Random)
    orders: RendezvousOrders = field(factory=RendezvousOrders)
    tried_in: dict[ServerRun, int] = field(factory=dict)

    def choose(
        self,
        request: CallerRequest,
        name: ServiceName,
        entries: Sequence[BackendEntry],
        now: Seconds,
        wall: Seconds,
    ) -> RatedServer | None:
        """Return the server for a request, or None if the choice is the earlier one.

        It is if no load is known, and for requests without prompt parts. These last
        some 60 ms, less than the figures are old, and keep to the own failure domain.

        Args:
            request: The request.
            name: Its service.
            entries: The servers that may get it; at least one.
            now: The time of a monotonic clock, in seconds.
            wall: The time in seconds since the epoch.
        """
        service = self.backends.services.get(name)
        if service is None or not self.backends.fleet_load.is_on(name):
            return None
        if not sharing_key(request):
            return None
        found = self.rate_by_prompt(request, service, entries, now)
        if not found:
            return None
        slow = self.slow_to_try(name, entries, now, wall)
        if slow is not None:
            load = self.loads([slow], now)
            return RatedServer(slow, load[0], 0, 0.0) if load else None
        return self.draw(found, self.weights.spread)

    def record_sent(
        self,
        request: CallerRequest,
        name: ServiceName,
        entry: BackendEntry,
        now: Seconds,
    ) -> None:
        """Record that a request's shared part is sent to a server, before it is.

        The other routers send the part there, too: always to the first server, and to a
        further one while the first ones are busy. So the request's unread tokens are
        counted without it. Counted with it, the figures of a hot part's servers would
        be three times as high as the work there.
        """
        key = sharing_key(request)
        if key and self.backends.fleet_load.is_on(name):
            entry.work.record_sent(key, now)

    def rate_by_prompt(
        self,
        request: CallerRequest,
        service: Service,
        entries: Sequence[BackendEntry],
        now: Seconds,
    ) -> list[RatedServer]:
        """Return the candidates for a prompt, the first server of its order first.

        The first server is expected to have the shared parts, as all routers send them
        there, and so is each server that this router sent them to. There are none if
        no load is known.
        """
        key = sharing_key(request)
        near = self.candidates(key, entries, now)
        known = self.loads(near, now)
        if known is None:
            return []
        size, shared = prompt_size(request), shared_tokens(request)
        found = []
        for place, (entry, load) in enumerate(zip(near, known, strict=True)):
            cached = not place or entry.work.has_cached(key, now)
            reads = size - shared if cached else size
            held = size + request.max_output
            cost = reading_cost(load, reads, held, service, self.weights)
            if not cached:
                cost += self.weights.margin
            found.append(RatedServer(entry, load, reads, cost))
        return found

    def candidates(
        self, key: str, entries: Sequence[BackendEntry], now: Seconds
    ) -> list[BackendEntry]:
        """Return the servers to consider for a prompt, the first of its order first."""
        by_name = {entry.backend.name: entry for entry in entries}
        found: list[BackendEntry] = []
        for name in self.orders.order(key, by_name):
            entry = by_name.get(name)
            if entry is not None:
                found.append(entry)
                del by_name[name]
                if len(found) >= self.weights.candidates:
                    break
        rest = by_name.values()
        return found + [entry for entry in rest if entry.work.has_cached(key, now)]

    def loads(
        self, entries: Sequence[BackendEntry], now: Seconds
    ) -> list[ServerLoad] | None:
        """Return the loads of servers by all routers; None if none is known."""
        stated = [self.backends.fleet_load.load(entry.run, now) for entry in entries]
        known = [load for load in stated if load is not None]
        if not known:
            return None
        assumed = mean_load(known) if len(known) < len(stated) else None
        return [
            total_load(entry, load if load is not None else assumed or known[0])
            for entry, load in zip(entries, stated, strict=True)
        ]

    def named_loads(
        self, entries: Sequence[BackendEntry], now: Seconds
    ) -> Iterator[tuple[BackendName, ServerLoad | None]]:
        """Yield the load of each server by all routers; None if it is not known."""
        for entry in entries:
            stated = self.backends.fleet_load.load(entry.run, now)
            known = total_load(entry, stated) if stated is not None else None
            yield entry.backend.name, known

    def draw(self, found: Sequence[RatedServer], amount: float) -> RatedServer:
        """Return a candidate, drawn by its part of the work that is expected."""
        parts = parts_of([candidate.cost for candidate in found], amount)
        if sum(parts) <= 0.0:
            return min(found, key=by_cost)
        return self.rng.choices(found, parts)[0]

    def slow_to_try(
        self,
        service: ServiceName,
        entries: Sequence[BackendEntry],
        now: Seconds,
        wall: Seconds,
    ) -> BackendEntry | None:
        """Return a slow server that is sent a request to see whether it is faster.

        The routers have time slots of some 2 s in turn. Without such requests a server
        that is too slow to be chosen would stay slow in the figures for good. It needs
        none while another request waits there for its first event.
        """
        slow = self.backends.outliers(service, now).slow
        if not slow or not self.backends.shares.is_fleet_known:
            return None
        for entry in entries:
            if entry.backend.name not in slow:
                continue
            load = self.backends.fleet_load.load(entry.run, now)
            slot = self.backends.shares.probe_slot(entry.backend.name, wall)
            waits = entry.work.unread or (load is not None and load.unread)
            if slot is not None and not waits and self.tried_in.get(entry.run) != slot:
                self.tried_in.pop(entry.run, None)
                self.tried_in[entry.run] = slot
                if len(self.tried_in) > MAX_TRIED:
                    del self.tried_in[next(iter(self.tried_in))]
                return entry
        return None


def by_cost(candidate: RatedServer) -> float:
    """Return a candidate's cost."""
    return candidate.cost
