"""Detects that a router has more callers than it can serve, and sheds some of them.

The load balancer spreads callers by a hash, and so unevenly: one of 82 VMs can get a
hundred requests per second, twenty times the mean. Its processor or its network link is
then saturated, while other routers are idle. An overloaded router therefore fails its
readiness checks for a while and closes callers' connections after their next answers,
so that callers reconnect to other routers.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable

import anyio
from attrs import define, field

from ebonyhold.types import BackendName, Seconds

log = logging.getLogger(__name__)

MEASURE_INTERVAL: Seconds = 0.05
"""Interval between two measurements of the event loop's delay."""

SMOOTHING = 0.15
"""The weight of a new measurement in the mean delay, which then covers about 0.3 s. A
single large configuration, which takes about 0.1 s to decode, is thus not taken for an
overload."""

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
        high_since: When the router left the rotation; None while it is in rotation.
    """

    mean_delay: Seconds = 0.0
    link: LinkMonitor = field(factory=LinkMonitor)
    high_since: Seconds | None = None

    @property
    def high(self) -> bool:
        """Whether the router is out of rotation."""
        return self.high_since is not None

    def record(self, delay: Seconds, now: Seconds) -> None:
        """Record a measurement, and leave or rejoin the rotation if that is due."""
        self.mean_delay += (delay - self.mean_delay) * SMOOTHING
        blocked = self.link.is_blocked(now)
        if self.high_since is None:
            if self.mean_delay > HIGH_DELAY or blocked:
                self.high_since = now
        elif (
            self.mean_delay < LOW_DELAY
            and not blocked
            and now - self.high_since > MIN_OUT_OF_ROTATION
        ):
            self.high_since = None

    def should_shed(self, now: Seconds) -> bool:
        """Return whether callers' connections close after their next answers.

        They do so while the router is out of rotation, but only once the load balancer
        sends no new callers any more.
        """
        return self.high_since is not None and now - self.high_since > LEAVE_ROTATION


@define(eq=False)
class PressureMonitor:
    """Measures the event loop and the network link, and sheds callers under pressure.

    Attributes:
        shed: Called with whether connections should close after their next answers.
        detector: Decides when to leave the rotation and when to return.
    """

    shed: Callable[[bool], None]
    detector: PressureDetector = field(factory=PressureDetector)

    @property
    def high(self) -> bool:
        """Whether readiness checks fail, so that no new callers are sent here."""
        return self.detector.high

    def record_connect(self, server: BackendName, made: bool) -> None:
        """Record a connection attempt to a server and whether it succeeded."""
        self.detector.link.record(server, made, anyio.current_time())

    async def run(self) -> None:
        """Measure the event loop's delay at regular intervals until cancelled."""
        while True:
            before = anyio.current_time()
            await anyio.sleep(MEASURE_INTERVAL)
            now = anyio.current_time()
            self.step(now - before - MEASURE_INTERVAL, now)

    def step(self, delay: Seconds, now: Seconds) -> None:
        """Record a measurement, log a change of rotation, and start or end shedding."""
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
            }
            log.warning(message, extra=fields)
        if was_high or self.detector.high:
            self.shed(self.detector.should_shed(now))
