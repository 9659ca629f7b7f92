"""Tests that one check reports all errors of a document with their places."""

from __future__ import annotations

from datetime import UTC, datetime
from pathlib import Path

import pytest

from ebonyhold.document import (
    Document,
    Severity,
    check_bytes,
    check_text,
    load_document,
    part_converter,
    to_canonical_json,
    to_yaml,
)
from ebonyhold.exceptions import DocumentError

EXAMPLES = Path(__file__).parents[2] / "examples"
HASH = "a" * 64

BASE = f"""\
fleet: f
domains: [a, b]
workspaces:
  - {{name: w, keys: [{{id: k, sha256: {HASH}}}]}}
models: [{{model: m}}]
services: [{{service: s}}]
backends:
  - {{name: e1, kind: engine, address: "127.0.0.1:1", domain: a, models: [m]}}
  - {{name: e2, kind: engine, address: "127.0.0.1:2", domain: b, models: [m]}}
  - {{name: p1, kind: service, address: "127.0.0.1:3", domain: a, service: s}}
  - {{name: p2, kind: service, address: "127.0.0.1:4", domain: b, service: s}}
"""

JANUARY = "2027-01-01T00:00:00Z"
FEBRUARY = "2027-02-01T00:00:00Z"


def stop(name: str, target: str, starts: str = JANUARY, ends: str = FEBRUARY) -> str:
    """Return the YAML of a planned stop as an item of the list ``stops``."""
    return f"  - {{name: {name}, starts: {starts}, ends: {ends}, {target}}}\n"


@pytest.mark.parametrize("name", ["lenha-serrana.yaml", "bagmati-dhoka.yaml"])
def test_examples_have_no_findings(name: str) -> None:
    result = check_text((EXAMPLES / name).read_text())
    assert result.findings == ()
    assert result.document is not None
    assert len(result.document.workspaces) == 10


@pytest.mark.parametrize("name", ["lenha-serrana.yaml", "bagmati-dhoka.yaml"])
def test_every_output_format_is_read_as_an_equal_document(name: str) -> None:
    document = load_document(EXAMPLES / name)
    assert check_text(to_yaml(document)).document == document
    assert check_bytes(to_canonical_json(document)).document == document
    parts = part_converter.unstructure(document)
    assert part_converter.structure(parts, Document) == document


@pytest.mark.parametrize(
    ("old", "new", "code", "path", "place"),
    [
        ("fleet: f", "fleet: 7", "wrong_type", "fleet", (1, 8)),
        ("fleet: f", 'fleet: "a b"', "bad_value", "fleet", (1, 8)),
        ("fleet: f", "{}", "syntax", "", (2, 1)),
        ("fleet: f\n", "", "missing_key", "fleet", (1, 1)),
        ("[a, b]", "[a, b, a]", "duplicate_name", "domains[2]", (2, 17)),
        ("[a, b]", "a", "wrong_type", "domains", (2, 10)),
        ("fleet: f", "fleet: f\nmore: 1", "unknown_key", "more", (2, 1)),
        ("fleet: f", "fleet: f\nfleet: g", "duplicate_key", "fleet", (2, 1)),
        ("fleet: f", "fleet: f\n[a]: b", "wrong_type", "", (2, 1)),
        ("fleet: f", "fleet: !!python/name:os f", "wrong_type", "fleet", (1, 8)),
        ("name: w", "name: 1.5", "wrong_type", "workspaces[0].name", (4, 12)),
        (
            "keys: [",
            "prepaid: -1, keys: [",
            "out_of_range",
            "workspaces[0].prepaid",
            (4, 24),
        ),
        (
            "keys: [",
            f"prepaid: {'9' * 5000}, keys: [",
            "wrong_type",
            "workspaces[0].prepaid",
            (4, 24),
        ),
        (HASH, "A" * 64, "bad_value", "workspaces[0].keys[0].sha256", (4, 38)),
        ("domain: b, m", "domain: c, m", "bad_reference", "backends[1].domain", None),
        ("models: [m]}\n  - {name: e2", "models: [n]}\n  - {name: e2",
         "bad_reference", "backends[0].models[0]", None),
        ("name: e2", "name: e1", "duplicate_name", "backends[1].name", (9, 12)),
        ("1:2", "1:99999", "bad_value", "backends[1].address", None),
        ("1:2", "1:1", "duplicate_name", "backends[1].address", None),
        ("127.0.0.1:2", "300.0.0.1:2", "bad_value", "backends[1].address", None),
        ("kind: engine", "kind: motor", "bad_value", "backends[0].kind", (8, 22)),
        ("models: [{model: m}]", "models: [{model: m, most_tokens: 1}]",
         "out_of_range", "models[0].default_tokens", None),
        ("a, models: [m]", "a", "missing_key", "backends[0].models", None),
        ("a, models: [m]", "a, models: [m], service: s", "unknown_key",
         "backends[0].service", None),
        ("service: s}]", "service: s, honours_idempotency_key: 1}]", "wrong_type",
         "services[0].honours_idempotency_key", None),
    ],
)  # fmt: skip
def test_error_is_found_at_its_place(
    old: str, new: str, code: str, path: str, place: tuple[int, int] | None
) -> None:
    """An error forbids the document's use and is reported with path and place.

    `place` is None where only code and path are checked.
    """
    assert old in BASE
    result = check_text(BASE.replace(old, new, 1))
    assert result.document is None
    found = {(each.code, each.path): each for each in result.findings}
    assert (code, path) in found
    if place is not None:
        each = found[code, path]
        assert (each.line, each.column) == place


