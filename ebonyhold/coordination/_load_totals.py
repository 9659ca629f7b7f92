"""Adds up what the routers of a fleet have at its servers.

A router reports what it has at each server. A collector adds the reports of its failure
domain up to a sum, and the sums of all domains up to a total. Each router subtracts its
own share from the total.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from typing import TypeAlias

from attrs import define, evolve, field, frozen

from ebonyhold.coordination._crashes import ServerRun
from ebonyhold.types import Seconds, Tokens

KEY_BYTES = 6
"""Length of the hash that identifies a run of a server in messages.

Among 1,000 runs two have the same hash with a probability of 2 in a billion.
"""

REPORT_LASTS: Seconds = 1.5
"""How long a report or a sum counts; unchanged reports are repeated every second."""

TOTAL_LASTS: Seconds = 1.0
"""Age above which a total is not used, as a server's load changes within a second."""

MAX_DELAY: Seconds = 2.0
"""Age of the included report above which a total was delayed on its way.

A collector includes no report that is older than REPORT_LASTS.
"""

MAX_ROUTERS = 512
"""Maximum number of routers whose reports are kept; fleets have up to 330."""

MAX_SERVERS = 1024
"""Maximum number of runs of servers whose load is kept."""

MAX_SENDERS = 8
"""Maximum number of collectors of a failure domain whose sums or totals are kept."""

SENT_KEPT = 32
"""Number of the own reports that are remembered; totals include one of the latest."""

RunKey: TypeAlias = bytes
"""Identifies a run of a server in messages."""


def run_key(run: ServerRun) -> RunKey:
    """Return the key of a run of a server; it is the same at all routers."""
    text = f"{run.server}/{run.started_at}".encode()
    return hashlib.blake2b(text, digest_size=KEY_BYTES).digest()


@frozen
class ServerShare:
    """What one or several routers have at a server, and what they measured there.

    Attributes:
        requests: Requests in flight.
        unread: Prompt tokens not read yet.
        resident: Maximum number of prompt and output tokens of the requests in flight.
        observed: Sum of the recent times to the first event, in ms.
        expected: Sum of the work that was expected before these events.
        attempts: Recent attempts, in tenths, since older ones count less.
        failures: Those of them that failed, in tenths.
    """

    requests: int = 0
    unread: Tokens = 0
    resident: Tokens = 0
    observed: int = 0
    expected: int = 0
    attempts: int = 0
    failures: int = 0

    @property
    def figures(self) -> tuple[int, ...]:
        """All values in the order of the attributes."""
        return (
            self.requests,
            self.unread,
            self.resident,
            self.observed,
            self.expected,
            self.attempts,
            self.failures,
        )

    def minus(self, own: ServerShare) -> ServerShare:
        """Return the load without that of one router; evidence stays complete."""
        return ServerShare(
            max(0, self.requests - own.requests),
            max(0, self.unread - own.unread),
            max(0, self.resident - own.resident),
            *self.figures[3:],
        )


NO_SHARE = ServerShare()

Floors: TypeAlias = Mapping[RunKey, int]
"""The requests that servers state that they have, which are the least that counts."""

Shares: TypeAlias = Mapping[RunKey, ServerShare]
"""What routers have at each run of a server where they have something."""


def add_shares(parts: Iterable[Shares]) -> dict[RunKey, ServerShare]:
    """Return the sum of several routers' shares, of at most MAX_SERVERS runs."""
    sums: dict[RunKey, list[int]] = {}
    for part in parts:
        for key, share in part.items():
            known = sums.get(key)
            if known is not None:
                for index, figure in enumerate(share.figures):
                    known[index] += figure
            elif len(sums) < MAX_SERVERS:
                sums[key] = list(share.figures)
    return {key: ServerShare(*figures) for key, figures in sums.items()}


def raise_shares(shares: dict[RunKey, ServerShare], floors: Floors) -> None:
    """Raise the number of requests at each server to what it states.

    Args:
        shares: The sum of all routers' shares, which is changed.
        floors: The number of requests that each server states.
    """
    for key, requests in floors.items():
        share = shares.get(key, NO_SHARE)
        if requests > share.requests:
            shares[key] = evolve(share, requests=requests)


