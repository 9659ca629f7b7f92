"""The choice of the routers that hold a workspace's tokens.

If every router of a large fleet drew on a budget, the grants would be smaller than a
request.  Instead a few routers, the workspace's holders, draw on it.  Every other
router requests a hold from a holder for each of its requests.  All routers compute the
same holders.

Holders are useful if a workspace's requests are spread over so many routers that each
router receives one only once in many seconds.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import TypeAlias

from attrs import define, field, frozen

from ebonyhold.types import WorkspaceName

Fleet: TypeAlias = Mapping[str, str]
"""The routers as a mapping from the name of each router's VM to its failure domain."""

SMALL_FLEET = 12
"""Number of routers up to which each router is a holder of every workspace.

In such a fleet, an equal share of a budget is large compared with a request, and each
router serves its own callers without a call to another router.
"""

MIN_HOLDERS = 6
"""Minimum number of holders of a workspace in a fleet above `SMALL_FLEET`.

Each failure domain gets the same number of holders, so the total may be higher.
"""


def rank(workspace: WorkspaceName, router: str) -> bytes:
    """Return a router's sort key for the rendezvous hashing of a workspace."""
    return hashlib.blake2b(f"{workspace}\n{router}".encode(), digest_size=8).digest()


def choose_holders(workspace: WorkspaceName, fleet: Fleet) -> list[str]:
    """Return a workspace's holders by rendezvous hashing, in rank order.

    In a small fleet these are all routers.  In a larger one each failure domain has the
    same number of holders, if it has that many routers, so callers in a domain are
    served while the domain is cut off.  A router that joins or leaves changes only the
    holders of workspaces for which it is chosen itself.

    >>> fleet = {f"vm-{n}": f"domain-{n % 3}" for n in range(60)}
    >>> holders = choose_holders("acme", fleet)
    >>> sorted(fleet[vm] for vm in holders)
    ['domain-0', 'domain-0', 'domain-1', 'domain-1', 'domain-2', 'domain-2']
    """
    order = sorted(fleet, key=lambda router: rank(workspace, router))
    if len(fleet) <= SMALL_FLEET:
        return order
    each = math.ceil(MIN_HOLDERS / len(set(fleet.values())))
    chosen: list[str] = []
    for router in order:
        domain = fleet[router]
        if sum(fleet[other] == domain for other in chosen) < each:
            chosen.append(router)
    return chosen


@frozen
class Holders:
    """A workspace's holders, from the point of view of one router.

    Attributes:
        names: VM names of the holders, those in the router's failure domain first.
        own: Whether the router itself is a holder.
        whole_fleet: Whether all routers are holders.
        reached: How many holders requests usually reach: the first one of each failure
            domain, or all if the whole fleet holds.
    """

    names: tuple[str, ...]
    own: bool
    whole_fleet: bool
    reached: int


@define(eq=False)
class HolderTable:
    """Computes the holders of each workspace and caches them until the fleet changes.

    Attributes:
        router: Name of this router's VM.
        domain: This router's failure domain.
        choose: Chooses a workspace's holders among all routers.
        fleet: The known routers.
        cached: The holders computed since the last change of the fleet.
    """

    router: str = ""
    domain: str = ""
    choose: Callable[[WorkspaceName, Fleet], Sequence[str]] = choose_holders
    fleet: Fleet = field(factory=dict)
    cached: dict[WorkspaceName, Holders] = field(factory=dict)

    def update(self, fleet: Fleet) -> None:
        """Set the known routers, and clear the cache if they changed."""
        if fleet != self.fleet:
            self.fleet = dict(fleet)
            self.cached.clear()

    def holders(self, workspace: WorkspaceName) -> Holders:
        """Return a workspace's holders; only this router if no other is known."""
        found = self.cached.get(workspace)
        if found is None:
            fleet = {**self.fleet, self.router: self.domain}
            chosen = self.choose(workspace, fleet)
            names = self.nearest_first(chosen)
            own = self.router in chosen
            whole = len(chosen) == len(fleet)
            domains = len({fleet[name] for name in chosen})
            reached = len(chosen) if whole else domains
            found = Holders(names, own, whole_fleet=whole, reached=reached)
            self.cached[workspace] = found
        return found

    def nearest_first(self, routers: Iterable[str]) -> tuple[str, ...]:
        """Return the routers, those in this router's failure domain first."""
        return tuple(sorted(routers, key=lambda r: self.fleet.get(r) != self.domain))
