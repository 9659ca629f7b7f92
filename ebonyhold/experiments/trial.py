"""A trial: a fleet on loopback, troubles, and the checker's judgement.

``python -m ebonyhold.experiments.trial --requests 300 streams table kill``
"""

from __future__ import annotations

import argparse
import collections
import random
import re
import sys
from collections.abc import Sequence
from contextlib import suppress

import anyio
import httpx
from attrs import evolve, frozen
from rich.console import Console
from rich.table import Table

from ebonyhold.coordination import (
    BUDGET_PREFIX,
    REQUEST_PREFIX,
    BudgetRow,
    RequestRow,
    RequestState,
)
from ebonyhold.document import Document, load_document
from ebonyhold.experiments._callers import make_jobs
from ebonyhold.experiments._local_fleet import OPERATOR_KEY, LocalFleet, local_fleet
from ebonyhold.experiments._troubles import (
    TROUBLES,
    Strikes,
    calm,
    is_engine,
    sight_versions,
)
from ebonyhold.experiments._witness import Witnesses
from ebonyhold.experiments.checker import (
    Broken,
    Evidence,
    check,
    fetch_engines,
    fetch_rows,
    fetch_services,
)
from ebonyhold.experiments.demo import EXAMPLE
from ebonyhold.types import Seconds, Tokens

AT_ONCE = 24
ROUTERS = 3
STRIKE_EVERY: Seconds = 0.1
SETTLE_WITHIN: Seconds = 60.0
POLL: Seconds = 0.5
QUIET: Seconds = 2.0
UNFILED = re.compile(r"^ebonyhold_unfiled_bills (\S+)$", re.MULTILINE)
ENGINES = slice(0, 4)
SERVICES = slice(6, 8)
CONTROL_TIMEOUT: Seconds = 10.0


@frozen
class Verdict:
    """What came of a trial."""

    evidence: Evidence
    codes: tuple[str, ...]
    broken: tuple[Broken, ...]


def trial_document(prepaid: Tokens) -> Document:
    """Return an example document with backend servers for one machine.

    Args:
        prepaid: What each workspace has, in tokens; 0 for the example's amounts.
    """
    document = load_document(EXAMPLE)
    backends = document.backends[ENGINES] + document.backends[SERVICES]
    workspaces = document.workspaces
    if prepaid:
        workspaces = tuple(evolve(one, prepaid=prepaid) for one in workspaces)
    return evolve(document, backends=backends, workspaces=workspaces)


async def run_trial(
    requests: int, troubles: Sequence[str], seed: int, prepaid: Tokens = 0
) -> Verdict:
    """Run a trial and judge it."""
    chance = random.Random(seed)
    document = trial_document(prepaid)
    workspaces = [workspace.name for workspace in document.workspaces]
    jobs = make_jobs(workspaces, document.models[0].model, requests, chance)
    async with local_fleet(document, ROUTERS) as fleet:
        witnesses = Witnesses([router.url for router in fleet.routers], chance)
        async with httpx.AsyncClient(
            trust_env=False, timeout=CONTROL_TIMEOUT
        ) as client:
            strikes = Strikes(fleet, client, random.Random(seed))
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(strike, strikes, witnesses, troubles, requests)
                await witnesses.run(jobs, AT_ONCE)
                tasks.cancel_scope.cancel()
            await calm(strikes)
        await settle(fleet)
        evidence = await anyio.to_thread.run_sync(collect, fleet, witnesses, strikes)
    return Verdict(evidence, tuple(witnesses.codes), tuple(check(evidence)))


async def strike(
    strikes: Strikes, witnesses: Witnesses, troubles: Sequence[str], requests: int
) -> None:
    """Let the troubles strike, again and again."""
    while True:
        await anyio.sleep(STRIKE_EVERY)
        strikes.progress = witnesses.ended / requests
        for name in troubles:
            await TROUBLES[name](strikes)
        await sight_versions(strikes)


