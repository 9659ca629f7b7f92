"""The prepaid grants of all workspaces at one router."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable, Coroutine, Iterable
from functools import partial

import anyio
from attrs import define, field

from ebonyhold.exceptions import DamagedRowError, PlatformError
from ebonyhold.prepaid._holders import HolderTable
from ebonyhold.prepaid._last_tokens import SizeDemand
from ebonyhold.prepaid._limits import LimitTracker, SpendingLimit
from ebonyhold.prepaid._local_rate import LocalRates
from ebonyhold.prepaid._reclaim import Predecessor
from ebonyhold.prepaid._request_hold import HolderPeers, RequestHold
from ebonyhold.prepaid._transfers import TransferPeers
from ebonyhold.prepaid._types import PrepaidOptions, PrepaidStore
from ebonyhold.prepaid._workspace_grant import WorkspaceGrant
from ebonyhold.tasks import Guard, unguarded
from ebonyhold.types import RouterId, Seconds, Tokens, WorkspaceName

log = logging.getLogger(__name__)

RETRY_FACTOR = 0.2
"""Fraction of the tick after which a change in doubt or a failed return is retried.

Retries are fast because nothing is drawn or returned while a change is in doubt.
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
"""Maximum attempts to reclaim one grant.

At one attempt per tick (0.5 s), they last longer than an outage of the store.  An
attempt with an unknown outcome can be repeated safely, because a reclaimed grant has no
provably unused tokens left.
"""


def failure_fields(workspace: WorkspaceName, error: PlatformError) -> dict[str, str]:
    """Return the log fields of a store error; the text names a damaged row."""
    return {"workspace": workspace, "error": error.code, "detail": str(error)[:400]}