@frozen
class Stamp:
    """The place of a message among those of its sender.

    Attributes:
        epoch: A random number of the run of the sender's process; 0 for no message.
        number: Rises with each message of that run.
    """

    epoch: int = 0
    number: int = 0

    def is_after(self, other: Stamp | None) -> bool:
        """Return whether this message replaces another one of the same sender.

        Another run counts as newer, as its order is not known.
        """
        if other is None or other.epoch != self.epoch:
            return True
        return self.number > other.number


NO_STAMP = Stamp()


@frozen
class LoadReport:
    """What one router has at the servers."""

    stamp: Stamp
    shares: Shares


@frozen
class LoadSum:
    """What the routers of a failure domain have at the servers.

    Attributes:
        stamp: The place among the sender's messages.
        complete: Whether the sender has collected for long enough.
        age: Time since the reports were added up.
        shares: The sum.
        floors: The requests that the servers of this failure domain state.
    """

    stamp: Stamp
    complete: bool
    age: Seconds
    shares: Shares
    floors: Floors = field(factory=dict)


@frozen
class LoadTotal:
    """What the routers of all failure domains have at the servers.

    Attributes:
        stamp: The place among the sender's messages.
        complete: Whether the sender has collected for long enough.
        interval: Time until the next total.
        included: The report of the receiver that is included.
        ages: Time since the sum of each failure domain was measured.
        shares: The total.
    """

    stamp: Stamp
    complete: bool
    interval: Seconds
    included: Stamp
    ages: Mapping[str, Seconds]
    shares: Shares


@define(eq=False)
class ReportTable:
    """The latest report of each router that reports here."""

    reports: dict[str, tuple[LoadReport, Seconds]] = field(factory=dict)

    def add(self, sender: str, report: LoadReport, now: Seconds) -> bool:
        """Store a report; return whether it is the newest of its sender."""
        known = self.reports.get(sender)
        if known is None and len(self.reports) >= MAX_ROUTERS:
            return False
        if known is not None and not report.stamp.is_after(known[0].stamp):
            return False
        self.reports[sender] = report, now
        return True

    def expire(self, now: Seconds) -> None:
        """Remove the reports that do not count any more."""
        for name, (_, at) in list(self.reports.items()):
            if now - at > REPORT_LASTS:
                del self.reports[name]

    def included(self, name: str) -> Stamp:
        """Return which report of a router is included in a sum."""
        known = self.reports.get(name)
        return known[0].stamp if known is not None else NO_STAMP

    def sum(self) -> dict[RunKey, ServerShare]:
        """Return the sum of all reports."""
        return add_shares(report.shares for report, _ in self.reports.values())


@define(eq=False)
class SumTable:
    """The latest sums of another failure domain, by the collector that sent them.

    Attributes:
        sums: The sums, with the time when each was measured.
    """

    sums: dict[str, tuple[LoadSum, Seconds]] = field(factory=dict)

    def add(self, sender: str, message: LoadSum, now: Seconds) -> bool:
        """Store a sum; return whether it is the newest of its sender."""
        known = self.sums.get(sender)
        if known is None and len(self.sums) >= MAX_SENDERS:
            return False
        if known is not None and not message.stamp.is_after(known[0].stamp):
            return False
        self.sums[sender] = message, now - message.age
        return True

    def expire(self, now: Seconds) -> None:
        """Remove the sums that do not count any more."""
        for name, (_, at) in list(self.sums.items()):
            if now - at > REPORT_LASTS:
                del self.sums[name]

    def best(
        self, ranking: tuple[str, ...], now: Seconds, fresh: Seconds
    ) -> tuple[LoadSum, Seconds] | None:
        """Return the sum to use, and when it was measured.

        Of the complete sums that are fresh, it is that of the highest rank; if there is
        none, the newest one, with a preference for a complete one.

        Args:
            ranking: The routers of that failure domain, the preferred collector first.
            now: The time.
            fresh: The age up to which a sum is fresh.
        """

        def key(item: tuple[str, tuple[LoadSum, Seconds]]) -> tuple[float, ...]:
            name, (message, at) = item
            if message.complete and now - at <= fresh and name in ranking:
                return 2.0, -ranking.index(name), at
            return float(message.complete), 0.0, at

        return max(self.sums.items(), key=key)[1] if self.sums else None


