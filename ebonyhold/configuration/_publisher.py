"""Publishing one version, whatever happens to its answers."""

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
    Fate,
    HeadRow,
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

MOST_ATTEMPTS = 8
"""Commits of one version before its publisher gives up."""

KEPT_VERSIONS = 20_000
"""Versions that can be read and rolled back to: four days at 4,800 a day."""

MOST_OLD = 4
"""History rows that one publication looks at; it deletes all but the last."""

MOST_TOPUPS = 40
"""First top-ups in one transaction; the first of them go with their version."""

WRITE_PAUSE: Seconds = 0.5
"""Between two transactions of first top-ups: 160 row writes a second at most, so
that a large import leaves the table's ceiling to the bills."""

READ_PAUSE: Seconds = 0.1
"""Between two looks for first top-ups: 800 row reads a second at most."""

RETRY_DELAY = 0.25
"""Seconds before the first retry; it doubles with each."""

LONGEST_DELAY = 4.0

Answer = TypeVar("Answer")

logger = logging.getLogger(__name__)


class Adopting(Protocol):
    """What a publication needs of the keeper that it belongs to.

    Attributes:
        table: Where versions are accepted.
        store: Where their parts are.
        clock: Tells the time, in seconds since the epoch.
        version: The version in force here.
        head: Its head row; None before the first.
        state: Its parts.
    """

    table: Table
    store: VersionStore
    clock: Callable[[], float]
    version: int
    head: HeadRow | None
    state: DocumentState

    async def refresh_locked(self) -> Row | None:
        """Refresh while the lock is held, and return the head row as read."""
        ...

    async def read_version(self, version: int) -> DocumentState:
        """Read the parts of any version that is kept."""
        ...

    def install(self, head: HeadRow, state: DocumentState) -> None:
        """Put a version into force."""
        ...


