"""Whatever the document holds, its check ends with findings, not a traceback."""

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

steady = settings(
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
    copy = json.loads(json.dumps(value))
    around = copy
    for key in path[:-1]:
        around = around[key]
    around[path[-1]] = new
    return copy


@steady
@given(st.binary(max_size=200))
def test_raw_bytes(body: bytes) -> None:
    check_bytes(body)


@steady
@given(st.text(alphabet="[]{}:,-&*!|>'\"#%@` \n\tab0", max_size=60))
def test_yaml_signs(text: str) -> None:
    check_text(text)


@steady
@given(
    st.integers(0, len(TEXT)),
    st.integers(0, 40),
    st.text(alphabet="[]{}:,-&*!|>'\"# \n\tab0\x85\ud800", max_size=8),
)
def test_mutated_text(start: int, length: int, insert: str) -> None:
    check_text(TEXT[:start] + insert + TEXT[start + length :])


@steady
@given(st.lists(st.tuples(st.sampled_from(PATHS), values), min_size=1, max_size=3))
def test_mutated_values(changes: list[tuple[tuple[Any, ...], Any]]) -> None:
    """A document that passes can be written and read again without change."""
    value = PLAIN
    for path, new in changes:
        try:
            value = replace(value, path, new)
        except (KeyError, IndexError, TypeError):
            continue
    document = check_text(json.dumps(value)).document
    if document is not None:
        assert check_text(to_yaml(document)).document == document
