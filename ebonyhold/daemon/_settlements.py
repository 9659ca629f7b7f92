"""Lists and settles, for operators, request runs that recovery could not settle."""

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
    """Lists and settles the open request runs of all sealed incarnations.

    It keeps no state, and any router may have sealed the incarnations.

    Attributes:
        table: The table with the rows of routers.
        make_recovery: Returns a recovery that acts for the current incarnation.
    """

    table: Table
    make_recovery: Callable[[], Recovery]

    async def open_runs(self) -> tuple[OpenRun, ...]:
        """Repeat the recovery of sealed incarnations, and return the runs still open.

        This is safe at any time, also while another router recovers one of the
        incarnations.

        Raises:
            UnavailableError: The platform cannot be reached.
        """
        found: list[OpenRun] = []
        for router in await self.sealed_routers():
            report = await self.make_recovery().recover(router)
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

    async def sealed_routers(self) -> list[RouterId]:
        """Return the incarnations that are sealed and not closed.

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
        """Settle an open run as an operator decides, and return the rest of its hold.

        Args:
            router: The sealed incarnation.
            attempt: An attempt of the run.
            charge: The tokens to bill for the run; None if the request did not run.

        Raises:
            BudgetError: The incarnation is not sealed, or has no such open run.
            UnavailableError: The platform cannot be reached.
        """
        state = RequestState.NOT_RUN if charge is None else RequestState.INTERRUPTED
        recovery = self.make_recovery()
        try:
            await recovery.rule_on_run(router, attempt, state, charge or 0)
        except ValueError as error:
            raise BudgetError(str(error)) from error
        await recovery.recover(router)
