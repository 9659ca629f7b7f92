"""The task that keeps a router's configuration up to date."""

from __future__ import annotations

import logging
import math
import time
from collections.abc import Callable
from random import Random
from typing import Protocol

import anyio
import cattrs
from anyio.abc import TaskStatus
from attrs import define, field, frozen

from ebonyhold.configuration._parts import DocumentState
from ebonyhold.configuration._publisher import Publisher
from ebonyhold.configuration._store import VersionStore
from ebonyhold.coordination import (
    CONFIG_HEAD,
    CONFIG_VERSION_PREFIX,
    HeadRow,
    Objects,
    Row,
    Table,
    config_version_key,
    head_of,
    may_adopt,
)
from ebonyhold.document import Document, StaleConfiguration
from ebonyhold.exceptions import ConfigurationError, EbonyholdError
from ebonyhold.types import Seconds

NEVER = -math.inf

DEFAULT_POLL = 4.0
"""Mean seconds between reads of the head: 330 routers read 83 rows a second."""

LONGEST_COPY_DELAY = 5.0
"""Seconds over which routers spread the look whether a head has its copy."""

logger = logging.getLogger(__name__)


@frozen
class Evidence:
    """What another router knows about the configuration.

    Attributes:
        version: Its version.
        digest: That version's digest.
        confirmed_age: Seconds since the table confirmed it; negative for never.
    """

    version: int
    digest: str
    confirmed_age: Seconds


class EvidenceSource(Protocol):
    """Asks the other routers."""

    async def ask(self) -> tuple[Evidence, ...]:
        """Return the answers of a few routers; empty when none answers."""
        ...


