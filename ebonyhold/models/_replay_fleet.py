"""Two incarnations with their journals and one budget, for replays."""

from __future__ import annotations

from attrs import evolve, frozen

from ebonyhold.coordination import (
    BudgetRow,
    GrantRow,
    JournalContents,
    JournalEntry,
    JournalSegment,
    LedgerChange,
    Observed,
    RequestRow,
    RouterRow,
    RouterState,
    Row,
    Seal,
    Settlement,
    append_transaction,
    budget_key,
    grant_key,
    journal_prefix,
    plan_settlement,
    request_key,
    router_key,
    seal_transaction,
    to_json,
)
from ebonyhold.models._checking import replaced
from ebonyhold.models._replay import MemoryTable, ReplayError

WORKSPACE = "acme"
REQUEST = "r"
ROUTERS = ("A.1", "B.1")
BUDGET_KEY = budget_key(WORKSPACE)
OPEN = RouterRow(RouterState.OPEN, "d", "10.0.0.1:1", 0.0)


def router_place(place: int) -> str:
    """Return the key of a router's row."""
    return router_key(ROUTERS[place])


def grant_place(place: int) -> str:
    """Return the key of a router's grant."""
    return grant_key(ROUTERS[place], WORKSPACE)


def start_table(prepaid: int) -> MemoryTable:
    """Return a table with one budget and two open routers."""
    rows = {router_place(place): OPEN for place in range(len(ROUTERS))}
    values: dict[str, object] = {BUDGET_KEY: BudgetRow(prepaid), **rows}
    return MemoryTable({key: Row(key, 1, to_json(v)) for key, v in values.items()})


@frozen
class FleetConcrete:
    """The table, and the routers' chains in the object store.

    Attributes:
        table: The platform's table.
        chains: For each router, its segments in the object store, in order.
        numbers: For each router, its last segment's number in the table.
    """

    table: MemoryTable
    chains: tuple[tuple[JournalSegment, ...], ...] = ((), ())
    numbers: tuple[int, ...] = (0, 0)

    def opened(self, place: int) -> Observed[RouterRow]:
        """Return a router's row as the router saw it when it opened."""
        return Observed(router_place(place), 1, OPEN)

    def router(self, place: int) -> Observed[RouterRow]:
        """Return a router's row as it is now."""
        return self.table.seen(router_place(place), RouterRow)

    def is_sealed(self, place: int) -> bool:
        """Say whether a router's row says that it is sealed or closed."""
        row = self.router(place).value
        return row is not None and row.state is not RouterState.OPEN

    def is_closed(self, place: int) -> bool:
        """Say whether a router's recovery has ended."""
        row = self.router(place).value
        return row is not None and row.state is RouterState.CLOSED

    def is_shut(self, place: int) -> bool:
        """Say whether a router's chain in the object store is sealed."""
        chain = self.chains[place]
        return any(isinstance(entry, Seal) for s in chain for entry in s.entries)

    def append(self, place: int, entry: JournalEntry) -> FleetConcrete:
        """Append to a journal as a router does: the table first, then the store.

        Raises:
            ReplayError: Both places are sealed.
        """
        segment = JournalSegment((entry,))
        number = self.numbers[place] + 1
        wish = append_transaction(ROUTERS[place], self.opened(place), number, segment)
        table = self.table.commit(wish)
        if table is not None:
            numbers = replaced(self.numbers, place, number)
            return evolve(self, table=table, numbers=numbers)
        if self.is_shut(place):
            raise ReplayError("both chains are sealed")
        chain = (*self.chains[place], segment)
        return evolve(self, chains=replaced(self.chains, place, chain))

    def seal_row(self, place: int) -> FleetConcrete:
        """Seal a router's row."""
        wish = seal_transaction(self.router(place), "survivor")
        return evolve(self, table=self.table.must_commit(wish))

    def seal_chain(self, place: int) -> FleetConcrete:
        """Put a seal at the next free number of the chain in the store."""
        chain = (*self.chains[place], JournalSegment((Seal("survivor"),)))
        return evolve(self, chains=replaced(self.chains, place, chain))

    def reading(self, place: int) -> JournalContents:
        """Read a journal from both places."""
        reading = JournalContents()
        prefix = journal_prefix(ROUTERS[place])
        for key in sorted(self.table.rows):
            if key.startswith(prefix):
                segment = self.table.value(key, JournalSegment)
                assert segment is not None
                reading.add(segment.entries)
        for segment in self.chains[place]:
            reading.add(segment.entries)
        return reading

    def settlement(self, place: int, change: LedgerChange) -> Settlement:
        """Plan a settlement; a sealed router's is planned by whoever recovers it."""
        requests = {
            bill.key: self.table.seen(bill.key, RequestRow) for bill in change.bills
        }
        return plan_settlement(
            ROUTERS[place],
            self.router(place),
            self.table.seen(BUDGET_KEY, BudgetRow),
            self.table.seen(grant_place(place), GrantRow),
            requests,
            change,
            1.0,
        )

    def commit_settlement(self, settlement: Settlement) -> FleetConcrete:
        """Commit a settlement."""
        return evolve(self, table=self.table.must_commit(settlement.transaction))

    def budget(self) -> BudgetRow:
        """Return the budget."""
        return self.table.value(BUDGET_KEY, BudgetRow) or BudgetRow()

    def held(self, place: int) -> int:
        """Return what a grant's row says is held."""
        row = self.table.value(grant_place(place), GrantRow)
        return row.held if row else 0

    def request(self, request: str = REQUEST) -> Observed[RequestRow]:
        """Return a request's row."""
        return self.table.seen(request_key(WORKSPACE, request), RequestRow)
