"""Stored and sent names are those of the build that wrote the files under ``data``.

A file is never written again.  A test that fails here says that routers of this build
cannot read what an earlier one left, or write what it cannot read.
"""

from __future__ import annotations

import ast
import importlib
import json
from collections.abc import Iterator, Mapping
from datetime import UTC, datetime
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast, get_args

import attrs
import cattrs
import msgpack
import pytest
import yaml
from prometheus_client import CollectorRegistry, generate_latest

import ebonyhold
import ebonyhold.daemon
import ebonyhold.standins._main
from ebonyhold.callers._codes import codes
from ebonyhold.configuration._parts import (
    DocumentState,
    encode_part,
    find_change,
    named_parts,
    part_key,
    structure_part,
)
from ebonyhold.coordination import CrashReport, RequestLoss
from ebonyhold.coordination._codec import (
    from_bytes,
    from_json,
    read_row,
    to_bytes,
    to_json,
)
from ebonyhold.coordination._observed import observe_row
from ebonyhold.coordination._rows import JournalEntry, JournalSegment
from ebonyhold.daemon._daemon import INITIAL_GUARD_POLICY, Daemon
from ebonyhold.document import (
    Backend,
    Stop,
    check_text,
    load_document,
    part_converter,
    schema,
    to_canonical_json,
    to_yaml,
)
from ebonyhold.gateway._memory_parts import MemoryMetrics
from ebonyhold.gateway._messages import read_message
from ebonyhold.gateway._metrics import GatewayMetrics
from ebonyhold.gateway._observations import ObservationsRow
from ebonyhold.gateway._presence import PresenceRow
from ebonyhold.gateway._relays import ReachAnswer
from ebonyhold.gateway._streams import StreamAnswer
from ebonyhold.gateway._transfers import TransferAnswer
from ebonyhold.metrics import Metrics
from ebonyhold.operators._errors import finding_to_json
from ebonyhold.prepaid import SpendingLimit
from ebonyhold.routers import Envelopes, KeyRing, PeerKey
from ebonyhold.routers._envelope import converter as header_converter
from ebonyhold.routers._envelope import parse_header
from ebonyhold.routers._registry import KINDS
from ebonyhold.routers._wire import decode, encode
from ebonyhold.settings import load_settings
from ebonyhold.standins._kinds import KINDS as STANDINS
from ebonyhold.stores import Guard
from tests.golden import corpus

DATA = Path(__file__).parent / "data"

BEFORE_STOPS = datetime(2031, 1, 1, tzinfo=UTC)

KEYS = (PeerKey("k2", b"\2" * 32), PeerKey("k1", b"\1" * 32))

DECODERS = (from_json, from_bytes, read_row, observe_row, read_message)
"""The functions that are given the class of what they read."""

OUTSIDE = ("experiments", "models", "standins")
"""Packages that keep nothing for a deployment."""

ABSENT = {
    (Backend, attrs.fields(Backend).models.name),
    (Backend, attrs.fields(Backend).service.name),
    (Backend, attrs.fields(Backend).checks_fencing.name),
    (Backend, attrs.fields(Backend).tls.name),
    (Stop, attrs.fields(Stop).backend.name),
    (Stop, attrs.fields(Stop).domain.name),
}
"""Attributes of a document that one item may leave out if another has them."""


ADDED_LATER = {
    (CrashReport, attrs.fields(CrashReport).shared.name),
    (RequestLoss, attrs.fields(RequestLoss).alone.name),
    (RequestLoss, attrs.fields(RequestLoss).holder.name),
    (ObservationsRow, attrs.fields(ObservationsRow).parts.name),
    (PresenceRow, attrs.fields(PresenceRow).relay_key.name),
    (PresenceRow, attrs.fields(PresenceRow).keeps_streams.name),
    (PresenceRow, attrs.fields(PresenceRow).shares_load.name),
    (PresenceRow, attrs.fields(PresenceRow).link_rate.name),
    (PresenceRow, attrs.fields(PresenceRow).lends_memory.name),
    (PresenceRow, attrs.fields(PresenceRow).has_leases.name),
    (ReachAnswer, attrs.fields(ReachAnswer).stopping.name),
    (TransferAnswer, attrs.fields(TransferAnswer).own.name),
    (StreamAnswer, attrs.fields(StreamAnswer).possible.name),
    (SpendingLimit, attrs.fields(SpendingLimit).used.name),
    (SpendingLimit, attrs.fields(SpendingLimit).held.name),
}
"""Attributes that the first file of their class does not have; a later file does."""


