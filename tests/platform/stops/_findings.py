"""What is known of a case, and what was found in it."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from enum import Enum
from typing import Any

from attrs import field, frozen

from tests.platform.kit import EngineRun, ProcessRecord, RequestRecord, read_runs


class Guarantee(Enum):
    """What a planned stop keeps."""

    CONNECT = "callers find an open door until the process ends"
    ANSWER = "what was read is answered, whole or truthfully"
    SERVED = "what has no price and ends in a moment is served"
    EXIT = "the process ends by itself, well, in time, and logs no error"
    MONEY = "budgets say what was served, and nothing is left out"


@frozen
class Violation:
    """A promise that was broken, and how it showed."""

    guarantee: Guarantee
    text: str


@frozen
class Evidence:
    """What callers, processes, engines and the store have to say of a case."""

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
        """Read what the witness tells."""
        return cls(requests, processes, read_runs(records), records["rows"])
