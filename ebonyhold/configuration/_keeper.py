"""The task that adopts new configuration versions in a router."""

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
"""The value of `ConfigurationKeeper.confirmed_at` before the first confirmation."""

DEFAULT_POLL = 4.0
"""Mean seconds between a router's reads of the head row.

330 routers together read 83 rows a second.
"""

MAX_COPY_DELAY = 5.0
"""Maximum delay in seconds before a router checks whether a head copy is missing.

The delay is random, so that routers don't all list the object store at once.
"""

logger = logging.getLogger(__name__)


@frozen
class Evidence:
    """The version in force at a router, and how long ago it was confirmed.

    Attributes:
        version: The version in force at that router.
        digest: The digest of that version.
        confirmed_age: Seconds since that router's `ConfigurationKeeper.confirmed_at`;
            negative if its version was never confirmed.
    """

    version: int
    digest: str
    confirmed_age: Seconds


class EvidenceSource(Protocol):
    """Requests evidence from other routers."""

    async def ask(self) -> tuple[Evidence, ...]:
        """Return the evidence of a few other routers; empty if none answers."""
        ...


@define
class ConfigurationKeeper:
    """Holds the configuration in force in this router and keeps it up to date.

    Attributes:
        table: The platform's table.
        store: Reads and writes versions in the object store.
        random: Draws delays, so that routers don't act at the same time.
        poll: Mean seconds between two reads of the head row.
        clock: The wall clock, in seconds since the epoch.
        evidence: Requests evidence from other routers; None for no requests.
        document: The document in force; None before the first version.
        version: The version in force; 0 before the first.
        head: The head row of the version in force; None before the first.
        state: The parts of the version in force.
        confirmed_at: The time of the last read of the table, by this router or a
            peer, that showed that the version then in force here was the newest;
            on the clock of `anyio.current_time`.
        regressed: Whether the last read of the table showed an older head than
            the version in force.
        lock: Held while a version is read, published or put into force.
        changed: Set, and replaced by a new event, when a version is put into force.
        notice_received: Set by a notice of a newer version; replaced by a new event
            when the wait for the next poll ends.
        noticed_version: The newest version in a notice or in evidence; 0 before the
            first that was newer than the version in force.
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
    notice_received: anyio.Event = field(factory=anyio.Event)
    noticed_version: int = 0

    async def run(
        self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Adopt new versions and write missing head copies, until cancelled.

        Reports its start after the first attempt to adopt a version, whether or not
        that attempt succeeded.
        """
        await self.follow()
        task_status.started()
        async with anyio.create_task_group() as group:
            group.start_soon(self.keep_copies)
            while True:
                await self.wait_for_poll()
                await self.follow()

    async def wait_for_poll(self) -> None:
        """Wait until a notice of a newer version arrives, or the next poll is due.

        The time until the next poll is random: half to one and a half times `poll`.
        """
        with anyio.move_on_after(self.poll * self.random.uniform(0.5, 1.5)):
            await self.notice_received.wait()
        self.notice_received = anyio.Event()

    async def follow(self) -> None:
        """Adopt the newest version that can be reached; failures are logged.

        If the refresh fails, uses head copies and the evidence of other routers.
        """
        try:
            await self.refresh()
        except EbonyholdError as error:
            logger.warning("configuration not confirmed", extra={"reason": str(error)})
            await self.follow_without_table()

    async def refresh(self) -> None:
        """Read the head row and adopt its version if that is newer.

        Raises:
            UnavailableError: The table or the object store cannot be reached.
            ConfigurationError: The head or an object is unusable, or the head is
                older than the version in force.
        """
        async with self.lock:
            await self.refresh_locked()

    async def refresh_locked(self) -> Row | None:
        """Do what `refresh` does and return the head row; the caller holds the lock."""
        requested_at = anyio.current_time()
        row = (await self.table.read((CONFIG_HEAD,)))[0]
        head = read_head(row)
        if head is not None and may_adopt(self.version, head.version):
            self.install(
                head,
                await self.store.read_state(
                    head, self.state if self.version else None, self.version
                ),
            )
        # A table restored from an old backup has an older head.  The version in
        # force was accepted, so it is kept; `regressed` is shown to operators.
        self.regressed = (head.version if head else 0) < self.version
        if self.regressed:
            raise ConfigurationError("the table's head is older than the one in force")
        self.confirmed_at = max(self.confirmed_at, requested_at)
        return row

    def install(self, head: HeadRow, state: DocumentState) -> None:
        """Put a version into force if it is newer than the current one."""
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
        """Wait until the version in force is larger than `after`, and return it."""
        while self.version <= after:
            await self.changed.wait()
        return self.version

    def notice(self, version: int) -> None:
        """Handle a notice from a peer that a version was accepted.

        If that version is newer than the one in force, starts the next poll at
        once.  The notice alone does not make this router adopt the version.
        """
        if may_adopt(self.version, version):
            self.noticed_version = max(self.noticed_version, version)
            self.notice_received.set()

    async def follow_without_table(self) -> None:
        """Adopt a head copy if possible, and request evidence from other routers."""
        try:
            async with self.lock:
                await self.adopt_copy()
        except EbonyholdError as error:
            logger.warning(
                "configuration copy not adopted", extra={"reason": str(error)}
            )
        await self.request_evidence()

    async def adopt_copy(self) -> None:
        """Adopt a version by its head copy in the object store.

        Without a document, adopts the newest copy, unless the policy in that version
        refuses to serve a stale configuration.  With a document, adopts only the
        version of the newest notice, if it is newer and has a copy.

        Copies are written only after a version was accepted, so adopting a newer
        one is always safe.  `confirmed_at` is unchanged, since an even newer
        version may have no copy yet.
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

    async def request_evidence(self) -> None:
        """Request evidence that confirms the version in force, or shows a newer one.

        It keeps the configuration from going stale in a router that cannot reach the
        table while other routers can.  The `confirmed_age` in an answer is subtracted
        from the time just before the request, so that a delayed answer doesn't make
        the confirmation look more recent than it is.
        """
        if self.evidence is None:
            return
        requested_at = anyio.current_time()
        for found in await self.evidence.ask():
            self.notice(found.version)
            if found.confirmed_age >= 0 and self.matches_own(found):
                at = requested_at - found.confirmed_age
                self.confirmed_at = max(self.confirmed_at, at)

    def matches_own(self, found: Evidence) -> bool:
        """Return whether evidence has the version and digest in force here."""
        return (
            self.head is not None
            and found.version == self.version
            and found.digest == self.head.digest
        )

    def own_evidence(self) -> Evidence:
        """Return the evidence that this router sends to others."""
        digest = self.head.digest if self.head else ""
        age = anyio.current_time() - self.confirmed_at
        return Evidence(self.version, digest, age if math.isfinite(age) else -1.0)

    @property
    def stale(self) -> bool:
        """Whether the last confirmation is older than the policy's `stale_after`.

        Also true without a document.
        """
        if self.document is None:
            return True
        age = anyio.current_time() - self.confirmed_at
        return age > self.document.policy.stale_after

    def may_serve(self) -> bool:
        """Return whether this router may serve requests.

        False without a document, or if the configuration is stale and the policy is
        to refuse requests then.
        """
        if self.document is None:
            return False
        policy = self.document.policy.stale_configuration
        return policy is StaleConfiguration.SERVE or not self.stale

    async def keep_copies(self) -> None:
        """Write missing head copies, until cancelled.

        The publisher writes the head copy of a version after the table has accepted
        the version.  If the publisher's process exits in between, routers that start
        while the table is down would miss that version.  So each router waits for a
        random delay after it has adopted a version, and writes the copy if the newest
        copy is older than that version.  A failure is logged, and the check repeated.
        """
        copied = 0
        while True:
            await self.wait_changed(copied)
            await anyio.sleep(self.random.uniform(0, MAX_COPY_DELAY))
            head = self.head
            try:
                if head and await self.store.newest_head_copy() < head.version:
                    await self.store.write_head_copy(head)
                copied = head.version if head else copied
            except EbonyholdError as error:
                logger.warning("head copy not written", extra={"reason": str(error)})
                await anyio.sleep(self.poll)

    async def read_version(self, version: int) -> DocumentState:
        """Read the parts of the version in force or of an older one.

        Raises:
            ConfigurationError: The version was deleted or never accepted, or its
                head or an object is damaged or unreadable by this release.
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
        """Adopt the newest version, and return at most `limit` heads, newest first.

        Raises:
            ConfigurationError: A head or an object cannot be read, or the table's
                head is older than the version in force.
            UnavailableError: The table or the object store cannot be reached.
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
            The new version, or the one in force if the document is equal to it.

        Raises:
            LostRaceError: Another version was accepted since `based_on`.
            UnavailableError: The document was not accepted.
            UnknownOutcomeError: The document may have been accepted, or was
                accepted but some first top-ups are missing; publish it again.
            ConfigurationError: The version in force cannot be read, or the
                table's head is older than the version in force.
        """
        publisher = Publisher(self, document, based_on, author)
        async with self.lock:
            version = await publisher.publish()
        await publisher.make_topups()
        return version


def read_head(row: Row | None) -> HeadRow | None:
    """Decode a head row or a history row; None stays None.

    Raises:
        ConfigurationError: This release cannot read the row.
    """
    try:
        return head_of(row)
    except (cattrs.BaseValidationError, TypeError) as error:
        raise ConfigurationError("the head cannot be read by this release") from error


def make_keeper(table: Table, objects: Objects) -> ConfigurationKeeper:
    """Make a keeper that reads versions from this table and object store."""
    return ConfigurationKeeper(table, VersionStore(objects))
