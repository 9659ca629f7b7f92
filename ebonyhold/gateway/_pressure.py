"""Whether a router has more callers than it can serve, and what it does then.

The platform spreads callers by a hash, unevenly: of 82 VMs one got a hundred requests a
second, twenty times the mean.  Its processor or its link is full then, while those of
its neighbours are idle.  Such a router leaves the rotation for a while and lets its
callers' connections end with their next answers; the callers come back elsewhere.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable

import anyio
from attrs import define, field

from ebonyhold.types import BackendName, Seconds

log = logging.getLogger(__name__)

TICK: Seconds = 0.05
"""How often the delay of the event loop is measured."""

SMOOTHING = 0.15
"""The weight of a new measurement; a mean over some 0.3 s, so that one large
configuration, which takes some 0.1 s to decode, does not count as pressure."""

HIGH: Seconds = 0.1
"""The mean delay from which callers are sent away: a third of the usual target for a
first event, and a request meets the delay several times."""

LOW: Seconds = 0.02
"""The mean delay at which callers are welcome again."""

LEAVE: Seconds = 2.6
"""From the first refusal of readiness until no new caller is sent here: two questions a
second apart, and some time for the second answer to take effect.  Connections that
ended earlier would come straight back."""

LEAST: Seconds = 5.0
"""The shortest time out of rotation; the hash sends the same callers back after it."""


WINDOW: Seconds = 2.0
"""How long a new connection to a server counts as evidence on the link."""

LEAST_TRIES = 8
"""New connections within the window that make evidence."""

LEAST_SERVERS = 3
"""Servers that must fail to answer: fewer may be down themselves."""

FAILED_SHARE = 0.5
"""The part of new connections, failed in time, from which the link is taken for full
or cut.  A connection takes some 5 ms, and its limit is 0.25 s."""


@define
class LinkGauge:
    """Tells from new connections to servers whether the way to them is open.

    Attributes:
        tries: When each was tried, with which server, and whether it was made.
    """

    tries: deque[tuple[Seconds, BackendName, bool]] = field(factory=deque)

    def note(self, server: BackendName, made: bool, now: Seconds) -> None:
        """Take one new connection, or one that was not made in time."""
        self.tries.append((now, server, made))

    def blocked(self, now: Seconds) -> bool:
        """Tell whether most servers cannot be reached from here."""
        while self.tries and self.tries[0][0] < now - WINDOW:
            self.tries.popleft()
        failed = [server for _, server, made in self.tries if not made]
        enough = len(self.tries) >= LEAST_TRIES and len(set(failed)) >= LEAST_SERVERS
        return enough and len(failed) > FAILED_SHARE * len(self.tries)


@define
class PressureGauge:
    """Tells from what was measured when to leave the rotation and when to return.

    Attributes:
        mean: The smoothed delay of the event loop.
        link: What new connections to servers say of the link.
        high_since: When the router left the rotation; None while it is in it.
    """

    mean: Seconds = 0.0
    link: LinkGauge = field(factory=LinkGauge)
    high_since: Seconds | None = None

    @property
    def high(self) -> bool:
        """Whether callers should go elsewhere."""
        return self.high_since is not None

    def note(self, delay: Seconds, now: Seconds) -> None:
        """Take one measurement."""
        self.mean += (delay - self.mean) * SMOOTHING
        blocked = self.link.blocked(now)
        if self.high_since is None:
            if self.mean > HIGH or blocked:
                self.high_since = now
        elif self.mean < LOW and not blocked and now - self.high_since > LEAST:
            self.high_since = None

    def sheds(self, now: Seconds) -> bool:
        """Tell whether connections should end: new callers go elsewhere by now."""
        return self.high_since is not None and now - self.high_since > LEAVE


@define(eq=False)
class Pressure:
    """Measures the event loop and the link, and acts on both.

    Attributes:
        shed: Is told whether connections should end with their next answers.
        gauge: What was measured.
    """

    shed: Callable[[bool], None]
    gauge: PressureGauge = field(factory=PressureGauge)

    @property
    def high(self) -> bool:
        """Whether callers should go elsewhere."""
        return self.gauge.high

    def connected(self, server: BackendName, made: bool) -> None:
        """Take one new connection to a server, or one that was not made in time."""
        self.gauge.link.note(server, made, anyio.current_time())

    async def run(self) -> None:
        """Measure, for ever."""
        while True:
            before = anyio.current_time()
            await anyio.sleep(TICK)
            now = anyio.current_time()
            self.step(now - before - TICK, now)

    def step(self, delay: Seconds, now: Seconds) -> None:
        """Take one measurement, and act if it changes anything."""
        was = self.gauge.high
        self.gauge.note(delay, now)
        if self.gauge.high is not was:
            message = "too many callers" if self.gauge.high else "callers welcome again"
            link = self.gauge.link
            fields = {
                "loop_delay": round(self.gauge.mean, 3),
                "connects": len(link.tries),
                "connects_failed": sum(not made for _, _, made in link.tries),
            }
            log.warning(message, extra=fields)
        if was or self.gauge.high:
            self.shed(self.gauge.sheds(now))
