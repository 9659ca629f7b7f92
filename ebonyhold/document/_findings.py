"""What the check of a document finds, each with its place."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, TypeAlias

from attrs import define, field, frozen

if TYPE_CHECKING:
    from ebonyhold.document._model import Document

Path: TypeAlias = tuple["str | int", ...]
"""The way from the document's root to a value."""


class Severity(Enum):
    """Whether a finding forbids the document's use."""

    ERROR = "error"
    WARNING = "warning"


class FindingCode(Enum):
    """The stable words for findings."""

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
    """A place in the document's text; both numbers count from 1."""

    line: int = 1
    column: int = 1


@frozen
class Finding:
    """One thing that is wrong, or doubtful, in a document.

    Attributes:
        code: A stable word for programs, one of `FindingCode`.
        line: The line it is in, from 1.
        column: The column it begins at, from 1.
        path: The way to the value, such as ``backends[2].domain``.
        message: What is wrong and what would be right.
        severity: Whether it forbids the document's use.
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
        document: The document, or None when a finding forbids its use.
        findings: All findings, in the order of their places.
    """

    document: Document | None
    findings: tuple[Finding, ...]


@define
class Report:
    """Collects findings while a document is read.

    Attributes:
        findings: All so far.
        broken: The paths whose value was replaced by a placeholder.
    """

    findings: list[Finding] = field(factory=list)
    broken: set[Path] = field(factory=set)

    def add(
        self,
        code: FindingCode,
        place: Place,
        path: Path,
        message: str,
        severity: Severity = Severity.ERROR,
    ) -> None:
        """Record one finding."""
        finding = Finding(
            code.value, place.line, place.column, render_path(path), message, severity
        )
        self.findings.append(finding)

    def ordered(self) -> tuple[Finding, ...]:
        """Return the findings in the order of their places."""
        return tuple(sorted(self.findings, key=lambda each: (each.line, each.column)))


def render_path(path: Path) -> str:
    """Write a path as people do.

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