def read(name: str) -> bytes:
    return (DATA / name).read_bytes()


def objects_in(value: Any) -> Iterator[Any]:
    """Yield the attrs objects in a value, itself included."""
    if attrs.has(type(value)):
        yield value
        for attribute in attrs.fields(type(value)):
            yield from objects_in(getattr(value, attribute.name))
    elif isinstance(value, Mapping):
        for item in value.values():
            yield from objects_in(item)
    elif isinstance(value, tuple):
        for item in value:
            yield from objects_in(item)


def defaulted(value: Any) -> set[tuple[type, str]]:
    """Return the attributes in a value that have their default."""
    found: set[tuple[type, str]] = set()
    for each in objects_in(value):
        for attribute in attrs.fields(type(each)):
            default: Any = attribute.default
            if isinstance(default, attrs.Factory):  # type: ignore[arg-type]
                default = default.factory()
            if getattr(each, attribute.name) == default:
                found.add((type(each), attribute.name))
    return found


def decoded_classes() -> set[type]:
    """Return the classes that the code names where it decodes JSON."""
    names = {decoder.__name__ for decoder in DECODERS}
    root = Path(ebonyhold.__file__).parent
    found: set[type] = set()
    for path in root.rglob("*.py"):
        place = path.relative_to(root.parent).with_suffix("").parts
        if place[1] in OUTSIDE or path.stem.startswith("__"):
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Name):
                continue
            # Helpers with a name of their own pass the class on.
            helper = node.func.id.startswith("_")
            if node.func.id not in names and not helper:
                continue
            module = importlib.import_module(".".join(place))
            for argument in node.args:
                if isinstance(argument, ast.Name):
                    kind = getattr(module, argument.id, None)
                    if isinstance(kind, type) and attrs.has(kind):
                        found.add(kind)
    return found


@pytest.mark.parametrize("label", corpus.COMPACT)
def test_stored_json_is_read_and_written(label: str) -> None:
    sample = corpus.COMPACT[label]
    body = read(f"compact/{label}.json")
    assert from_bytes(body, type(sample)) == sample
    assert to_bytes(sample) == body


@pytest.mark.parametrize("label", corpus.GATEWAYS)
def test_gateway_message_is_read_and_written(label: str) -> None:
    sample = corpus.GATEWAYS[label]
    body = read(f"gateways/{label}.json")
    assert read_message(body, type(sample)) == sample
    assert json.dumps(to_json(sample)).encode() == body


@pytest.mark.parametrize("label", corpus.ENTRIES)
def test_journal_entry_is_read_and_written(label: str) -> None:
    segment = JournalSegment((corpus.ENTRIES[label],))
    body = read(f"entries/{label}.json")
    assert from_bytes(body, JournalSegment) == segment
    assert to_bytes(segment) == body


def test_every_class_of_journal_entry_has_a_file() -> None:
    assert {type(entry) for entry in corpus.ENTRIES.values()} == set(
        get_args(JournalEntry)
    )


def test_every_decoded_class_has_a_file() -> None:
    covered = {type(sample) for sample in corpus.COMPACT.values()}
    covered |= {type(sample) for sample in corpus.GATEWAYS.values()}
    found = decoded_classes()
    assert len(found) > 15
    assert found - covered == set()


@pytest.mark.parametrize(
    "value",
    [
        *corpus.COMPACT.values(),
        *corpus.GATEWAYS.values(),
        *corpus.FRAMES.values(),
        corpus.FINDING,
        *corpus.PLAIN.values(),
        corpus.SETTINGS,
        corpus.HEADER,
        corpus.COUNTERS,
    ],
    ids=lambda value: type(value).__name__,
)
def test_sample_has_no_default(value: object) -> None:
    assert defaulted(value) <= ADDED_LATER


