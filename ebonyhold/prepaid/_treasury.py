"""The prepaid grants of all workspaces at one router."""

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

RETRY_FACTOR = 0.2
"""Fraction of the tick after which a change in doubt or a failed return is retried.

Until the outcome of a change in doubt is known, nothing is drawn or returned.
"""

RECOVERY_SPREAD: Seconds = 0.02
"""Time per sharing router over which the first rounds after an outage are spread.

A transaction on one budget takes about 12 ms.
"""

FIRST_DRAW_SPREAD: Seconds = 0.1
"""Time per sharing router over which the first draws on a budget are spread.

A transaction on one budget takes about 12 ms, and simultaneous draws conflict.
"""

RECLAIM_ATTEMPTS = 40
"""Attempts to reclaim one grant, one per tick (0.5 s), which outlast an outage.

An attempt with an unknown outcome can be repeated safely, because a reclaimed grant has
no provably unused tokens left.
"""


@define(eq=False)
class Treasury:
    """Manages this router's grants of all workspaces.

    Attributes:
        router: The router that owns the grants.
        store: The store of budgets and grants.
        prepaid: Returns the configuration's version and a workspace's prepaid tokens;
            None instead of the tokens if the workspace has no budget.
        workspaces: Returns the names of all workspaces.
        routers: Returns the number of routers.
        limits: The spending limits of this router's renewals.
        renew: Renews the limits in the store immediately.
        can_renew: Returns whether renewals currently reach the store.
        peers: The other routers, for transfers; None if there are none to ask.
        holders: The holders at other routers, for holds; None if there are none.
        table: The holders of each workspace.
        fleet_known: Returns whether enough is known of the other routers to draw
            tokens before the first request.
        options: The options of the prepaid budgets.
        accounts: The grants opened so far, by workspace.
        paused_until: When the first round of each grant after an outage may start.
        guard: Runs the return of one grant, so that its failure affects no other.
        closing: Whether the process is shutting down.  No grant is opened or reclaimed
            any more, because it would not be returned.
        holds: Number of request holds created, for their identifiers.
    """

    router: RouterId
    store: PrepaidStore
    prepaid: Callable[[WorkspaceName], tuple[int, Tokens | None]]
    workspaces: Callable[[], Iterable[WorkspaceName]]
    routers: Callable[[], int]
    limits: LimitBook
    renew: Callable[[], Coroutine[None, None, None]]
    can_renew: Callable[[], bool]
    peers: TransferPeers | None = None
    holders: HolderPeers | None = None
    table: HolderTable = field(factory=HolderTable)
    fleet_known: Callable[[], bool] = lambda: True
    options: PrepaidOptions = field(factory=PrepaidOptions)
    accounts: dict[WorkspaceName, Account] = field(factory=dict)
    paused_until: dict[WorkspaceName, Seconds] = field(factory=dict)
    guard: Guard = unguarded
    closing: bool = False
    holds: int = 0

    def purse(self, workspace: WorkspaceName) -> RequestPurse | None:
        """Return a new hold for a request; None if the workspace has no budget."""
        if self.prepaid(workspace)[1] is None:
            return None
        holders = self.table.holders(workspace)
        asked = () if holders.own or self.holders is None else holders.names
        self.holds += 1
        hold_id = f"{self.router}/{self.holds}"
        open_grant = partial(self.account, workspace)
        return RequestPurse(workspace, open_grant, asked, self.holders, hold_id)

    def account(self, workspace: WorkspaceName) -> Account | None:
        """Return a workspace's grant, opened if necessary; None if it has no budget."""
        if self.prepaid(workspace)[1] is None:
            return None
        grant = self.accounts.get(workspace)
        if grant is None:
            grant = Account(
                workspace,
                self.router,
                self.store,
                partial(self.configured_budget, workspace),
                partial(self.sharers, workspace),
                self.mean_typical,
                self.limits,
                self.renew,
                self.can_renew,
                self.peers,
                partial(self.is_holder, workspace),
                options=self.options,
                # `close` returns only the grants that were open when it began.  A grant
                # opened later must not draw, or its tokens would not be returned.
                closing=self.closing,
            )
            self.accounts[workspace] = grant
        return grant

    def is_holder(self, workspace: WorkspaceName) -> bool:
        """Return whether this router is a holder of a workspace."""
        return self.table.holders(workspace).own

    def sharers(self, workspace: WorkspaceName) -> int:
        """Return how many routers share a workspace's budget."""
        holders = self.table.holders(workspace)
        return self.routers() if holders.whole_fleet else len(holders.names)

    def configured_budget(self, workspace: WorkspaceName) -> tuple[int, Tokens]:
        """Return the configuration's version and a workspace's prepaid tokens.

        Version 0 for a workspace without a budget leaves its stored budget as it is.
        """
        version, prepaid = self.prepaid(workspace)
        return (version, prepaid) if prepaid is not None else (0, 0)

    def mean_typical(self) -> float:
        """Return the mean typical request size of all workspaces; 0 if unknown."""
        sizes = [g.demand.typical for g in self.accounts.values() if g.demand.typical]
        return sum(sizes) / len(sizes) if sizes else 0.0

    def wanted_limits(self) -> dict[WorkspaceName, SpendingLimit]:
        """Return the spending limits of all grants for the next renewal."""
        return {name: g.wanted_limit() for name, g in self.accounts.items()}

    async def run(self) -> None:
        """Maintain all grants until cancelled."""
        while True:
            await anyio.sleep(self.pause())
            self.stock_unmet()
            async with anyio.create_task_group() as tasks:
                for grant in list(self.accounts.values()):
                    tasks.start_soon(self.maintain, grant)

    def stock_unmet(self) -> None:
        """Open grants of workspaces that had no request yet, at random times.

        Otherwise the first request of a workspace would find no tokens during an
        outage.  Routers that start together share each budget, so their first draws
        are spread over time.
        """
        if self.closing or not self.fleet_known():
            return
        for workspace in self.workspaces():
            if workspace in self.accounts or not self.is_holder(workspace):
                continue
            spread = FIRST_DRAW_SPREAD * max(1, self.sharers(workspace))
            if random.random() < self.options.tick / spread:
                self.account(workspace)

    def pause(self) -> Seconds:
        """Return the time until the next round; shorter while a change is in doubt."""
        in_doubt = any(grant.grant.in_doubt for grant in self.accounts.values())
        return self.options.tick * (RETRY_FACTOR if in_doubt else 1.0)

    async def maintain(self, grant: Account) -> None:
        """Run one round of a grant; the next one retries what failed.

        While renewals do not reach the store, no round is run.  After an outage all
        routers have changes for each budget, so each grant waits a random time before
        its first round.
        """
        now = anyio.current_time()
        if not self.can_renew():
            spread = RECOVERY_SPREAD * self.sharers(grant.workspace)
            self.paused_until[grant.workspace] = now + random.random() * spread
            return
        if now < self.paused_until.get(grant.workspace, now):
            return
        try:
            await grant.tick()
        except PlatformError as error:
            fields = {"workspace": grant.workspace, "error": error.code}
            log.warning("budget round failed", extra=fields)

    async def reclaim(self, predecessor: Predecessor) -> bool:
        """Reclaim the tokens that a predecessor provably left in all its grants.

        Only grants that the predecessor's limits name can have been used.  A grant that
        it drew just before it was killed may be missing there and is not reclaimed.

        Returns:
            False if a grant could not be reclaimed or the process is shutting down,
            else True.
        """
        done = True
        # The order is random, so that successors of routers that were killed together
        # rarely change grants of the same budget at the same time.
        order = random.sample(list(predecessor.limits), len(predecessor.limits))
        for workspace in order:
            done = await self.reclaim_one(predecessor, workspace) and done
        return done

    async def reclaim_one(
        self, predecessor: Predecessor, workspace: WorkspaceName
    ) -> bool:
        """Reclaim one grant of a predecessor; return whether that succeeded."""
        grant = self.account(workspace)
        if grant is None:
            # The workspace has no budget any more, so its tokens are not needed.
            return True
        for _ in range(RECLAIM_ATTEMPTS):
            try:
                return await grant.reclaim(predecessor)
            except PlatformError as error:
                fields = {"workspace": workspace, "error": error.code}
                log.warning("reclaim failed", extra=fields)
                await anyio.sleep(self.options.tick)
        return False

    async def close(self, timeout: Seconds) -> bool:
        """Return the available tokens of all grants, as far as the time allows.

        Args:
            timeout: Time limit, in seconds.

        Returns:
            Whether all grants were returned.  The tokens of the others stay granted
            until a successor reclaims them.
        """
        self.closing = True
        remaining = set(self.accounts)
        failed: set[WorkspaceName] = set()
        with anyio.move_on_after(timeout):
            while remaining - failed:
                async with anyio.create_task_group() as tasks:
                    for name in remaining - failed:
                        grant = self.accounts[name]
                        tasks.start_soon(self.return_guarded, grant, remaining, failed)
                if remaining - failed:
                    await anyio.sleep(self.options.tick * RETRY_FACTOR)
        if remaining:
            log.warning("grants not returned", extra={"workspaces": sorted(remaining)})
        return not remaining

    async def return_guarded(
        self,
        grant: Account,
        remaining: set[WorkspaceName],
        failed: set[WorkspaceName],
    ) -> None:
        """Return one grant, and mark it as failed on an unexpected error.

        Without the guard, an error in one grant would end the return of all grants and
        the shutdown, and cut the requests that are still open.
        """
        if not await self.guard(partial(self.return_grant, grant, remaining)):
            failed.add(grant.workspace)

    async def return_grant(self, grant: Account, remaining: set[WorkspaceName]) -> None:
        """Return one grant's tokens; the next round retries after a store error."""
        try:
            await grant.close()
            remaining.discard(grant.workspace)
        except PlatformError as error:
            fields = {"workspace": grant.workspace, "error": error.code}
            log.info("grant not returned yet", extra=fields)
