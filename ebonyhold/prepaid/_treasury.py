"""All workspaces' prepaid tokens at one router."""

from __future__ import annotations

import logging
from collections.abc import Callable
from functools import partial

import anyio
from attrs import define, field

from ebonyhold.exceptions import PlatformError
from ebonyhold.prepaid._account import Account
from ebonyhold.prepaid._reclaim import Predecessor, reclaim_grant
from ebonyhold.prepaid._release import ReleaseSchedule
from ebonyhold.prepaid._types import PrepaidOptions, PrepaidStore
from ebonyhold.types import RouterId, Seconds, Tokens, WorkspaceName

log = logging.getLogger(__name__)

URGENT = 0.2
"""The part of the usual pause that is left while rows lag behind what is used.

Until a row is written again, a router that is killed strands the whole grant.
"""

RECLAIM_TRIES = 40
"""Tries of one reclaim, half a second apart: longer than an outage takes.

An unknown outcome is tried again safely, since a grant that was reclaimed has
nothing provable left.
"""


@define(eq=False)
class Treasury:
    """Keeps an account for each workspace that has asked for tokens here.

    Attributes:
        router: Whose grants.
        store: Where budgets and grants are kept.
        prepaid: Returns the configuration's version and a workspace's prepaid
            tokens; None where there is no bound.
        routers: Returns how many routers there are.
        elapsed: Returns the time since this router last renewed its presence.
        accounts: The accounts in use.
    """

    router: RouterId
    store: PrepaidStore
    prepaid: Callable[[WorkspaceName], tuple[int, Tokens | None]]
    routers: Callable[[], int]
    elapsed: Callable[[], Seconds]
    options: PrepaidOptions = field(factory=PrepaidOptions)
    accounts: dict[WorkspaceName, Account] = field(factory=dict)

    def account(self, workspace: WorkspaceName) -> Account | None:
        """Return a workspace's account; None if it has no bound."""
        if self.prepaid(workspace)[1] is None:
            return None
        known = self.accounts.get(workspace)
        if known is None:
            known = Account(
                workspace,
                self.router,
                self.store,
                partial(self.bound, workspace),
                self.routers,
                self.elapsed,
                options=self.options,
            )
            self.accounts[workspace] = known
        return known

    def bound(self, workspace: WorkspaceName) -> tuple[int, Tokens]:
        """Return the configuration's version and a workspace's prepaid tokens.

        A workspace that was dropped keeps the bound its budget has.
        """
        version, prepaid = self.prepaid(workspace)
        return (version, prepaid) if prepaid is not None else (0, 0)

    def uncovered(self) -> tuple[WorkspaceName, ...]:
        """Return the workspaces of which more is used than their rows allow."""
        return tuple(
            name for name, account in self.accounts.items() if not account.covered
        )

    async def run(self) -> None:
        """Look after all accounts, for ever."""
        while True:
            await anyio.sleep(self.pause())
            async with anyio.create_task_group() as tasks:
                for account in list(self.accounts.values()):
                    tasks.start_soon(self.tend, account)

    def pause(self) -> Seconds:
        """Return the time to the next round: short while rows lag behind."""
        lagging = any(
            account.doubtful or not account.covered
            for account in self.accounts.values()
        )
        return self.options.tick * (URGENT if lagging else 1.0)

    async def tend(self, account: Account) -> None:
        """Look after one account; the next round tries again what failed."""
        try:
            await account.tick()
        except PlatformError as error:
            fields = {"workspace": account.workspace, "error": error.code}
            log.warning("budget round failed", extra=fields)

    async def reclaim(
        self, predecessor: Predecessor, workspaces: list[WorkspaceName]
    ) -> None:
        """Return what a predecessor provably left of all its grants."""
        schedule = ReleaseSchedule()
        for workspace in workspaces:
            for _ in range(RECLAIM_TRIES):
                try:
                    await reclaim_grant(self.store, workspace, predecessor, schedule)
                    break
                except PlatformError as error:
                    fields = {"workspace": workspace, "error": error.code}
                    log.warning("reclaim failed", extra=fields)
                    await anyio.sleep(self.options.tick)

    async def close(self, timeout: Seconds) -> bool:
        """Return what is free, as far as the time allows.

        Args:
            timeout: How long it may take, in seconds.

        Returns:
            Whether all grants were returned.  What was not stays out until a
            successor proves it unspent.
        """
        kept = set(self.accounts)
        with anyio.move_on_after(timeout):
            while kept:
                async with anyio.create_task_group() as tasks:
                    for name in list(kept):
                        tasks.start_soon(self.give_up, self.accounts[name], kept)
                if kept:
                    await anyio.sleep(self.options.tick * URGENT)
        if kept:
            log.warning("grants not returned", extra={"workspaces": sorted(kept)})
        return not kept

    async def give_up(self, account: Account, kept: set[WorkspaceName]) -> None:
        """Return one account's tokens."""
        try:
            await account.close()
            kept.discard(account.workspace)
        except PlatformError as error:
            fields = {"workspace": account.workspace, "error": error.code}
            log.info("grant not returned yet", extra=fields)
