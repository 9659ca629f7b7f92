"""Types for the records of a case and for the violations found in them."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from enum import Enum
from typing import Any

from attrs import field, frozen

from tests.platform.kit import EngineRun, ProcessRecord, RequestRecord, read_runs


class Guarantee(Enum):
    """What each planned stop must guarantee.

    Attributes:
        CONNECT: The listener accepts connections until the process exits.
        ANSWER: A request that the gateway has read gets its whole answer, or a refusal
            if it did not run.
        SERVED: Short bookings sent soon after SIGTERM are served.
        EXIT: The process exits in time, with code 0 and without logged errors.
        MONEY: Budgets match the tokens served, and no tokens stay outstanding.
    """

    CONNECT = "callers find an open door until the process ends"
    ANSWER = "what was read is answered, whole or truthfully"
    SERVED = "what has no price and ends in a moment is served"
    EXIT = "the process ends by itself, well, in time, and logs no error"
    MONEY = "budgets say what was served, and nothing is left out"


@frozen
class Violation:
    """A violated guarantee, and a description of what was observed."""

    guarantee: Guarantee
    text: str


@frozen
class Evidence:
    """The records of callers, processes, engines and the store after a case."""

    requests: Sequence[RequestRecord]
    processes: Sequence[ProcessRecord]
    runs: Mapping[str, list[EngineRun]]
    rows: Mapping[str, Any] = field(factory=dict)

    @classmethod
    def from_records(
        cls,
        requests: Sequence[RequestRecord],
        processes: Sequence[ProcessRecord],
        records: Mapping[str, Any],
    ) -> Evidence:
        """Join the records of callers, processes and the stand-in."""
        return cls(requests, processes, read_runs(records), records["rows"])
