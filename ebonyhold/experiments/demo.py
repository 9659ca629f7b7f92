"""The demo: a fleet on loopback, a router killed in the middle, and the sums."""

from __future__ import annotations

import collections
import random
import signal
import sys
import time
from functools import partial
from http import HTTPStatus
from pathlib import Path
from typing import Any

import anyio
import httpx
from attrs import define, evolve, field, frozen
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn
from rich.table import Table

from ebonyhold.document import Document, load_document
from ebonyhold.experiments._callers import Callers, Score, Wanted, make_jobs
from ebonyhold.experiments._local_fleet import OPERATOR_KEY, LocalFleet, local_fleet
from ebonyhold.types import RequestId, Seconds, Tokens, WorkspaceName

REQUESTS = 400
AT_ONCE = 24
KILL_AFTER = 150
SEED = 7
SETTLE_WITHIN: Seconds = 40.0
EXAMPLE = Path(__file__).parents[2] / "examples" / "lenha-serrana.yaml"
ENDED = ("complete", "interrupted", "unknown", "not_run")


@frozen
class Billed:
    """One bill, as the operators' interface lists it."""

    workspace: WorkspaceName
    request: RequestId
    state: str
    attempt: str
    charge: Tokens


@define
class Books:
    """What the platform and the backend servers say after the run.

    Attributes:
        bills: All bills.
        budgets: Rows of ``budget show``.
        discrepancies: What ``bill verify`` found.
        bookings: How often each booking's order ran.
        engine_tokens: Tokens that each attempt ran, prompt included.
    """

    bills: list[Billed] = field(factory=list)
    budgets: list[dict[str, Any]] = field(factory=list)
    discrepancies: list[dict[str, Any]] = field(factory=list)
    bookings: collections.Counter[str] = field(factory=collections.Counter)
    engine_tokens: dict[str, Tokens] = field(factory=dict)


@frozen
class Operator:
    """Asks one router's operators' interface."""

    client: httpx.AsyncClient
    url: str

    async def get(self, path: str) -> Any:
        """Return the JSON answer of a path."""
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        while True:
            response = await self.client.get(f"{self.url}{path}", headers=headers)
            if response.status_code != HTTPStatus.SERVICE_UNAVAILABLE:
                break
            # The table's ceiling on reads is low on purpose.
            await anyio.sleep(0.5)
        response.raise_for_status()
        return response.json()


async def read_books(fleet: LocalFleet, url: str) -> Books:
    """Read the books from the table, the engines and the services."""
    books = Books()
    async with httpx.AsyncClient(timeout=20) as client:
        operator = Operator(client, url)
        for workspace in fleet.document.workspaces:
            await read_bills(operator, workspace.name, books)
        books.budgets = (await operator.get("/v1/budgets"))["budgets"]
        verified = await operator.get("/v1/bills/verify")
        books.discrepancies = verified["discrepancies"]
        for name, child in fleet.backends.items():
            records = (await client.get(f"{child.url}/records")).json()
            if name.startswith("engine"):
                for attempt in records["attempts"]:
                    books.engine_tokens[attempt["attempt"]] = (
                        attempt["prompt_tokens"] + attempt["completion_tokens"]
                    )
            else:
                for call in records["calls"]:
                    if call["method"] == "POST" and not call["replayed"]:
                        books.bookings[call["key"] or call["attempt"]] += 1
    return books


async def read_bills(operator: Operator, workspace: str, books: Books) -> None:
    """Read all bills of one workspace."""
    after = ""
    while True:
        path = f"/v1/bills?workspace={workspace}&limit=200&after={after}"
        page = await operator.get(path)
        for bill in page["bills"]:
            books.bills.append(
                Billed(
                    workspace,
                    bill["request"],
                    bill["state"],
                    bill["attempt"],
                    bill["charge"],
                )
            )
        after = page["next_after"]
        if not after:
            return


async def wait_until_settled(fleet: LocalFleet, url: str) -> Seconds:
    """Wait until nothing is outstanding but unspent grants of live routers.

    Returns:
        How long it took, in seconds; infinite when it never came to that.
    """
    began = time.monotonic()
    with anyio.move_on_after(SETTLE_WITHIN):
        while True:
            books = Books()
            async with httpx.AsyncClient(timeout=20) as client:
                for workspace in fleet.document.workspaces:
                    await read_bills(Operator(client, url), workspace.name, books)
            if all(bill.state in ENDED for bill in books.bills):
                return time.monotonic() - began
            await anyio.sleep(1.0)
    return float("inf")


