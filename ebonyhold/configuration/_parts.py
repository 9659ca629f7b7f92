"""Splits a document into parts, so that a version stores only the changed ones.

Each workspace, route, backend server and stop is a separate part.  A document
state holds all parts of one version.  The digest of a state covers every part; after
a change of one part it is updated without reading the others.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Iterator, Mapping
from operator import attrgetter
from typing import Any

import cattrs
from attrs import define, field, frozen

from ebonyhold.document import (
    Backend,
    Document,
    Limits,
    ModelRoute,
    Policy,
    ServiceRoute,
    Stop,
    Workspace,
    part_converter,
)
from ebonyhold.exceptions import ConfigurationError
from ebonyhold.types import Json

DIGEST_MODULUS = 1 << 256
FLEET_PART = "fleet"


@frozen
class ListPart:
    """The item type of one of the document's lists.

    Attributes:
        item: The class of the items.
        name: The attribute of an item that holds its unique name.
    """

    item: type[Any]
    name: str


LIST_PARTS: Mapping[str, ListPart] = {
    "workspaces": ListPart(Workspace, "name"),
    "models": ListPart(ModelRoute, "model"),
    "services": ListPart(ServiceRoute, "service"),
    "backends": ListPart(Backend, "name"),
    "stops": ListPart(Stop, "name"),
}
"""The item types, by the attribute of `Document` that holds the list."""

SINGLE_PARTS: Mapping[str, type] = {"policy": Policy, "limits": Limits}


@frozen
class FleetPart:
    """The fleet name and the failure domains, which together form one part."""

    fleet: str
    domains: tuple[str, ...]


@frozen
class Change:
    """The difference between a version and the one before it.

    Attributes:
        version: The version that the change leads to.
        upserts: JSON values of added or changed parts, by key.
        deletes: Keys of removed parts.
    """

    version: int
    upserts: Mapping[str, Any]
    deletes: tuple[str, ...] = ()


def encode_part(value: Json) -> bytes:
    """Encode a part as canonical JSON: sorted keys, no white space."""
    return json.dumps(value, sort_keys=True, separators=(",", ":")).encode()


def part_digest(key: str, body: bytes) -> int:
    """Return the SHA-256 of a part as an integer, to be added to a state's digest."""
    return int.from_bytes(hashlib.sha256(key.encode() + b"\0" + body).digest())


@define
class DocumentState:
    """All parts of one version, as JSON and as model objects.

    The JSON is kept because it may contain attributes that only a newer release
    knows.  It stays encoded, since bytes take less memory than parsed values.

    Attributes:
        values: The parts as encoded JSON, by key.
        objects: The parts as model objects, by section and name.
        total: The sum of the digests of all parts, modulo 2**256.
    """

    values: dict[str, bytes] = field(factory=dict)
    objects: dict[str, dict[str, Any]] = field(factory=dict)
    total: int = 0

    @property
    def digest(self) -> str:
        """The digest of all parts, `total`, as 64 hexadecimal digits.

        A sum of hashes detects missing, duplicated and altered parts.  It does
        not resist forgery, which is not needed: a client that can write the head
        row can write the parts as well.
        """
        return f"{self.total:064x}"

    def put(self, key: str, value: Json) -> None:
        """Add or replace a part.

        Raises:
            ConfigurationError: This release cannot read the part; the state is
                unchanged.
        """
        section, _, name = key.partition("/")
        structured = structure_part(section, value)
        if key in self.values:
            self.add_to_digest(-part_digest(key, self.values[key]))
        body = encode_part(value)
        self.values[key] = body
        self.add_to_digest(part_digest(key, body))
        self.objects.setdefault(section, {})[name] = structured

    def remove(self, key: str) -> None:
        """Remove a part; do nothing if there is none with this key."""
        if key not in self.values:
            return
        self.add_to_digest(-part_digest(key, self.values.pop(key)))
        section, _, name = key.partition("/")
        self.objects.get(section, {}).pop(name, None)

    def find(self, key: str) -> Any:
        """Return a part as a model object, or None if there is no such part."""
        section, _, name = key.partition("/")
        return self.objects.get(section, {}).get(name)

    def add_to_digest(self, amount: int) -> None:
        """Add an amount, which may be negative, to `total`."""
        self.total = (self.total + amount) % DIGEST_MODULUS

    def apply(self, change: Change) -> None:
        """Apply the deletes and upserts of one version to this state.

        Raises:
            ConfigurationError: This release cannot read a part; the changes before
                that part stay applied.
        """
        for key in change.deletes:
            self.remove(key)
        for key, value in change.upserts.items():
            self.put(key, value)

    def copy(self) -> DocumentState:
        """Return a copy that can be changed without affecting this state."""
        objects = {section: dict(named) for section, named in self.objects.items()}
        return DocumentState(dict(self.values), objects, self.total)

    def document(self) -> Document:
        """Assemble the document; a missing policy or limits part means defaults.

        Raises:
            ConfigurationError: The state has no fleet part.
        """
        fleet: FleetPart | None = self.find(FLEET_PART)
        if fleet is None:
            raise ConfigurationError("the version has no fleet part")
        rest: dict[str, Any] = {
            section: tuple(self.objects.get(section, {}).values())
            for section in LIST_PARTS
        }
        for section, kind in SINGLE_PARTS.items():
            rest[section] = self.objects.get(section, {}).get("", kind())
        return Document(fleet.fleet, fleet.domains, **rest)


