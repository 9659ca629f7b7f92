"""Giving orders to engines: one router at a time, under a lease."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Sequence

import anyio
import cattrs
import httpx
from attrs import define, field

from ebonyhold.backends._http import base_url
from ebonyhold.backends._state import BackendState
from ebonyhold.backends._table import Backends
from ebonyhold.coordination import (
    Action,
    Delete,
    EngineOrder,
    EngineView,
    HeldLease,
    LeasePlan,
    LeaseSighting,
    OrderRow,
    Placement,
    Put,
    Table,
    Transaction,
    from_json,
    lease_key,
    order_key,
    order_prefix,
    plan_acquire,
    plan_renew,
    resolve_lease,
    sight_lease,
    to_json,
)
from ebonyhold.document import BackendKind
from ebonyhold.exceptions import (
    ConflictError,
    PlatformError,
    UnavailableError,
    UnknownOutcomeError,
)
from ebonyhold.types import RouterId, Seconds

logger = logging.getLogger(__name__)

LEASE = "placement"
LENGTH: Seconds = 15.0
ROUND: Seconds = 3.0
"""Between two looks at the lease and the engines."""

ORDER_TIMEOUT: Seconds = 2.0
"""The longest time that an order is on its way while its sender runs."""


@define
class PlacementHolder:
    """Takes the lease when it is free, and gives orders while it holds it.

    Attributes:
        me: Returns this incarnation.
        table: Where the lease and the unanswered drops are.
        backends: The engines as reported.
        placement: The decisions.
        clock: Seconds since the epoch.
        held: The lease, while it is held.
    """

    me: Callable[[], RouterId]
    table: Table
    backends: Backends
    placement: Placement = field(factory=Placement)
    clock: Callable[[], Seconds] = time.time
    held: HeldLease | None = None
    sighting: LeaseSighting | None = None

    async def run(self) -> None:
        """Hold and order until cancelled."""
        while True:
            try:
                await self.round()
            except PlatformError as error:
                logger.info("placement waits", extra={"cause": str(error)})
            chance = self.backends.rng.random()
            await anyio.sleep(ROUND * (0.8 + 0.4 * chance))

    async def round(self) -> None:
        """Renew or take the lease; if it is held, give at most one order.

        Raises:
            PlatformError: The table did not do its part.
        """
        now = anyio.current_time()
        self.held = await self.renewed(self.held) if self.held else await self.taken()
        if self.held is None:
            return
        unanswered = await self.unanswered()
        engines = [view(self.backends, state) for state in self.engines()]
        earlier = [row for row in unanswered if row.fencing < self.held.row.fencing]
        order = self.placement.fence(engines, earlier)
        if order is not None:
            if await self.give(order, self.held) == httpx.codes.OK:
                await self.strike([row for row in earlier if same(row, order)])
            return
        models = [route.model for route in self.backends.fleet.document.models]
        order = self.placement.decide(models, engines, unanswered, now)
        if order is not None:
            await self.give(order, self.held)

    async def taken(self) -> HeldLease | None:
        """Take the lease if it is free.

        Raises:
            PlatformError: The table did not answer.
        """
        (row,) = await self.table.read((lease_key(LEASE),))
        now = anyio.current_time()
        if row is not None:
            self.sighting = sight_lease(self.sighting, row, now)
        plan = plan_acquire(LEASE, self.me(), row, self.sighting, LENGTH, now)
        if plan is None:
            return None
        held = await self.committed(plan)
        if held is not None:
            # What an earlier holder thought is underway may not be; what it
            # wrote down counts.
            self.placement.loading.clear()
        return held

    async def renewed(self, held: HeldLease) -> HeldLease | None:
        """Renew the lease, or learn that it is lost.

        Raises:
            PlatformError: The table did not answer; it is held until it lapses.
        """
        now = anyio.current_time()
        if not held.holds(now):
            return None
        return await self.committed(plan_renew(held, now))

    async def committed(self, plan: LeasePlan) -> HeldLease | None:
        """Commit a change of the lease, and read back a lost answer."""
        try:
            await self.table.commit(plan.transaction)
        except ConflictError:
            return None
        except UnknownOutcomeError:
            (row,) = await self.table.read((lease_key(LEASE),))
            return resolve_lease(plan, row)
        return plan.outcome

    async def unanswered(self) -> list[OrderRow]:
        """Return the drops that may still happen.

        Raises:
            PlatformError: The table did not answer.
        """
        rows = await self.table.scan(order_prefix())
        found: list[OrderRow] = []
        for row in rows:
            try:
                found.append(from_json(row.value, OrderRow))
            except cattrs.BaseValidationError:
                logger.warning("no order", extra={"key": row.key})
        oldest = self.clock() - self.placement.policy.doubt_for
        await self.strike([row for row in found if row.at < oldest])
        return [row for row in found if row.at >= oldest]

    async def strike(self, rows: Sequence[OrderRow]) -> None:
        """Strike out drops that need not be expected any more.

        Raises:
            PlatformError: The table did not do its part.
        """
        if rows:
            deletes = tuple(
                Delete(order_key(row.order.backend, row.fencing)) for row in rows
            )
            await self.table.commit(Transaction((), deletes))

    def engines(self) -> list[BackendState]:
        """Return the engines of the document in force."""
        self.backends.refresh()
        return [
            state
            for state in self.backends.states.values()
            if state.backend.kind is BackendKind.ENGINE
        ]

    async def give(self, order: EngineOrder, held: HeldLease) -> int:
        """Give one order, if the lease is sure to outlast its way.

        A holder that is paused after the check sends it late all the same.  An
        engine that checks the fencing number then refuses it; for the others
        the drop stands in the table, where the next holder sees that it may
        still come, and loads the model somewhere else first.

        Returns:
            The engine's status, or 0 without an answer.

        Raises:
            PlatformError: The drop could not be written down, so it is not given.
        """
        row = OrderRow(order, held.row.fencing, self.clock())
        key = order_key(order.backend, row.fencing)
        if order.action is Action.UNLOAD:
            await self.table.commit(Transaction((), (Put(key, to_json(row)),)))
        state = self.backends.states.get(order.backend)
        if state is None or not held.holds(anyio.current_time() + ORDER_TIMEOUT):
            return 0
        try:
            status = await send_order(self.backends.client, state, row)
        except UnavailableError as error:
            logger.info("order not answered", extra={"cause": str(error)})
            return 0
        logger.info(
            "order given",
            extra={
                "backend": order.backend,
                "action": order.action.value,
                "model": order.model,
                "status": status,
            },
        )
        if order.action is Action.UNLOAD:
            await self.strike([row])
        if status == httpx.codes.CONFLICT:
            # The engine has heard a later holder: this one was replaced.
            self.held = None
        return status


def same(row: OrderRow, order: EngineOrder) -> bool:
    """Return whether a drop is about the engine and the model of an order."""
    return row.order.backend == order.backend and row.order.model == order.model


def view(backends: Backends, state: BackendState) -> EngineView:
    """Return what the decisions know of an engine."""
    backend = state.backend
    return EngineView(
        backend.name,
        backend.domain,
        backend.slots,
        state.report.running + state.report.queued,
        frozenset(state.report.models),
        frozenset(backend.models),
        usable=bool(state.report.boot) and backends.fleet.accepts(backend),
        checks_fencing=backend.checks_fencing,
    )


async def send_order(
    client: httpx.AsyncClient, state: BackendState, row: OrderRow
) -> int:
    """Send an order and return the engine's status.

    Raises:
        UnavailableError: There was no answer; the order may have taken effect.
    """
    body = {
        "order": row.order.action.value,
        "model": row.order.model,
        "fencing": row.fencing,
    }
    url = base_url(state.backend) + "/v1/orders"
    try:
        with anyio.fail_after(ORDER_TIMEOUT):
            response = await client.post(url, json=body)
    except (httpx.HTTPError, TimeoutError) as error:
        raise UnavailableError(f"{row.order.backend}: {error!r}") from error
    return response.status_code
