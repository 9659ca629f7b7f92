"""Decides which requests crash the servers that run them.

A server that crashes breaks off all requests in flight, and only one of them may be the
cause, so a single crash proves nothing.  A request is rejected once it was on three
servers that crashed one after the other, without a complete answer in between.  Servers
that crash at the same time may have a common cause, so they count less each.

What routers know is a set of losses and a set of retracted losses.  Entries are only
added, and expire by their own time, so reports can be merged in any order and
repeatedly.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import Any

from attrs import define, evolve, field, frozen

from ebonyhold.types import BackendName, RequestDigest, Seconds

REJECT_AFTER = 3
"""Number of successive crashes after which a request is rejected."""

REJECT_CONTESTED_AFTER = 4
"""Number of successive crashes after which a request is rejected even if another one
was on the same servers and may be the cause."""

COMMON_WEIGHT = 0.5
"""Weight of a crash of one of several servers that ended at the same time.

A request that was on three racks which failed one after the other is not rejected, and
one that goes on crashing servers is, although others do so at the same time.
"""

COMMON_TIME: Seconds = 0.25
"""Time within which losses at servers that did not end alone count once.

Copies of a request at several servers of a rack are noticed to be lost within it.
"""

REJECTION_TIME: Seconds = 600.0
"""How long a request is rejected.

A wrong rejection must end, and the servers may have been repaired meanwhile.
"""

LOSS_EXPIRY: Seconds = 1800.0
"""How long losses that do not lead to a rejection yet are kept.

The earlier losses of a rejected request thus outlast its rejection, and a single
further crash is enough for the next one.
"""

MAX_LOSSES = 2048
"""Maximum number of losses, of retracted losses and of answers that a router keeps.

Above it the oldest ones are dropped.
"""

ANSWER_VALIDITY: Seconds = 5.0
"""A complete answer acquits a request of crashes up to this long after it.

Copies of a request that is sent often are at all servers all the time, so each crash
would accuse it, and reports of crashes arrive after answers that disprove them.
"""

MAX_REPORTED = 100
"""Maximum number of losses, and of retracted losses, in a router's report."""


@frozen
class ServerRun:
    """One run of a server's process; a restarted server is another run.

    Attributes:
        server: The server's name.
        started_at: When it started, in milliseconds since the epoch; 0 if unknown.
    """

    server: BackendName
    started_at: int = 0


@frozen
class RequestLoss:
    """The loss of a request that was in flight at a server when the server crashed.

    Attributes:
        request: The request.
        run: The run of the server that ended.
        depth: 1 plus the greatest depth of the request's losses that its router knew
            when it sent the request to this server. Copies of a request that are in
            flight at the same time have losses of the same depth, so a fault that ends
            several servers at once counts once.
        at: When the crash was noticed, in seconds since the epoch.
        alone: Whether no other server ended at the same time.
        holder: The request that had the part of a prompt which this loss accuses; empty
            if it accuses the request itself.
    """

    request: RequestDigest
    run: ServerRun
    depth: int = 1
    at: Seconds = field(default=0.0, eq=False)
    alone: bool = field(default=True, eq=False)
    holder: RequestDigest = field(default="", eq=False)


@frozen
class CrashReport:
    """What one router has seen of crashes.

    Attributes:
        losses: The losses that it has seen, at servers that ended alone.
        retracted: Losses of requests that a server has answered completely since, seen
            by any router.
        shared: The losses that it has seen at servers that ended with others. They are
            apart because routers of older versions would count each as a whole crash.
    """

    losses: tuple[RequestLoss, ...] = ()
    retracted: tuple[RequestLoss, ...] = ()
    shared: tuple[RequestLoss, ...] = ()


