"""In-memory fakes of the daemon's parts that the operators' interface uses."""

from __future__ import annotations

import hashlib
from pathlib import Path
from random import Random

from attrs import define, field

from ebonyhold.configuration import ConfigurationKeeper, VersionStore
from ebonyhold.coordination import RequestKind, RequestRow, RequestState
from ebonyhold.exceptions import BudgetError, EbonyholdError
from ebonyhold.operators import (
    Bill,
    BillPage,
    Budget,
    Discrepancy,
    FleetStatus,
    OpenRun,
    OperatorKeys,
    OperatorsContext,
    Readiness,
    Verification,
)
from ebonyhold.standins import MemoryObjects, MemoryTable

KEY = "open-sesame"


@define
class FakeStatus:
    """Status source that returns the values set by a test."""

    status: FleetStatus = field(factory=FleetStatus)
    ready: Readiness = field(factory=lambda: Readiness(True))

    async def fleet(self) -> FleetStatus:
        return self.status

    def readiness(self) -> Readiness:
        return self.ready


@define
class FakeAccounts:
    """Budgets and bills in memory; `error`, if set, is raised when a budget is read."""

    prepaid: dict[str, int] = field(factory=dict)
    keys: set[str] = field(factory=set)
    error: EbonyholdError | None = None
    discrepancies: tuple[Discrepancy, ...] = ()

    def budget(self, workspace: str) -> Budget:
        if self.error:
            raise self.error
        return Budget(workspace, self.prepaid.get(workspace, 0), 0, 0)

    async def budgets(self, workspaces: tuple[str, ...]) -> tuple[Budget, ...]:
        return tuple(self.budget(each) for each in workspaces)

    async def top_up(
        self, workspace: str, key: str, amount: int, operator: str
    ) -> Budget:
        if key not in self.keys:
            self.keys.add(key)
            self.prepaid[workspace] = self.prepaid.get(workspace, 0) + amount
        return self.budget(workspace)

    async def refund(
        self, workspace: str, key: str, request: str, amount: int, operator: str
    ) -> Budget:
        return await self.top_up(workspace, key, amount, operator)

    async def bills(self, workspace: str, after: str, limit: int) -> BillPage:
        row = RequestRow(
            RequestState.COMPLETE, RequestKind.CHAT, "r.1", "a", "e1", "d", 12, 5, 7
        )
        return BillPage((Bill(workspace, "q1", row),))

    async def rule(self, workspace: str, request: str, *, ran: bool) -> None:
        self.budget(workspace)
        self.keys.add(f"{request} {'ran' if ran else 'did not run'}")

    async def verify(self, workspaces: tuple[str, ...]) -> Verification:
        # Without names all rows are checked; this fake then counts one budget.
        return Verification(len(workspaces) or 1, self.discrepancies)


@define
class FakeRecoveries:
    """One open request, which is removed once it is settled."""

    runs: tuple[OpenRun, ...] = (OpenRun("a.1", "w", "q", "a.1~1~1", "e1", 100),)
    charges: list[int | None] = field(factory=list)

    async def open_runs(self) -> tuple[OpenRun, ...]:
        return self.runs

    async def settle(self, router: str, attempt: str, charge: int | None) -> None:
        if (router, attempt) != ("a.1", "a.1~1~1"):
            raise BudgetError(f"{attempt} is not open in the journal of {router}")
        self.charges.append(charge)
        self.runs = ()


@define
class Bench:
    """The context of the operators' interface and the fakes in it."""

    context: OperatorsContext
    table: MemoryTable
    objects: MemoryObjects
    status: FakeStatus
    accounts: FakeAccounts


def make_bench(folder: Path) -> Bench:
    """Return a context with fakes; write a key file with `KEY` for ana to a folder."""
    keys = folder / "operator-keys"
    keys.write_text(f"ana:{hashlib.sha256(KEY.encode()).hexdigest()}\n")
    table, objects = MemoryTable(), MemoryObjects()
    keeper = ConfigurationKeeper(table, VersionStore(objects), random=Random(1))
    status, accounts = FakeStatus(), FakeAccounts()
    context = OperatorsContext(
        OperatorKeys(keys),
        keeper,
        status,
        accounts,
        accounts,
        lambda: b"metric 1\n",
        FakeRecoveries(),
    )
    return Bench(context, table, objects, status, accounts)
