"""Writes documents as YAML and JSON, and converts parts to JSON values."""

from __future__ import annotations

import json
from datetime import datetime
from enum import Enum
from typing import Any, cast

import attrs
import cattrs
import yaml

from ebonyhold.document._fields import (
    RULE_KEY,
    FieldRule,
    Notation,
    render_duration,
    render_time,
)
from ebonyhold.document._model import Document
from ebonyhold.types import Json

WIDTH = 88

_DUMPER: Any = getattr(yaml, "CSafeDumper", yaml.SafeDumper)


def to_plain(value: Any, *, defaults: bool = False) -> Json:
    """Return a document, or a part of one, as JSON values in the operators' notation.

    Durations are texts such as ``30s``, and times are ISO 8601 in UTC.

    Args:
        value: The document or the part.
        defaults: Whether to include attributes whose value is the default.
    """
    if attrs.has(type(value)):
        return {
            attribute.name: _plain_field(value, attribute, defaults)
            for attribute in attrs.fields(type(value))
            if defaults or not _is_default(value, attribute)
        }
    if isinstance(value, tuple):
        return [to_plain(each, defaults=defaults) for each in value]
    if isinstance(value, Enum):
        return cast("Json", value.value)
    if isinstance(value, datetime):
        return render_time(value)
    return cast("Json", value)


def to_yaml(document: Document) -> str:
    """Return a document as YAML, which `check_text` reads as an equal document."""
    return plain_to_yaml(to_plain(document))


def plain_to_yaml(plain: Json) -> str:
    """Return the result of `to_plain` as YAML."""
    text: str = yaml.dump(
        plain, Dumper=_DUMPER, sort_keys=False, width=WIDTH, allow_unicode=True
    )
    return text


def to_canonical_json(document: Document) -> bytes:
    """Return a document as JSON, with defaults and sorted keys.

    Equal documents give equal bytes, so that these can be hashed and compared.
    """
    return json.dumps(
        to_plain(document, defaults=True), sort_keys=True, separators=(",", ":")
    ).encode()


def _plain_field(value: Any, attribute: attrs.Attribute[Any], defaults: bool) -> Json:
    content = getattr(value, attribute.name)
    rule: FieldRule | None = attribute.metadata.get(RULE_KEY)
    if rule is not None and rule.notation is Notation.DURATION:
        return render_duration(content)
    return to_plain(content, defaults=defaults)


def _is_default(value: Any, attribute: attrs.Attribute[Any]) -> bool:
    default = attribute.default
    if isinstance(default, attrs.Factory):  # type: ignore[arg-type]
        default = default.factory()  # type: ignore[union-attr]
    return bool(getattr(value, attribute.name) == default)


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(omit_if_default=True)
    converter.register_unstructure_hook(datetime, render_time)
    converter.register_structure_hook(
        datetime, lambda text, _: datetime.fromisoformat(text)
    )
    return converter


part_converter = _make_converter()
"""Converts parts to JSON values, without defaults, and back; durations in seconds."""
