"""Publishes one version exactly once, even if answers of the table are lost."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from functools import partial
from itertools import pairwise
from typing import Protocol, TypeVar
from uuid import uuid4

import anyio
from attrs import define, field

from ebonyhold.configuration._parts import (
    Change,
    DocumentState,
    find_change,
    find_changed_paths,
)
from ebonyhold.configuration._store import VersionStore
from ebonyhold.coordination import (
    CONFIG_HEAD,
    CONFIG_VERSION_PREFIX,
    INITIAL_TOPUP,
    HeadRow,
    PublicationResult,
    Row,
    Table,
    TopUp,
    budget_key,
    config_version_key,
    head_of,
    plan_apply,
    plan_initial_topups,
    resolve_publication,
    topup_key,
)
from ebonyhold.document import Document
from ebonyhold.exceptions import (
    ConfigurationError,
    ConflictError,
    EbonyholdError,
    LostRaceError,
    PlatformError,
    UnavailableError,
    UnknownOutcomeError,
)
from ebonyhold.types import Seconds, Tokens

MAX_ATTEMPTS = 8
"""Maximum number of attempts of a commit or of another step of a publication.

Each attempt at a batch of top-ups commits up to this many times, while other writers
cause conflicts.
"""

KEPT_VERSIONS = 20_000
"""Number of newest versions that are kept, to be read and rolled back to.

They cover 4 days at 4,800 versions a day.
"""

MAX_OLD_VERSIONS = 4
"""Maximum number of the oldest history rows that one publication reads.

It deletes those of them that are no longer kept, but never the last one read.
"""

MAX_TOPUPS = 40
"""Maximum number of first top-ups in one transaction.

The transaction that accepts a version makes the first top-ups of at most this many of
its new workspaces; later transactions make the rest.
"""

WRITE_PAUSE: Seconds = 0.5
"""Pause after a transaction of first top-ups.

It limits them to 160 row writes a second, so that a large import doesn't use up the
table's write rate, which bills need.
"""

READ_PAUSE: Seconds = 0.1
"""Pause after a read that found no first top-up missing.

