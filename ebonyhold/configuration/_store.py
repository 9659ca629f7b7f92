"""Where versions are kept: manifests and packs, content-addressed.

A manifest carries the latest changes itself and refers to a base for all that
is older.  A router that is a few versions behind reads one small object; only
a router that starts reads the base, whose packs are few and large.  A new base
rewrites only the packs that its changes touch, since a part stays in the pack
that its key's hash chooses.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Mapping
from typing import Any, TypeVar

import anyio
import cattrs
from attrs import field, frozen

from ebonyhold.configuration._parts import Change, DocumentState
from ebonyhold.coordination import HeadRow, Objects, from_bytes, to_bytes
from ebonyhold.exceptions import ConfigurationError, ConflictError, EbonyholdError

OBJECT_PREFIX = "config/object/"
HEAD_PREFIX = "config/heads/"
HEAD_NUMBERS = 10**10
"""Copies of heads are numbered down from this, so that the newest lists first."""

MOST_INLINE = 16_384
"""Bytes of a manifest, beyond which a new base is written."""

KEPT_INLINE = MOST_INLINE // 2
"""Bytes of changes that stay in a manifest beside a new base, so that a router
that is some versions behind need not read the base."""

PACK_BYTES = 131_072
"""The size that packs of a base aim at."""

Form = TypeVar("Form")

MOST_FETCHES = 8
"""Objects that one router fetches at once."""


@frozen
class Manifest:
    """How to get one version.

    Attributes:
        version: The version.
        base: SHA-256 of the index of the base.
        base_version: The version that the base holds.
        changes: The latest changes, the oldest first, without a gap up to
            `version`; they reach back to the base, and mostly further.
    """

    version: int
    base: str
    base_version: int
    changes: tuple[Change, ...] = ()

    @property
    def reaches_back_to(self) -> int:
        """The oldest version from which the changes alone lead here."""
        return self.changes[0].version - 1 if self.changes else self.version


@frozen
class PackEntry:
    """One pack in an index.

    Attributes:
        digest: SHA-256 of the pack's object.
        content: SHA-256 of its parts alone.
    """

    digest: str
    content: str


@frozen
class BaseIndex:
    """The packs that together hold one version; a pack may be empty."""

    version: int
    packs: tuple[PackEntry, ...]


@frozen
class Pack:
    """Parts whose keys have the same hash, modulo the number of packs.

    Attributes:
        since: The base that it was written for.  It makes the object unique, so
            that a pack which one base leaves out is never used again and can
            be deleted with that base's predecessor.
        parts: The parts by key.
    """

    since: int
    parts: Mapping[str, Any] = field(factory=dict)


@frozen
class VersionStore:
    """Reads and writes versions in an object store.

    Attributes:
        objects: The object store.
    """

    objects: Objects

    async def put(self, body: bytes) -> str:
        """Write an object under its own hash; writing it again changes nothing."""
        digest = hashlib.sha256(body).hexdigest()
        try:
            await self.objects.put(OBJECT_PREFIX + digest, body, if_absent=True)
        except ConflictError:
            return digest
        return digest

    async def get(self, digest: str) -> bytes:
        """Read an object and check it against its hash.

        Raises:
            UnavailableError: The store cannot be reached.
            ConfigurationError: There is no such object, or it is damaged.
        """
        body = await self.objects.get(OBJECT_PREFIX + digest)
        if body is None:
            raise ConfigurationError(f"configuration object {digest} is missing")
        if hashlib.sha256(body).hexdigest() != digest:
            raise ConfigurationError(f"configuration object {digest} is damaged")
        return body

    async def read_manifest(self, head: HeadRow) -> Manifest:
        """Read the manifest of a version."""
        return _decode(await self.get(head.manifest), Manifest)

    async def read_state(
        self, head: HeadRow, own: DocumentState | None = None, own_version: int = 0
    ) -> DocumentState:
        """Read a version, from the changes alone where that is enough.

        Args:
            head: The version to read.
            own: The state that is here already; it stays as it is.
            own_version: That state's version.

        Raises:
            UnavailableError: The store cannot be reached.
            ConfigurationError: What the store holds does not fit the head.
        """
        manifest = await self.read_manifest(head)
        if own is not None and own_version >= manifest.reaches_back_to:
            state = own.copy()
            apply_changes(state, manifest, own_version)
            if state.digest == head.digest:
                return state
        state = await self.read_base(manifest)
        apply_changes(state, manifest, manifest.base_version)
        if state.digest != head.digest:
            raise ConfigurationError(f"version {head.version} has another digest")
        return state

    async def read_index(self, manifest: Manifest) -> BaseIndex:
        """Read the index of a version's base."""
        return _decode(await self.get(manifest.base), BaseIndex)

    async def read_base(self, manifest: Manifest) -> DocumentState:
        """Read a whole base."""
        index = await self.read_index(manifest)
        packs = await self.read_packs(tuple(each.digest for each in index.packs))
        state = DocumentState()
        for entry in index.packs:
            for key, value in packs[entry.digest].parts.items():
                state.put(key, value)
        return state

    async def read_packs(self, digests: tuple[str, ...]) -> dict[str, Pack]:
        """Read packs, a few at a time; the first failure ends it."""
        packs: dict[str, Pack] = {}
        failures: list[EbonyholdError] = []
        limiter = anyio.CapacityLimiter(MOST_FETCHES)

        async def fetch(digest: str) -> None:
            try:
                async with limiter:
                    packs[digest] = _decode(await self.get(digest), Pack)
            except EbonyholdError as error:
                failures.append(error)
                group.cancel_scope.cancel()

        async with anyio.create_task_group() as group:
            for digest in digests:
                group.start_soon(fetch, digest)
        if failures:
            raise failures[0]
        return packs

    async def write_version(
        self, state: DocumentState, change: Change, previous: Manifest | None
    ) -> str:
        """Write a version's objects.

        Args:
            state: All parts, with the change applied.
            change: What the version changes.
            previous: The manifest of the version before it.

        Returns:
            The manifest's SHA-256, for the head row.
        """
        changes = (*(previous.changes if previous else ()), change)
        if previous is not None:
            manifest = Manifest(
                change.version, previous.base, previous.base_version, changes
            )
            body = to_bytes(manifest)
            if len(body) <= MOST_INLINE:
                return await self.put(body)
        base = await self.write_base(state, change.version, previous)
        kept = newest_changes(changes, KEPT_INLINE)
        manifest = Manifest(change.version, base, change.version, kept)
        return await self.put(to_bytes(manifest))

    async def write_base(
        self, state: DocumentState, version: int, previous: Manifest | None
    ) -> str:
        """Write a base, leaving out the packs that the last one has already."""
        present: dict[str, PackEntry] = {}
        if previous is not None:
            last = await self.read_index(previous)
            present = {entry.content: entry for entry in last.packs}
        packs: list[PackEntry] = []
        for parts in pack_parts(state.values):
            content = content_digest(parts)
            entry = present.get(content)
            if entry is None:
                values = {key: json.loads(body) for key, body in parts.items()}
                digest = await self.put(to_bytes(Pack(version, values)))
                entry = PackEntry(digest, content)
            packs.append(entry)
        return await self.put(to_bytes(BaseIndex(version, tuple(packs))))

    async def delete_version(self, old: HeadRow, following: HeadRow) -> None:
        """Delete the objects of the oldest version that the next one can miss.

        Versions refer to bases in order, so that a base which the next version
        leaves is used by no later one.  The manifest goes last: if this ends
        half-way, doing it again finds what is left; doing it twice is harmless.
        """
        try:
            manifest = await self.read_manifest(old)
        except ConfigurationError:
            return
        next_manifest = await self.read_manifest(following)
        if manifest.base != next_manifest.base:
            for digest in await self.packs_left_out(manifest, next_manifest):
                await self.objects.delete(OBJECT_PREFIX + digest)
            await self.objects.delete(OBJECT_PREFIX + manifest.base)
        await self.objects.delete(head_copy_key(old.version))
        await self.objects.delete(OBJECT_PREFIX + old.manifest)

    async def packs_left_out(
        self, manifest: Manifest, following: Manifest
    ) -> tuple[str, ...]:
        """Name the packs of a base that the next base left out."""
        if await self.objects.get(OBJECT_PREFIX + manifest.base) is None:
            return ()
        kept = {entry.digest for entry in (await self.read_index(following)).packs}
        packs = (await self.read_index(manifest)).packs
        return tuple(each.digest for each in packs if each.digest not in kept)

    async def write_head_copy(self, head: HeadRow) -> None:
        """Keep a copy of an accepted head, for routers that miss the table."""
        try:
            await self.objects.put(
                head_copy_key(head.version), to_bytes(head), if_absent=True
            )
        except ConflictError:
            return

    async def read_head_copy(self, version: int = 0) -> HeadRow | None:
        """Read the copy of one accepted head, or else of the newest.

        It is advisory: a newer head may have been accepted without a copy.
        """
        key = head_copy_key(version)
        if not version:
            keys = await self.objects.keys(HEAD_PREFIX, limit=1)
            if not keys:
                return None
            key = keys[0]
        body = await self.objects.get(key)
        return None if body is None else _decode(body, HeadRow)

    async def newest_head_copy(self) -> int:
        """Return the version of the newest copied head, or 0."""
        keys = await self.objects.keys(HEAD_PREFIX, limit=1)
        if not keys:
            return 0
        return HEAD_NUMBERS - int(keys[0].removeprefix(HEAD_PREFIX))


