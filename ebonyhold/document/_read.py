"""Turning nodes into the model, collecting findings instead of raising."""

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
    RULE,
    FieldRule,
    Kind,
    parse_duration,
    parse_moment,
)
from ebonyhold.document._findings import FindingCode, Path, Place, Report
from ebonyhold.document._nodes import ListNode, MapNode, Node, Scalar

NO_RULE = FieldRule()
YEARS = range(2000, 2200)
"""Years a stop may lie in; beyond them, conversions between zones overflow."""

LONGEST_NUMBER = 40
"""Longer digit strings are refused before Python converts them."""

PLACEHOLDER_MOMENT = datetime(2000, 1, 1, tzinfo=UTC)

Draft = TypeVar("Draft")
ScalarReader = Callable[["ModelReader", Scalar, FieldRule, Path], Any]

SCALAR_READERS: dict[type, ScalarReader] = {}


def reads(kind: type) -> Callable[[ScalarReader], ScalarReader]:
    """Register the reader of one scalar type."""

    def register(reader: ScalarReader) -> ScalarReader:
        SCALAR_READERS[kind] = reader
        return reader

    return register


@define
class ModelReader:
    """Reads nodes into attrs classes; wrong values become placeholders.

    Attributes:
        report: Where findings go.
        places: Where each value stands, by its path.
    """

    report: Report
    places: dict[Path, Place] = field(factory=dict)

    def read(self, node: Node, wanted: Any, rule: FieldRule, path: Path) -> Any:
        """Return the value of a node as the wanted type."""
        self.places[path] = node.place
        if attrs.has(wanted):
            return self.read_object(node, wanted, path)
        if get_origin(wanted) is tuple:
            return self.read_list(node, get_args(wanted)[0], rule, path)
        if not isinstance(node, Scalar):
            return self.refuse(node, path, wanted, f"expected {describe(wanted)}")
        if issubclass(wanted, Enum):
            return self.read_enum(node, wanted, path)
        return SCALAR_READERS[wanted](self, node, rule, path)

    def read_object(self, node: Node, wanted: Any, path: Path) -> Any:
        """Read a mapping into an attrs class."""
        items: dict[str, Node] = {}
        if isinstance(node, MapNode):
            items = node.items
            self.find_unknown_keys(node, wanted, path)
        else:
            self.wrong_type(node, path, "expected a mapping")
        values: dict[str, Any] = {}
        for attribute, kind in fields_of(wanted):
            value = items.get(attribute.name)
            field_path = (*path, attribute.name)
            rule = attribute.metadata.get(RULE, NO_RULE)
            if value is not None:
                values[attribute.name] = self.read(value, kind, rule, field_path)
            elif attribute.default is attrs.NOTHING:
                if isinstance(node, MapNode):
                    self.find_missing_key(node, field_path)
                values[attribute.name] = self.stand_in(kind, field_path)
        return wanted(**values)

    def find_unknown_keys(self, node: MapNode, wanted: Any, path: Path) -> None:
        """Find keys that the class has no attribute for."""
        known = [attribute.name for attribute, _ in fields_of(wanted)]
        for key, place in node.keys.items():
            if key not in known:
                message = f"unknown key {key[:80]!r}; known are {', '.join(known)}"
                self.report.add(FindingCode.UNKNOWN_KEY, place, (*path, key), message)

    def find_missing_key(self, node: MapNode, path: Path) -> None:
        """Record a required key that is not there."""
        message = f"{path[-1]} is missing"
        self.report.add(FindingCode.MISSING_KEY, node.place, path, message)

    def read_list(self, node: Node, kind: Any, rule: FieldRule, path: Path) -> Any:
        """Read a list into a tuple."""
        if not isinstance(node, ListNode):
            return self.refuse(node, path, tuple, "expected a list")
        return tuple(
            self.read(item, kind, rule, (*path, index))
            for index, item in enumerate(node.items)
        )

    def read_enum(self, node: Scalar, wanted: type[Enum], path: Path) -> Enum:
        """Read one of a few words."""
        for member in wanted:
            if member.value == node.text:
                return member
        words = ", ".join(str(member.value) for member in wanted)
        self.report.add(FindingCode.BAD_VALUE, node.place, path, f"expected {words}")
        return self.stand_in(wanted, path)  # type: ignore[no-any-return]

    def wrong_type(self, node: Node, path: Path, message: str) -> None:
        """Record that a value has the wrong type."""
        self.report.add(FindingCode.WRONG_TYPE, node.place, path, message)

    def refuse(self, node: Node, path: Path, wanted: Any, message: str) -> Any:
        """Record a wrong type and return a placeholder."""
        self.wrong_type(node, path, message)
        return self.stand_in(wanted, path)

    def stand_in(self, wanted: Any, path: Path) -> Any:
        """Return a placeholder, and remember that it is one."""
        self.report.broken.add(path)
        self.places.setdefault(path, self.places.get(path[:-1], Place()))
        if get_origin(wanted) is tuple or wanted is tuple:
            return ()
        if attrs.has(wanted):
            return self.read_object(MapNode(self.places[path]), wanted, path)
        if issubclass(wanted, Enum):
            return next(iter(wanted))
        if wanted is datetime:
            return PLACEHOLDER_MOMENT
        return wanted()

    def check_bounds(
        self, value: float, node: Scalar, rule: FieldRule, path: Path, unit: str = ""
    ) -> bool:
        """Find numbers outside their rule's bounds."""
        least = -float("inf") if rule.least is None else rule.least
        most = float("inf") if rule.most is None else rule.most
        if least <= value <= most:
            return True
        message = f"must lie between {least:,}{unit} and {most:,}{unit}"
        self.report.add(FindingCode.OUT_OF_RANGE, node.place, path, message)
        return False


