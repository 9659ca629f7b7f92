"""Detects that a router has more callers than it can serve, and sheds some of them.

The load balancer spreads callers by a hash, and so unevenly: one of 82 VMs can get a
hundred requests per second, twenty times the mean. Its processor or its network link is
then saturated, while other routers are idle. An overloaded router therefore fails its
readiness checks for a while and closes callers' connections after their next answers,
so that callers reconnect to other routers.

All connections of one caller reach the same router. If a router whose link is nearly
full closed all of them, the next one would have the same load. So it closes only as
many as it takes to have a share that it can serve.
"""

from __future__ import annotations

import logging
import math
from collections import deque
from collections.abc import Callable

import anyio
from attrs import define, field

from ebonyhold.forwarding import ConnectOutcome, Reach, Reachability, Traffic
from ebonyhold.pauses import MIN_PAUSE
from ebonyhold.types import BackendName, Seconds

log = logging.getLogger(__name__)

MEASURE_INTERVAL: Seconds = 0.05
"""Interval between two measurements of the event loop's delay."""

SMOOTHING = 0.15
"""The weight of a new measurement in the mean delay, which then covers about 0.3 s. A
single large configuration, which takes about 0.1 s to decode, is thus not taken for an
overload."""

MAX_LATE: Seconds = 1.0
"""The longest pause of this process for which events count as handled late."""

HIGH_DELAY: Seconds = 0.1
"""The mean delay of the event loop above which callers are shed. This is a third of the
usual target for the time to an answer's first event, and each request waits for the
event loop several times."""

LOW_DELAY: Seconds = 0.02
"""The mean delay below which callers are accepted again."""

LEAVE_ROTATION: Seconds = 2.6
"""Time from the first failed readiness check until the load balancer sends no new
callers: two checks a second apart, and some time for the second result to take effect.
Callers whose connections were closed earlier would be sent back here."""

MIN_OUT_OF_ROTATION: Seconds = 5.0
"""The minimum time out of rotation. Afterwards, the load balancer's hash sends the same
callers here again, so a short time would bring the overload back soon."""


CONNECT_WINDOW: Seconds = 2.0
"""Time for which a connection attempt counts when the link's state is determined."""

MIN_CONNECTS = 8
"""Minimum number of attempts in `CONNECT_WINDOW` for the link to count as blocked."""

MIN_FAILED_SERVERS = 3
"""Minimum number of servers with failed attempts for the link to count as blocked. With
fewer, the servers may be down."""

MAX_FAILED_SHARE = 0.5
"""The link counts as blocked (saturated or cut) if more than this share of the attempts
failed. An attempt usually takes about 5 ms and fails after 0.25 s."""


HIGH_USE = 0.55
"""Share of the link's rate above which callers are shed.

A full link cannot recover: what is queued on it arrives too late and is sent again, and
calls to the store and to other routers time out.
"""

LOW_USE = 0.4
"""Share of the link's rate below which new callers are accepted again."""

TARGET_USE = 0.35
"""Share of the link's rate that is left to the callers that stay."""

USE_TIME: Seconds = 1.0
"""Time over which the use of the link is averaged."""


@define
class LinkUse:
    """Measures which share of the network link's rate the received bytes take.

    Requests are passed on as they are received, so about as many bytes are sent.

    Attributes:
        traffic: The bytes received.
        rate: What the link carries, in bytes per second.
        mean: The smoothed share.
        counted: The bytes that were received at the last measurement.
    """

    traffic: Traffic = field(factory=Traffic)
    rate: float = math.inf
    mean: float = 0.0
    counted: int = 0

    def measure(self, elapsed: Seconds) -> None:
        """Update the share, some time after the last measurement."""
        received = self.traffic.received - self.counted
        self.counted = self.traffic.received
        weight = 1.0 - math.exp(-elapsed / USE_TIME)
        self.mean += (received / elapsed / self.rate - self.mean) * weight


@define
class LinkMonitor:
    """Decides from connection attempts to servers whether the network link works.

    Attributes:
        connects: Time, server and success of the recent attempts, oldest first.
    """

    connects: deque[tuple[Seconds, BackendName, bool]] = field(factory=deque)

    def record(self, server: BackendName, made: bool, now: Seconds) -> None:
        """Record a connection attempt and whether it succeeded."""
        self.connects.append((now, server, made))

    def is_blocked(self, now: Seconds) -> bool:
        """Return whether most of the recent attempts failed, at several servers."""
        while self.connects and self.connects[0][0] < now - CONNECT_WINDOW:
            self.connects.popleft()
        failed = [server for _, server, made in self.connects if not made]
        enough = (
            len(self.connects) >= MIN_CONNECTS
            and len(set(failed)) >= MIN_FAILED_SERVERS
        )
        return enough and len(failed) > MAX_FAILED_SHARE * len(self.connects)