@define
class Publisher:
    """Publishes one document.

    Attributes:
        keeper: Whose state it builds on.
        document: The document, already checked.
        based_on: The version that the operator had seen.
        author: The operator.
        publication: Unique for this publication.
        doubtful: Whether a commit may have taken effect unseen.
        unfilled: Workspaces whose first top-up may still be missing.
        forgotten: Old versions whose objects are deleted.
        amounts: The first top-up of each workspace, in tokens.
    """

    keeper: Adopting
    document: Document
    based_on: int
    author: str
    publication: str = field(factory=lambda: uuid4().hex)
    doubtful: bool = False
    unfilled: tuple[str, ...] = ()
    forgotten: tuple[int, ...] = ()
    amounts: dict[str, Tokens] = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Look up what each workspace gets first."""
        self.amounts = {each.name: each.prepaid for each in self.document.workspaces}

    async def publish(self) -> int:
        """Publish, and return the version in force; the keeper's lock is held.

        A document that is in force already is not published again, whatever
        it was based on: that is how an operator repeats a command whose
        answer was lost between router and command line.  The repeat also makes
        first top-ups that the lost one did not get to.
        """
        row = await self.keeper.refresh_locked()
        change = find_change(self.keeper.state, self.document, self.based_on + 1)
        if not change.upserts and not change.deletes:
            self.unfilled = tuple(self.amounts)
            return self.keeper.version
        await self.check_base(row)
        state = self.keeper.state.copy()
        state.apply(change)
        head = await self.write_objects(state, change)
        self.forgotten = await self.delete_oldest(head.version - KEPT_VERSIONS)
        self.unfilled = await self.commit(head, self.added_workspaces(change))
        self.keeper.install(head, state)
        await self.write_copy(head)
        return head.version

    async def check_base(self, row: Row | None) -> None:
        """Refuse when the version in force is not the one this was based on."""
        head = head_of(row)
        version = head.version if head else 0
        if version == self.based_on:
            return
        author = head.author if head else ""
        message = f"version {version} by {author} is in force, not {self.based_on}"
        changed = await self.changed_since_base()
        raise LostRaceError(message, version, author, changed)

    async def changed_since_base(self) -> tuple[str, ...]:
        """Name what differs between the base and the version in force."""
        if not self.based_on:
            return find_changed_paths(DocumentState(), self.keeper.state)
        try:
            base = await self.keeper.read_version(self.based_on)
        except EbonyholdError:
            return ()
        return find_changed_paths(base, self.keeper.state)

    async def write_objects(self, state: DocumentState, change: Change) -> HeadRow:
        """Write the version's objects and return the head that refers to them.

        They are content-addressed, so that writing them again after a lost
        answer changes nothing, and nothing refers to them before the commit.
        """
        store = self.keeper.store
        before = self.keeper.head

        async def write() -> str:
            previous = await store.read_manifest(before) if before else None
            return await store.write_version(state, change, previous)

        manifest = await self.insist(write)
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
        """Delete the objects of old versions; their rows go with the commit.

        The rows go last: if this router dies in between, or the object store
        fails, the next publication finds them still there and does it again.

        Args:
            newest: The newest version that may go.
        """
        forgotten: list[int] = []
        if newest < 1:
            return ()
        try:
            rows = await self.keeper.table.scan(CONFIG_VERSION_PREFIX, "", MOST_OLD)
            heads = [head for row in rows if (head := head_of(row)) is not None]
            for old, following in pairwise(heads):
                if old.version > newest:
                    break
                await self.keeper.store.delete_version(old, following)
                forgotten.append(old.version)
        except EbonyholdError as error:
            logger.warning("old version not deleted", extra={"reason": str(error)})
        return tuple(forgotten)

    async def insist(self, step: Callable[[], Awaitable[Answer]]) -> Answer:
        """Repeat a step that may be repeated without harm."""
        for attempt in range(MOST_ATTEMPTS - 1):
            try:
                return await step()
            except (UnavailableError, UnknownOutcomeError) as error:
                logger.warning("publishing again", extra={"reason": str(error)})
                await anyio.sleep(delay_of(attempt))
        return await step()

    def added_workspaces(self, change: Change) -> tuple[str, ...]:
        """Name the workspaces that were not there before."""
        prefix = "workspaces/"
        return tuple(
            key.removeprefix(prefix)
            for key in change.upserts
            if key.startswith(prefix) and key not in self.keeper.state.values
        )

    async def commit(self, head: HeadRow, added: tuple[str, ...]) -> tuple[str, ...]:
        """Commit the head and the first top-ups, and return those left over.

        A lost answer shows as UnknownOutcomeError.  The history row tells
        whether the write took effect; if it did not, the same transaction is
        sent again: since both move the head from the same version, only one
        of them can take effect, also when the first arrives late.
        """
        for attempt in range(MOST_ATTEMPTS):
            try:
                row = (await self.keeper.table.read((CONFIG_HEAD,)))[0]
                if await self.is_accepted(row, head.version):
                    return added[MOST_TOPUPS:]
                topups = await self.missing_topups(added[:MOST_TOPUPS])
                transaction = plan_apply(row, head, topups, self.forgotten)
                if transaction is None:
                    raise ConfigurationError("the head moved while it was read")
                await self.keeper.table.commit(transaction)
                return added[MOST_TOPUPS:]
            except ConflictError:
                continue
            except UnknownOutcomeError:
                self.doubtful = True
            except UnavailableError as error:
                logger.warning("publishing again", extra={"reason": str(error)})
            await anyio.sleep(delay_of(attempt))
        if self.doubtful:
            message = f"version {head.version} may have been accepted"
            raise UnknownOutcomeError(message)
        raise UnavailableError("the table did not take the new version")

    async def is_accepted(self, row: Row | None, version: int) -> bool:
        """Tell whether this publication was accepted already.

        Raises:
            LostRaceError: Another was accepted instead.
        """
        head = head_of(row)
        if head is None or head.version < version:
            return False
        key = config_version_key(version)
        history = (await self.keeper.table.read((key,)))[0]
        if resolve_publication(history, self.publication) is Fate.ACCEPTED:
            return True
        await self.keeper.refresh_locked()
        await self.check_base(row)
        return False

    async def missing_topups(self, workspaces: tuple[str, ...]) -> tuple[TopUp, ...]:
        """Return the first top-ups that have not been made yet."""
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
        """Copy the head; if that fails, the routers' keepers see to it."""
        try:
            await self.keeper.store.write_head_copy(head)
        except EbonyholdError as error:
            logger.warning("no copy of the head", extra={"reason": str(error)})

    async def fill_budgets(self) -> None:
        """Make the first top-ups that did not fit into the version's transaction.

        There may be minutes of them, so the keeper's lock is not held.

        Raises:
            UnknownOutcomeError: Some could not be made; publish again.
        """
        pause = 0.0
        for first in range(0, len(self.unfilled), MOST_TOPUPS):
            some = self.unfilled[first : first + MOST_TOPUPS]
            await anyio.sleep(pause)
            try:
                wrote = await self.insist(partial(self.fill_some_budgets, some))
                pause = WRITE_PAUSE if wrote else READ_PAUSE
            except PlatformError as error:
                message = f"accepted, but not all first top-ups are made: {error}"
                raise UnknownOutcomeError(message) from error

    async def fill_some_budgets(self, workspaces: tuple[str, ...]) -> bool:
        """Make some first top-ups; the rows of the top-ups make it idempotent.

        Returns:
            Whether any was missing.

        Raises:
            UnavailableError: Other writers were faster each time.
        """
        for _ in range(MOST_ATTEMPTS):
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


def delay_of(attempt: int) -> Seconds:
    """Return the pause after a failed attempt, counted from 0."""
    return min(LONGEST_DELAY, RETRY_DELAY * 2.0**attempt)