def head_copy_key(version: int) -> str:
    """Return the key of the copy of an accepted head."""
    return f"{HEAD_PREFIX}{HEAD_NUMBERS - version:011d}"


def newest_changes(changes: tuple[Change, ...], most: int) -> tuple[Change, ...]:
    """Return the newest changes that fit into a number of bytes."""
    size = 0
    for index in range(len(changes) - 1, -1, -1):
        size += len(to_bytes(changes[index]))
        if size > most:
            return changes[index + 1 :]
    return changes


def apply_changes(state: DocumentState, manifest: Manifest, version: int) -> None:
    """Apply the manifest's changes that are newer than a version."""
    for change in manifest.changes:
        if change.version > version:
            state.apply(change)


def pack_parts(values: Mapping[str, bytes]) -> list[dict[str, bytes]]:
    """Distribute parts over packs by the hash of their key."""
    size = sum(map(len, values.values()))
    count = 1
    while count * PACK_BYTES < size:
        count *= 2
    packs: list[dict[str, bytes]] = [{} for _ in range(count)]
    for key, body in values.items():
        packs[pack_number(key, count)][key] = body
    return packs


def content_digest(parts: Mapping[str, bytes]) -> str:
    """Return the digest of a pack's parts, whatever their order."""
    hasher = hashlib.sha256()
    for key, body in sorted(parts.items()):
        hasher.update(key.encode() + b"\0" + body + b"\0")
    return hasher.hexdigest()


def pack_number(key: str, count: int) -> int:
    """Return the pack that a part belongs to."""
    digest = hashlib.sha256(key.encode()).digest()
    return int.from_bytes(digest[:8]) % count


def _decode(body: bytes, kind: type[Form]) -> Form:
    try:
        return from_bytes(body, kind)
    except (ValueError, cattrs.BaseValidationError) as error:
        raise ConfigurationError(f"a configuration object is no {kind}") from error
