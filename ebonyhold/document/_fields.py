"""What a field of the model may hold beyond its Python type."""

from __future__ import annotations

import re
from datetime import UTC, datetime
from enum import Enum
from fractions import Fraction

from attrs import frozen

RULE = "ebonyhold"
"""The key of a field's `FieldRule` in its attrs metadata."""

UNITS = {
    "d": Fraction(86_400),
    "h": Fraction(3600),
    "m": Fraction(60),
    "s": Fraction(1),
    "ms": Fraction(1, 1000),
}
"""Units of durations in seconds, the largest first."""

DURATION = re.compile(r"(\d{1,9}(?:\.\d{1,6})?)(ms|s|m|h|d)")
DURATION_PATTERN = r"^\d{1,9}(\.\d{1,6})?(ms|s|m|h|d)$"
NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"
MODEL_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._:/-]{0,126}$"
SHA256_PATTERN = r"^[0-9a-f]{64}$"

MOST_TOKENS = 2**53 - 1
"""The largest amount that every JSON reader keeps exact."""


class Kind(Enum):
    """How a field is written in the document."""

    PLAIN = "plain"
    DURATION = "duration"


@frozen
class FieldRule:
    """Bounds of one field.

    Attributes:
        kind: How it is written.
        least: The smallest number, or None.
        most: The largest number, or None.
        pattern: What a text must match, or None.
        hint: What to write instead, for the finding.
    """

    kind: Kind = Kind.PLAIN
    least: float | None = None
    most: float | None = None
    pattern: str | None = None
    hint: str = ""


def bounded(least: float, most: float) -> dict[str, FieldRule]:
    """Return the metadata of a bounded number."""
    return {RULE: FieldRule(least=least, most=most)}


def duration(least: float, most: float) -> dict[str, FieldRule]:
    """Return the metadata of a duration; bounds are in seconds."""
    return {RULE: FieldRule(Kind.DURATION, least, most)}


def text_form(pattern: str, hint: str) -> dict[str, FieldRule]:
    """Return the metadata of a text of a given form."""
    return {RULE: FieldRule(pattern=pattern, hint=hint)}


NAME = text_form(
    NAME_PATTERN, "letters, digits, dots, dashes and underscores, at most 63"
)
"""A name that may stand in a table key or a URL."""

MODEL_NAME = text_form(MODEL_PATTERN, "letters, digits and . _ : / -, at most 127")
"""A model's name, which may contain slashes."""

TOKENS = bounded(0, MOST_TOKENS)
"""An amount of tokens."""


def parse_duration(written: str) -> float | None:
    """Return a duration in seconds, or None when it is not one.

    >>> parse_duration("90d")
    7776000.0
    >>> parse_duration("30") is None
    True
    """
    match = DURATION.fullmatch(written)
    if match is None:
        return None
    return float(Fraction(match.group(1)) * UNITS[match.group(2)])


def render_duration(seconds: float) -> str:
    """Write a duration with the largest unit that keeps it whole.

    >>> render_duration(7200.0), render_duration(0.25)
    ('2h', '250ms')
    """
    exact = Fraction(seconds).limit_denominator(1_000_000)
    for unit, length in UNITS.items():
        amount = exact / length
        if amount.denominator == 1 and (amount != 0 or unit == "s"):
            return f"{amount.numerator}{unit}"
    return f"{seconds:.6f}".rstrip("0") + "s"


def parse_moment(written: str) -> datetime | None:
    """Return a point in time, or None when it is not ISO 8601.

    The result lacks a time zone where the text does.
    """
    try:
        return datetime.fromisoformat(written)
    except ValueError:
        return None


def render_moment(moment: datetime) -> str:
    """Write a point in time as ISO 8601 in UTC."""
    return moment.astimezone(UTC).isoformat().replace("+00:00", "Z")
