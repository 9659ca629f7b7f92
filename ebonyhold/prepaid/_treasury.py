"""All workspaces' prepaid tokens at one router."""

from __future__ import annotations

import logging
from collections.abc import Callable
from functools import partial

import anyio
from attrs import define, field

from ebonyhold.exceptions import PlatformError
from ebonyhold.prepaid._account import Account
from ebonyhold.prepaid._types import PrepaidOptions, PrepaidStore
from ebonyhold.types import RouterId, Seconds, Tokens, WorkspaceName

log = logging.getLogger(__name__)

CLOSE_TIMEOUT: Seconds = 0.6
"""How long a router that stops tries to return its grants."""


@define(eq=False)
class Treasury:
    """Keeps an account for each workspace that has asked for tokens here.

    Attributes:
        router: Whose grants.
        store: Where budgets and grants are kept.
        prepaid: Returns the configuration's version and a workspace's prepaid
            tokens; None where there is no bound.
        routers: Returns how many routers there are.
        accounts: The accounts in use.
    """

    router: RouterId
    store: PrepaidStore
    prepaid: Callable[[WorkspaceName], tuple[int, Tokens | None]]
    routers: Callable[[], int]
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
                self.options,
            )
            self.accounts[workspace] = known
        return known

    def bound(self, workspace: WorkspaceName) -> tuple[int, Tokens]:
        """Return the configuration's version and a workspace's prepaid tokens.

        A workspace that was dropped keeps the bound its budget has.
        """
        version, prepaid = self.prepaid(workspace)
        return (version, prepaid) if prepaid is not None else (0, 0)

    async def run(self) -> None:
        """Look after all accounts, for ever."""
        while True:
            await anyio.sleep(self.options.tick)
            async with anyio.create_task_group() as tasks:
                for account in list(self.accounts.values()):
                    tasks.start_soon(self.tend, account)

    async def tend(self, account: Account) -> None:
        """Look after one account; the next round tries again what failed."""
        try:
            await account.tick()
        except PlatformError as error:
            fields = {"workspace": account.workspace, "error": error.code}
            log.warning("budget round failed", extra=fields)

    async def close(self) -> None:
        """Return what is free, as far as the time allows."""
        with anyio.move_on_after(CLOSE_TIMEOUT):
            async with anyio.create_task_group() as tasks:
                for account in list(self.accounts.values()):
                    tasks.start_soon(self.give_up, account)

    async def give_up(self, account: Account) -> None:
        """Return one account's tokens."""
        try:
            await account.close()
        except PlatformError as error:
            # What stays in the grant counts as spent, which is safe.
            fields = {"workspace": account.workspace, "error": error.code}
            log.warning("grant not returned", extra=fields)
