"""Routers that share a workspace's budget over an in-memory store."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

import anyio
from attrs import define, field

from ebonyhold.coordination import GrantRow, from_json
from ebonyhold.exceptions import PlatformError
from ebonyhold.gateway import Renewals
from ebonyhold.prepaid import (
    Offer,
    PrepaidRow,
    WorkspaceGrant,
    budget_row_key,
    grant_rows_prefix,
)
from ebonyhold.standins import MemoryRows, RowHistory
from ebonyhold.types import Tokens

WORKSPACE = "acme"

DELAY = 0.003
"""Time until another router's answer arrives, in seconds."""


@define(eq=False)
class Router:
    """One incarnation of a router, with one grant and its own client of the store."""

    history: RowHistory
    vm: str
    router: str
    prepaid: list[Tokens]
    fleet: int = 3
    store: MemoryRows = field(init=False)
    grant: WorkspaceGrant = field(init=False)
    renewals: Renewals = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.store = MemoryRows(self.history)
        self.renewals = Renewals(
            self.store,
            self.vm,
            self.vm,
            self.router,
            lambda: {WORKSPACE: self.grant.wanted_limit()},
        )
        self.grant = WorkspaceGrant(
            WORKSPACE,
            self.router,
            self.store,
            lambda: (len(self.prepaid), self.prepaid[-1]),
            lambda: self.fleet,
            lambda: 0.0,
            self.renewals.limits,
            self.renew,
            self.renewals.is_store_reachable,
        )

    async def renew(self) -> None:
        """Renew the limits once, and record whether the renewal succeeded."""
        try:
            await self.renewals.step()
            self.renewals.record_success()
        except PlatformError as error:
            self.renewals.record_failure(error)


@define(eq=False)
class Peers:
    """Access of one router to the others.

    Attributes:
        vm: The VM of the router that sends the requests.
        routers: All routers by VM.
        lose: How many of the next transfers lose their answers.
    """

    vm: str
    routers: Mapping[str, Router]
    lose: int = 0

    async def offers(self, workspace: str) -> Sequence[Offer]:
        """Return the offers of the other routers."""
        await anyio.sleep(DELAY)
        return [
            Offer(vm, router.grant.offer, router.grant.own_offer)
            for vm, router in self.routers.items()
            if vm != self.vm
        ]

    async def transfer(self, peer: str, workspace: str, amount: Tokens) -> Tokens:
        """Transfer tokens from another router; 0 arrive if the answer is lost."""
        given = await self.routers[peer].grant.give(amount)
        await anyio.sleep(DELAY)
        if self.lose:
            self.lose -= 1
            return 0
        return given


def budget(history: RowHistory) -> PrepaidRow:
    """Return the stored budget row."""
    row = history.rows.get(budget_row_key(WORKSPACE))
    return from_json(row.value, PrepaidRow) if row else PrepaidRow()


def grants(history: RowHistory) -> dict[str, GrantRow]:
    """Return the stored grant rows by router."""
    prefix = grant_rows_prefix(WORKSPACE)
    return {
        key[len(prefix) :]: from_json(row.value, GrantRow)
        for key, row in history.rows.items()
        if key.startswith(prefix)
    }


def router(history: RowHistory, prepaid: int = 100_000) -> Router:
    """Return the first incarnation of the router on `vm-1`."""
    return Router(history, "vm-1", "vm-1.a", [prepaid])


Fault = Callable[[Router], None]
"""Makes the next store transaction of a router fail in some way."""


def lose_answer(one: Router) -> None:
    """Let the next transaction take effect, but lose its answer."""
    one.store.faults.lose_answers = 1


def lose_request(one: Router) -> None:
    """Lose the next transaction before it takes effect."""
    one.store.faults.lose_requests = 1


def delay_effect(one: Router) -> None:
    """Let the next transaction time out, and take effect only at a `flush`."""
    one.store.faults.late = 1


async def successor_of_killed(history: RowHistory) -> Router:
    """Return the successor of a router that was killed with a hold of 1,000 tokens.

    The successor has found its predecessor's limits, but reclaimed nothing.
    """
    one = router(history, 1_000_000)
    await anyio.sleep(1.0)
    await one.renew()
    await one.grant.hold(1000, "r")
    await one.renew()
    await anyio.sleep(1.0)
    two = Router(history, "vm-1", "vm-1.b", [1_000_000])
    await two.renew()
    return two
