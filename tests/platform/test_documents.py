"""Decoding of the operator's configuration, servers' entries and header fields."""

from __future__ import annotations

import json
from typing import Any

import pytest

from ebonyhold.exceptions import (
    ConfigurationError,
    MalformedEntryError,
    MalformedRequestError,
)
from ebonyhold.forwarding import BackendState, RouteKind
from ebonyhold.platform import (
    PlatformDialect,
    read_backend,
    read_configuration,
    read_evacuation,
    read_report,
    read_start,
)

CONFIGURATION: dict[str, Any] = {
    "version": 7,
    "routes": [
        {
            "name": "r",
            "host": "H.example",
            "prefix": "/a/",
            "kind": "streaming",
            "timeout-ms": 5000,
            "target-latency-ms": 500,
            "priority": 1,
            "traffic-split": [
                {"service": "s", "weight": 90},
                {"service": "t", "weight": 10},
            ],
            "max-attempts": 2,
            "resume-streams": True,
        }
    ],
    "services": [{"name": "s", "connection-limit": 630, "engine": {"stride": 5}}],
    "limits": {"header-bytes": 100, "idle-timeout-ms": 15000},
    "tenants": [{"name": "w", "api-keys": ["k"], "priority": 1, "prepaid": 5}],
}

ENTRY: dict[str, Any] = {
    "service": "s",
    "address": "10.0.0.9:8080",
    "zone": "a",
    "slots": 128,
    "state": "ready",
    "sequence": 4,
    "born": 1700000000000,
}


def encode(value: Any) -> bytes:
    return json.dumps(value).encode()


def test_configuration() -> None:
    rules = read_configuration(encode(CONFIGURATION))
    route = rules.routes["h.example"]["/a/"]
    assert route.kind is RouteKind.STREAM and route.idempotent
    assert (route.timeout, route.target, route.max_attempts) == (5.0, 0.5, 2)
    assert [share.weight for share in route.shares] == [90, 10]
    assert rules.owners["k"].prepaid == 5
    assert rules.services["s"].event_tokens == 5
    assert rules.services["s"].cold_rate == 0
    assert (rules.limits.head_bytes, rules.limits.idle_timeout) == (100, 15.0)


DEEPLY_NESTED = b"[" * 200_000
"""A value that is nested too deeply for the JSON decoder."""

MALFORMED_CONFIGURATIONS = [
    b"{",
    b"[]",
    encode({**CONFIGURATION, "version": None}),
    encode({**CONFIGURATION, "routes": [{"name": "r"}]}),
    encode({**CONFIGURATION, "services": ["s"]}),
    encode({**CONFIGURATION, "version": 1e999}),
    encode({**CONFIGURATION, "tenants": [{"name": "w", "prepaid": 1e999}]}),
    DEEPLY_NESTED,
]


@pytest.mark.parametrize("value", MALFORMED_CONFIGURATIONS)
def test_malformed_configuration(value: bytes) -> None:
    with pytest.raises(ConfigurationError):
        read_configuration(value)


def test_entry() -> None:
    backend = read_backend("i-1", encode(ENTRY))
    assert backend.address == ("10.0.0.9", 8080)
    assert backend.state is BackendState.READY
    assert backend.started_at == 1700000000000


MALFORMED_ENTRIES = [
    b"\xff\xfe",
    b"[]",
    b"null",
    encode({k: v for k, v in ENTRY.items() if k != "service"}),
    encode({**ENTRY, "service": 3}),
    encode({**ENTRY, "slots": "many"}),
    encode({**ENTRY, "slots": True}),
    encode({**ENTRY, "state": "asleep"}),
    encode({**ENTRY, "address": "nowhere"}),
    encode({**ENTRY, "address": None}),
    encode({**ENTRY, "born": "today"}),
    encode({**ENTRY, "sequence": None}),
    encode({**ENTRY, "address": "10.0.0.9:70000"}),
    encode({**ENTRY, "address": "10.0.0.9:0"}),
    encode({**ENTRY, "address": "10.0.0.9:\u00b2"}),
    encode({**ENTRY, "address": "10.0.0.9:" + "9" * 5000}),
    encode({**ENTRY, "address": "a" * 70 + ".example:80"}),
    encode({**ENTRY, "cold-remaining-ms": "soon"}),
    encode({**ENTRY, "cold-remaining-ms": [1]}),
    DEEPLY_NESTED,
]


def test_server_name_invalid_in_a_header() -> None:
    """An entry whose name is not allowed in a header must be refused.

    The gateway sends the name in a header, so each request for such a server would fail
    when its headers are encoded.
    """
    with pytest.raises(MalformedEntryError):
        read_backend("i-\u0142", encode(ENTRY))
    with pytest.raises(MalformedEntryError):
        read_backend("i-1\r\nx: y", encode(ENTRY))