def test_attributes_added_later_are_in_a_later_file() -> None:
    """An attribute must not be left out of all files because it is new."""
    full = {
        (type(each), attribute.name)
        for sample in (*corpus.GATEWAYS.values(), *corpus.COMPACT.values())
        for each in objects_in(sample)
        for attribute in attrs.fields(type(each))
        if getattr(each, attribute.name) != attribute.default
    }
    assert full >= ADDED_LATER


def test_document_sample_has_no_default_without_a_reason() -> None:
    assert defaulted(corpus.DOCUMENT) <= ABSENT
    full = {
        (type(each), attribute.name)
        for each in objects_in(corpus.DOCUMENT)
        for attribute in attrs.fields(type(each))
        if getattr(each, attribute.name) not in ("", (), False)
    }
    assert full >= ABSENT


def test_document_is_read_and_written() -> None:
    body = read("document/document.yaml")
    result = check_text(body.decode(), BEFORE_STOPS)
    assert result.document == corpus.DOCUMENT
    assert load_document(DATA / "document/document.yaml") == corpus.DOCUMENT
    assert to_yaml(corpus.DOCUMENT).encode() == body


def test_canonical_document_is_read_and_written() -> None:
    body = read("document/canonical.json")
    assert check_text(body.decode(), BEFORE_STOPS).document == corpus.DOCUMENT
    assert to_canonical_json(corpus.DOCUMENT) == body


def test_schema_is_written() -> None:
    assert (
        json.dumps(schema(), indent=1) + "\n" == read("document/schema.json").decode()
    )


SECTIONS = sorted(path.stem for path in (DATA / "parts").glob("*.json"))


def test_every_section_has_a_file() -> None:
    assert [name for name, _ in named_parts(corpus.DOCUMENT)] == [
        "fleet",
        "policy",
        "limits",
        "workspaces",
        "models",
        "services",
        "backends",
        "stops",
    ]
    assert sorted(name for name, _ in named_parts(corpus.DOCUMENT)) == SECTIONS


@pytest.mark.parametrize("section", SECTIONS)
def test_parts_are_read_and_written(section: str) -> None:
    items = dict(named_parts(corpus.DOCUMENT))[section]
    lines = read(f"parts/{section}.json").splitlines()
    values = dict(json.loads(line) for line in lines)
    assert {key: structure_part(section, value) for key, value in values.items()} == {
        part_key(section, name): item for name, item in items.items()
    }
    assert lines == [
        encode_part([part_key(section, name), part_converter.unstructure(item)])
        for name, item in items.items()
    ]


def test_state_has_the_same_digest_and_document() -> None:
    state = DocumentState()
    state.apply(find_change(state, corpus.DOCUMENT, 1))
    assert state.digest == read("document/digest.txt").decode().strip()
    assert state.document() == corpus.DOCUMENT


def test_settings_are_read_and_written() -> None:
    assert load_settings(DATA / "settings.yaml") == corpus.SETTINGS
    plain = cattrs.unstructure(corpus.SETTINGS)
    assert yaml.safe_dump(plain, sort_keys=False).encode() == read("settings.yaml")


@pytest.mark.parametrize("name", corpus.FRAMES)
def test_frame_is_read_and_written(name: str) -> None:
    body = bytes.fromhex(read(f"frames/{name}.hex").decode())
    assert decode(body) == corpus.FRAMES[name]
    assert encode(corpus.FRAMES[name]) == body


def test_every_kind_of_message_has_a_file() -> None:
    # Tests of other modules may register kinds of their own.
    kinds = {
        name for name, kind in KINDS.items() if kind.__module__.startswith("ebonyhold.")
    }
    assert kinds == set(corpus.FRAMES)
    assert kinds == {path.stem for path in (DATA / "frames").glob("*.hex")}
    assert {name: KINDS[name] for name in kinds} == {
        name: type(frame.message) for name, frame in corpus.FRAMES.items()
    }


def test_envelope_header_is_read_and_written() -> None:
    body = bytes.fromhex(read("envelope/header.hex").decode())
    assert parse_header(body) == corpus.HEADER
    assert msgpack.packb(header_converter.unstructure(corpus.HEADER)) == body


