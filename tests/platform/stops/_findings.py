"""What is known of a case, and what was found in it."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from enum import Enum
from typing import Any

from attrs import field, frozen

from tests.platform.kit import Life, Seen, Try, read_runs


class Promise(Enum):
    """What a planned stop keeps."""

    DOOR = "callers find an open door until the process ends"
    ANSWER = "what was read is answered, whole or truthfully"
    TAKEN = "what has no price and ends in a moment is served"
    END = "the process ends by itself, well, in time, and logs no error"
    MONEY = "budgets say what was served, and nothing is left out"


@frozen
class Broken:
    """A promise that was broken, and how it showed."""

    promise: Promise
    text: str


@frozen
class Evidence:
    """What callers, processes, engines and the store have to say of a case."""

    tries: Sequence[Try]
    lives: Sequence[Life]
    runs: Mapping[str, list[Seen]]
    rows: Mapping[str, Any] = field(factory=dict)

    @classmethod
    def of(
        cls, tries: Sequence[Try], lives: Sequence[Life], witness: Mapping[str, Any]
    ) -> Evidence:
        """Read what the witness tells."""
        return cls(tries, lives, read_runs(witness), witness["rows"])