@pytest.mark.parametrize("value", MALFORMED_ENTRIES)
def test_malformed_entry(value: bytes) -> None:
    with pytest.raises(MalformedEntryError):
        read_backend("i-1", value)


MALFORMED_FIELDS = [
    (b"x-ebonyhold-deadline-milliseconds", b"soon"),
    (b"x-ebonyhold-deadline-milliseconds", b"-5"),
    (b"x-ebonyhold-token-counts", b"12"),
    (b"x-ebonyhold-prompt-prefix", b"a:b"),
    (b"last-event-id", b"x"),
    (b"x-ebonyhold-deadline-milliseconds", b"9" * 400),
    (b"x-ebonyhold-token-counts", b"9" * 5000 + b",1"),
    (b"x-ebonyhold-prompt-prefix", b"a:" + b"9" * 5000),
    (b"last-event-id", b"9" * 5000),
]


@pytest.mark.parametrize("field", MALFORMED_FIELDS)
def test_malformed_request_field(field: tuple[bytes, bytes]) -> None:
    with pytest.raises(MalformedRequestError):
        PlatformDialect().read_request([field])


@pytest.mark.parametrize(
    ("fields", "expected"),
    [
        ({}, (0.0, 0.0)),
        ({"cold-start-s": 3.0, "cold-per-s": 19.0}, (3.0, 19.0)),
        ({"cold-start-s": None, "cold-per-s": 0}, (0.0, 0.0)),
    ],
)
def test_what_a_cold_server_tolerates(
    fields: dict[str, Any], expected: tuple[float, float]
) -> None:
    """A service without these fields must have no limit."""
    service = {"name": "s", **fields}
    rules = read_configuration(encode({**CONFIGURATION, "services": [service]}))
    found = rules.services["s"]
    assert (found.cold_time, found.cold_rate) == expected


@pytest.mark.parametrize(
    ("engine", "expected"),
    [
        (None, (0, 0)),
        ({"stride": 3}, (0, 0)),
        ({"slots": 96, "kv-cache-tokens": 258964}, (96, 258964)),
    ],
)
def test_memory_of_servers(
    engine: dict[str, Any] | None, expected: tuple[int, int]
) -> None:
    service = {"name": "s", "engine": engine}
    rules = read_configuration(encode({**CONFIGURATION, "services": [service]}))
    found = rules.services["s"]
    assert (found.slots, found.memory) == expected


@pytest.mark.parametrize(("stated", "gap"), [(None, None), (0, None), (300, 0.3)])
def test_longest_gap_of_a_route(stated: int | None, gap: float | None) -> None:
    route = {**CONFIGURATION["routes"][0], "target-gap-ms": stated}
    rules = read_configuration(encode({**CONFIGURATION, "routes": [route]}))
    assert rules.routes["h.example"]["/a/"].max_gap == gap


@pytest.mark.parametrize(
    ("key", "domain"),
    [
        ("evacuate/serra-a", "serra-a"),
        ("evacuate/a/b", "a/b"),
        ("evacuate/", None),
        ("evacuated", None),
        ("config", None),
        ("", None),
    ],
)
def test_rows_of_evacuations(key: str, domain: str | None) -> None:
    """The operator's other rows must evacuate nothing."""
    assert read_evacuation(key) == domain


@pytest.mark.parametrize(
    ("body", "requests"),
    [
        (b'{"waiting-count":3,"running-count":90,"kv-cache-used":1}', 93),
        (b'{"waiting-count":0,"running-count":0}', 0),
        (b'{"waiting-count":3}', None),
        (b'{"waiting-count":-1,"running-count":3}', None),
        (b'{"waiting-count":1.5,"running-count":3}', None),
        (b"[1]", None),
        (b"\xff", None),
    ],
)
def test_report_states_the_requests_of_a_server(
    body: bytes, requests: int | None
) -> None:
    if requests is None:
        with pytest.raises(MalformedEntryError):
            read_report(body)
    else:
        assert read_report(body).requests == requests


@pytest.mark.parametrize(
    ("body", "started_at"),
    [
        (b'{"born": 1700000000123}', 1700000000123),
        (b"{}", 0),
        (b'{"born": "x"}', 0),
        (b'{"born": true}', 0),
        (b'{"born": -1}', 0),
        (b"[]", None),
        (b"x", None),
    ],
)
def test_report_may_state_the_start(body: bytes, started_at: int | None) -> None:
    """A report that does not state the start tells nothing of the run."""
    if started_at is None:
        with pytest.raises(MalformedEntryError):
            read_start(body)
    else:
        assert read_start(body) == started_at
