"""Outlier ejection: keep away from servers that fail, but never from most of them."""

from __future__ import annotations

from collections.abc import Mapping

from attrs import define, field, frozen

from ebonyhold.types import BackendName, Seconds


@frozen
class EjectionPolicy:
    """When a server is left out, and how many may be.

    Attributes:
        errors: Errors in a row that make a server an outlier.
        lost: Failed connections in a row that make a server unreachable.
        first: How long the first ejection lasts, in seconds.
        most: The bound on that time, which doubles with each ejection in a row.
        most_lost: The bound on the time that an unreachable server is left out.
        domain_share: The largest part of a failure domain that errors may eject.
        fleet_share: The largest part of the fleet that errors may eject.
        panic_share: If a larger part of the fleet than this is unreachable, the
            fault is taken to be this router's own, and nothing is left out.
    """

    errors: int = 4
    lost: int = 2
    first: Seconds = 1.0
    most: Seconds = 30.0
    most_lost: Seconds = 8.0
    domain_share: float = 0.5
    fleet_share: float = 0.34
    panic_share: float = 0.67


@define
class Record:
    """What one server did of late."""

    errors: int = 0
    lost: int = 0
    rounds: int = 0
    until: Seconds = 0.0
    lost_until: Seconds = 0.0


@define
class Ejector:
    """Decides which servers get no work because they fail."""

    policy: EjectionPolicy = field(factory=EjectionPolicy)
    records: dict[BackendName, Record] = field(factory=dict)

    def failed(self, name: BackendName, now: Seconds) -> None:
        """Note an error, a broken answer or one that did not come in time."""
        record = self.records.setdefault(name, Record())
        record.errors += 1
        if record.errors >= self.policy.errors:
            self.eject(record, now)

    def lost(self, name: BackendName, now: Seconds) -> None:
        """Note that no connection could be made.

        The server is left out for a while only: one that nobody polls could
        otherwise come back and never be tried again.
        """
        record = self.records.setdefault(name, Record())
        record.lost += 1
        rounds = max(0, record.lost - self.policy.lost)
        wait = min(self.policy.most_lost, self.policy.first * 2.0 ** min(rounds, 16))
        record.lost_until = now + wait

    def reached(self, name: BackendName) -> None:
        """Note that the server answered something, such as a load report."""
        record = self.records.get(name)
        if record is not None:
            record.lost = 0

    def succeeded(self, name: BackendName) -> None:
        """Note a whole answer."""
        self.records.pop(name, None)

    def eject(self, record: Record, now: Seconds) -> None:
        """Start the next, longer, time out."""
        wait = min(self.policy.most, self.policy.first * 2.0**record.rounds)
        record.until = now + wait
        record.rounds += 1
        record.errors = self.policy.errors - 1

    def ejected(
        self, servers: Mapping[BackendName, str], now: Seconds
    ) -> frozenset[BackendName]:
        """Return the servers to leave out now.

        Args:
            servers: All servers of one kind, with their failure domains.
            now: The time.

        A fault of the workload, such as a prompt that breaks every engine,
        shows as errors everywhere.  Ejecting all that show it would end the
        service, so errors eject at most a part of each failure domain and of
        the fleet, the longest ejected first.  An unreachable server is left out
        without such a bound per domain, since a dead domain can answer nothing;
        but when most of the fleet is unreachable the fault is here.
        """
        unreachable = self.unreachable(servers, now)
        allowed = int(len(servers) * self.policy.fleet_share)
        room = domain_room(servers, self.policy.domain_share)
        out = set(unreachable)
        outliers = [
            name
            for name in servers
            if name not in unreachable and self.is_out(name, now)
        ]
        for name in sorted(outliers, key=lambda item: -self.records[item].until):
            domain = servers[name]
            if allowed <= 0 or room[domain] <= 0:
                continue
            allowed -= 1
            room[domain] -= 1
            out.add(name)
        return frozenset(out)

    def unreachable(
        self, servers: Mapping[BackendName, str], now: Seconds
    ) -> frozenset[BackendName]:
        """Return the servers that cannot be reached, unless most cannot."""
        lost = frozenset(
            name
            for name in servers
            if name in self.records and self.is_lost(self.records[name], now)
        )
        if len(lost) > len(servers) * self.policy.panic_share:
            return frozenset()
        return lost

    def is_lost(self, record: Record, now: Seconds) -> bool:
        """Return whether a server cannot be reached."""
        return record.lost >= self.policy.lost and now < record.lost_until

    def is_out(self, name: BackendName, now: Seconds) -> bool:
        """Return whether errors have ejected a server."""
        record = self.records.get(name)
        return record is not None and now < record.until


def domain_room(servers: Mapping[BackendName, str], share: float) -> dict[str, int]:
    """Return how many servers of each failure domain may be ejected."""
    sizes: dict[str, int] = {}
    for domain in servers.values():
        sizes[domain] = sizes.get(domain, 0) + 1
    return {domain: max(0, int(size * share)) for domain, size in sizes.items()}
