"""Rules for fields of the document, and conversion of durations and times."""

from __future__ import annotations

import re
from datetime import UTC, datetime
from enum import Enum
from fractions import Fraction

from attrs import frozen

RULE_KEY = "ebonyhold"
"""The key of a field's `FieldRule` in its attrs metadata."""

UNITS = {
    "d": Fraction(86_400),
    "h": Fraction(3600),
    "m": Fraction(60),
    "s": Fraction(1),
    "ms": Fraction(1, 1000),
}
"""Seconds per unit; the largest is first because `render_duration` tries it first."""

DURATION = re.compile(r"(\d{1,9}(?:\.\d{1,6})?)(ms|s|m|h|d)")
DURATION_PATTERN = r"^\d{1,9}(\.\d{1,6})?(ms|s|m|h|d)$"
NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"
MODEL_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._:/-]{0,126}$"
SHA256_PATTERN = r"^[0-9a-f]{64}$"

MAX_TOKENS = 2**53 - 1
"""Maximum amount of tokens; JSON readers that use doubles read it exactly."""


class Notation(Enum):
    """How a value is written in the document: as plain YAML or as a duration."""

    PLAIN = "plain"
    DURATION = "duration"


@frozen
class FieldRule:
    """Rule for the value of a field, or for each item if the field is a list.

    Attributes:
        notation: How the value is written.
        minimum: Smallest number allowed; None for no minimum.
        maximum: Largest number allowed; None for no maximum.
        pattern: Regular expression that a whole text must match; None for any text.
        hint: Description of the pattern for the message of a finding.
    """

    notation: Notation = Notation.PLAIN
    minimum: float | None = None
    maximum: float | None = None
    pattern: str | None = None
    hint: str = ""


def bounded(minimum: float, maximum: float) -> dict[str, FieldRule]:
    """Return attrs metadata for a number from `minimum` to `maximum`, inclusive."""
    return {RULE_KEY: FieldRule(minimum=minimum, maximum=maximum)}


def duration(minimum: float, maximum: float) -> dict[str, FieldRule]:
    """Return attrs metadata for a duration; bounds are inclusive and in seconds."""
    return {RULE_KEY: FieldRule(Notation.DURATION, minimum, maximum)}


def text_pattern(pattern: str, hint: str) -> dict[str, FieldRule]:
    """Return attrs metadata for a text that must match a regular expression."""
    return {RULE_KEY: FieldRule(pattern=pattern, hint=hint)}


NAME = text_pattern(
    NAME_PATTERN, "letters, digits, dots, dashes and underscores, at most 63"
)
"""Metadata of a name that can be part of a table key and of a URL."""

MODEL_NAME = text_pattern(MODEL_PATTERN, "letters, digits and . _ : / -, at most 127")
"""Metadata of a model name, which may contain slashes and colons."""

TOKENS = bounded(0, MAX_TOKENS)
"""Metadata of an amount of tokens."""


def parse_duration(text: str) -> float | None:
    """Return a duration in seconds, or None if the text is not a duration.

    >>> parse_duration("90d")
    7776000.0
    >>> parse_duration("30") is None
    True
    """
    match = DURATION.fullmatch(text)
    if match is None:
        return None
    return float(Fraction(match.group(1)) * UNITS[match.group(2)])


def render_duration(seconds: float) -> str:
    """Return a duration as text, in the largest unit that gives a whole number.

    A duration that is not a whole number of milliseconds is written in seconds with
    up to six decimals.

    >>> render_duration(7200.0), render_duration(0.25)
    ('2h', '250ms')
    """
    exact = Fraction(seconds).limit_denominator(1_000_000)
    for unit, length in UNITS.items():
        amount = exact / length
        if amount.denominator == 1 and (amount != 0 or unit == "s"):
            return f"{amount.numerator}{unit}"
    return f"{seconds:.6f}".rstrip("0") + "s"


def parse_time(text: str) -> datetime | None:
    """Return a time, or None if the text is not ISO 8601.

    The result has no time zone if the text has none.
    """
    try:
        return datetime.fromisoformat(text)
    except ValueError:
        return None


def render_time(time: datetime) -> str:
    """Return a time as ISO 8601 text in UTC."""
    return time.astimezone(UTC).isoformat().replace("+00:00", "Z")