@define
class ConfigurationKeeper:
    """Owns the document in force in this router.

    Attributes:
        table: The platform's table.
        store: Where versions are kept.
        random: Spreads what all routers do.
        poll: Mean seconds between two reads of the head.
        clock: The wall clock, in seconds since the epoch.
        evidence: The other routers, or None.
        document: The document in force, or None before the first.
        version: Its version; 0 before the first.
        head: Its head row, or None before the first.
        state: Its parts.
        confirmed_at: When the table last confirmed that this is the newest
            version, on the clock of `anyio.current_time`.
        regressed: Whether the table showed an older head than this one.
    """

    table: Table
    store: VersionStore
    random: Random = field(factory=Random)
    poll: Seconds = DEFAULT_POLL
    clock: Callable[[], float] = time.time
    evidence: EvidenceSource | None = None
    document: Document | None = None
    version: int = 0
    head: HeadRow | None = None
    state: DocumentState = field(factory=DocumentState)
    confirmed_at: Seconds = NEVER
    regressed: bool = False
    lock: anyio.Lock = field(factory=anyio.Lock)
    changed: anyio.Event = field(factory=anyio.Event)
    noticed: anyio.Event = field(factory=anyio.Event)
    noticed_version: int = 0

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Follow the head until cancelled; started after the first attempt."""
        await self.follow()
        task_status.started()
        async with anyio.create_task_group() as group:
            group.start_soon(self.keep_copies)
            while True:
                await self.wait_for_turn()
                await self.follow()

    async def wait_for_turn(self) -> None:
        """Wait for the next poll, or for news of a newer version."""
        with anyio.move_on_after(self.poll * self.random.uniform(0.5, 1.5)):
            await self.noticed.wait()
        self.noticed = anyio.Event()

    async def follow(self) -> None:
        """Catch up with the head as far as the platform allows it now."""
        try:
            await self.refresh()
        except EbonyholdError as error:
            logger.warning("configuration not confirmed", extra={"reason": str(error)})
            await self.follow_without_table()

    async def refresh(self) -> None:
        """Read the head and adopt what is newer.

        Raises:
            UnavailableError: The table or the object store cannot be reached.
            ConfigurationError: What they hold cannot be used.
        """
        async with self.lock:
            await self.refresh_locked()

    async def refresh_locked(self) -> Row | None:
        """Refresh while the lock is held, and return the head row as read."""
        asked_at = anyio.current_time()
        row = (await self.table.read((CONFIG_HEAD,)))[0]
        head = read_head(row)
        if head is not None and may_adopt(self.version, head.version):
            self.install(
                head,
                await self.store.read_state(
                    head, self.state if self.version else None, self.version
                ),
            )
        # A table that was restored from an old copy shows an older head.  The
        # version here was accepted, so it stays; operators see `regressed`.
        self.regressed = (head.version if head else 0) < self.version
        if self.regressed:
            raise ConfigurationError("the table's head is older than the one in force")
        self.confirmed_at = max(self.confirmed_at, asked_at)
        return row

    def install(self, head: HeadRow, state: DocumentState) -> None:
        """Put a version into force."""
        if not may_adopt(self.version, head.version):
            return
        self.document = state.document()
        self.state = state
        self.head = head
        self.version = head.version
        logger.info("configuration adopted", extra={"version": head.version})
        self.changed.set()
        self.changed = anyio.Event()

    async def wait_changed(self, after: int) -> int:
        """Return the version in force once it is larger than `after`."""
        while self.version <= after:
            await self.changed.wait()
        return self.version

    def notice(self, version: int) -> None:
        """Take a peer's word that there is a newer version; it only wakes a read."""
        if may_adopt(self.version, version):
            self.noticed_version = max(self.noticed_version, version)
            self.noticed.set()

    async def follow_without_table(self) -> None:
        """Learn what can be learnt from the object store and the other routers."""
        try:
            async with self.lock:
                await self.adopt_copy()
        except EbonyholdError as error:
            logger.warning("no configuration copy", extra={"reason": str(error)})
        await self.ask_others()

    async def adopt_copy(self) -> None:
        """Adopt an accepted head from its copy in the object store.

        A copy is written only after its version was accepted, so that a newer
        one may be adopted at any time.  It does not confirm anything: the
        newest copy need not be the newest version.
        """
        if self.document is not None and self.noticed_version <= self.version:
            return
        wanted = self.noticed_version if self.document is not None else 0
        head = await self.store.read_head_copy(wanted)
        if head is None or not may_adopt(self.version, head.version):
            return
        own = self.state if self.version else None
        state = await self.store.read_state(head, own, self.version)
        policy = state.document().policy.stale_configuration
        if self.document is None and policy is StaleConfiguration.REFUSE:
            return
        self.install(head, state)

    async def ask_others(self) -> None:
        """Let other routers confirm the version, or tell of a newer one.

        A router that is cut off from the table alone stays fresh in this way.
        The time counts from before the question, so that an answer that was
        long under way cannot make a version look fresher than it is.
        """
        if self.evidence is None:
            return
        asked_at = anyio.current_time()
        for found in await self.evidence.ask():
            self.notice(found.version)
            if found.confirmed_age >= 0 and self.is_own(found):
                fresh_at = asked_at - found.confirmed_age
                self.confirmed_at = max(self.confirmed_at, fresh_at)

    def is_own(self, found: Evidence) -> bool:
        """Tell whether evidence is about the version in force here."""
        return (
            self.head is not None
            and found.version == self.version
            and found.digest == self.head.digest
        )

    def own_evidence(self) -> Evidence:
        """Return what this router can tell another."""
        digest = self.head.digest if self.head else ""
        age = anyio.current_time() - self.confirmed_at
        return Evidence(self.version, digest, age if math.isfinite(age) else -1.0)

    @property
    def stale(self) -> bool:
        """Whether the version was not confirmed for longer than the policy says."""
        if self.document is None:
            return True
        age = anyio.current_time() - self.confirmed_at
        return age > self.document.policy.stale_after

    def may_serve(self) -> bool:
        """Tell whether the policy lets this router take requests now."""
        if self.document is None:
            return False
        policy = self.document.policy.stale_configuration
        return policy is StaleConfiguration.SERVE or not self.stale

    async def keep_copies(self) -> None:
        """Write copies of heads whose operator did not get to write them.

        The publisher writes the copy after its version was accepted.  If it
        dies in between, routers that start while the table is down would miss
        that version; so each router looks after it, at a time of its own.
        """
        copied = 0
        while True:
            await self.wait_changed(copied)
            await anyio.sleep(self.random.uniform(0, LONGEST_COPY_DELAY))
            head = self.head
            try:
                if head and await self.store.newest_head_copy() < head.version:
                    await self.store.write_head_copy(head)
                copied = head.version if head else copied
            except EbonyholdError as error:
                logger.warning("no copy of the head", extra={"reason": str(error)})
                await anyio.sleep(self.poll)

    async def read_version(self, version: int) -> DocumentState:
        """Read the parts of any version that is kept.

        Raises:
            ConfigurationError: That version is not kept.
            UnavailableError: The platform cannot be reached.
        """
        if version == self.version:
            return self.state
        row = (await self.table.read((config_version_key(version),)))[0]
        head = read_head(row)
        if head is None:
            raise ConfigurationError(f"version {version} is not kept")
        return await self.store.read_state(head)

    async def history(self, limit: int) -> tuple[HeadRow, ...]:
        """Return the newest versions, the newest first.

        Raises:
            UnavailableError: The table cannot be reached.
        """
        async with self.lock:
            await self.refresh_locked()
            first = config_version_key(max(0, self.version - limit))
        rows = await self.table.scan(CONFIG_VERSION_PREFIX, after=first, limit=limit)
        heads = [head for row in rows if (head := read_head(row)) is not None]
        return tuple(reversed(heads))

    async def publish(self, document: Document, based_on: int, author: str) -> int:
        """Publish a checked document and put it into force here.

        Returns:
            The version in force; that of `based_on` if nothing differs.

        Raises:
            LostRaceError: Another version was accepted since `based_on`.
            UnavailableError: It was not accepted.
            UnknownOutcomeError: It may have been accepted, or some first top-ups
                are not made; publish it again.
        """
        publisher = Publisher(self, document, based_on, author)
        async with self.lock:
            version = await publisher.publish()
        await publisher.fill_budgets()
        return version


def read_head(row: Row | None) -> HeadRow | None:
    """Decode a head row or a history row.

    Raises:
        ConfigurationError: This release cannot read it.
    """
    try:
        return head_of(row)
    except (cattrs.BaseValidationError, TypeError) as error:
        raise ConfigurationError("the head cannot be read by this release") from error


def make_keeper(table: Table, objects: Objects) -> ConfigurationKeeper:
    """Return a keeper on the platform's table and object store."""
    return ConfigurationKeeper(table, VersionStore(objects))