@pytest.mark.parametrize(
    ("policy", "code"),
    [
        ("stale_after: 30", "no_unit"),
        ("stale_after: 1.5", "no_unit"),
        ("stale_after: 30 s", "wrong_type"),
        ("stale_after: -30s", "wrong_type"),
        ("stale_after: 0s", "out_of_range"),
        ("reserve_share: 2", "out_of_range"),
        ("reserve_share: .nan", "wrong_type"),
        ("reserve_share: 1:30", "wrong_type"),
        ("retry_ratio: many", "wrong_type"),
        ("unknown_outcome: guess", "bad_value"),
        ("grants: generous", "bad_reference"),
        ("choice: favourite", "bad_reference"),
    ],
)
def test_error_in_policy_is_the_only_finding(policy: str, code: str) -> None:
    """Each wrong value gives exactly one finding; rules must skip its placeholder."""
    result = check_text(f"{BASE}policy: {{{policy}}}\n")
    key = policy.partition(":")[0]
    assert [(f.code, f.path) for f in result.findings] == [(code, f"policy.{key}")]


@pytest.mark.parametrize(
    ("stops", "code", "severity"),
    [
        (stop("x", "backend: e1"), None, None),
        (stop("x", "domain: a"), None, None),
        (stop("x", "backend: e9"), "bad_reference", "error"),
        (stop("x", "domain: q"), "bad_reference", "error"),
        (stop("x", "backend: e1, domain: a"), "missing_key", "error"),
        (stop("x", "backend: ''"), "missing_key", "error"),
        (stop("x", "backend: e1", FEBRUARY, JANUARY), "stop_reversed", "error"),
        (stop("x", "backend: e1", "2027-01-01"), "no_time_zone", "error"),
        (stop("x", "backend: e1", "soon"), "wrong_type", "error"),
        (stop("x", "backend: e1", "1027-01-01T00:00:00Z"), "out_of_range", "error"),
        (stop("x", "domain: a") + stop("x", "domain: a"), "duplicate_name", "error"),
        (stop("x", "domain: a") + stop("y", "domain: b"), "no_capacity", "error"),
        (
            stop("x", "domain: a", JANUARY, "2027-01-15T00:00:00Z")
            + stop("y", "domain: b", "2027-01-15T00:00:00Z", FEBRUARY),
            None,
            None,
        ),
    ],
)
def test_error_in_stops_gives_one_kind_of_finding(
    stops: str, code: str | None, severity: str | None
) -> None:
    """Stops of both failure domains are an error only if they overlap in time."""
    result = check_text(f"{BASE}stops:\n{stops}")
    found = {(each.code, each.severity.value) for each in result.findings}
    assert found == ({(code, severity)} if code else set())


def test_a_stop_that_leaves_less_than_half_of_the_slots_is_a_warning() -> None:
    """Engine ``e1`` has 40 of 56 slots; its stop leaves 16."""
    larger = BASE.replace("domain: a, models: [m]", "domain: a, models: [m], slots: 40")
    result = check_text(f"{larger}stops:\n{stop('x', 'backend: e1')}")
    assert result.document is not None
    assert [each.severity for each in result.findings] == [Severity.WARNING]


def test_stops_that_have_ended_are_left_out_of_the_capacity_check() -> None:
    """Overlapping stops of both failure domains would otherwise be an error."""
    text = f"{BASE}stops:\n{stop('x', 'domain: a')}{stop('y', 'domain: b')}"
    assert check_text(text, datetime(2027, 3, 1, tzinfo=UTC)).document is not None


def test_all_findings_are_reported_in_the_order_of_their_places() -> None:
    text = BASE.replace("fleet: f", "fleet: 1").replace("[a, b]", "[a, b, b]")
    text += "policy: {stale_after: 3, odd: 1}\nstops: 5\n"
    codes = [each.code for each in check_text(text).findings]
    expected = ["wrong_type", "duplicate_name", "no_unit", "unknown_key", "wrong_type"]
    assert codes == expected


NESTED_ALIASES = "\n".join(
    f"a{n}: &a{n} [{', '.join([f'*a{n - 1}'] * 10) if n else 'x'}]" for n in range(12)
)
"""Each list has ten aliases of the list before; the last expands to 10**11 values."""


@pytest.mark.parametrize(
    ("body", "code"),
    [
        (b"", "wrong_type"),
        (b"- a\n- b\n", "wrong_type"),
        (b"a: 1\n---\nb: 2\n", "syntax"),
        (b"a: [1, 2\n", "syntax"),
        (b"a: *nowhere\n", "syntax"),
        (b"a: &x [*x]\n", "alias_cycle"),
        (NESTED_ALIASES.encode(), "alias_explosion"),
        (b"[" * 2_000_000, "too_deep"),
        (b"{a: " * 500_000, "too_deep"),
        (b"- " * 1_000_000, "too_deep"),
        (b"\xff\xfe\x00", "bad_text"),
        (b"fleet: \x00", "bad_text"),
        (b"fleet: \xed\xa0\x80", "bad_text"),
    ],
)
def test_malformed_text_gives_a_finding(body: bytes, code: str) -> None:
    """Nested aliases and deep nesting must not exhaust memory or the call stack."""
    result = check_bytes(body)
    assert result.document is None
    assert code in {each.code for each in result.findings}


def test_error_of_load_document_lists_the_findings(tmp_path: Path) -> None:
    """A file that cannot be read raises an error with the system's reason."""
    file = tmp_path / "bad.yaml"
    file.write_text("fleet: 1\n")
    with pytest.raises(DocumentError, match=r"1:8 fleet: .*\[wrong_type\]"):
        load_document(file)
    with pytest.raises(DocumentError, match="No such file"):
        load_document(tmp_path / "missing.yaml")
