"""Converts nodes to the classes of the document; errors are added to a report."""

from __future__ import annotations

import re
from collections.abc import Callable
from datetime import UTC, datetime
from enum import Enum
from functools import cache
from types import UnionType
from typing import Any, TypeVar, get_args, get_origin, get_type_hints

import attrs
from attrs import Attribute, define, field

from ebonyhold.document._fields import (
    RULE_KEY,
    FieldRule,
    Notation,
    parse_duration,
    parse_time,
)
from ebonyhold.document._findings import FindingCode, Path, Place, Report
from ebonyhold.document._nodes import ListNode, MapNode, Node, Scalar

NO_RULE = FieldRule()
YEARS = range(2000, 2200)
"""Years allowed in times; far outside them, time zone conversions overflow."""

MAX_NUMBER_LENGTH = 40
"""Maximum characters in a number; longer ones are rejected before conversion."""

PLACEHOLDER_TIME = datetime(2000, 1, 1, tzinfo=UTC)

Draft = TypeVar("Draft")
ScalarReader = Callable[["ModelReader", Scalar, FieldRule, Path], Any]

SCALAR_READERS: dict[type, ScalarReader] = {}


def reader_of(kind: type) -> Callable[[ScalarReader], ScalarReader]:
    """Return a decorator that registers a function as the reader of a scalar type."""

    def register(reader: ScalarReader) -> ScalarReader:
        SCALAR_READERS[kind] = reader
        return reader

    return register


@define
class ModelReader:
    """Converts nodes to attrs classes; uses placeholders for wrong values.

    Attributes:
        report: Receives the findings and the paths of the placeholders.
        places: The place of each value in the text, by path.
    """

    report: Report
    places: dict[Path, Place] = field(factory=dict)

    def read(self, node: Node, wanted: Any, rule: FieldRule, path: Path) -> Any:
        """Return a node's value as the wanted type, or a placeholder if it is wrong."""
        self.places[path] = node.place
        if attrs.has(wanted):
            return self.read_object(node, wanted, path)
        if get_origin(wanted) is tuple:
            return self.read_list(node, get_args(wanted)[0], rule, path)
        if not isinstance(node, Scalar):
            return self.reject(node, path, wanted, f"expected {describe(wanted)}")
        if issubclass(wanted, Enum):
            return self.read_enum(node, wanted, path)
        return SCALAR_READERS[wanted](self, node, rule, path)

    def read_object(self, node: Node, wanted: Any, path: Path) -> Any:
        """Convert a mapping to an attrs class; missing values become placeholders."""
        items: dict[str, Node] = {}
        if isinstance(node, MapNode):
            items = node.items
            self.find_unknown_keys(node, wanted, path)
        else:
            self.add_wrong_type(node, path, "expected a mapping")
        values: dict[str, Any] = {}
        for attribute, kind in fields_of(wanted):
            value = items.get(attribute.name)
            field_path = (*path, attribute.name)
            rule = attribute.metadata.get(RULE_KEY, NO_RULE)
            if value is not None:
                values[attribute.name] = self.read(value, kind, rule, field_path)
            elif attribute.default is attrs.NOTHING:
                if isinstance(node, MapNode):
                    self.add_missing_key(node, field_path)
                values[attribute.name] = self.placeholder(kind, field_path)
        return wanted(**values)

    def find_unknown_keys(self, node: MapNode, wanted: Any, path: Path) -> None:
        """Add a finding for each key that is no attribute of the class."""
        known = [attribute.name for attribute, _ in fields_of(wanted)]
        for key, place in node.keys.items():
            if key not in known:
                message = f"unknown key {key[:80]!r}; known are {', '.join(known)}"
                self.report.add(FindingCode.UNKNOWN_KEY, place, (*path, key), message)

    def add_missing_key(self, node: MapNode, path: Path) -> None:
        """Add a finding for a required key that the mapping does not have."""
        message = f"{path[-1]} is missing"
        self.report.add(FindingCode.MISSING_KEY, node.place, path, message)

    def read_list(self, node: Node, kind: Any, rule: FieldRule, path: Path) -> Any:
        """Convert a list to a tuple, or add a finding and return an empty tuple."""
        if not isinstance(node, ListNode):
            return self.reject(node, path, tuple, "expected a list")
        return tuple(
            self.read(item, kind, rule, (*path, index))
            for index, item in enumerate(node.items)
        )

    def read_enum(self, node: Scalar, wanted: type[Enum], path: Path) -> Enum:
        """Return the member whose value is the node's text, or else a placeholder."""
        for member in wanted:
            if member.value == node.text:
                return member
        words = ", ".join(str(member.value) for member in wanted)
        self.report.add(FindingCode.BAD_VALUE, node.place, path, f"expected {words}")
        return self.placeholder(wanted, path)  # type: ignore[no-any-return]

    def add_wrong_type(self, node: Node, path: Path, message: str) -> None:
        """Add a finding for a value of the wrong type."""
        self.report.add(FindingCode.WRONG_TYPE, node.place, path, message)

    def reject(self, node: Node, path: Path, wanted: Any, message: str) -> Any:
        """Add a finding for a value of the wrong type and return a placeholder."""
        self.add_wrong_type(node, path, message)
        return self.placeholder(wanted, path)

    def placeholder(self, wanted: Any, path: Path) -> Any:
        """Return a placeholder of the wanted type and add its path to the report.

        Rules use these paths to skip placeholders.
        """
        self.report.placeholders.add(path)
        self.places.setdefault(path, self.places.get(path[:-1], Place()))
        if get_origin(wanted) is tuple or wanted is tuple:
            return ()
        if attrs.has(wanted):
            return self.read_object(MapNode(self.places[path]), wanted, path)
        if issubclass(wanted, Enum):
            return next(iter(wanted))
        if wanted is datetime:
            return PLACEHOLDER_TIME
        return wanted()

    def check_bounds(
        self, value: float, node: Scalar, rule: FieldRule, path: Path, unit: str = ""
    ) -> bool:
        """Return whether a number is within its rule's bounds; add a finding if not."""
        minimum = -float("inf") if rule.minimum is None else rule.minimum
        maximum = float("inf") if rule.maximum is None else rule.maximum
        if minimum <= value <= maximum:
            return True
        message = f"must lie between {minimum:,}{unit} and {maximum:,}{unit}"
        self.report.add(FindingCode.OUT_OF_RANGE, node.place, path, message)
        return False