@define(eq=False)
class CrashRecords:
    """The losses known to one router, and the requests that it rejects for them.

    Attributes:
        losses: The losses that are not retracted, in the order in which they became
            known, with whether this router reports them.
        retracted: The retracted losses, likewise.
        by_request: The losses of each request.
        rejected: The requests to reject.
        answers: When this router last saw a complete answer to a request, for requests
            that were answered while it knew of any loss; in seconds since the epoch.
        reported: The losses that were in a report; the others need no retraction.
        changed: Whether `report` has changed since it was last called.
    """

    losses: dict[RequestLoss, bool] = field(factory=dict)
    retracted: dict[RequestLoss, bool] = field(factory=dict)
    by_request: Mapping[RequestDigest, Sequence[RequestLoss]] = field(factory=dict)
    rejected: frozenset[RequestDigest] = frozenset()
    answers: dict[RequestDigest, Seconds] = field(factory=dict)
    reported: set[RequestLoss] = field(factory=set)
    changed: bool = False

    def depth(self, request: RequestDigest) -> int:
        """Return the greatest depth of a request's losses; 0 without any."""
        return max((loss.depth for loss in self.by_request.get(request, ())), default=0)

    def add(self, loss: RequestLoss) -> None:
        """Add a loss that this router has seen.

        It is left out if one at that run is known, or if an answer disproves it.
        """
        known = self.by_request.get(loss.request, ())
        new = all(other.run != loss.run for other in known)
        if new and not self.is_disproved(loss):
            self.include((loss,), (), own=True)

    def is_disproved(self, loss: RequestLoss) -> bool:
        """Return whether an answer shows that a request is not the cause of a crash."""
        answered_at = self.answers.get(loss.request)
        return answered_at is not None and loss.at < answered_at + ANSWER_VALIDITY

    def retract(self, request: RequestDigest, now: Seconds) -> None:
        """Retract a request's losses, because a server answered it completely.

        Losses that no other router can know of are only removed.

        Args:
            request: The request.
            now: The time, in seconds since the epoch.
        """
        self.answers.pop(request, None)
        self.answers[request] = now
        drop_oldest(self.answers)
        losses = self.by_request.get(request, ())
        if not losses:
            return
        private = [
            loss for loss in losses if self.losses[loss] and loss not in self.reported
        ]
        for loss in private:
            del self.losses[loss]
        if private:
            self.decide()
        self.include((), tuple(self.by_request.get(request, ())), own=True)

    def merge(self, report: CrashReport, now: Seconds, own: bool = False) -> None:
        """Add what a report contains and has not expired.

        Args:
            report: The report.
            now: The time, in seconds since the epoch. Entries of a router with a clock
                that is ahead count as of this time.
            own: Whether it is the report of an earlier process on this VM, which this
                router continues.
        """
        losses, retracted = (
            [evolve(loss, at=min(loss.at, now)) for loss in entries]
            for entries in ((*report.losses, *report.shared), report.retracted)
        )
        self.include(
            [loss for loss in losses if now - loss.at < expiry(loss)],
            [loss for loss in retracted if now - loss.at < LOSS_EXPIRY],
            own,
        )

    def include(
        self, losses: Iterable[RequestLoss], retracted: Iterable[RequestLoss], own: bool
    ) -> None:
        """Add losses and retracted losses, and decide again if any of them is new."""
        before = len(self.losses), len(self.retracted)
        for loss in retracted:
            self.retracted.setdefault(loss, own)
        for loss in losses:
            if self.is_disproved(loss):
                self.retracted.setdefault(loss, True)
                self.changed = True
            if loss not in self.retracted:
                self.losses.setdefault(loss, own)
        gone = [loss for loss in self.losses if loss in self.retracted]
        if not gone and (len(self.losses), len(self.retracted)) == before:
            return
        self.changed = self.changed or own or any(self.losses[loss] for loss in gone)
        for loss in gone:
            del self.losses[loss]
        drop_oldest(self.losses)
        drop_oldest(self.retracted)
        self.decide()

    def expire(self, now: Seconds) -> None:
        """Remove what has expired.

        Args:
            now: The time, in seconds since the epoch.
        """
        losses = [loss for loss in self.losses if now - loss.at >= expiry(loss)]
        retracted = [loss for loss in self.retracted if now - loss.at >= LOSS_EXPIRY]
        reported = [self.losses.pop(loss) for loss in losses]
        reported += [self.retracted.pop(loss) for loss in retracted]
        self.changed = self.changed or any(reported)
        if losses:
            self.decide()

    def decide(self) -> None:
        """Update `by_request` and `rejected` from the losses."""
        found: dict[RequestDigest, list[RequestLoss]] = {}
        for loss in self.losses:
            found.setdefault(loss.request, []).append(loss)
        self.by_request = found
        self.reported.intersection_update(self.losses)
        self.reject(found)

    def reject(self, found: Mapping[RequestDigest, Sequence[RequestLoss]]) -> None:
        """Decide which requests are rejected."""
        self.rejected = decide_rejections(found)

    def is_responsible(
        self, request: RequestDigest, explained: Collection[ServerRun]
    ) -> bool:
        """Return whether a request is rejected although parts of prompts are, too.

        As with other requests, what explains some crashes excuses no request that was
        in `REJECT_CONTESTED_AFTER` successive ones.

        Args:
            request: The request.
            explained: The runs of servers whose crash a rejected part explains.
        """
        if request not in self.rejected:
            return False
        losses = self.by_request[request]
        if count_crashes(losses, ()) >= REJECT_CONTESTED_AFTER:
            return True
        return count_crashes(losses, explained) >= REJECT_AFTER

    def report(self) -> CrashReport:
        """Return what this router reports, at most MAX_REPORTED of each kind.

        Losses of greater depth come first, and among equal ones the latest.
        """
        self.changed = False
        losses = [loss for loss, own in reversed(self.losses.items()) if own]
        losses.sort(key=lambda loss: -loss.depth)
        retracted = [loss for loss, own in reversed(self.retracted.items()) if own]
        losses = losses[:MAX_REPORTED]
        self.reported.update(losses)
        return CrashReport(
            tuple(loss for loss in losses if loss.alone),
            tuple(retracted[:MAX_REPORTED]),
            tuple(loss for loss in losses if not loss.alone),
        )


