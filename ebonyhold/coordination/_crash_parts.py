"""Decides which parts of prompts crash the servers that write answers on them.

Requests of different content may share a part that crashes their servers.  So a crash
accuses each request that was there, and each part of its prompt that other requests may
have.  A complete answer acquits all parts of its prompt, as it acquits the request: the
parts that many requests share are acquitted all the time, and the one that stays is the
cause.

A part is not rejected for crashes that a single request explains.  Parts that were at
the same servers cannot be told apart; a request is then rejected if it has all of them.
"""

from __future__ import annotations

import hashlib
from collections.abc import Collection, Iterable, Mapping, Sequence

from attrs import define

from ebonyhold.coordination._crashes import (
    COMMON_WEIGHT,
    CrashRecords,
    RequestLoss,
    ServerRun,
    count_moments,
)
from ebonyhold.types import PartDigest, RequestDigest

REJECT_PART_AFTER = 4
"""Number of crashes after which a part is rejected."""

REJECT_CONTESTED_PART_AFTER = 6
"""Number of crashes after which a part is rejected even if another one was at some of
the servers and may be the cause."""

REPEAT_WEIGHT = 0.5
"""Weight of each further crash at which the same request was, by its retries.

A sound request may be at several servers of one rack that end one after the other.
"""

MAX_PARTS = 8
"""Maximum number of parts of one request that a crash accuses, the first ones."""


def part_digest(service: str, part: str) -> PartDigest:
    """Return the digest of a part; what crashes one service may suit another."""
    return hashlib.blake2b(f"{service}/{part}".encode(), digest_size=12).hexdigest()


@define(eq=False)
class PartRecords(CrashRecords):
    """The losses of parts known to one router, and the parts that it rejects for them.

    The ``request`` of a loss is the digest of a part.

    Attributes:
        groups: The parts that are held responsible, those together that cannot be told
            apart.
        explained: The runs of servers whose crash they explain.
    """

    groups: tuple[frozenset[PartDigest], ...] = ()
    explained: frozenset[ServerRun] = frozenset()

    def is_rejected(self, parts: Collection[PartDigest]) -> bool:
        """Return whether a request with these parts is rejected."""
        return any(group.issubset(parts) for group in self.groups)

    def reject(self, found: Mapping[PartDigest, Sequence[RequestLoss]]) -> None:
        """Decide which parts are rejected."""
        self.groups = decide_part_rejections(found)
        self.rejected = frozenset().union(*self.groups)
        self.explained = frozenset(
            loss.run for part in self.rejected for loss in found[part]
        )


def decide_part_rejections(
    found: Mapping[PartDigest, Sequence[RequestLoss]],
) -> tuple[frozenset[PartDigest], ...]:
    """Return the groups of parts that are held responsible for crashes.

    The parts with most crashes are decided first; losses at servers whose crash they
    explain count for no other part.

    Args:
        found: The losses of each part; none of them is empty.
    """
    groups: list[frozenset[PartDigest]] = []
    explained: set[ServerRun] = set()
    while True:
        open_losses = {
            part: [loss for loss in losses if loss.run not in explained]
            for part, losses in found.items()
        }
        counts = {part: count_part_crashes(each) for part, each in open_losses.items()}
        most = max(counts.values(), default=0.0)
        if most < REJECT_PART_AFTER:
            return tuple(groups)
        together: dict[frozenset[ServerRun], set[PartDigest]] = {}
        for part, count in counts.items():
            if count == most:
                runs = frozenset(loss.run for loss in open_losses[part])
                together.setdefault(runs, set()).add(part)
        decided = uncontested_runs(together, open_losses, most)
        if not decided:
            return tuple(groups)
        for runs in decided:
            groups.append(frozenset(together[runs]))
            explained.update(runs)


def uncontested_runs(
    together: Mapping[frozenset[ServerRun], Collection[PartDigest]],
    found: Mapping[PartDigest, Sequence[RequestLoss]],
    most: float,
) -> list[frozenset[ServerRun]]:
    """Return the runs of those groups that have enough crashes of their own.

    Args:
        together: The parts with most crashes, by the runs at which they were.
        found: The losses of each part that nothing explains.
        most: Number of crashes of these parts.
    """
    if most >= REJECT_CONTESTED_PART_AFTER:
        return list(together)
    decided = []
    for runs, parts in together.items():
        shared = {run for other in together if other != runs for run in other}
        part = next(iter(parts))
        own = [loss for loss in found[part] if loss.run not in shared]
        if count_part_crashes(own) >= REJECT_PART_AFTER:
            decided.append(runs)
    return decided


def count_part_crashes(losses: Iterable[RequestLoss]) -> float:
    """Return the number of crashes that accuse a part.

    There are none if a single request was at all of them, and further ones of each
    request count as `REPEAT_WEIGHT`.  Crashes of requests that were all sent before any
    of these crashes was known count once: a fault may have ended several servers
    shortly after each other.  Crashes of servers that ended together count as
    `COMMON_WEIGHT`.
    """
    counted = list(losses)
    by_holder: dict[RequestDigest, set[ServerRun]] = {}
    for loss in counted:
        by_holder.setdefault(loss.holder, set()).add(loss.run)
    runs = {loss.run for loss in counted}
    if any(explained == runs for explained in by_holder.values()):
        return 0.0
    common = {loss.run: loss.at for loss in counted if not loss.alone}
    holders = {loss.run: loss.holder for loss in counted if loss.run not in common}
    repeats = len(holders) - len(set(holders.values()))
    alone = len(holders) - repeats * (1 - REPEAT_WEIGHT)
    crashes = alone + COMMON_WEIGHT * count_moments(common.values())
    depth = max((loss.depth for loss in counted), default=0)
    return crashes if depth > 1 else min(crashes, 1.0)