It limits these reads to 800 rows a second.
"""

RETRY_DELAY = 0.25
"""Delay in seconds before the first retry; it doubles for each further retry."""

MAX_DELAY = 4.0
"""Maximum delay in seconds between two retries."""

Answer = TypeVar("Answer")

logger = logging.getLogger(__name__)


class PublishingKeeper(Protocol):
    """The part of a `ConfigurationKeeper` that a publisher uses.

    Attributes:
        table: Contains the head row and the history rows.
        store: Contains the objects of versions.
        clock: Returns the wall-clock time, in seconds since the epoch.
        version: The version in force in this router; 0 before the first.
        head: The head row of the version in force; None before the first.
        state: The parts of the version in force.
    """

    table: Table
    store: VersionStore
    clock: Callable[[], float]
    version: int
    head: HeadRow | None
    state: DocumentState

    async def refresh_locked(self) -> Row | None:
        """Refresh and return the head row as read; the caller holds the lock."""
        ...

    async def read_version(self, version: int) -> DocumentState:
        """Read the parts of the version in force or of an older one."""
        ...

    def install(self, head: HeadRow, state: DocumentState) -> None:
        """Put a version into force if it is newer than the current one."""
        ...


@define
class Publisher:
    """Publishes one document.

    Attributes:
        keeper: Holds the state that the document is compared with.
        document: The document, already checked.
        based_on: The version from which the operator made the document.
        author: The name of the operator.
        publication: The unique identifier of this publication.
        in_doubt: Whether the outcome of any commit attempt was unknown.
        without_topup: Workspaces whose first top-up may still be missing.
        deleted: Old versions whose objects were deleted; the commit deletes
            their history rows.
        amounts: The first top-up of each workspace, in tokens.
    """

    keeper: PublishingKeeper
    document: Document
    based_on: int
    author: str
    publication: str = field(factory=lambda: uuid4().hex)
    in_doubt: bool = False
    without_topup: tuple[str, ...] = ()
    deleted: tuple[int, ...] = ()
    amounts: dict[str, Tokens] = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Read the first top-up of each workspace from the document."""
        self.amounts = {each.name: each.prepaid for each in self.document.workspaces}

    async def publish(self) -> int:
        """Publish and return the version in force; the caller holds the lock.

        A document that is already in force is not published again, whatever it
        was based on, so that an operator whose command got no answer can repeat
        the command.  `make_topups` then makes the first top-ups that are missing.
        """
        row = await self.keeper.refresh_locked()
        change = find_change(self.keeper.state, self.document, self.based_on + 1)
        if not change.upserts and not change.deletes:
            self.without_topup = tuple(self.amounts)
            return self.keeper.version
        await self.check_base(row)
        state = self.keeper.state.copy()
        state.apply(change)
        head = await self.write_objects(state, change)
        self.deleted = await self.delete_oldest(head.version - KEPT_VERSIONS)
        self.without_topup = await self.commit(head, self.added_workspaces(change))
        self.keeper.install(head, state)
        await self.write_copy(head)
        return head.version

    async def check_base(self, row: Row | None) -> None:
        """Check that the head row has the version that this publication is based on.

        Raises:
            LostRaceError: The head row has another version, because one was accepted
                since, or because `based_on` was never accepted.
        """
        head = head_of(row)
        version = head.version if head else 0
        if version == self.based_on:
            return
        author = head.author if head else ""
        message = f"version {version} by {author} is in force, not {self.based_on}"
        changed = await self.changed_since_base()
        raise LostRaceError(message, version, author, changed)

    async def changed_since_base(self) -> tuple[str, ...]:
        """Return the paths that differ between `based_on` and the version in force.

        If `based_on` is 0, every part counts as added.  If that version cannot be
        read, the result is empty.
        """
        if not self.based_on:
            return find_changed_paths(DocumentState(), self.keeper.state)
        try:
            base = await self.keeper.read_version(self.based_on)
        except EbonyholdError:
            return ()
        return find_changed_paths(base, self.keeper.state)

    async def write_objects(self, state: DocumentState, change: Change) -> HeadRow:
        """Write the objects of the version and return a head that refers to them.

        The objects are content-addressed, so writing them again after a lost
        answer is harmless.  They are unused until the head is committed.
        """
        store = self.keeper.store
        before = self.keeper.head

        async def write() -> str:
            previous = await store.read_manifest(before) if before else None
            return await store.write_version(state, change, previous)

        manifest = await self.retry(write)
        return HeadRow(
            version=change.version,
            digest=state.digest,
            manifest=manifest,
            based_on=self.based_on,
            author=self.author,
            at=self.keeper.clock(),
            publication=self.publication,
        )

    async def delete_oldest(self, newest: int) -> tuple[int, ...]:
        """Delete the objects of the oldest versions, fewer than `MAX_OLD_VERSIONS`.

        The commit deletes their history rows afterwards.  If this process exits
        or the object store fails before that, the next publication finds the rows
        and repeats the deletion.  Errors are logged and end the deletion.

        Args:
            newest: The newest version that may be deleted.

        Returns:
            The versions whose objects were deleted.
        """
        deleted: list[int] = []
        if newest < 1:
            return ()
        try:
            rows = await self.keeper.table.scan(
                CONFIG_VERSION_PREFIX, "", MAX_OLD_VERSIONS
            )
            heads = [head for row in rows if (head := head_of(row)) is not None]
            for old, following in pairwise(heads):
                if old.version > newest:
                    break
                await self.keeper.store.delete_version(old, following)
                deleted.append(old.version)
        except EbonyholdError as error:
            logger.warning("old version not deleted", extra={"reason": str(error)})
        return tuple(deleted)

    async def retry(self, step: Callable[[], Awaitable[Answer]]) -> Answer:
        """Run an idempotent step, and repeat it after a failure or unknown outcome.

        After `MAX_ATTEMPTS` attempts the last error is raised; errors of other classes
        are raised at once.
        """
        for attempt in range(MAX_ATTEMPTS - 1):
            try:
                return await step()
            except (UnavailableError, UnknownOutcomeError) as error:
                logger.warning(
                    "retrying a step of a publication", extra={"reason": str(error)}
                )
                await anyio.sleep(retry_delay(attempt))
        return await step()

    def added_workspaces(self, change: Change) -> tuple[str, ...]:
        """Return the workspaces that the change adds."""
        prefix = "workspaces/"
        return tuple(
            key.removeprefix(prefix)
            for key in change.upserts
            if key.startswith(prefix) and key not in self.keeper.state.values
        )

    async def commit(self, head: HeadRow, added: tuple[str, ...]) -> tuple[str, ...]:
        """Commit the head and first top-ups.

        If the answer to a commit is lost, the next attempt reads from the history
        row whether that commit took effect, and sends it again if not.  Both commits
        require the same version of the head row, so only one can take effect, even
        if the first one arrives late.

        Returns:
            The added workspaces whose first top-ups did not fit into the transaction.

        Raises:
            LostRaceError: Another version was accepted instead.
            UnavailableError: No attempt took effect.
            UnknownOutcomeError: An attempt may still take effect.
            ConfigurationError: The table's head is older than `based_on`.
        """
        for attempt in range(MAX_ATTEMPTS):
            try:
                row = (await self.keeper.table.read((CONFIG_HEAD,)))[0]
                if await self.is_accepted(row, head.version):
                    return added[MAX_TOPUPS:]
                topups = await self.missing_topups(added[:MAX_TOPUPS])
                transaction = plan_apply(row, head, topups, self.deleted)
                if transaction is None:
                    raise ConfigurationError("the head moved while it was read")
                await self.keeper.table.commit(transaction)
                return added[MAX_TOPUPS:]
            except ConflictError:
                continue
            except UnknownOutcomeError:
                self.in_doubt = True
            except UnavailableError as error:
                logger.warning(
                    "retrying the commit of a publication", extra={"reason": str(error)}
                )
            await anyio.sleep(retry_delay(attempt))
        if self.in_doubt:
            message = f"version {head.version} may have been accepted"
            raise UnknownOutcomeError(message)
        raise UnavailableError("the table did not take the new version")

    async def is_accepted(self, row: Row | None, version: int) -> bool:
        """Return whether this publication was accepted as `version`.

        Args:
            row: The head row; if it has an older version or is None, the result is
                False.
            version: The version of this publication.


        Raises:
            LostRaceError: Another publication was accepted as this version.
        """
        head = head_of(row)
        if head is None or head.version < version:
            return False
        key = config_version_key(version)
        history = (await self.keeper.table.read((key,)))[0]
        if resolve_publication(history, self.publication) is PublicationResult.ACCEPTED:
            return True
        await self.keeper.refresh_locked()
        await self.check_base(row)
        return False

    async def missing_topups(self, workspaces: tuple[str, ...]) -> tuple[TopUp, ...]:
        """Return the first top-ups that are not made yet, each with its budget row."""
        made_keys = tuple(topup_key(each, INITIAL_TOPUP) for each in workspaces)
        keys = (*made_keys, *map(budget_key, workspaces))
        rows = await self.keeper.table.read(keys) if keys else ()
        made, budgets = rows[: len(workspaces)], rows[len(workspaces) :]
        return tuple(
            TopUp(workspace, self.amounts[workspace], budget)
            for workspace, done, budget in zip(workspaces, made, budgets, strict=True)
            if done is None
        )

    async def write_copy(self, head: HeadRow) -> None:
        """Write a copy of the head; failures are logged and left to `keep_copies`."""
        try:
            await self.keeper.store.write_head_copy(head)
        except EbonyholdError as error:
            logger.warning("head copy not written", extra={"reason": str(error)})

    async def make_topups(self) -> None:
        """Make the first top-ups that did not fit into the version's transaction.

        The keeper's lock is not held, since this can take minutes.

        Raises:
            UnknownOutcomeError: Some may be missing; publish the document again.
        """
        pause = 0.0
        for first in range(0, len(self.without_topup), MAX_TOPUPS):
            some = self.without_topup[first : first + MAX_TOPUPS]
            await anyio.sleep(pause)
            try:
                wrote = await self.retry(partial(self.make_topup_batch, some))
                pause = WRITE_PAUSE if wrote else READ_PAUSE
            except PlatformError as error:
                message = f"accepted, but not all first top-ups are made: {error}"
                raise UnknownOutcomeError(message) from error

    async def make_topup_batch(self, workspaces: tuple[str, ...]) -> bool:
        """Make the first top-ups of some workspaces, in one transaction.

        This is idempotent: the row of a top-up shows that it was made.

        Returns:
            Whether any first top-up was missing, and is now made.

        Raises:
            UnavailableError: The table cannot be reached, or each attempt
                conflicted with another writer.
            UnknownOutcomeError: The transaction may have taken effect.
        """
        for _ in range(MAX_ATTEMPTS):
            topups = await self.missing_topups(workspaces)
            if not topups:
                return False
            at = self.keeper.clock()
            transaction = plan_initial_topups(topups, self.author, at)
            try:
                await self.keeper.table.commit(transaction)
            except ConflictError:
                continue
            return True
        raise UnavailableError("first top-ups met other writers")


def retry_delay(attempt: int) -> Seconds:
    """Return the delay after a failed attempt; attempts count from 0."""
    return min(MAX_DELAY, RETRY_DELAY * 2.0**attempt)
