"""Tests with generated input: the check must never raise an exception."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from ebonyhold.document import check_bytes, check_text, to_plain, to_yaml
from ebonyhold.document import load_document as load

EXAMPLE = Path(__file__).parents[2] / "examples" / "bagmati-dhoka.yaml"
TEXT = EXAMPLE.read_text()
PLAIN: Any = to_plain(load(EXAMPLE), defaults=True)

fuzz_settings = settings(
    max_examples=120,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)

scalars = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from(["1h", "30", "2027-01-01T00:00:00Z", "9999-12-31", "a", "-1s"])
)
values = st.recursive(
    scalars,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=4), inner, max_size=3)
    ),
    max_leaves=6,
)


def paths_of(value: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Return the paths of all values inside a value; each path starts with `path`."""
    found = [path] if path else []
    items: Any = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for key, inner in items:
        found.extend(paths_of(inner, (*path, key)))
    return found


PATHS = paths_of(PLAIN)


def replace(value: Any, path: tuple[Any, ...], new: Any) -> Any:
    """Return a copy of a value in which the value at a path is replaced."""
    copy = json.loads(json.dumps(value))
    parent = copy
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = new
    return copy


@fuzz_settings
@given(st.binary(max_size=200))
def test_bytes_raise_no_exception(body: bytes) -> None:
    check_bytes(body)


@fuzz_settings
@given(st.text(alphabet="[]{}:,-&*!|>'\"#%@` \n\tab0", max_size=60))
def test_yaml_syntax_characters_raise_no_exception(text: str) -> None:
    check_text(text)


@fuzz_settings
@given(
    st.integers(0, len(TEXT)),
    st.integers(0, 40),
    st.text(alphabet="[]{}:,-&*!|>'\"# \n\tab0\x85\ud800", max_size=8),
)
def test_changed_text_raises_no_exception(start: int, length: int, insert: str) -> None:
    """Part of an example document is replaced by other characters."""
    check_text(TEXT[:start] + insert + TEXT[start + length :])


@fuzz_settings
@given(st.lists(st.tuples(st.sampled_from(PATHS), values), min_size=1, max_size=3))
def test_changed_values_raise_no_exception(
    changes: list[tuple[tuple[Any, ...], Any]],
) -> None:
    """Values of an example document are replaced by others of any type.

    If the document passes the check, its YAML must be read as an equal document.
    """
    value = PLAIN
    for path, new in changes:
        try:
            value = replace(value, path, new)
        except (KeyError, IndexError, TypeError):
            continue
    document = check_text(json.dumps(value)).document
    if document is not None:
        assert check_text(to_yaml(document)).document == document
