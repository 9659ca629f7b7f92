"""All workspaces' prepaid tokens at one router."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable, Coroutine, Iterable
from functools import partial

import anyio
from attrs import define, field

from ebonyhold.exceptions import PlatformError
from ebonyhold.prepaid._account import Account
from ebonyhold.prepaid._holders import HolderTable
from ebonyhold.prepaid._limits import LimitBook, SpendingLimit
from ebonyhold.prepaid._purse import HolderPeers, RequestPurse
from ebonyhold.prepaid._reclaim import Predecessor
from ebonyhold.prepaid._transfers import TransferPeers
from ebonyhold.prepaid._types import PrepaidOptions, PrepaidStore
from ebonyhold.tasks import Guard, unguarded
from ebonyhold.types import RouterId, Seconds, Tokens, WorkspaceName

log = logging.getLogger(__name__)

URGENT = 0.2
"""The part of the usual pause that is left while a change is in doubt.

Until it is known what became of it, nothing is drawn or returned.
"""

TURN: Seconds = 0.02
"""The time for each router over which the fleet's first rounds after an outage are
spread: a transaction on one budget takes some 12 ms."""

STOCK_SPREAD: Seconds = 0.1
"""The time for each router over which the fleet's first draws are spread.

A transaction on one budget takes some 12 ms, and routers that draw at the same moment
conflict.
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
        workspaces: Returns all workspaces that there are.
        routers: Returns how many routers there are.
        table: Which of them hold tokens of a workspace.
        settled: Returns whether the routers are known well enough to draw ahead.
        limits: How much may be used, by what was last written to the store.
        renew: Writes that anew, at once.
        in_touch: Returns whether such writes arrive.
        peers: The other routers' grants; None where nobody can be asked.
        holders: The holders among them, the same.
        accounts: The accounts in use.
        rest_until: When each account has its turn after an outage.
        guard: Keeps what fails in the return of one grant from all others.
        closing: Whether the process is about to end: nothing is opened or taken over
            any more, since nobody would return it.
        purses: Purses made so far.
    """

    router: RouterId
    store: PrepaidStore
    prepaid: Callable[[WorkspaceName], tuple[int, Tokens | None]]
    workspaces: Callable[[], Iterable[WorkspaceName]]
    routers: Callable[[], int]
    limits: LimitBook
    renew: Callable[[], Coroutine[None, None, None]]
    in_touch: Callable[[], bool]
    peers: TransferPeers | None = None
    holders: HolderPeers | None = None
    table: HolderTable = field(factory=HolderTable)
    settled: Callable[[], bool] = lambda: True
    options: PrepaidOptions = field(factory=PrepaidOptions)
    accounts: dict[WorkspaceName, Account] = field(factory=dict)
    rest_until: dict[WorkspaceName, Seconds] = field(factory=dict)
    guard: Guard = unguarded
    closing: bool = False
    purses: int = 0

    def purse(self, workspace: WorkspaceName) -> RequestPurse | None:
        """Return where a request's tokens are held; None if they have no bound."""
        if self.prepaid(workspace)[1] is None:
            return None
        holders = self.table.holders(workspace)
        asked = () if holders.own or self.holders is None else holders.names
        self.purses += 1
        hold_id = f"{self.router}/{self.purses}"
        account = partial(self.account, workspace)
        return RequestPurse(workspace, account, asked, self.holders, hold_id)

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
                partial(self.sharers, workspace),
                self.usual,
                self.limits,
                self.renew,
                self.in_touch,
                self.peers,
                partial(self.is_holder, workspace),
                options=self.options,
                # An account that is opened while grants are returned would draw one
                # that the return does not know of; it would stay out.
                closing=self.closing,
            )
            self.accounts[workspace] = known
        return known

    def is_holder(self, workspace: WorkspaceName) -> bool:
        """Tell whether this router holds tokens of a workspace for others too."""
        return self.table.holders(workspace).own

    def sharers(self, workspace: WorkspaceName) -> int:
        """Return how many routers share a workspace's budget."""
        holders = self.table.holders(workspace)
        return self.routers() if holders.whole_fleet else len(holders.names)

    def bound(self, workspace: WorkspaceName) -> tuple[int, Tokens]:
        """Return the configuration's version and a workspace's prepaid tokens.

        A workspace that was dropped keeps the bound its budget has.
        """
        version, prepaid = self.prepaid(workspace)
        return (version, prepaid) if prepaid is not None else (0, 0)

    def usual(self) -> float:
        """Return the size of a usual request here; 0 before the first."""
        sizes = [a.demand.typical for a in self.accounts.values() if a.demand.typical]
        return sum(sizes) / len(sizes) if sizes else 0.0

    def wanted_limits(self) -> dict[WorkspaceName, SpendingLimit]:
        """Return what the next renewal should say of each grant."""
        return {name: a.wanted_limit() for name, a in self.accounts.items()}

    async def run(self) -> None:
        """Look after all accounts, for ever."""
        while True:
            await anyio.sleep(self.pause())
            self.stock_unmet()
            async with anyio.create_task_group() as tasks:
                for account in list(self.accounts.values()):
                    tasks.start_soon(self.tend, account)

    def stock_unmet(self) -> None:
        """Open accounts that no request has asked for yet, as their turns come.

        The first request of a workspace would find no tokens in an outage.  Routers
        start together and share each budget, so they take turns drawn by chance.
        """
        if self.closing or not self.settled():
            return
        for workspace in self.workspaces():
            if workspace in self.accounts or not self.is_holder(workspace):
                continue
            spread = STOCK_SPREAD * max(1, self.sharers(workspace))
            if random.random() < self.options.tick / spread:
                self.account(workspace)

    def pause(self) -> Seconds:
        """Return the time to the next round: short while a change is in doubt."""
        doubt = any(account.grant.doubtful for account in self.accounts.values())
        return self.options.tick * (URGENT if doubt else 1.0)

    async def tend(self, account: Account) -> None:
        """Look after one account; the next round tries again what failed.

        Out of touch nothing is tried, since renewals show when the store is back.
        Then all routers have something to write to each budget, and take turns drawn
        by chance.
        """
        now = anyio.current_time()
        if not self.in_touch():
            spread = TURN * self.sharers(account.workspace)
            self.rest_until[account.workspace] = now + random.random() * spread
            return
        if now < self.rest_until.get(account.workspace, now):
            return
        try:
            await account.tick()
        except PlatformError as error:
            fields = {"workspace": account.workspace, "error": error.code}
            log.warning("budget round failed", extra=fields)

    async def reclaim(self, predecessor: Predecessor) -> bool:
        """Take what a predecessor provably left of all its grants.

        Only a workspace that its limits name can have a grant that was used; what it
        drew for others in its last moment is left out.

        Returns:
            Whether all is done.
        """
        done = True
        # Routers that were killed together would else meet at the same budgets.
        order = random.sample(list(predecessor.limits), len(predecessor.limits))
        for workspace in order:
            done = await self.reclaim_one(predecessor, workspace) and done
        return done

    async def reclaim_one(
        self, predecessor: Predecessor, workspace: WorkspaceName
    ) -> bool:
        """Take what a predecessor left of one grant; tell whether that is done."""
        account = self.account(workspace)
        if account is None:
            # The workspace has no bound any more, so nobody misses the tokens.
            return True
        for _ in range(RECLAIM_TRIES):
            try:
                return await account.inherit(predecessor)
            except PlatformError as error:
                fields = {"workspace": workspace, "error": error.code}
                log.warning("reclaim failed", extra=fields)
                await anyio.sleep(self.options.tick)
        return False

    async def close(self, timeout: Seconds) -> bool:
        """Return what is free, as far as the time allows.

        Args:
            timeout: How long it may take, in seconds.

        Returns:
            Whether all grants were returned.  What was not stays out until a
            successor proves it unspent.
        """
        self.closing = True
        kept = set(self.accounts)
        failed: set[WorkspaceName] = set()
        with anyio.move_on_after(timeout):
            while kept - failed:
                async with anyio.create_task_group() as tasks:
                    for name in kept - failed:
                        account = self.accounts[name]
                        tasks.start_soon(self.give_up, account, kept, failed)
                if kept - failed:
                    await anyio.sleep(self.options.tick * URGENT)
        if kept:
            log.warning("grants not returned", extra={"workspaces": sorted(kept)})
        return not kept

    async def give_up(
        self,
        account: Account,
        kept: set[WorkspaceName],
        failed: set[WorkspaceName],
    ) -> None:
        """Return one account's tokens, or leave them out if its books fail.

        An error of one account would else end the return of all, and the stop with the
        requests that are still open in it.
        """
        if not await self.guard(partial(self.give_back, account, kept)):
            failed.add(account.workspace)

    async def give_back(self, account: Account, kept: set[WorkspaceName]) -> None:
        """Return one account's tokens; the next round tries again what failed."""
        try:
            await account.close()
            kept.discard(account.workspace)
        except PlatformError as error:
            fields = {"workspace": account.workspace, "error": error.code}
            log.info("grant not returned yet", extra=fields)