@define(eq=False)
class TotalView:
    """What one router knows of the other routers' load, from its collectors' totals.

    Attributes:
        sent: The own reports that a total may include, and when each was sent.
        totals: The latest total of each collector, and when it arrived.
        chosen: The total in use, and when it arrived.
        others: The load of the other routers by the total in use, as far as asked for.
    """

    sent: dict[Stamp, tuple[Shares, Seconds]] = field(factory=dict)
    totals: dict[str, tuple[LoadTotal, Seconds]] = field(factory=dict)
    chosen: tuple[LoadTotal, Seconds] | None = None
    others: dict[RunKey, ServerShare] = field(factory=dict)

    def record_sent(self, report: LoadReport, now: Seconds) -> None:
        """Remember an own report."""
        self.sent[report.stamp] = report.shares, now
        if len(self.sent) > SENT_KEPT:
            del self.sent[next(iter(self.sent))]

    def add(self, sender: str, total: LoadTotal, now: Seconds) -> bool:
        """Store a total; return whether it is the newest of its sender.

        One that includes an own report which is forgotten or more than MAX_DELAY old is
        dropped: it was delayed, or what it includes of this router is not known.
        """
        known = self.totals.get(sender)
        if known is not None and not total.stamp.is_after(known[0].stamp):
            return False
        if total.included != NO_STAMP:
            own = self.sent.get(total.included)
            if own is None or now - own[1] > MAX_DELAY:
                return False
        self.totals[sender] = total, now
        return True

    def choose(self, ranking: tuple[str, ...], now: Seconds, fresh: Seconds) -> bool:
        """Choose the total to use; return whether there is one.

        Of the complete totals that are fresh, it is that of the highest rank; if there
        is none, the newest one.

        Args:
            ranking: The routers of the own domain, the preferred collector first.
            now: The time.
            fresh: The age up to which a total is fresh.
        """
        for name, (_, at) in list(self.totals.items()):
            if now - at > REPORT_LASTS or len(self.totals) > MAX_SENDERS:
                del self.totals[name]
        usable = [
            (now - at <= fresh and name in ranking, -rank_of(name, ranking), at, total)
            for name, (total, at) in self.totals.items()
            if total.complete and now - at <= TOTAL_LASTS
        ]
        best = max(usable, key=lambda item: item[:3], default=None)
        if best is None:
            self.chosen = None
            return False
        if self.chosen is None or self.chosen[0] is not best[3]:
            self.chosen = best[3], best[2]
            self.others = {}
        return True

    def age(self, now: Seconds) -> Seconds | None:
        """Return the age of the total in use; None if there is none."""
        if self.chosen is None or now - self.chosen[1] > TOTAL_LASTS:
            return None
        return now - self.chosen[1]

    def is_listed(self, key: RunKey) -> bool:
        """Return whether any router has something at a server, by the total in use."""
        return self.chosen is not None and key in self.chosen[0].shares

    def share(self, key: RunKey) -> ServerShare:
        """Return what the other routers have at a server, by the total in use."""
        known = self.others.get(key)
        if known is None and self.chosen is not None:
            total = self.chosen[0]
            known = total.shares.get(key, NO_SHARE)
            own = self.sent.get(total.included)
            if own is not None and key in own[0]:
                known = known.minus(own[0][key])
            self.others[key] = known
        return known or NO_SHARE


def rank_of(name: str, ranking: tuple[str, ...]) -> int:
    """Return a router's place in a ranking; the one after the last if it has none."""
    return ranking.index(name) if name in ranking else len(ranking)