@define(eq=False)
class GrantManager:
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
        peers: Calls to other routers for transfers; None if none can be called.
        holders: Calls to the holders at other routers; None if none can be called.
        holder_table: Computes the holders of each workspace.
        fleet_known: Returns whether enough other routers are known to compute the
            holders, so that tokens may be drawn before the first request.
        options: The options of the prepaid budgets.
        grants: The grants opened so far, by workspace.
        damaged: What is damaged in the rows of workspaces whose last round has found
            that.
        paused_until: Earliest time of each grant's first round after an outage.
        guard: Runs a function, catches unexpected errors and returns whether there were
            none.  So after an error in one grant, `close` still returns the others.
        closing: Whether the process is shutting down.  No tokens are drawn or reclaimed
            any more, because they might not be returned.
        holds: Number of request holds created so far; numbers their identifiers.
        rates: The requests of each workspace that reach this router.
        sizes: The demand of all workspaces by the size of requests.
    """

    router: RouterId
    store: PrepaidStore
    prepaid: Callable[[WorkspaceName], tuple[int, Tokens | None]]
    workspaces: Callable[[], Iterable[WorkspaceName]]
    routers: Callable[[], int]
    limits: LimitTracker
    renew: Callable[[], Coroutine[None, None, None]]
    can_renew: Callable[[], bool]
    peers: TransferPeers | None = None
    holders: HolderPeers | None = None
    holder_table: HolderTable = field(factory=HolderTable)
    fleet_known: Callable[[], bool] = lambda: True
    options: PrepaidOptions = field(factory=PrepaidOptions)
    grants: dict[WorkspaceName, WorkspaceGrant] = field(factory=dict)
    damaged: dict[WorkspaceName, str] = field(factory=dict)
    paused_until: dict[WorkspaceName, Seconds] = field(factory=dict)
    guard: Guard = unguarded
    closing: bool = False
    holds: int = 0
    rates: LocalRates = field(factory=LocalRates)
    sizes: SizeDemand = field(factory=SizeDemand)

    def open_hold(self, workspace: WorkspaceName) -> RequestHold | None:
        """Return a new hold for a request; None if the workspace has no budget."""
        if self.prepaid(workspace)[1] is None:
            return None
        holders = self.holder_table.holders(workspace)
        asked = () if holders.own or self.holders is None else holders.names
        self.rates.record(workspace, anyio.current_time())
        self.holds += 1
        hold_id = f"{self.router}/{self.holds}"
        return RequestHold(
            workspace,
            partial(self.grant, workspace),
            asked,
            self.holders,
            hold_id,
            own_first=self.is_holder(workspace),
        )

    def grant(self, workspace: WorkspaceName) -> WorkspaceGrant | None:
        """Return a workspace's grant, opened if necessary; None if it has no budget."""
        if self.prepaid(workspace)[1] is None:
            return None
        grant = self.grants.get(workspace)
        if grant is None:
            grant = WorkspaceGrant(
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
                partial(self.reached, workspace),
                options=self.options,
                all_sizes=self.sizes,
                # `close` returns only the grants that were open when it began.  A grant
                # opened later must not draw, or its tokens would not be returned.
                closing=self.closing,
            )
            self.grants[workspace] = grant
        return grant

    def is_holder(self, workspace: WorkspaceName) -> bool:
        """Return whether this router keeps tokens of a workspace.

        It does if it is one of the workspace's holders, or gets many of its requests.
        """
        return self.holder_table.holders(workspace).own or self.rates.has_many(
            workspace, anyio.current_time()
        )

    def sharers(self, workspace: WorkspaceName) -> int:
        """Return how many routers draw on a workspace's budget: all or its holders."""
        holders = self.holder_table.holders(workspace)
        return self.routers() if holders.whole_fleet else len(holders.names)

    def reached(self, workspace: WorkspaceName) -> int:
        """Return how many routers get requests for a workspace's tokens."""
        holders = self.holder_table.holders(workspace)
        return self.routers() if holders.whole_fleet else holders.reached

    def configured_budget(self, workspace: WorkspaceName) -> tuple[int, Tokens]:
        """Return the configuration's version and a workspace's prepaid tokens.

        Both are 0 if the workspace has no budget.  A stored budget is then not changed:
        only a version above the stored one changes it, and 0 is never above.
        """
        version, prepaid = self.prepaid(workspace)
        return (version, prepaid) if prepaid is not None else (0, 0)

    def mean_typical(self) -> float:
        """Return the mean typical request size, in tokens, of the open grants.

        Grants without a request so far are left out; the mean is 0 if all are.
        """
        sizes = [g.demand.typical for g in self.grants.values() if g.demand.typical]
        return sum(sizes) / len(sizes) if sizes else 0.0

    def wanted_limits(self) -> dict[WorkspaceName, SpendingLimit]:
        """Return the spending limits of all grants for the next renewal."""
        return {name: g.wanted_limit() for name, g in self.grants.items()}

    async def run(self) -> None:
        """Open grants ahead of requests and run the grants' rounds until cancelled."""
        while True:
            await anyio.sleep(self.pause())
            self.open_grants_ahead()
            async with anyio.create_task_group() as tasks:
                for grant in list(self.grants.values()):
                    tasks.start_soon(self.maintain, grant)

    def open_grants_ahead(self) -> None:
        """Open grants before the first request of their workspaces.

        Otherwise that request would find no tokens during an outage.  Only grants of
        workspaces of which this router is a holder are opened, at random times.  This
        spreads the first draws of routers that start together, which would otherwise
        conflict at each budget.
        """
        if self.closing or not self.fleet_known():
            return
        for workspace in self.workspaces():
            if workspace in self.grants or not self.is_holder(workspace):
                continue
            spread = FIRST_DRAW_SPREAD * max(1, self.sharers(workspace))
            if random.random() < self.options.tick / spread:
                self.grant(workspace)

    def pause(self) -> Seconds:
        """Return the delay before the next rounds: shorter if a change is in doubt."""
        in_doubt = any(grant.state.in_doubt for grant in self.grants.values())
        return self.options.tick * (RETRY_FACTOR if in_doubt else 1.0)

    async def maintain(self, grant: WorkspaceGrant) -> None:
        """Run one round of a grant, unless the grant is paused.

        A store error is logged, and the next round tries again.  No round is run while
        renewals do not reach the store.  After an outage all routers have changes for
        each budget, so each grant waits a random time before its first round.
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
        except DamagedRowError as error:
            # The row is read in each round, until it is repaired or removed.
            if self.damaged.get(grant.workspace) != str(error):
                self.damaged[grant.workspace] = str(error)
                log.warning(
                    "budget round failed", extra=failure_fields(grant.workspace, error)
                )
        except PlatformError as error:
            fields = failure_fields(grant.workspace, error)
            log.warning("budget round failed", extra=fields)
        else:
            self.damaged.pop(grant.workspace, None)

    async def reclaim(self, predecessor: Predecessor) -> bool:
        """Reclaim the tokens that a predecessor provably left unused in its grants.

        Only the grants listed in the predecessor's limits are reclaimed.  A grant drawn
        just before the predecessor was killed may not be listed; its tokens stay
        granted, though none of them was used.

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
        """Reclaim one grant of a predecessor, and retry after store errors.

        Returns:
            False after `RECLAIM_ATTEMPTS` failed attempts, at once if a row is damaged
            or the process is shutting down, else True, also if the workspace has no
            budget any more.
        """
        grant = self.grant(workspace)
        if grant is None:
            # No request can use the tokens of a workspace without a budget.
            return True
        for _ in range(RECLAIM_ATTEMPTS):
            try:
                return await grant.reclaim(predecessor)
            except PlatformError as error:
                fields = failure_fields(workspace, error)
                log.warning("reclaim failed", extra=fields)
                if isinstance(error, DamagedRowError):
                    return False
                await anyio.sleep(self.options.tick)
        return False

    async def close(self, timeout: Seconds) -> bool:
        """Return the available tokens of all open grants to their budgets.

        Store errors are retried until the time limit, other errors are not.

        Args:
            timeout: Time limit, in seconds.

        Returns:
            Whether the return of all grants succeeded.  Tokens that were not returned
            stay granted until a successor reclaims them.
        """
        self.closing = True
        remaining = set(self.grants)
        failed: set[WorkspaceName] = set()
        with anyio.move_on_after(timeout):
            while remaining - failed:
                async with anyio.create_task_group() as tasks:
                    for name in remaining - failed:
                        grant = self.grants[name]
                        tasks.start_soon(self.return_guarded, grant, remaining, failed)
                if remaining - failed:
                    await anyio.sleep(self.options.tick * RETRY_FACTOR)
        if remaining:
            log.warning("grants not returned", extra={"workspaces": sorted(remaining)})
        return not remaining

    async def return_guarded(
        self,
        grant: WorkspaceGrant,
        remaining: set[WorkspaceName],
        failed: set[WorkspaceName],
    ) -> None:
        """Return one grant, and mark it as failed on an unexpected error.

        Without the guard, an error in one grant would end the return of all grants and
        the orderly shutdown, and abort the requests that are still open.
        """
        if not await self.guard(partial(self.return_grant, grant, remaining)):
            failed.add(grant.workspace)

    async def return_grant(
        self, grant: WorkspaceGrant, remaining: set[WorkspaceName]
    ) -> None:
        """Return one grant's tokens and remove the grant from `remaining`.

        After a store error the grant stays in `remaining`, and `close` tries again.
        """
        try:
            await grant.close()
            remaining.discard(grant.workspace)
        except PlatformError as error:
            fields = {"workspace": grant.workspace, "error": error.code}
            log.info("grant not returned yet", extra=fields)