@define
class PressureDetector:
    """Decides from measurements when to leave the rotation and when to return.

    Attributes:
        mean_delay: The smoothed delay of the event loop.
        link: Decides whether the network link works.
        use: Measures the use of the network link.
        reach: Whether servers are reached from here, or by way of other routers.
        high_since: When the router left the rotation; None while it is in rotation.
        failing: Whether since then its event loop was late, or its link was blocked
            though not full, so that all callers are shed.
    """

    mean_delay: Seconds = 0.0
    link: LinkMonitor = field(factory=LinkMonitor)
    use: LinkUse = field(factory=LinkUse)
    reach: Reachability = field(factory=Reachability)
    high_since: Seconds | None = None
    failing: bool = False

    @property
    def high(self) -> bool:
        """Whether the router is out of rotation."""
        return self.high_since is not None

    def record(self, delay: Seconds, now: Seconds) -> None:
        """Record a measurement, and leave or rejoin the rotation if that is due."""
        self.mean_delay += (delay - self.mean_delay) * SMOOTHING
        self.use.measure(MEASURE_INTERVAL + delay)
        blocked = self.is_blocked(now)
        full = self.use.mean > HIGH_USE
        failing = self.mean_delay > HIGH_DELAY or (blocked and not full)
        if self.high_since is None:
            if failing or full:
                self.high_since = now
                self.failing = failing
        elif (
            self.mean_delay < LOW_DELAY
            and not blocked
            and self.use.mean < LOW_USE
            and now - self.high_since > MIN_OUT_OF_ROTATION
        ):
            self.high_since = None
        else:
            self.failing = self.failing or failing

    def is_blocked(self, now: Seconds) -> bool:
        """Return whether other routers are likely to serve what this one cannot.

        While relays serve this router's callers, it stays in rotation: their way is one
        router longer, and leaving would fail those that come until the load balancer
        has noticed. If no router reaches servers, leaving would help nobody.
        """
        if self.reach.is_connected:
            return self.link.is_blocked(now)
        # Attempts during a partition must not count once it has ended.
        self.link.connects.clear()
        return self.reach.state is Reach.ISOLATED

    def share_to_shed(self, now: Seconds) -> float:
        """Return the share of callers' connections to close after their next answers.

        It is 0 until the load balancer sends no new callers any more.
        """
        if self.high_since is None or now - self.high_since <= LEAVE_ROTATION:
            return 0.0
        if self.failing:
            return 1.0
        return max(0.0, 1.0 - TARGET_USE / max(self.use.mean, TARGET_USE))


@define(eq=False)
class PressureMonitor:
    """Measures the event loop and the network link, and sheds callers under pressure.

    Attributes:
        shed: Called with the share of connections to close after their next answers.
        use: Measures the use of the network link.
        reach: Whether servers are reached from here, or by way of other routers.
        detector: Decides when to leave the rotation and when to return.
        measured_at: When the delay was measured last.
        measured_before: When it was measured the time before.
    """

    shed: Callable[[float], None]
    use: LinkUse = field(factory=LinkUse)
    reach: Reachability = field(factory=Reachability)
    detector: PressureDetector = field(init=False)
    measured_at: Seconds = math.inf
    measured_before: Seconds = math.inf

    def __attrs_post_init__(self) -> None:
        self.detector = PressureDetector(use=self.use, reach=self.reach)

    @property
    def high(self) -> bool:
        """Whether readiness checks fail, so that no new callers are sent here."""
        return self.detector.high

    def is_link_full(self) -> bool:
        """Return whether the network link carries more than it reliably can."""
        return self.use.mean > HIGH_USE

    def record_connect(self, server: BackendName, outcome: ConnectOutcome) -> None:
        """Record a connection attempt to a server.

        Only one that was made or timed out tells of the link: a full link refuses none.
        """
        if outcome in (ConnectOutcome.MADE, ConnectOutcome.TIMED_OUT):
            made = outcome is ConnectOutcome.MADE
            self.detector.link.record(server, made, anyio.current_time())

    def earliest_arrival(self, now: Seconds) -> Seconds:
        """Return when an event that is handled now may have arrived at the earliest.

        It is earlier if this process has just been paused or busy, but at most by
        MAX_LATE.
        """
        for running_at in (self.measured_at, self.measured_before):
            # Soon after a pause, only the measurement before it is that old.
            if now - running_at >= 2 * MEASURE_INTERVAL + MIN_PAUSE:
                return max(running_at, now - MAX_LATE)
        return now

    async def run(self) -> None:
        """Measure the event loop's delay at regular intervals until cancelled."""
        while True:
            before = anyio.current_time()
            self.measured_before, self.measured_at = self.measured_at, before
            await anyio.sleep(MEASURE_INTERVAL)
            now = anyio.current_time()
            self.step(now - before - MEASURE_INTERVAL, now)

    def step(self, delay: Seconds, now: Seconds) -> None:
        """Record a measurement, log a change of rotation, and start or end shedding."""
        self.reach.check_silence(now)
        was_high = self.detector.high
        self.detector.record(delay, now)
        if self.detector.high is not was_high:
            message = (
                "too many callers" if self.detector.high else "callers welcome again"
            )
            link = self.detector.link
            fields = {
                "loop_delay": round(self.detector.mean_delay, 3),
                "connects": len(link.connects),
                "connects_failed": sum(not made for _, _, made in link.connects),
                "link_use": round(self.use.mean, 2),
            }
            log.warning(message, extra=fields)
        if was_high or self.detector.high:
            self.shed(self.detector.share_to_shed(now))