def structure_part(section: str, value: Json) -> Any:
    """Convert a part's JSON value to its model object.

    During a rolling upgrade, a document may contain values that the older release
    cannot read.  All such failures raise ConfigurationError, which the keeper
    handles by keeping its current version; any other error would stop the router.

    Raises:
        ConfigurationError: The value cannot be converted.
    """
    kind: type = SINGLE_PARTS.get(section, FleetPart)
    if section in LIST_PARTS:
        kind = LIST_PARTS[section].item
    try:
        return part_converter.structure(value, kind)
    except (cattrs.BaseValidationError, ValueError, TypeError, KeyError) as error:
        message = f"a part of {section} cannot be read by this release"
        raise ConfigurationError(message) from error


def named_parts(document: Document) -> Iterator[tuple[str, dict[str, Any]]]:
    """Yield each section of a document with its model objects by name."""
    yield FLEET_PART, {"": FleetPart(document.fleet, document.domains)}
    for section in SINGLE_PARTS:
        yield section, {"": getattr(document, section)}
    for section, kind in LIST_PARTS.items():
        name_of = attrgetter(kind.name)
        yield section, {name_of(item): item for item in getattr(document, section)}


def part_key(section: str, name: str) -> str:
    """Return the key of a part: ``section/name``, or ``section`` without a name."""
    return f"{section}/{name}" if name else section


def find_change(before: DocumentState, document: Document, version: int) -> Change:
    """Return the change that leads from a state to a document.

    Compares model objects, by identity before equality: encoding all of them as
    JSON, or comparing all of them by value, would take most of the time of a
    change to a large document.
    """
    upserts: dict[str, Any] = {}
    deletes: list[str] = []
    for section, items in named_parts(document):
        known = before.objects.get(section, {})
        for name, item in items.items():
            old = known.get(name)
            if old is not item and old != item:
                upserts[part_key(section, name)] = part_converter.unstructure(item)
        gone = [name for name in known if name not in items]
        deletes.extend(part_key(section, name) for name in gone)
    return Change(version, upserts, tuple(deletes))


def find_changed_paths(before: DocumentState, after: DocumentState) -> tuple[str, ...]:
    """Return the paths of the parts' attributes that differ between two states.

    A path looks like ``workspaces.w0.concurrency``.  An added or removed part gives
    one path, such as ``workspaces.w0 (added)``.
    """
    paths: list[str] = []
    for key in dict.fromkeys((*before.values, *after.values)):
        old, new = before.values.get(key, b"null"), after.values.get(key, b"null")
        if old != new:
            changed = _changed_attributes(key, json.loads(old), json.loads(new))
            paths.extend(changed)
    return tuple(paths)


def _changed_attributes(key: str, old: Json, new: Json) -> Iterator[str]:
    path = key.replace("/", ".", 1)
    if old is None:
        yield f"{path} (added)"
    elif new is None:
        yield f"{path} (removed)"
    elif isinstance(old, Mapping) and isinstance(new, Mapping):
        for name in dict.fromkeys((*old, *new)):
            if old.get(name) != new.get(name):
                yield f"{path}.{name}"