async def settle(fleet: LocalFleet) -> None:
    """Wait a bounded time until each request has its end.

    What has none by then is the checker's to find.  Bills of chats have no row
    before they are filed, and after an outage a filing may come again only some
    seconds later; so the routers are asked whether they still have any.  They
    are asked only how long to wait, never how it went.
    """
    url = fleet.platform["table"].url
    with anyio.move_on_after(SETTLE_WITHIN):
        while True:
            rows = await anyio.to_thread.run_sync(fetch_rows, url)
            bills = Evidence(rows=rows).rows_under(REQUEST_PREFIX, RequestRow)
            ended = all(bill.state is not RequestState.RUNNING for _, bill in bills)
            if ended and not await unfiled_bills(fleet):
                await anyio.sleep(QUIET)
                if len(await anyio.to_thread.run_sync(fetch_rows, url)) == len(rows):
                    return
            await anyio.sleep(POLL)


async def unfiled_bills(fleet: LocalFleet) -> float:
    """Return how many bills the routers that answer have still to file."""
    total = 0.0
    headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
    async with httpx.AsyncClient(trust_env=False) as client:
        for router in fleet.routers:
            with suppress(httpx.TransportError):
                url = f"{router.operators_url}/metrics"
                text = (await client.get(url, headers=headers)).text
                total += sum(map(float, UNFILED.findall(text)))
    return total


def collect(fleet: LocalFleet, witnesses: Witnesses, strikes: Strikes) -> Evidence:
    """Gather what everybody but the routers has put down."""
    children = fleet.backends.items()
    engines = tuple(child.url for name, child in children if is_engine(name))
    services = tuple(child.url for name, child in children if not is_engine(name))
    return Evidence(
        engines=fetch_engines(engines),
        services=fetch_services(services),
        rows=fetch_rows(fleet.platform["table"].url),
        callers=tuple(witnesses.records),
        stops=tuple(strikes.stops),
        accepted=tuple(strikes.accepted),
        sightings=tuple(strikes.sightings),
    )


def print_verdict(console: Console, verdict: Verdict) -> None:
    """Print what happened, and each promise that was broken."""
    evidence = verdict.evidence
    outcomes = collections.Counter(one.outcome.value for one in evidence.callers)
    codes = collections.Counter(verdict.codes)
    bills = evidence.rows_under(REQUEST_PREFIX, RequestRow)
    states = collections.Counter(bill.state.value for _, bill in bills)
    table = Table(title="ebonyhold trial")
    table.add_column("what")
    table.add_column("count")
    for name, counts in (("tries", outcomes), ("codes", codes), ("bills", states)):
        shown = ", ".join(f"{key}: {count}" for key, count in sorted(counts.items()))
        table.add_row(name, shown or "none")
    budgets = dict(evidence.rows_under(BUDGET_PREFIX, BudgetRow)).values()
    table.add_row("tokens prepaid", str(sum(one.prepaid for one in budgets)))
    table.add_row("tokens spent", str(sum(one.spent for one in budgets)))
    table.add_row("tokens held", str(sum(one.outstanding for one in budgets)))
    table.add_row("engine runs", str(len(evidence.engines)))
    table.add_row("service runs", str(len(evidence.services)))
    table.add_row("promises broken", str(len(verdict.broken)))
    console.print(table)
    for broken in verdict.broken:
        console.print(f"BROKEN {broken}", soft_wrap=True)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one trial; return 1 when a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "troubles", nargs="*", metavar="trouble", help=", ".join(TROUBLES)
    )
    parser.add_argument("--requests", type=int, default=300)
    parser.add_argument("--seed", type=int, default=7)
    parser.add_argument("--prepaid", type=int, default=0, help="tokens, each")
    options = parser.parse_args(arguments)
    verdict = anyio.run(
        run_trial, options.requests, options.troubles, options.seed, options.prepaid
    )
    print_verdict(Console(), verdict)
    return 1 if verdict.broken else 0


if __name__ == "__main__":
    sys.exit(main())
