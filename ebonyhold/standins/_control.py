"""What ``POST /control`` takes."""

from __future__ import annotations

import json
from enum import Enum

import cattrs
from attrs import frozen

from ebonyhold.standins._faults import Faults
from ebonyhold.types import Seconds


class StreamFault(Enum):
    """What goes wrong with an engine's answer."""

    DIE = "die"
    """The connection is cut."""
    HALF = "half"
    """The stream ends as if it were whole, without its last chunks."""
    CROSSED = "crossed"
    """The answer to another request, under that one's attempt identifier."""
    MALFORMED = "malformed"
    """A chunk that is not JSON."""
    OVERSIZED = "oversized"
    """A chunk of megabytes."""
    STALL = "stall"
    """Nothing more comes, and the connection stays open."""
    DOUBLED = "doubled"
    """A chunk comes twice."""
    SKIPPED = "skipped"
    """A chunk is left out."""


@frozen
class StreamTrouble:
    """A fault of the next answers of an engine.

    Attributes:
        kind: What goes wrong.
        after: Behind how many tokens.
        count: How many answers it hits.
    """

    kind: StreamFault
    after: int = 3
    count: int = 1


@frozen
class Overshoot:
    """The next answers run beyond their ``max_tokens``."""

    tokens: int
    count: int = 1


@frozen
class Control:
    """Switches to set; what is None stays as it is.

    Attributes:
        slow: How long each call waits before it takes effect, in seconds.
        answer_slow: How long each answer waits after the effect, in seconds.
        flush: Let the late writes take effect now.
        pause: True holds every call, False lets them go on.
        stream: For engines: what goes wrong with the next answers.
        overshoot: For engines: the next answers are too long.
        slowdown: For engines: multiplies the time of each step.
        leaving: For engines: report that this server is leaving.
        reboot: For engines: forget everything and take a new boot identifier.
    """

    down: bool | None = None
    slow: Seconds | None = None
    answer_slow: Seconds | None = None
    lose_answers: int | None = None
    lose_requests: int | None = None
    late: int | None = None
    flush: bool | None = None
    duplicate: int | None = None
    throttled: int | None = None
    malformed: int | None = None
    oversized: int | None = None
    pause: bool | None = None
    stream: StreamTrouble | None = None
    overshoot: Overshoot | None = None
    slowdown: float | None = None
    leaving: bool | None = None
    reboot: bool | None = None

    @classmethod
    def parse(cls, body: bytes) -> Control | None:
        """Read a control message, or return None when it is not one."""
        converter = cattrs.Converter(forbid_extra_keys=True)
        try:
            return converter.structure(json.loads(body), cls)
        except (ValueError, TypeError, cattrs.BaseValidationError):
            return None


SWITCHES = {
    "down": "down",
    "slow": "delay",
    "answer_slow": "answer_delay",
    "lose_answers": "lose_answers",
    "lose_requests": "lose_requests",
    "late": "late",
    "duplicate": "duplicates",
    "throttled": "throttled",
    "malformed": "malformed",
    "oversized": "oversized",
}
"""Which attribute of `Faults` each plain switch sets."""


async def apply_control(faults: Faults, control: Control) -> None:
    """Set the switches of a control message."""
    for name, attribute in SWITCHES.items():
        value = getattr(control, name)
        if value is not None:
            setattr(faults, attribute, value)
    if control.pause:
        faults.pause()
    if control.pause is False:
        faults.release()
    if control.flush:
        await faults.flush()
