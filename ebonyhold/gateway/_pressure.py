"""Whether a router has more callers than its processor serves, and what it does then.

The platform spreads callers by a hash, unevenly: of 82 VMs one got a hundred requests a
second, twenty times the mean, and answered each of them hundreds of milliseconds late
while its neighbours were idle.  Such a router leaves the rotation for a while and lets
its callers' connections end with their next answers; the callers come back elsewhere.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

import anyio
from attrs import define, field

from ebonyhold.types import Seconds

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


@define
class PressureGauge:
    """Tells from measured delays when to leave the rotation and when to return.

    Attributes:
        mean: The smoothed delay.
        high_since: When the router left the rotation; None while it is in it.
    """

    mean: Seconds = 0.0
    high_since: Seconds | None = None

    @property
    def high(self) -> bool:
        """Whether callers should go elsewhere."""
        return self.high_since is not None

    def note(self, delay: Seconds, now: Seconds) -> None:
        """Take one measurement."""
        self.mean += (delay - self.mean) * SMOOTHING
        if self.high_since is None:
            if self.mean > HIGH:
                self.high_since = now
        elif self.mean < LOW and now - self.high_since > LEAST:
            self.high_since = None

    def sheds(self, now: Seconds) -> bool:
        """Tell whether connections should end: new callers go elsewhere by now."""
        return self.high_since is not None and now - self.high_since > LEAVE


@define(eq=False)
class Pressure:
    """Measures the event loop and acts on it.

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
            log.warning(message, extra={"loop_delay": round(self.gauge.mean, 3)})
        if was or self.gauge.high:
            self.shed(self.gauge.sheds(now))
