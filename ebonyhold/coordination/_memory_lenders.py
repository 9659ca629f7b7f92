"""Which routers lend the memory of a backend server, as one router sees it.

Each server has two lenders.  All routers choose them by rendezvous hashing over the
same fleet, so that they agree without a message.  Routers read the fleet at different
times, so a new lender waits until the leases of the one before have expired, unless all
processes that may have any have ended, and a lender whose view of the fleet is old
grants nothing.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Mapping

from attrs import define, field, frozen

from ebonyhold.types import BackendName, RouterId, Seconds

LENDERS = 2
"""Number of lenders of each server.

With one, nothing is lent while it is replaced; more would each have less to lend.
"""

LEASE_MARGIN: Seconds = 1.0
"""How long after the deadline of its request a lease expires.

The router gives the request up at the deadline, and its server ends it by then.
"""

VIEW_INTERVALS = 2.5
"""Number of count intervals after which a view of the fleet is too old to lend.

Other routers leave a router out after at least three intervals without a change of its
row (four readings, the first two of which may be closer).
"""


MAX_SERVERS = 1024
"""Number of servers whose lenders are kept; above it, all are computed again."""


def lender_rank(server: BackendName, router: str) -> bytes:
    """Return a router's sort key for the rendezvous hashing of a server."""
    return hashlib.blake2b(f"{server}\n{router}".encode(), digest_size=8).digest()


def choose_lenders(server: BackendName, fleet: Mapping[str, str]) -> tuple[str, ...]:
    """Return a server's lenders, the first by rank and the first in another domain.

    Args:
        server: The server.
        fleet: The failure domain of each router that lends, by its name.

    Returns:
        Both lenders; fewer if there are not that many routers. If all are in one
        failure domain, both are.

    >>> fleet = {f"vm-{n}": f"domain-{n % 3}" for n in range(60)}
    >>> first, second = choose_lenders("server-1", fleet)
    >>> fleet[first] != fleet[second]
    True
    """
    order = sorted(fleet, key=lambda router: lender_rank(server, router))
    if not order:
        return ()
    first, *others = order
    elsewhere = [router for router in others if fleet[router] != fleet[first]]
    return (first, *(elsewhere or others)[: LENDERS - 1])


@frozen
class RouterRun:
    """What one run of a router's process states about leases.

    Attributes:
        name: Its incarnation.
        has_leases: Whether it may have lent or leased memory since its start.
    """

    name: RouterId
    has_leases: bool


@define(eq=False)
class LenderView:
    """The lenders of each server from one router's point of view.

    Attributes:
        router: This router.
        domain: Its failure domain.
        fleet: The failure domain of each router that lends, by its name.
        read_at: When this router last stored its row and read those of the others.
        valid_for: How long after that it may lend.
        changed_at: When the fleet last changed, or was read again after it had become
            too old; minus infinity if no lease from before that is left.
        earlier: The runs of routers that may have leases from before that, by router.
        chosen: The lenders of each server, computed since the last change.
        since: Since when this router has been a lender of each server that it is a
            lender of, as far as known.
    """

    router: str = ""
    domain: str = ""
    fleet: dict[str, str] = field(factory=dict)
    read_at: Seconds = -math.inf
    valid_for: Seconds = 10.0
    changed_at: Seconds = math.inf
    earlier: dict[str, RouterId] = field(factory=dict)
    chosen: dict[BackendName, tuple[str, ...]] = field(factory=dict)
    since: dict[BackendName, Seconds] = field(factory=dict)

    def update(
        self,
        fleet: Mapping[str, str],
        now: Seconds,
        valid_for: Seconds,
        runs: Mapping[str, RouterRun],
    ) -> None:
        """Use a new reading of the fleet.

        Args:
            fleet: The routers that lend, with their failure domains.
            now: When this router's row was stored, before the others were read.
            valid_for: How long after that this router may lend.
            runs: What all routers state about their leases, also those that are not
                in the fleet any more.
        """
        lapsed = now - self.read_at >= self.valid_for
        changed = fleet != self.fleet
        self.read_at, self.valid_for = now, valid_for
        if lapsed:
            # Others may have left this router out meanwhile, and lent in its place.
            self.since.clear()
        if changed:
            if not lapsed:
                # Roles that nobody has asked for are as old as the last change.
                for server, lenders in self.chosen.items():
                    if self.router in lenders:
                        self.since.setdefault(server, self.changed_at)
            before, self.fleet = self.since, dict(fleet)
            self.chosen.clear()
            # The role in servers that are not named here is computed when it is needed.
            self.since = {s: at for s, at in before.items() if self.is_chosen(s)}
        if lapsed or changed:
            self.changed_at = now
            self.earlier = {n: run.name for n, run in runs.items() if run.has_leases}
            return
        # The requests of a process that has ended since have ended with it.
        self.earlier = {
            name: run
            for name, run in self.earlier.items()
            if name in runs and runs[name].name == run
        }
        if not self.earlier:
            self.changed_at = -math.inf
            self.since = dict.fromkeys(self.since, -math.inf)

    def lenders(self, server: BackendName) -> tuple[str, ...]:
        """Return a server's lenders, those in this router's failure domain first."""
        found = self.chosen.get(server)
        if found is None:
            if len(self.chosen) >= MAX_SERVERS:
                # A role that is computed again begins later, which is safe.
                self.chosen.clear()
                self.since.clear()
            chosen = choose_lenders(server, self.fleet)
            found = tuple(sorted(chosen, key=lambda r: self.fleet[r] != self.domain))
            self.chosen[server] = found
        return found

    def is_chosen(self, server: BackendName) -> bool:
        """Return whether this router is a lender of a server."""
        return self.router in self.lenders(server)

    def quiet_left(self, server: BackendName, now: Seconds, max_time: Seconds) -> float:
        """Return for how long this router must not lend; infinite if not a lender.

        A router that was a lender before may go on lending for `valid_for` after it was
        replaced, and its leases last until their requests have ended.

        Args:
            server: The server.
            now: The time.
            max_time: The longest time-out of a request.
        """
        if now - self.read_at >= self.valid_for or not self.is_chosen(server):
            return math.inf
        since = self.since.setdefault(server, self.changed_at)
        return max(0.0, since + self.valid_for + max_time + LEASE_MARGIN - now)
