"""Findings of the check of a document, with their line, column and path."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, TypeAlias

from attrs import define, field, frozen

if TYPE_CHECKING:
    from ebonyhold.document._model import Document

Path: TypeAlias = tuple["str | int", ...]
"""Keys and list indexes that lead from the document's root to a value."""


class Severity(Enum):
    """Severity of a finding; an error forbids the use of the document."""

    ERROR = "error"
    WARNING = "warning"


class FindingCode(Enum):
    """Stable codes by which programs identify findings."""

    ALIAS_CYCLE = "alias_cycle"
    ALIAS_EXPLOSION = "alias_explosion"
    BAD_REFERENCE = "bad_reference"
    BAD_TEXT = "bad_text"
    BAD_VALUE = "bad_value"
    DUPLICATE_KEY = "duplicate_key"
    DUPLICATE_NAME = "duplicate_name"
    LOW_CAPACITY = "low_capacity"
    MISSING_KEY = "missing_key"
    NO_CAPACITY = "no_capacity"
    NO_TIME_ZONE = "no_time_zone"
    NO_UNIT = "no_unit"
    OUT_OF_RANGE = "out_of_range"
    STOP_REVERSED = "stop_reversed"
    SYNTAX = "syntax"
    TOO_DEEP = "too_deep"
    TOO_LARGE = "too_large"
    UNKNOWN_KEY = "unknown_key"
    UNUSED = "unused"
    WRONG_TYPE = "wrong_type"


@frozen
class Place:
    """A position in the text of a document; line and column count from 1."""

    line: int = 1
    column: int = 1


@frozen
class Finding:
    """An error in a document, or something that is probably a mistake.

    Attributes:
        code: The value of a `FindingCode`.
        line: Line of the value, from 1.
        column: Column at which the value begins, from 1.
        path: Path of the value, such as ``backends[2].domain``.
        message: Description for operators.
        severity: Whether the finding forbids the use of the document.
    """

    code: str
    line: int
    column: int
    path: str
    message: str
    severity: Severity = Severity.ERROR


@frozen
class CheckResult:
    """The outcome of a check.

    Attributes:
        document: The document, or None if a finding is an error.
        findings: All findings, ordered by line and column.
    """

    document: Document | None
    findings: tuple[Finding, ...]


@define
class Report:
    """Collects findings while a document is read and checked.

    Attributes:
        findings: All findings so far.
        placeholders: Paths of the values that are missing or wrong and were
            replaced by placeholders.
    """

    findings: list[Finding] = field(factory=list)
    placeholders: set[Path] = field(factory=set)

    def add(
        self,
        code: FindingCode,
        place: Place,
        path: Path,
        message: str,
        severity: Severity = Severity.ERROR,
    ) -> None:
        """Add a finding."""
        finding = Finding(
            code.value, place.line, place.column, render_path(path), message, severity
        )
        self.findings.append(finding)

    def ordered(self) -> tuple[Finding, ...]:
        """Return the findings, ordered by line and column."""
        return tuple(sorted(self.findings, key=lambda each: (each.line, each.column)))


def render_path(path: Path) -> str:
    """Return a path as text.

    >>> render_path(("backends", 2, "domain"))
    'backends[2].domain'
    """
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            text += f".{part}" if text else part
    return text
