"""The figures that routers have of each other's load, as old as the exchange has them.

Each router reports to its failure domain's collector every 0.1 s, so a report is 0.05 s
old on average when it is used. Each collector sends totals every 0.1 to 0.3 s; those of
the other failure domains are one interval older.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial

from attrs import define, field

from ebonyhold.coordination import ServerLoad, ServerRun
from ebonyhold.types import Seconds

REPORT_AGE: Seconds = 0.05
HOP: Seconds = 0.01

Sums = list[list[int]]
"""Requests, unread and resident tokens of each server."""


def interval(routers: int) -> Seconds:
    """Return the time between two totals, which is longer in larger fleets."""
    return 0.1 if routers <= 60 else min(0.3, 0.1 * routers / 60)


@define(eq=False)
class Exchange:
    """The exchange of one fleet.

    Attributes:
        domains: The failure domain of each router.
        servers: Number of servers.
        every: Time between two totals, in seconds.
        slowness: Returns the slowness of a server that the figures state.
        own: Each router's own load of each server.
        sent: Last sums of each failure domain with the load of its routers in them.
        totals: The totals that the routers of each failure domain have.
    """

    domains: Sequence[int]
    servers: int
    every: Seconds
    slowness: Callable[[int], float]
    own: list[Sums] = field(init=False)
    sent: dict[int, Sums] = field(factory=dict)
    totals: dict[int, tuple[Sums, dict[int, Sums]]] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.own = [[[0, 0, 0] for _ in range(self.servers)] for _ in self.domains]

    def start(self, at: Callable[[Seconds, Callable[[Seconds], None]], None]) -> None:
        """Schedule the totals of the three failure domains, which alternate."""
        for domain in range(3):
            at(self.every * domain / 3, partial(self.measure, domain, at))

    def measure(
        self,
        domain: int,
        at: Callable[[Seconds, Callable[[Seconds], None]], None],
        now: Seconds,
    ) -> None:
        """Sum the reports of a failure domain up, and send the total a little later."""
        members = [n for n, of in enumerate(self.domains) if of == domain]
        own = {n: [list(one) for one in self.own[n]] for n in members}
        sums = [
            [sum(own[n][server][item] for n in members) for item in range(3)]
            for server in range(self.servers)
        ]

        def publish(then: Seconds) -> None:
            del then
            others = [sent for d, sent in self.sent.items() if d != domain]
            total = [
                [sums[s][item] + sum(o[s][item] for o in others) for item in range(3)]
                for s in range(self.servers)
            ]
            self.sent[domain] = sums
            self.totals[domain] = total, own

        at(now + REPORT_AGE + HOP, publish)
        at(now + self.every, partial(self.measure, domain, at))


@define(eq=False)
class RouterView:
    """One router's view of the exchange, as the product's choice reads it."""

    exchange: Exchange
    router: int

    def load(self, run: ServerRun, now: Seconds) -> ServerLoad | None:
        """Return the load of the other routers at a server."""
        del now
        exchange, server = self.exchange, int(run.server[1:])
        known = exchange.totals.get(exchange.domains[self.router])
        if known is None:
            return None
        total, own = known
        requests, unread, resident = (
            max(0, item - mine)
            for item, mine in zip(total[server], own[self.router][server], strict=True)
        )
        return ServerLoad(requests, unread, resident, exchange.slowness(server))

    def is_on(self, service: str) -> bool:
        """Return whether the load is shared."""
        return bool(service)
