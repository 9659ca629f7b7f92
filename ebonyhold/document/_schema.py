"""Generates the JSON Schema of the document from the classes that the check uses."""

from __future__ import annotations

from datetime import datetime
from enum import Enum
from typing import Any, get_args, get_origin

import attrs

from ebonyhold.document._fields import DURATION_PATTERN, RULE_KEY, FieldRule, Notation
from ebonyhold.document._model import Document
from ebonyhold.document._read import NO_RULE, fields_of
from ebonyhold.types import Json

DIALECT = "https://json-schema.org/draft/2020-12/schema"

SCALAR_TYPES = {str: "string", int: "integer", float: "number", bool: "boolean"}


def schema() -> dict[str, Json]:
    """Return the JSON Schema; it does not contain the rules of `apply_rules`."""
    definitions: dict[str, Json] = {}
    root = describe_class(Document, definitions)
    return {
        "$schema": DIALECT,
        "title": "ebonyhold fleet document",
        **root,
        "$defs": definitions,
    }


def describe_class(kind: Any, definitions: dict[str, Json]) -> dict[str, Json]:
    """Return the schema of an attrs class; add the classes it uses to `definitions`."""
    properties: dict[str, Json] = {}
    required: list[str] = []
    for attribute, wanted in fields_of(kind):
        rule = attribute.metadata.get(RULE_KEY, NO_RULE)
        properties[attribute.name] = describe_type(wanted, rule, definitions)
        if attribute.default is attrs.NOTHING:
            required.append(attribute.name)
    return {
        "type": "object",
        "description": first_line(kind),
        "properties": properties,
        "required": required,
        "additionalProperties": False,
    }


def describe_type(
    wanted: Any, rule: FieldRule, definitions: dict[str, Json]
) -> dict[str, Json]:
    """Return the schema of an attribute; add the classes it uses to `definitions`."""
    if attrs.has(wanted):
        name = wanted.__name__
        if name not in definitions:
            definitions[name] = describe_class(wanted, definitions)
        return {"$ref": f"#/$defs/{name}"}
    if get_origin(wanted) is tuple:
        item = describe_type(get_args(wanted)[0], rule, definitions)
        return {"type": "array", "items": item}
    if issubclass(wanted, Enum):
        return {"enum": [member.value for member in wanted]}
    if wanted is datetime:
        return {"type": "string", "format": "date-time"}
    if rule.notation is Notation.DURATION:
        return {"type": "string", "pattern": DURATION_PATTERN}
    return describe_scalar(wanted, rule)


def describe_scalar(wanted: type, rule: FieldRule) -> dict[str, Json]:
    """Return the schema of a text, number or boolean with its bounds and pattern."""
    described: dict[str, Json] = {"type": SCALAR_TYPES[wanted]}
    if rule.minimum is not None:
        described["minimum"] = rule.minimum
    if rule.maximum is not None:
        described["maximum"] = rule.maximum
    if rule.pattern is not None:
        described["pattern"] = rule.pattern
    return described


def first_line(kind: type) -> str:
    """Return the first line of a class's docstring."""
    return (kind.__doc__ or "").strip().splitlines()[0]