def problems_of(scores: list[Score], books: Books) -> list[str]:
    """Compare what callers saw with what the platform and the servers say."""
    found: list[str] = []
    bills = {bill.request: bill for bill in books.bills}
    for score in scores:
        job = score.job
        if score.wrong:
            found.append(f"{job.key}: the answer is not the one to this request")
        bill = bills.get(job.key)
        if bill is None:
            # A stock check has no price, so it leaves no row.
            if score.answered and job.wanted is not Wanted.STOCK:
                found.append(f"{job.key}: answered, but there is no bill")
            continue
        if score.answered and bill.state not in ("complete", "unknown"):
            found.append(f"{job.key}: answered, but the bill is {bill.state}")
        if job.wanted in (Wanted.STREAM, Wanted.WHOLE) and bill.state == "complete":
            ran = books.engine_tokens.get(bill.attempt)
            if ran != bill.charge:
                found.append(f"{job.key}: billed {bill.charge}, the engine ran {ran}")
    for key, count in books.bookings.items():
        if count > 1:
            found.append(f"booking {key} ran {count} times")
    for row in books.budgets:
        if row["spent"] + row["outstanding"] > row["prepaid"]:
            found.append(f"budget {row['workspace']} is overspent")
    for one in books.discrepancies:
        found.append(f"{one['workspace']}: {one['finding']}: {one}")
    return found


def print_table(
    console: Console, scores: list[Score], books: Books, settled: Seconds
) -> None:
    """Print what happened."""
    answered = [score for score in scores if score.answered]
    refused = collections.Counter(code for score in scores for code in score.refused)
    ended = collections.Counter(
        f"{score.code} ({'not run' if score.not_run else 'unknown'})"
        for score in scores
        if not score.answered
    )
    bills = [bill for bill in books.bills if bill.state in ENDED]
    table = Table(title="ebonyhold demo: one of three routers killed in the middle")
    table.add_column("what")
    table.add_column("count", justify="right")
    for name, value in (
        ("requests", len(scores)),
        ("answered whole", len(answered)),
        ("retried by their callers", sum(score.tries > 1 for score in scores)),
        ("refused for good", ", ".join(f"{k}: {n}" for k, n in ended.items()) or 0),
        (
            "tries that failed, by code",
            ", ".join(f"{k}: {n}" for k, n in refused.items()) or 0,
        ),
        ("bookings run", sum(books.bookings.values())),
        ("bills", len(bills)),
        ("tokens billed", sum(bill.charge for bill in bills)),
        ("tokens prepaid", sum(row["prepaid"] for row in books.budgets)),
        ("tokens spent, by the budgets", sum(row["spent"] for row in books.budgets)),
        ("seconds until all was settled", f"{settled:.1f}"),
    ):
        table.add_row(name, str(value))
    console.print(table)


async def run(document: Document, seed: int, console: Console) -> bool:
    """Run the demo; return whether every promise was kept."""
    rng = random.Random(seed)
    workspaces = [workspace.name for workspace in document.workspaces]
    jobs = make_jobs(workspaces, document.models[0].model, REQUESTS, rng)
    bar = Progress(
        TextColumn("requests"), BarColumn(), MofNCompleteColumn(), console=console
    )
    async with local_fleet(document, 3) as fleet:
        victim, *others = fleet.routers
        with bar:
            task = bar.add_task("requests", total=len(jobs))

            def progress(score: Score) -> None:
                bar.advance(task)
                if bar.tasks[0].completed == KILL_AFTER:
                    victim.kill()
                    bar.console.print(f"killed {victim.name} without warning")

            callers = Callers([one.url for one in fleet.routers], rng, progress)
            scores = await callers.run(jobs, AT_ONCE)
        console.print("waiting until the survivors have settled its work")
        settled = await wait_until_settled(fleet, others[0].operators_url)
        books = await read_books(fleet, others[0].operators_url)
        print_table(console, scores, books, settled)
        found = problems_of(scores, books)
        if settled == float("inf"):
            found.append("some requests have no bill and no end")
    for one in found:
        console.print(f"[red]BROKEN[/red] {one}")
    if not found:
        console.print("[green]every promise kept[/green]")
    return not found


def main() -> int:
    """Run the demo; return the exit status."""
    console = Console()
    document = load_document(EXAMPLE)
    small = evolve(document, backends=document.backends[:4] + document.backends[6:8])
    kept = anyio.run(partial(run, small, SEED, console))
    return 0 if kept else 1


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    sys.exit(main())