@cache
def fields_of(wanted: Any) -> tuple[tuple[Attribute[Any], Any], ...]:
    """Return the attributes of an attrs class, each with its type."""
    hints = get_type_hints(wanted)
    return tuple((each, hints[each.name]) for each in attrs.fields(wanted))


def describe(wanted: Any) -> str:
    """Return the name of a type for the message of a finding."""
    names = {str: "text", int: "a whole number", float: "a number", bool: "true, false"}
    if isinstance(wanted, UnionType):
        return str(wanted)
    if issubclass(wanted, Enum):
        return ", ".join(str(member.value) for member in wanted)
    return names.get(wanted, "a point in time")


@reader_of(str)
def _read_text(
    reader: ModelReader, node: Scalar, rule: FieldRule, path: Path
) -> str | Any:
    if node.kind != "str":
        hint = f"expected text, but YAML reads a {node.kind}; put it in quotes"
        return reader.reject(node, path, str, hint)
    if rule.pattern is None or re.fullmatch(rule.pattern, node.text):
        return node.text
    reader.report.add(FindingCode.BAD_VALUE, node.place, path, f"expected {rule.hint}")
    return reader.placeholder(str, path)


@reader_of(int)
def _read_int(reader: ModelReader, node: Scalar, rule: FieldRule, path: Path) -> Any:
    digits = node.text.replace("_", "")
    plain = digits.removeprefix("-")
    if node.kind != "int" or not (plain.isascii() and plain.isdigit()):
        return reader.reject(node, path, int, "expected a whole number")
    if len(digits) > MAX_NUMBER_LENGTH:
        return reader.reject(node, path, int, "the number is too long")
    value = int(digits)
    if reader.check_bounds(value, node, rule, path):
        return value
    return reader.placeholder(int, path)


@reader_of(float)
def _read_float(reader: ModelReader, node: Scalar, rule: FieldRule, path: Path) -> Any:
    if rule.notation is Notation.DURATION:
        return _read_duration(reader, node, rule, path)
    if node.kind not in ("int", "float") or len(node.text) > MAX_NUMBER_LENGTH:
        return reader.reject(node, path, float, "expected a number")
    try:
        value = float(node.text.replace("_", ""))
    except ValueError:
        return reader.reject(node, path, float, "expected a decimal number")
    if reader.check_bounds(value, node, rule, path):
        return value
    return reader.placeholder(float, path)


def _read_duration(
    reader: ModelReader, node: Scalar, rule: FieldRule, path: Path
) -> Any:
    if node.kind in ("int", "float"):
        message = "a duration needs a unit, such as 30s, 5m, 2h or 90d"
        reader.report.add(FindingCode.NO_UNIT, node.place, path, message)
        return reader.placeholder(float, path)
    value = parse_duration(node.text)
    if value is None:
        message = "expected a duration such as 30s, 5m, 2h or 90d"
        return reader.reject(node, path, float, message)
    if reader.check_bounds(value, node, rule, path, "s"):
        return value
    return reader.placeholder(float, path)


@reader_of(bool)
def _read_bool(reader: ModelReader, node: Scalar, rule: FieldRule, path: Path) -> Any:
    words = {"true": True, "false": False}
    if node.kind != "bool" or node.text.lower() not in words:
        return reader.reject(node, path, bool, "expected true or false")
    return words[node.text.lower()]


@reader_of(datetime)
def _read_time(reader: ModelReader, node: Scalar, rule: FieldRule, path: Path) -> Any:
    time = parse_time(node.text)
    if time is None:
        message = "expected a time such as 2026-12-24T06:00:00+01:00"
        return reader.reject(node, path, datetime, message)
    if time.utcoffset() is None:
        message = "a time needs its zone, such as 2026-12-24T06:00:00+01:00"
        reader.report.add(FindingCode.NO_TIME_ZONE, node.place, path, message)
        return reader.placeholder(datetime, path)
    if time.year not in YEARS:
        message = f"the year must lie between {YEARS.start} and {YEARS.stop - 1}"
        reader.report.add(FindingCode.OUT_OF_RANGE, node.place, path, message)
        return reader.placeholder(datetime, path)
    return time
