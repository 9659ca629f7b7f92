"""Tests that the JSON Schema agrees with the check."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import jsonschema
import pytest
import yaml

from ebonyhold.document import check_text, schema

EXAMPLES = sorted((Path(__file__).parents[2] / "examples").glob("*.yaml"))

VALIDATOR = jsonschema.Draft202012Validator(schema())


def test_the_schema_is_valid() -> None:
    jsonschema.Draft202012Validator.check_schema(schema())


@pytest.mark.parametrize("path", EXAMPLES, ids=lambda path: path.stem)
def test_examples_conform(path: Path) -> None:
    VALIDATOR.validate(yaml.safe_load(path.read_text()))


@pytest.mark.parametrize(
    ("part", "value"),
    [
        ("fleet", 7),
        ("fleet", "a b"),
        ("domains", "a"),
        ("odd", 1),
        ("workspaces", [{"name": "w"}]),
        ("workspaces", [{"name": "w", "keys": [], "prepaid": -1}]),
        ("policy", {"stale_after": 30}),
        ("policy", {"stale_after": "30"}),
        ("policy", {"unknown_outcome": "guess"}),
        ("limits", {"table_writes": 0}),
    ],
)
def test_schema_and_check_reject_the_same_documents(part: str, value: Any) -> None:
    document = yaml.safe_load(EXAMPLES[0].read_text()) | {part: value}
    assert not VALIDATOR.is_valid(document)
    assert check_text(yaml.safe_dump(document)).document is None
