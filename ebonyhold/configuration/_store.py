"""Stores versions as content-addressed manifests and packs.

A manifest contains the latest changes and refers to a base, which is a complete
older version.  A router that is a few versions behind reads only the manifest.
A router that starts or is far behind also reads the base, which consists of a
few large packs.  The hash of a part's key selects its pack, so a new base
rewrites only the packs with changed parts, unless the number of packs changes.
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
HEAD_NUMBER_BASE = 10**10
"""The key of a head copy contains this number minus the version.

The newest copy is thus listed first.
"""

MAX_INLINE = 16_384
"""Maximum size of a manifest in bytes; if it would be larger, a new base is made."""

KEPT_INLINE = MAX_INLINE // 2
"""Maximum size in bytes of the changes that a manifest keeps when it gets a new base.

A router that is a few versions behind then need not read the base.
"""

PACK_BYTES = 131_072
"""Maximum mean size in bytes of the packs of a base."""

Form = TypeVar("Form")

MAX_FETCHES = 8
"""Maximum number of packs that one read of a base fetches concurrently."""


@frozen
class Manifest:
    """The objects and changes that make up one version.

    Attributes:
        version: The version.
        base: SHA-256 of the index of the base.
        base_version: The version that the base contains.
        changes: The latest changes, oldest first and without a gap up to
            `version`.  They include all changes since the base, and usually
            some older ones.
    """

    version: int
    base: str
    base_version: int
    changes: tuple[Change, ...] = ()

    @property
    def oldest_start(self) -> int:
        """The oldest version that `changes` alone can bring up to this one."""
        return self.changes[0].version - 1 if self.changes else self.version


@frozen
class PackEntry:
    """A reference to one pack.

    Attributes:
        digest: SHA-256 of the stored pack object, which is its key.
        content: SHA-256 of the parts, without `Pack.since`.
    """

    digest: str
    content: str


@frozen
class BaseIndex:
    """The packs that together contain all parts of one version; some may be empty."""

    version: int
    packs: tuple[PackEntry, ...]


@frozen
class Pack:
    """Parts whose key hashes are equal modulo the number of packs.

    Attributes:
        since: The version of the first base that used the pack.  It is part of the
            stored object, so a later pack with equal parts has another SHA-256.  A
            pack that one base no longer uses is therefore never used again, and is
            deleted with the last base that used it.
        parts: JSON values of the parts, by key.
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
        """Write an object under its SHA-256, unless it exists; return the SHA-256."""
        digest = hashlib.sha256(body).hexdigest()
        try:
            await self.objects.put(OBJECT_PREFIX + digest, body, if_absent=True)
        except ConflictError:
            return digest
        return digest

    async def get(self, digest: str) -> bytes:
        """Read an object and verify its SHA-256.

        Raises:
            UnavailableError: The store cannot be reached.
            ConfigurationError: The object is missing or damaged.
        """
        body = await self.objects.get(OBJECT_PREFIX + digest)
        if body is None:
            raise ConfigurationError(f"configuration object {digest} is missing")
        if hashlib.sha256(body).hexdigest() != digest:
            raise ConfigurationError(f"configuration object {digest} is damaged")
        return body

    async def read_manifest(self, head: HeadRow) -> Manifest:
        """Read the manifest that a head refers to."""
        return _decode(await self.get(head.manifest), Manifest)

    async def read_state(
        self, head: HeadRow, own: DocumentState | None = None, own_version: int = 0
    ) -> DocumentState:
        """Read a version, without its base if the manifest's changes suffice.

        Falls back to the base if applying the changes to `own` gives another
        digest than that of the head.

        Args:
            head: The version to read.
            own: A state that the caller has already; it is not modified.
            own_version: The version of `own`.

        Raises:
            UnavailableError: The store cannot be reached.
            ConfigurationError: An object is missing or damaged, cannot be read by
                this release, or does not match the head's digest.
        """
        manifest = await self.read_manifest(head)
        if own is not None and own_version >= manifest.oldest_start:
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
        """Read the index of the manifest's base."""
        return _decode(await self.get(manifest.base), BaseIndex)

    async def read_base(self, manifest: Manifest) -> DocumentState:
        """Read all packs of the manifest's base and return the state they contain."""
        index = await self.read_index(manifest)
        packs = await self.read_packs(tuple(each.digest for each in index.packs))
        state = DocumentState()
        for entry in index.packs:
            for key, value in packs[entry.digest].parts.items():
                state.put(key, value)
        return state

    async def read_packs(self, digests: tuple[str, ...]) -> dict[str, Pack]:
        """Fetch packs concurrently and return them by digest.

        The first failure cancels the other fetches and is raised.
        """
        packs: dict[str, Pack] = {}
        failures: list[EbonyholdError] = []
        limiter = anyio.CapacityLimiter(MAX_FETCHES)

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
        """Write the manifest of a version, and a new base if it needs one.

        A base is written for the first version, and if the manifest would otherwise be
        larger than `MAX_INLINE`.

        Args:
            state: All parts, with the change applied.
            change: The difference from the previous version.
            previous: The manifest of the previous version; None for the first.

        Returns:
            The manifest's SHA-256, for the head row.
        """
        changes = (*(previous.changes if previous else ()), change)
        if previous is not None:
            manifest = Manifest(
                change.version, previous.base, previous.base_version, changes
            )
            body = to_bytes(manifest)
            if len(body) <= MAX_INLINE:
                return await self.put(body)
        base = await self.write_base(state, change.version, previous)
        kept = newest_changes(changes, KEPT_INLINE)
        manifest = Manifest(change.version, base, change.version, kept)
        return await self.put(to_bytes(manifest))

    async def write_base(
        self, state: DocumentState, version: int, previous: Manifest | None
    ) -> str:
        """Write a base and return the SHA-256 of its index.

        Packs of the previous base whose parts are unchanged are reused.
        """
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
        """Delete those objects of the oldest version that the next one doesn't use.

        Versions refer to bases in order: a base that the next version doesn't use
        is not used by any later one.  The manifest is deleted last, so that a call
        that failed part-way can be repeated.  If the manifest of the oldest version is
        missing or unreadable, nothing is deleted.
        """
        try:
            manifest = await self.read_manifest(old)
        except ConfigurationError:
            return
        next_manifest = await self.read_manifest(following)
        if manifest.base != next_manifest.base:
            for digest in await self.unused_packs(manifest, next_manifest):
                await self.objects.delete(OBJECT_PREFIX + digest)
            await self.objects.delete(OBJECT_PREFIX + manifest.base)
        await self.objects.delete(head_copy_key(old.version))
        await self.objects.delete(OBJECT_PREFIX + old.manifest)

    async def unused_packs(
        self, manifest: Manifest, following: Manifest
    ) -> tuple[str, ...]:
        """Return the digests of the base's packs that the following base doesn't use.

        Empty if the index of the base was already deleted.
        """
        if await self.objects.get(OBJECT_PREFIX + manifest.base) is None:
            return ()
        kept = {entry.digest for entry in (await self.read_index(following)).packs}
        packs = (await self.read_index(manifest)).packs
        return tuple(each.digest for each in packs if each.digest not in kept)

    async def write_head_copy(self, head: HeadRow) -> None:
        """Write a copy of an accepted head, unless there is one.

        Routers that cannot reach the table read the copy instead.
        """
        try:
            await self.objects.put(
                head_copy_key(head.version), to_bytes(head), if_absent=True
            )
        except ConflictError:
            return

    async def read_head_copy(self, version: int = 0) -> HeadRow | None:
        """Return the copy of the head of a version, or None if there is none.

        Version 0 stands for the newest copy.  A newer version may have been accepted
        whose copy is not written yet.
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
        """Return the version of the newest head copy, or 0 if there is none."""
        keys = await self.objects.keys(HEAD_PREFIX, limit=1)
        if not keys:
            return 0
        return HEAD_NUMBER_BASE - int(keys[0].removeprefix(HEAD_PREFIX))


def head_copy_key(version: int) -> str:
    """Return the object key of the head copy of a version."""
    return f"{HEAD_PREFIX}{HEAD_NUMBER_BASE - version:011d}"


def newest_changes(changes: tuple[Change, ...], max_bytes: int) -> tuple[Change, ...]:
    """Return as many of the newest changes as take at most `max_bytes` when encoded."""
    size = 0
    for index in range(len(changes) - 1, -1, -1):
        size += len(to_bytes(changes[index]))
        if size > max_bytes:
            return changes[index + 1 :]
    return changes


def apply_changes(state: DocumentState, manifest: Manifest, version: int) -> None:
    """Apply those changes of a manifest to `state` that are newer than `version`."""
    for change in manifest.changes:
        if change.version > version:
            state.apply(change)


def pack_parts(values: Mapping[str, bytes]) -> list[dict[str, bytes]]:
    """Distribute parts over packs by the hashes of their keys.

    The number of packs is the smallest power of two that gives a mean size of at
    most `PACK_BYTES`, so it rarely changes as the document grows.
    """
    size = sum(map(len, values.values()))
    count = 1
    while count * PACK_BYTES < size:
        count *= 2
    packs: list[dict[str, bytes]] = [{} for _ in range(count)]
    for key, body in values.items():
        packs[pack_number(key, count)][key] = body
    return packs


def content_digest(parts: Mapping[str, bytes]) -> str:
    """Return the SHA-256 of a pack's parts, independent of their order."""
    hasher = hashlib.sha256()
    for key, body in sorted(parts.items()):
        hasher.update(key.encode() + b"\0" + body + b"\0")
    return hasher.hexdigest()


def pack_number(key: str, count: int) -> int:
    """Return the index of the pack for a key, among `count` packs."""
    digest = hashlib.sha256(key.encode()).digest()
    return int.from_bytes(digest[:8]) % count


def _decode(body: bytes, kind: type[Form]) -> Form:
    try:
        return from_bytes(body, kind)
    except (ValueError, cattrs.BaseValidationError) as error:
        raise ConfigurationError(f"a configuration object is no {kind}") from error
