"""Which routers hold a workspace's tokens, the same by every router's reckoning.

A budget that is drawn by every router of a large fleet ends up in pieces that are
smaller than a request.  So a few routers, its holders, draw on it, and all others ask
one of them for each request.

This answers load that is spread over so many routers that each of them meets a
workspace once in many seconds.
"""

from __future__ import annotations

import hashlib
import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import TypeAlias

from attrs import define, field, frozen

from ebonyhold.types import WorkspaceName

Fleet: TypeAlias = Mapping[str, str]
"""The failure domain of each router, by the name of its VM."""

SMALL_FLEET = 12
"""The routers up to which each holds tokens of every workspace.

Their even shares of a budget are large against a request, and each serves its own
callers without a question to another one.
"""

LEAST_HOLDERS = 6
"""The holders of a workspace in a large fleet, at least."""


def draw(workspace: WorkspaceName, router: str) -> bytes:
    """Return a router's place in a workspace's own order of routers."""
    return hashlib.blake2b(f"{workspace}\n{router}".encode(), digest_size=8).digest()


def choose_holders(workspace: WorkspaceName, fleet: Fleet) -> list[str]:
    """Return a workspace's holders, in its own order (rendezvous hashing).

    Each failure domain has as many as the others, so that callers of any of them are
    served while it is cut off.  A router that comes or goes changes the holders of its
    own workspaces alone.

    >>> fleet = {f"vm-{n}": f"domain-{n % 3}" for n in range(60)}
    >>> holders = choose_holders("acme", fleet)
    >>> sorted(fleet[vm] for vm in holders)
    ['domain-0', 'domain-0', 'domain-1', 'domain-1', 'domain-2', 'domain-2']
    """
    order = sorted(fleet, key=lambda router: draw(workspace, router))
    if len(fleet) <= SMALL_FLEET:
        return order
    each = math.ceil(LEAST_HOLDERS / len(set(fleet.values())))
    chosen: list[str] = []
    for router in order:
        domain = fleet[router]
        if sum(fleet[other] == domain for other in chosen) < each:
            chosen.append(router)
    return chosen


@frozen
class Holders:
    """A workspace's holders, as one router sees them.

    Attributes:
        names: Their VMs; those of the router's own failure domain first.
        own: Whether the router is one of them.
        whole_fleet: Whether all routers are.
    """

    names: tuple[str, ...]
    own: bool
    whole_fleet: bool


@define(eq=False)
class HolderTable:
    """Remembers the holders of each workspace until the fleet changes.

    Attributes:
        router: The VM of this router.
        domain: Its failure domain.
        choose: Chooses a workspace's holders among all routers.
        fleet: All routers, as they were last seen.
        known: The holders that were asked for since.
    """

    router: str = ""
    domain: str = ""
    choose: Callable[[WorkspaceName, Fleet], Sequence[str]] = choose_holders
    fleet: Fleet = field(factory=dict)
    known: dict[WorkspaceName, Holders] = field(factory=dict)

    def update(self, fleet: Fleet) -> None:
        """Take the routers that there are."""
        if fleet != self.fleet:
            self.fleet = dict(fleet)
            self.known.clear()

    def holders(self, workspace: WorkspaceName) -> Holders:
        """Return a workspace's holders; this router alone while no other is known."""
        found = self.known.get(workspace)
        if found is None:
            fleet = {**self.fleet, self.router: self.domain}
            chosen = self.choose(workspace, fleet)
            names = self.nearest_first(chosen)
            own = self.router in chosen
            found = Holders(names, own, whole_fleet=len(chosen) == len(fleet))
            self.known[workspace] = found
        return found

    def nearest_first(self, routers: Iterable[str]) -> tuple[str, ...]:
        """Return routers with those of the own failure domain first."""
        return tuple(sorted(routers, key=lambda r: self.fleet.get(r) != self.domain))
