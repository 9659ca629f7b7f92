"""What recovery left open, for operators to see and to settle."""

from __future__ import annotations

from collections.abc import Callable

from attrs import frozen

from ebonyhold.coordination import (
    ROUTER_PREFIX,
    RequestState,
    RouterRow,
    RouterState,
    Table,
    from_json,
)
from ebonyhold.exceptions import BudgetError
from ebonyhold.money import Recovery
from ebonyhold.operators import OpenRun
from ebonyhold.scans import scan_rows
from ebonyhold.types import AttemptId, RouterId, Tokens


@frozen
class Settlements:
    """Looks at every sealed router, whoever sealed it, and keeps nothing.

    Attributes:
        table: Where the routers' rows are.
        make: Makes a recovery on behalf of the present incarnation.
    """

    table: Table
    make: Callable[[], Recovery]

    async def open_runs(self) -> tuple[OpenRun, ...]:
        """Try all sealed routers again and return what still waits.

        Trying again is safe at any time, also beside the router whose job it is.

        Raises:
            UnavailableError: The platform cannot be reached.
        """
        found: list[OpenRun] = []
        for router in await self.sealed():
            report = await self.make().recover(router)
            found.extend(
                OpenRun(
                    router,
                    run.workspace,
                    run.request,
                    run.attempt,
                    run.backend,
                    run.hold,
                )
                for run in report.unsettled
            )
        return tuple(found)

    async def sealed(self) -> list[RouterId]:
        """Return the routers that are sealed and not closed.

        Raises:
            UnavailableError: The table cannot be reached.
        """
        return [
            row.key.removeprefix(ROUTER_PREFIX)
            async for row in scan_rows(self.table, ROUTER_PREFIX)
            if from_json(row.value, RouterRow).state is RouterState.SEALED
        ]

    async def settle(
        self, router: RouterId, attempt: AttemptId, charge: Tokens | None
    ) -> None:
        """Settle a run on an operator's word, and return the rest of its hold.

        Raises:
            BudgetError: The router is not sealed, or has no such run open.
            UnavailableError: The platform cannot be reached.
        """
        state = RequestState.NOT_RUN if charge is None else RequestState.INTERRUPTED
        recovery = self.make()
        try:
            await recovery.rule(router, attempt, state, charge or 0)
        except ValueError as error:
            raise BudgetError(str(error)) from error
        await recovery.recover(router)