def test_envelope_is_opened_and_sealed() -> None:
    body = bytes.fromhex(read("envelope/envelope.hex").decode())
    header = corpus.HEADER
    receiver = Envelopes(header.receiver, header.address, KeyRing(KEYS))
    opened = receiver.open(body)
    assert opened.header == header
    assert decode(opened.body) == corpus.FRAMES["gossip"]
    sender = Envelopes(header.sender, "10.0.0.1:7000", KeyRing(KEYS))
    sender.session = header.session
    sender.rings[header.receiver] = header.ring
    assert sender.seal(opened.body, header.receiver, header.address) == body


def test_finding_is_written() -> None:
    assert json.dumps(finding_to_json(corpus.FINDING)).encode() == read("finding.json")


@pytest.mark.parametrize("label", corpus.PLAIN)
def test_plain_json_is_read_and_written(label: str) -> None:
    sample = corpus.PLAIN[label]
    body = read(f"plain/{label}.json")
    assert cattrs.structure(json.loads(body), type(sample)) == sample
    assert json.dumps(cattrs.unstructure(sample)).encode() == body


def list_standin_options() -> str:
    """Return the options of each kind of stand-in's process."""
    return "".join(
        f"{name} {option.name}\n"
        for name, kind in sorted(STANDINS.items())
        for option in attrs.fields(kind.profile)
    )


def test_options_of_standins_are_written() -> None:
    assert list_standin_options().encode() == read("standin-options.txt")


@pytest.mark.parametrize("label", corpus.ENUMS)
def test_values_of_enum_are_those_written(label: str) -> None:
    written = json.loads(read("enums.json"))["values"][label]
    added = json.loads(read("enums-added.json"))["values"].get(label, [])
    values = json.dumps([each.value for each in corpus.ENUMS[label]])
    assert json.loads(values) == written + added


@pytest.mark.parametrize("label", corpus.NAMED_ENUMS)
def test_names_of_enum_are_those_written(label: str) -> None:
    written = json.loads(read("enums.json"))
    assert [each.name for each in corpus.NAMED_ENUMS[label]] == written["names"][label]


def test_every_enum_in_the_file_is_checked() -> None:
    written = json.loads(read("enums.json"))
    assert set(written["values"]) == set(corpus.ENUMS)
    assert set(written["names"]) == set(corpus.NAMED_ENUMS)


def render_metrics() -> bytes:
    """Return the names of all metrics, and the gauges made from counters."""
    daemon = SimpleNamespace(metrics=Metrics())
    guard = Guard(INITIAL_GUARD_POLICY)
    for priority in guard.counters:
        guard.counters[priority] = corpus.COUNTERS
    Daemon.set_platform_gauges(cast(Daemon, daemon), "table", guard)
    lines = daemon.metrics.render().splitlines(keepends=True)
    kept = (b"# TYPE", b"ebonyhold_platform_calls{")
    return b"".join(line for line in lines if line.startswith(kept))


def render_gateway_metrics() -> bytes:
    """Return the names of all metrics of a gateway."""
    lines = generate_latest(GatewayMetrics().registry).splitlines(keepends=True)
    return b"".join(line for line in lines if line.startswith(b"# TYPE"))


def render_memory_metrics() -> bytes:
    """Return the names of the metrics of a gateway that accounts for memory."""
    registry = CollectorRegistry()
    MemoryMetrics(registry)
    lines = generate_latest(registry).splitlines(keepends=True)
    return b"".join(line for line in lines if line.startswith(b"# TYPE"))


def list_caller_codes() -> str:
    """Return the codes of the callers' errors with their status."""
    return "".join(f"{code} {each.status}\n" for code, each in sorted(codes.items()))


def test_metrics_are_written() -> None:
    assert render_metrics() == read("metrics.txt")
    added = (
        "added",
        "reach",
        "answers",
        "silences",
        "strays",
        "versions",
        "runs",
        "load",
        "flow",
        "reading",
    )
    names = ("gateway", *(f"gateway-{name}" for name in added))
    files = b"".join(read(f"metrics-{name}.txt") for name in names)
    assert render_gateway_metrics() == files
    assert render_memory_metrics() == read("metrics-gateway-memory.txt")


def test_codes_of_errors_are_written() -> None:
    assert list_caller_codes().encode() == read("caller-codes.txt")