@cache
def fields_of(wanted: Any) -> tuple[tuple[Attribute[Any], Any], ...]:
    """Return a class's attributes with their resolved types."""
    hints = get_type_hints(wanted)
    return tuple((each, hints[each.name]) for each in attrs.fields(wanted))


def describe(wanted: Any) -> str:
    """Name a type as operators know it."""
    names = {str: "text", int: "a whole number", float: "a number", bool: "true, false"}
    if isinstance(wanted, UnionType):
        return str(wanted)
    if issubclass(wanted, Enum):
        return ", ".join(str(member.value) for member in wanted)
    return names.get(wanted, "a point in time")


@reads(str)
def _read_text(
    reader: ModelReader, node: Scalar, rule: FieldRule, path: Path
) -> str | Any:
    if node.kind != "str":
        hint = f"expected text, but YAML reads a {node.kind}; put it in quotes"
        return reader.refuse(node, path, str, hint)
    if rule.pattern is None or re.fullmatch(rule.pattern, node.text):
        return node.text
    reader.report.add(FindingCode.BAD_VALUE, node.place, path, f"expected {rule.hint}")
    return reader.stand_in(str, path)


@reads(int)
def _read_int(reader: ModelReader, node: Scalar, rule: FieldRule, path: Path) -> Any:
    digits = node.text.replace("_", "")
    plain = digits.removeprefix("-")
    if node.kind != "int" or not (plain.isascii() and plain.isdigit()):
        return reader.refuse(node, path, int, "expected a whole number")
    if len(digits) > LONGEST_NUMBER:
        return reader.refuse(node, path, int, "the number is too long")
    value = int(digits)
    if reader.check_bounds(value, node, rule, path):
        return value
    return reader.stand_in(int, path)


@reads(float)
def _read_float(reader: ModelReader, node: Scalar, rule: FieldRule, path: Path) -> Any:
    if rule.kind is Kind.DURATION:
        return _read_duration(reader, node, rule, path)
    if node.kind not in ("int", "float") or len(node.text) > LONGEST_NUMBER:
        return reader.refuse(node, path, float, "expected a number")
    try:
        value = float(node.text.replace("_", ""))
    except ValueError:
        return reader.refuse(node, path, float, "expected a decimal number")
    if reader.check_bounds(value, node, rule, path):
        return value
    return reader.stand_in(float, path)


def _read_duration(
    reader: ModelReader, node: Scalar, rule: FieldRule, path: Path
) -> Any:
    if node.kind in ("int", "float"):
        message = "a duration needs a unit, such as 30s, 5m, 2h or 90d"
        reader.report.add(FindingCode.NO_UNIT, node.place, path, message)
        return reader.stand_in(float, path)
    value = parse_duration(node.text)
    if value is None:
        message = "expected a duration such as 30s, 5m, 2h or 90d"
        return reader.refuse(node, path, float, message)
    if reader.check_bounds(value, node, rule, path, "s"):
        return value
    return reader.stand_in(float, path)


@reads(bool)
def _read_bool(reader: ModelReader, node: Scalar, rule: FieldRule, path: Path) -> Any:
    words = {"true": True, "false": False}
    if node.kind != "bool" or node.text.lower() not in words:
        return reader.refuse(node, path, bool, "expected true or false")
    return words[node.text.lower()]


@reads(datetime)
def _read_moment(reader: ModelReader, node: Scalar, rule: FieldRule, path: Path) -> Any:
    moment = parse_moment(node.text)
    if moment is None:
        message = "expected a time such as 2026-12-24T06:00:00+01:00"
        return reader.refuse(node, path, datetime, message)
    if moment.utcoffset() is None:
        message = "a time needs its zone, such as 2026-12-24T06:00:00+01:00"
        reader.report.add(FindingCode.NO_TIME_ZONE, node.place, path, message)
        return reader.stand_in(datetime, path)
    if moment.year not in YEARS:
        message = f"the year must lie between {YEARS.start} and {YEARS.stop - 1}"
        reader.report.add(FindingCode.OUT_OF_RANGE, node.place, path, message)
        return reader.stand_in(datetime, path)
    return moment