def expiry(loss: RequestLoss) -> Seconds:
    """Return for how long a loss is kept."""
    return REJECTION_TIME if loss.depth >= REJECT_AFTER else LOSS_EXPIRY


def drop_oldest(entries: dict[Any, Any]) -> None:
    """Remove the oldest entries above MAX_LOSSES."""
    while len(entries) > MAX_LOSSES:
        del entries[next(iter(entries))]


def decide_rejections(
    found: Mapping[RequestDigest, Sequence[RequestLoss]],
) -> frozenset[RequestDigest]:
    """Return the requests that are held responsible for crashes.

    These are the ones with `REJECT_CONTESTED_AFTER` successive crashes, and of the
    others those with `REJECT_AFTER`, unless another request may be the cause: losses at
    servers whose crash a rejected request explains do not count, and neither do those
    at servers where another request with as many crashes was.

    Args:
        found: The losses of each request; none of them is empty.
    """
    rejected: set[RequestDigest] = set()
    explained: set[ServerRun] = set()
    leading = [
        request
        for request, losses in found.items()
        if count_crashes(losses, ()) >= REJECT_CONTESTED_AFTER
    ]
    while True:
        rejected.update(leading)
        explained.update(loss.run for request in leading for loss in found[request])
        counts = {
            request: count_crashes(losses, explained)
            for request, losses in found.items()
            if request not in rejected
        }
        most = max(counts.values(), default=0.0)
        if most < REJECT_AFTER:
            return frozenset(rejected)
        leading = [request for request, count in counts.items() if count == most]
        leading = uncontested(leading, found, explained)
        if not leading:
            return frozenset(rejected)


def count_crashes(
    losses: Sequence[RequestLoss], explained: Collection[ServerRun]
) -> float:
    """Return the number of successive crashes that no rejected request explains.

    A crash of servers that ended at the same time counts as `COMMON_WEIGHT`: the cause
    may be common, or several requests may each have crashed a server.
    """
    counted = [loss for loss in losses if loss.run not in explained]
    common = {loss.run: loss.at for loss in counted if not loss.alone}
    alone = {loss.run for loss in counted if loss.run not in common}
    crashes = len(alone) + COMMON_WEIGHT * count_moments(common.values())
    depth = max(loss.depth for loss in losses)
    return crashes if depth >= REJECT_AFTER else min(crashes, depth)


def count_moments(times: Iterable[Seconds]) -> int:
    """Return the number of times that are not within `COMMON_TIME` of an earlier one.

    >>> count_moments([12.0, 10.1, 10.0])
    2
    """
    count, last = 0, -COMMON_TIME
    for at in sorted(times):
        if at >= last + COMMON_TIME:
            count, last = count + 1, at
    return count


def uncontested(
    requests: Sequence[RequestDigest],
    found: Mapping[RequestDigest, Sequence[RequestLoss]],
    explained: Collection[ServerRun],
) -> list[RequestDigest]:
    """Return the requests that have enough crashes of their own.

    Those at servers where another one of the requests was, too, are left out.
    """
    runs = {request: {loss.run for loss in found[request]} for request in requests}
    own: list[RequestDigest] = []
    for request in requests:
        shared = set(explained)
        shared.update(*(runs[other] for other in requests if other != request))
        if count_crashes(found[request], shared) >= REJECT_AFTER:
            own.append(request)
    return own
