"""Orders to engines to load or unload models, sent by the router with the lease."""

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
    LeaseObservation,
    LeasePlan,
    OrderRow,
    Placement,
    Put,
    Table,
    Transaction,
    from_json,
    lease_key,
    observe_lease,
    order_key,
    order_prefix,
    plan_acquire,
    plan_renew,
    resolve_lease,
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

LEASE_NAME = "placement"
LEASE_DURATION: Seconds = 15.0
ROUND_INTERVAL: Seconds = 3.0
"""Mean pause between two rounds; it varies at random by up to 20 %."""

ORDER_TIMEOUT: Seconds = 2.0
"""The timeout of sending an order.

While a router's process is suspended, sending may take longer.
"""


@define
class PlacementHolder:
    """Acquires the placement lease when it is free, and sends orders while it holds it.

    Attributes:
        router: Returns the id of this router's incarnation.
        table: Stores the lease and the unload orders whose outcome is unknown.
        backends: The engines and their load reports.
        placement: Decides which order to send.
        clock: Returns the time in seconds since the epoch.
        held: The lease while this router holds it, otherwise None.
        observation: The version of the lease row, and when this router first read that
            version; used to detect that the lease has expired.
    """

    router: Callable[[], RouterId]
    table: Table
    backends: Backends
    placement: Placement = field(factory=Placement)
    clock: Callable[[], Seconds] = time.time
    held: HeldLease | None = None
    observation: LeaseObservation | None = None

    async def run(self) -> None:
        """Run one round after another until cancelled; log rounds that fail."""
        while True:
            try:
                await self.run_round()
            except PlatformError as error:
                logger.info("placement round failed", extra={"cause": str(error)})
            chance = self.backends.rng.random()
            await anyio.sleep(ROUND_INTERVAL * (0.8 + 0.4 * chance))

    async def run_round(self) -> None:
        """Renew or acquire the lease; while it is held, send at most one order.

        If an unload order of an earlier lease has an unknown outcome and its engine
        checks fencing numbers, the order of this round is a load for that engine.  Its
        larger fencing number makes the engine refuse the earlier unload order.

        Raises:
            PlatformError: Reading or writing the table failed.
        """
        now = anyio.current_time()
        self.held = await self.renew(self.held) if self.held else await self.acquire()
        if self.held is None:
            return
        unloads = await self.pending_unloads()
        engines = [engine_view(self.backends, state) for state in self.engines()]
        earlier = [row for row in unloads if row.fencing < self.held.row.fencing]
        order = self.placement.fence(engines, earlier)
        if order is not None:
            if await self.issue(order, self.held) == httpx.codes.OK:
                await self.delete_unloads(
                    [row for row in earlier if matches(row, order)]
                )
            return
        models = [route.model for route in self.backends.fleet.document.models]
        order = self.placement.decide(models, engines, unloads, now)
        if order is not None:
            await self.issue(order, self.held)

    async def acquire(self) -> HeldLease | None:
        """Acquire the lease; return None if it is not free or another router got it.

        Raises:
            PlatformError: Reading or writing the table failed.
        """
        (row,) = await self.table.read((lease_key(LEASE_NAME),))
        now = anyio.current_time()
        if row is not None:
            self.observation = observe_lease(self.observation, row, now)
        plan = plan_acquire(
            LEASE_NAME, self.router(), row, self.observation, LEASE_DURATION, now
        )
        if plan is None:
            return None
        held = await self.commit_lease(plan)
        if held is not None:
            # Loads that this router ordered under an earlier lease may be out of
            # date.  Pending unload orders are read from the table.
            self.placement.loading.clear()
        return held

    async def renew(self, held: HeldLease) -> HeldLease | None:
        """Renew the lease; return None if it has expired or another router took it.

        Raises:
            PlatformError: The table failed; the lease stays held until it expires.
        """
        now = anyio.current_time()
        if not held.holds(now):
            return None
        return await self.commit_lease(plan_renew(held, now))

    async def commit_lease(self, plan: LeasePlan) -> HeldLease | None:
        """Commit a change of the lease; return the lease, or None after a conflict.

        After a commit with an unknown outcome the row is read; the result is None if
        the row does not contain the change.

        Raises:
            PlatformError: Reading or writing the table failed.
        """
        try:
            await self.table.commit(plan.transaction)
        except ConflictError:
            return None
        except UnknownOutcomeError:
            (row,) = await self.table.read((lease_key(LEASE_NAME),))
            return resolve_lease(plan, row)
        return plan.outcome

    async def pending_unloads(self) -> list[OrderRow]:
        """Return the unload orders that an engine may still execute.

        Rows older than `in_doubt_for` seconds are deleted.  Rows that cannot be decoded
        are logged and skipped.

        Raises:
            PlatformError: Reading or writing the table failed.
        """
        rows = await self.table.scan(order_prefix())
        found: list[OrderRow] = []
        for row in rows:
            try:
                found.append(from_json(row.value, OrderRow))
            except cattrs.BaseValidationError:
                logger.warning("order row cannot be decoded", extra={"key": row.key})
        oldest = self.clock() - self.placement.policy.in_doubt_for
        await self.delete_unloads([row for row in found if row.at < oldest])
        return [row for row in found if row.at >= oldest]

    async def delete_unloads(self, rows: Sequence[OrderRow]) -> None:
        """Delete the rows of unload orders that are no longer pending.

        Raises:
            PlatformError: Writing the table failed.
        """
        if rows:
            deletes = tuple(
                Delete(order_key(row.order.backend, row.fencing)) for row in rows
            )
            await self.table.commit(Transaction((), deletes))

    def engines(self) -> list[BackendState]:
        """Update all states from the current document; return those of the engines."""
        self.backends.refresh()
        return [
            state
            for state in self.backends.states.values()
            if state.backend.kind is BackendKind.ENGINE
        ]

    async def issue(self, order: EngineOrder, held: HeldLease) -> int:
        """Send one order if the lease remains held for at least the order's timeout.

        A router that is paused after this check may send its order after another
        router has acquired the lease.  Engines that check fencing numbers refuse such
        an order; others execute it.  So each unload order is stored in the table
        before it is sent: until its row is deleted, the holder of the lease does not
        count the engine as serving the model, and first loads the model on another
        one.  The row is deleted after any response.

        Returns:
            The HTTP status of the engine's response; 0 if there was none or the order
            was not sent.

        Raises:
            PlatformError: The unload order could not be stored and is not sent, or its
                row could not be deleted after a response.
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
            logger.info(
                "engine did not respond to an order", extra={"cause": str(error)}
            )
            return 0
        logger.info(
            "order sent",
            extra={
                "backend": order.backend,
                "action": order.action.value,
                "model": order.model,
                "status": status,
            },
        )
        if order.action is Action.UNLOAD:
            await self.delete_unloads([row])
        if status == httpx.codes.CONFLICT:
            # The engine has received an order from a later holder of the lease.
            self.held = None
        return status


def matches(row: OrderRow, order: EngineOrder) -> bool:
    """Return whether two orders are for the same engine and model."""
    return row.order.backend == order.backend and row.order.model == order.model


def engine_view(backends: Backends, state: BackendState) -> EngineView:
    """Return one engine's data for the placement decisions."""
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
    """Send an order and return the HTTP status of the engine's response.

    Raises:
        UnavailableError: There was no response; the engine may have executed the
            order.
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
