"""A document as parts: what is sent when one thing changes.

Each workspace, route, backend server and stop is a part of its own.  A state
is all parts of one version; it has a digest that changes with each of them and
that costs the same to keep up however many there are.
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
    """One of the document's lists.

    Attributes:
        item: The class of its items.
        name: The attribute that names an item.
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
"""The document's lists, by the attribute that holds them."""

SINGLE_PARTS: Mapping[str, type] = {"policy": Policy, "limits": Limits}


@frozen
class FleetPart:
    """What belongs to no list."""

    fleet: str
    domains: tuple[str, ...]


@frozen
class Change:
    """What one version changed.

    Attributes:
        version: The version.
        upserts: New or changed parts, by key.
        deletes: The keys of parts that are gone.
    """

    version: int
    upserts: Mapping[str, Any]
    deletes: tuple[str, ...] = ()


def encode_part(value: Json) -> bytes:
    """Return the one JSON form of a part."""
    return json.dumps(value, sort_keys=True, separators=(",", ":")).encode()


def part_digest(key: str, body: bytes) -> int:
    """Return the number that a part adds to its state's digest."""
    return int.from_bytes(hashlib.sha256(key.encode() + b"\0" + body).digest())


@define
class DocumentState:
    """All parts of one version, as JSON and as model objects.

    The JSON is kept because it may hold what only a newer release knows; it is
    kept encoded, which takes less memory than its values.

    Attributes:
        values: The parts as JSON, by key.
        objects: The parts as model objects, by list and name.
        total: The sum of the parts' digests.
    """

    values: dict[str, bytes] = field(factory=dict)
    objects: dict[str, dict[str, Any]] = field(factory=dict)
    total: int = 0

    @property
    def digest(self) -> str:
        """The digest of the whole state, hexadecimal.

        A sum of hashes guards against lost or doubled parts, not against a
        forger: whoever may write the head row may write the parts as well.
        """
        return f"{self.total:064x}"

    def put(self, key: str, value: Json) -> None:
        """Add or replace a part.

        Raises:
            ConfigurationError: This release cannot read the part.
        """
        section, _, name = key.partition("/")
        structured = structure_part(section, value)
        if key in self.values:
            self.add_digest(-part_digest(key, self.values[key]))
        body = encode_part(value)
        self.values[key] = body
        self.add_digest(part_digest(key, body))
        self.objects.setdefault(section, {})[name] = structured

    def remove(self, key: str) -> None:
        """Remove a part, if it is there."""
        if key not in self.values:
            return
        self.add_digest(-part_digest(key, self.values.pop(key)))
        section, _, name = key.partition("/")
        self.objects.get(section, {}).pop(name, None)

    def find(self, key: str) -> Any:
        """Return a part as a model object, or None."""
        section, _, name = key.partition("/")
        return self.objects.get(section, {}).get(name)

    def add_digest(self, amount: int) -> None:
        """Move the digest."""
        self.total = (self.total + amount) % DIGEST_MODULUS

    def apply(self, change: Change) -> None:
        """Apply what one version changed."""
        for key in change.deletes:
            self.remove(key)
        for key, value in change.upserts.items():
            self.put(key, value)

    def copy(self) -> DocumentState:
        """Return a state that can change by itself."""
        objects = {section: dict(named) for section, named in self.objects.items()}
        return DocumentState(dict(self.values), objects, self.total)

    def document(self) -> Document:
        """Assemble the document.

        Raises:
            ConfigurationError: The part that every document has is missing.
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
    """Turn a part's JSON value into its model object.

    While routers are replaced by a newer release, a document may hold what an
    older one cannot read.  That must end as an error which its keeper survives
    with the version it has, not as the end of the router.

    Raises:
        ConfigurationError: The value does not have the part's form.
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
    """Yield each section of a document with its parts, as model objects, by name."""
    yield FLEET_PART, {"": FleetPart(document.fleet, document.domains)}
    for section in SINGLE_PARTS:
        yield section, {"": getattr(document, section)}
    for section, kind in LIST_PARTS.items():
        name_of = attrgetter(kind.name)
        yield section, {name_of(item): item for item in getattr(document, section)}


def part_key(section: str, name: str) -> str:
    """Return the key of a part."""
    return f"{section}/{name}" if name else section


def find_change(before: DocumentState, document: Document, version: int) -> Change:
    """Return what a document changes of a state.

    Objects are compared, by identity first: turning all of them into JSON, or
    only comparing all of them by value, takes most of the time of a change to
    a large document.
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
    """Name what differs between two states, down to the attribute."""
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
