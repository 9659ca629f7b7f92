"""How many tokens of its grants a router may use, according to its stored renewals.

With each renewal a router stores, for each grant, how many tokens it may have used by
then (the *ceiling*) and the rates at which that number may grow afterwards.  The router
never uses more.  If it is killed, its successor on the same VM can compute from the
last renewal and the time since then how many tokens were certainly left unused.

The growth serves requests during an outage of the store, when no renewal succeeds.
Because the limit grows with time, a kill during normal operation loses few tokens, and
a kill after an outage loses about the expected demand of the outage, not the whole
grant.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import TypeAlias

from attrs import define, evolve, field, frozen

from ebonyhold.types import Seconds, Tokens, WorkspaceName

EARLY_PERIOD: Seconds = 2.3
"""Time after a renewal during which a limit grows at its early rate.

A router that was killed while it could reach the store restarts within this time: a VM
is back 0.5 to 1.5 s after it lost power, the last renewal is up to 0.4 s older, and the
reclaim adds a clock margin of 0.2 s.
"""

MAX_NUMBER = 2**63
"""Upper bound of the numbers of a limit; larger ones may be too large for a float."""


@frozen
class SpendingLimit:
    """Upper limit of the tokens of a grant that its router may use.

    The limit counts the tokens used since the incarnation started, and grows with the
    time since the renewal.

    Attributes:
        ceiling: The limit at the time of the renewal.
        early_rate: Growth of the limit during `EARLY_PERIOD`, in tokens per second.
        later_rate: Growth of the limit after `EARLY_PERIOD`, in tokens per second.
        used: Tokens used when the renewal was sent, for the logs of a successor; 0 if
            the limit was written by an older version.
        held: The part of `used` that was held for requests in flight.
    """

    ceiling: Tokens = 0
    early_rate: float = 0.0
    later_rate: float = 0.0
    used: Tokens = 0
    held: Tokens = 0

    @property
    def is_valid(self) -> bool:
        """Whether no number is negative, infinite or NaN, as in rows of others."""
        numbers = (self.ceiling, self.early_rate, self.later_rate)
        return all(0 <= number < MAX_NUMBER for number in numbers)

    def after(self, elapsed: Seconds) -> Tokens:
        """Return the limit `elapsed` seconds after the renewal was sent.

        >>> limit = SpendingLimit(ceiling=100, early_rate=10.0, later_rate=100.0)
        >>> [limit.after(elapsed) for elapsed in (0.0, 2.3, 3.3)]
        [100, 123, 223]
        """
        early = min(max(0.0, elapsed), EARLY_PERIOD)
        later = max(0.0, elapsed - EARLY_PERIOD)
        return self.ceiling + int(self.early_rate * early + self.later_rate * later)


ZERO_LIMIT = SpendingLimit()
"""The limit of a workspace that a renewal does not list: no tokens may be used."""

Limits: TypeAlias = Mapping[WorkspaceName, SpendingLimit]
"""The spending limit of each workspace's grant in one renewal."""


@frozen
class Renewal:
    """A renewal that was sent.

    Attributes:
        number: Sequence number of the renewal within its incarnation.
        sent_at: Send time on the router's monotonic clock.  That clock stops while a VM
            is frozen, so the time elapsed on the store's clock is never shorter.
        limits: The limits that the renewal writes to the store.
        is_raised: Whether a limit is above the one that was wanted, because an earlier
            renewal was in doubt.
    """

    number: int
    sent_at: Seconds
    limits: Limits
    is_raised: bool = False

    def limit(self, workspace: WorkspaceName, now: Seconds) -> Tokens:
        """Return the limit of a workspace's grant at a time on the monotonic clock."""
        return self.limits.get(workspace, ZERO_LIMIT).after(now - self.sent_at)


@define
class LimitTracker:
    """Tracks the renewals that a successor may find in the store.

    A successor may find any one of them, so the lowest of their limits applies.

    Attributes:
        confirmed: The last renewal that the store acknowledged; None before the first.
        in_doubt: Renewals sent after `confirmed` whose outcome is unknown.
        sent: Number of renewals sent.
        delay: Typical time until a renewal is acknowledged.
    """

    confirmed: Renewal | None = None
    in_doubt: list[Renewal] = field(factory=list)
    sent: int = 0
    delay: Seconds = 0.0

    @property
    def possible(self) -> Iterable[Renewal]:
        """The renewals that a successor may find: `confirmed` and those in doubt."""
        confirmed = [self.confirmed] if self.confirmed else []
        return [*confirmed, *self.in_doubt]

    def limit(self, workspace: WorkspaceName, now: Seconds) -> Tokens:
        """Return the current limit of a workspace; 0 before the first renewal."""
        if self.confirmed is None:
            return 0
        return min(renewal.limit(workspace, now) for renewal in self.possible)

    def age(self, now: Seconds) -> Seconds:
        """Return the time since the confirmed renewal was sent; inf without one."""
        return now - self.confirmed.sent_at if self.confirmed else float("inf")

    def propose(self, wanted: Limits, now: Seconds) -> Renewal:
        """Return the next renewal, and record it as in doubt until it is confirmed.

        While an earlier renewal is in doubt, the new renewal lowers no limit.
        Otherwise each failed renewal in an outage would restart the growth of the
        limits.
        """
        limits = dict(wanted)
        if self.in_doubt:
            limits = {
                name: self.not_lowered(name, limit, now)
                for name, limit in limits.items()
            }
        is_raised = any(limits[name] != wanted[name] for name in wanted)
        self.sent += 1
        renewal = Renewal(self.sent, now, limits, is_raised)
        self.in_doubt.append(renewal)
        return renewal

    def not_lowered(
        self, workspace: WorkspaceName, limit: SpendingLimit, now: Seconds
    ) -> SpendingLimit:
        """Return a limit that is raised where an earlier renewal allows more.

        Its ceiling is at least the current limit.  Its rates are at least those of each
        renewal that a successor may find, but after `EARLY_PERIOD` the later rate
        replaces the early one.
        """
        sent = [r.limits.get(workspace, ZERO_LIMIT) for r in self.possible]
        later = max(limit.later_rate, *(s.later_rate for s in sent))
        early = max(limit.early_rate, *(s.early_rate for s in sent))
        # After `EARLY_PERIOD` the limits already grow at the later rate, and a new
        # renewal must not slow them down to the early rate.  Before the end of that
        # period the early rate is kept: if the limits grew at the later rate from the
        # start, a kill of the router could lose a tenth of a budget.
        long_outage = self.age(now) > EARLY_PERIOD
        ceiling = max(limit.ceiling, self.limit(workspace, now))
        return evolve(
            limit,
            ceiling=ceiling,
            early_rate=later if long_outage else early,
            later_rate=later,
        )

    def took_effect(self, number: int) -> None:
        """Mark a renewal in doubt as confirmed; ignore one that is not in doubt.

        Other renewals in doubt are dropped.  They can no longer take effect, because
        their transactions check an earlier version of the row.
        """
        for renewal in self.in_doubt:
            if renewal.number == number:
                self.confirmed = renewal
                self.in_doubt = []
                return

    def had_no_effect(self, number: int) -> None:
        """Remove a renewal in doubt that the store certainly did not apply."""
        self.in_doubt = [r for r in self.in_doubt if r.number != number]
