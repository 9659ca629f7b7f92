"""Outlier ejection: which failing servers get no requests, within bounds."""

from __future__ import annotations

from collections.abc import Mapping

from attrs import define, field, frozen

from ebonyhold.types import BackendName, Seconds


@frozen
class EjectionPolicy:
    """When servers are ejected, and how many may be.

    Attributes:
        errors: Consecutive errors that make a server an outlier.
        lost: Consecutive failed connections that make a server unreachable.
        first_duration: Duration of the first ejection, in seconds.
        max_duration: Maximum duration of an ejection, in seconds.  The duration doubles
            with each consecutive ejection.
        max_unreachable: Maximum duration of the ejection of an unreachable server, in
            seconds.
        domain_share: The maximum share of a failure domain's servers that is ejected
            for errors.
        fleet_share: The maximum share of all servers that is ejected for errors.
        panic_share: If more than this share of all servers is unreachable, the fault is
            assumed to be at this router and no server is ejected as unreachable.
    """

    errors: int = 4
    lost: int = 2
    first_duration: Seconds = 1.0
    max_duration: Seconds = 30.0
    max_unreachable: Seconds = 8.0
    domain_share: float = 0.5
    fleet_share: float = 0.34
    panic_share: float = 0.67


@define
class ServerRecord:
    """Recent failures of one server, and until when it is ejected.

    Attributes:
        errors: Errors since the last complete answer, reduced by an ejection.
        lost: Failed connections since the server was last reached.
        ejections: Ejections for errors since the last complete answer.
        ejected_until: The end of the latest ejection for errors.
        unreachable_until: When an unreachable server may be tried again.
    """

    errors: int = 0
    lost: int = 0
    ejections: int = 0
    ejected_until: Seconds = 0.0
    unreachable_until: Seconds = 0.0


@define
class Ejector:
    """Decides which failing servers get no requests."""

    policy: EjectionPolicy = field(factory=EjectionPolicy)
    records: dict[BackendName, ServerRecord] = field(factory=dict)

    def failed(self, name: BackendName, now: Seconds) -> None:
        """Record an error, a malformed answer or a timeout.

        The server is ejected when its own error count reaches `policy.errors`. Errors
        while it is ejected do not count: they are of requests that were sent before.
        """
        record = self.records.setdefault(name, ServerRecord())
        if now < record.ejected_until:
            return
        record.errors += 1
        if record.errors >= self.policy.errors:
            self.eject(record, now)

    def lost(self, name: BackendName, now: Seconds) -> None:
        """Record that a connection could not be made.

        An unreachable server is ejected for a limited time only.  A server that is not
        polled would otherwise never be tried again after it has recovered.
        """
        record = self.records.setdefault(name, ServerRecord())
        record.lost += 1
        ejections = max(0, record.lost - self.policy.lost)
        wait = min(
            self.policy.max_unreachable,
            self.policy.first_duration * 2.0 ** min(ejections, 16),
        )
        record.unreachable_until = now + wait

    def reached(self, name: BackendName) -> None:
        """Record any answer, such as a load report; the server counts as reachable."""
        record = self.records.get(name)
        if record is not None:
            record.lost = 0

    def succeeded(self, name: BackendName) -> None:
        """Record a complete answer; it clears all failures and ends an ejection."""
        self.records.pop(name, None)

    def eject(self, record: ServerRecord, now: Seconds) -> None:
        """Eject a server for errors; after the ejection, one more error repeats it.

        The duration doubles with each ejection until the server succeeds.
        """
        wait = min(
            self.policy.max_duration, self.policy.first_duration * 2.0**record.ejections
        )
        record.ejected_until = now + wait
        record.ejections += 1
        record.errors = self.policy.errors - 1

    def ejected(
        self, servers: Mapping[BackendName, str], now: Seconds
    ) -> frozenset[BackendName]:
        """Return the servers that get no requests now.

        A fault of the workload, such as a prompt that crashes every engine, causes
        errors on all servers.  Ejecting all of them would end the service, so at most a
        share of each failure domain and of all servers is ejected for errors, those
        with the latest end of ejection first.  Unreachable servers are ejected without
        a bound per domain, because all servers of a failed domain are unreachable; but
        none of them is ejected if they are more than `panic_share` of all servers.

        Args:
            servers: All servers of one kind, with their failure domains.
            now: The time, in seconds.
        """
        unreachable = self.unreachable(servers, now)
        allowed = int(len(servers) * self.policy.fleet_share)
        allowance = domain_allowance(servers, self.policy.domain_share)
        out = set(unreachable)
        outliers = [
            name
            for name in servers
            if name not in unreachable and self.is_ejected(name, now)
        ]
        for name in sorted(
            outliers, key=lambda item: -self.records[item].ejected_until
        ):
            domain = servers[name]
            if allowed <= 0 or allowance[domain] <= 0:
                continue
            allowed -= 1
            allowance[domain] -= 1
            out.add(name)
        return frozenset(out)

    def unreachable(
        self, servers: Mapping[BackendName, str], now: Seconds
    ) -> frozenset[BackendName]:
        """Return the unreachable servers; none if they exceed `panic_share`."""
        lost = frozenset(
            name
            for name in servers
            if name in self.records and self.is_unreachable(self.records[name], now)
        )
        if len(lost) > len(servers) * self.policy.panic_share:
            return frozenset()
        return lost

    def is_unreachable(self, record: ServerRecord, now: Seconds) -> bool:
        """Return whether a server counts as unreachable and is not to be tried yet."""
        return record.lost >= self.policy.lost and now < record.unreachable_until

    def is_ejected(self, name: BackendName, now: Seconds) -> bool:
        """Return whether errors eject a server, before the bounds are applied."""
        record = self.records.get(name)
        return record is not None and now < record.ejected_until


def domain_allowance(
    servers: Mapping[BackendName, str], share: float
) -> dict[str, int]:
    """Return how many servers of each failure domain may be ejected for errors."""
    sizes: dict[str, int] = {}
    for domain in servers.values():
        sizes[domain] = sizes.get(domain, 0) + 1
    return {domain: max(0, int(size * share)) for domain, size in sizes.items()}
