"""One router's part in the exchange of loads: what it sends at each interval."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import TypeAlias

from attrs import define, field, frozen

from ebonyhold.coordination._load_collectors import (
    MISSED_INTERVALS,
    CollectorChoice,
    rank_collectors,
)
from ebonyhold.coordination._load_totals import (
    REPORT_LASTS,
    TOTAL_LASTS,
    LoadReport,
    LoadSum,
    LoadTotal,
    ReportTable,
    RunKey,
    Shares,
    Stamp,
    SumTable,
    TotalView,
    add_shares,
    raise_shares,
)
from ebonyhold.types import Seconds

UNCHANGED_INTERVAL: Seconds = 0.7
"""Interval of reports that have not changed, and of a collector's totals while nobody
reports to it.

A report counts for 1.5 s, so that one of them may be lost.
"""

MISSING_INTERVALS = 2
"""Intervals after which a report that no total includes is repeated, as it was lost."""

STALL: Seconds = 1.0
"""Time between two steps above which this process was stopped for a while."""

REST: Seconds = 3.0
"""How long a router does not collect after a stall.

What it had collected is outdated. If it took over again at once, a process that stalls
repeatedly would interrupt the totals of its failure domain each time.
"""

SEARCHED = 8
"""Number of routers of another failure domain that are tried as its collector."""

LoadMessage: TypeAlias = LoadReport | LoadSum | LoadTotal


@frozen
class Participant:
    """A router that shares its load.

    Attributes:
        domain: Its failure domain.
        link_rate: The rate of its link in bytes per second; 0 if unknown.
    """

    domain: str
    link_rate: float = 0.0


@define(eq=False)
class LoadSharing:
    """The state of one router in the exchange of loads.

    Attributes:
        name: This router's name.
        domain: Its failure domain.
        epoch: A random number above 0 for this run of the process.
        participants: The routers that share their load, by name, with this one.
        rankings: The routers of each failure domain, the preferred collector first.
        choice: To which router this one reports.
        reports: The reports of the routers of its domain, if it collects.
        sums: The sums of the other failure domains.
        view: What it knows of the other routers' load.
        collecting_since: When it began to collect; None if it does not.
        number: The number of the last message.
        reported: The last report and its receiver, with the time.
        stepped_at: When the last step was made; None before the first.
        rests_until: Until when it does not collect, after a stall.
        announced_at: When the last total was sent to the routers of its domain.
        searches: The number of times that it searched a collector of another domain.
        interval: The interval of the fleet at the last step.
        stated: The requests that servers of its domain state, and since when.
    """

    name: str
    domain: str
    epoch: int
    participants: Mapping[str, Participant] = field(factory=dict)
    rankings: dict[str, tuple[str, ...]] = field(factory=dict)
    choice: CollectorChoice = field(init=False)
    reports: ReportTable = field(factory=ReportTable)
    sums: dict[str, SumTable] = field(factory=dict)
    view: TotalView = field(factory=TotalView)
    collecting_since: Seconds | None = None
    number: int = 0
    reported: tuple[LoadReport, str, Seconds] | None = None
    stepped_at: Seconds | None = None
    rests_until: Seconds = -1e9
    announced_at: Seconds = -1e9
    searches: int = 0
    interval: Seconds = 0.1
    stated: dict[RunKey, tuple[int, Seconds]] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.choice = CollectorChoice(self.name)

    def update(self, participants: Mapping[str, Participant], now: Seconds) -> None:
        """Use a new list of the routers that share their load, with this one."""
        if participants == self.participants:
            return
        self.participants = dict(participants)
        rates: dict[str, dict[str, float]] = {}
        for name, one in self.participants.items():
            rates.setdefault(one.domain, {})[name] = one.link_rate
        self.rankings = {
            domain: rank_collectors(found, domain) for domain, found in rates.items()
        }
        self.sums = {
            domain: self.sums.get(domain) or SumTable()
            for domain in rates
            if domain != self.domain
        }
        self.choice.update(self.ranking, now)

    @property
    def ranking(self) -> tuple[str, ...]:
        """The routers of the own domain, the preferred collector first."""
        return self.rankings.get(self.domain, ())

    @property
    def collects(self) -> bool:
        """Whether this router collects."""
        return self.collecting_since is not None

    def receive(self, sender: str, message: LoadMessage, now: Seconds) -> bool:
        """Use a message of another router; return whether it was new and of use.

        Sums and totals count only of routers that are known to participate.
        """
        if sender == self.name:
            return False
        if isinstance(message, LoadReport):
            return self.reports.add(sender, message, now)
        known = self.participants.get(sender)
        if known is None:
            return False
        if isinstance(message, LoadSum):
            table = self.sums.get(known.domain)
            return table is not None and table.add(sender, message, now)
        if known.domain != self.domain or not self.view.add(sender, message, now):
            return False
        self.choice.record(sender, now)
        self.view.choose(self.ranking, now, self.fresh)
        return True

    def record_stated(self, key: RunKey, requests: int, now: Seconds) -> None:
        """Record how many requests a server of the own domain states that it has."""
        self.stated[key] = requests, now

    @property
    def longest_interval(self) -> Seconds:
        """The interval at which totals are expected.

        A collector with a slow link sends them less often, which they state.
        """
        chosen = self.view.chosen
        stated = chosen[0].interval if chosen is not None else 0.0
        return max(self.interval, min(stated, TOTAL_LASTS))

    @property
    def fresh(self) -> Seconds:
        """The age up to which a total is fresh."""
        return MISSED_INTERVALS * self.longest_interval

    def step(
        self, shares: Shares, now: Seconds, interval: Seconds, pause: Seconds
    ) -> list[tuple[str, LoadMessage]]:
        """Return the messages of one interval with their receivers.

        Args:
            shares: What this router has at the servers.
            now: The time.
            interval: The interval of the fleet.
            pause: The time until this router's next step, which totals state.
        """
        if self.stepped_at is not None and now - self.stepped_at > STALL:
            self.rests_until = now + REST
        self.stepped_at, self.interval = now, interval
        self.reports.expire(now)
        for table in self.sums.values():
            table.expire(now)
        able = now >= self.rests_until
        self.choice.review(now, self.longest_interval, able)
        self.decide(now, able)
        report = self.report(shares, now)
        messages: list[tuple[str, LoadMessage]] = [report] if report else []
        if self.collects:
            messages += self.collect(now, pause)
        self.view.choose(self.ranking, now, self.fresh)
        return messages

    def decide(self, now: Seconds, able: bool) -> None:
        """Decide whether this router collects; it does not while it is not able to."""
        asked = self.choice.current == self.name or any(
            name != self.name for name in self.reports.reports
        )
        higher = self.choice.hears_higher(now, self.longest_interval)
        if not (asked and able) or higher:
            self.collecting_since = None
        elif self.collecting_since is None:
            self.collecting_since = now

    def report(self, shares: Shares, now: Seconds) -> tuple[str, LoadReport] | None:
        """Return this router's report if it is due, with its receiver.

        It is due if the load or the receiver has changed, if the last one was lost, and
        after UNCHANGED_INTERVAL. A router that collects uses its own report at once.
        """
        receiver = self.choice.current
        if self.collects:
            own = self.add_report(shares, now)
            self.reports.add(self.name, own, now)
            return None
        if self.reported is not None:
            last, to, at = self.reported
            due = now - at >= UNCHANGED_INTERVAL or (
                now - at >= MISSING_INTERVALS * self.longest_interval
                and self.view.chosen is not None
                and self.view.chosen[0].included != last.stamp
            )
            if to == receiver and not due and is_same_load(last.shares, shares):
                return None
        self.reports.reports.pop(self.name, None)
        own = self.add_report(shares, now)
        self.reported = own, receiver, now
        return receiver, own

    def add_report(self, shares: Shares, now: Seconds) -> LoadReport:
        """Return a new report, which a total may include from now on."""
        report = LoadReport(self.next_stamp(), shares)
        self.view.record_sent(report, now)
        return report

    def next_stamp(self) -> Stamp:
        """Return the stamp of the next message."""
        self.number += 1
        return Stamp(self.epoch, self.number)

    def collect(
        self, now: Seconds, pause: Seconds
    ) -> Iterator[tuple[str, LoadMessage]]:
        """Yield the sum for the other domains, and the total for the own one."""
        since = self.collecting_since if self.collecting_since is not None else now
        settled = now - since >= MISSED_INTERVALS * self.interval
        stamp = self.next_stamp()
        own = self.reports.sum()
        self.stated = {
            key: (requests, at)
            for key, (requests, at) in self.stated.items()
            if now - at <= REPORT_LASTS
        }
        floors = {key: requests for key, (requests, _) in self.stated.items()}
        message = LoadSum(stamp, settled, 0.0, own, floors)
        for domain in self.sums:
            for name in self.find_collectors(domain):
                yield name, message
        parts, ages = [own], {self.domain: 0.0}
        for domain, table in self.sums.items():
            best = table.best(self.rankings[domain], now, self.fresh)
            if best is not None:
                parts.append(dict(best[0].shares))
                floors = {**floors, **best[0].floors}
                ages[domain] = now - best[1]
        alone = len(self.reports.reports) <= 1 and len(ages) == 1
        complete = settled and not alone
        shares = add_shares(parts)
        raise_shares(shares, floors)

        def total(name: str) -> LoadTotal:
            included = self.reports.included(name)
            return LoadTotal(stamp, complete, pause, included, ages, shares)

        self.view.add(self.name, total(self.name), now)
        unasked = len(self.reports.reports) <= 1
        if unasked and now - self.announced_at < UNCHANGED_INTERVAL:
            return
        self.announced_at = now
        for name in self.ranking:
            if name != self.name:
                yield name, total(name)

    def find_collectors(self, domain: str) -> list[str]:
        """Return to whom this domain's sum is sent in another failure domain.

        These are the first in rank and those that have sent their sum lately. While
        none has, others are tried in turn, so that two domains that have lost their
        first collectors find each other.
        """
        ranking = self.rankings[domain]
        found = list(self.sums[domain].sums)
        if not found and len(ranking) > 1:
            self.searches += 1
            others = min(SEARCHED, len(ranking)) - 1
            found = [ranking[1 + self.searches % others]]
        return [*ranking[:1], *(name for name in found if name != ranking[0])]


def is_same_load(one: Shares, other: Shares) -> bool:
    """Return whether a report states the same load as an earlier one.

    Observations that only lose weight are no change.
    """
    if one.keys() != other.keys():
        return False
    return all(
        one[key].figures[:3] == share.figures[:3]
        and one[key].failures >= share.failures
        for key, share in other.items()
    )
