"""Whether money is whole after stops: budgets, grants, and what was served."""

from __future__ import annotations

from collections import Counter

from ebonyhold.coordination import BudgetRow, GrantRow
from tests.platform.kit import EVENT_TOKENS
from tests.platform.stops._cases import Case, Trouble
from tests.platform.stops._findings import Broken, Evidence, Promise

TABLE = "prepaid"


def judge_money(evidence: Evidence, case: Case) -> list[Broken]:
    """Return what budgets and grants have wrong after all processes ended."""
    least, most = served(evidence)
    reachable = case.trouble is not Trouble.SILENT
    faults = []
    budgets = set()
    for key, value in evidence.rows.items():
        table, workspace, *rest = key.split("/")
        if table == TABLE and rest == ["budget"]:
            budgets.add(workspace)
            low = least[workspace] if reachable else 0
            budget = BudgetRow(**value.get("budget", {}))
            if not low <= budget.spent <= most[workspace]:
                known = f"served {least[workspace]} to {most[workspace]}"
                faults.append(f"{workspace} spent {budget.spent}, was {known}")
            if reachable and budget.outstanding:
                faults.append(f"{workspace} has {budget.outstanding} tokens out")
        elif table == TABLE and reachable:
            held = GrantRow(**value).held
            faults += [f"{key} holds {held} tokens"] if held else []
    missing = {name for name in least if least[name]} - budgets if reachable else set()
    faults += [f"{name} has no budget" for name in missing]
    return [Broken(Promise.MONEY, fault) for fault in faults]


def served(evidence: Evidence) -> tuple[Counter[str], Counter[str]]:
    """Return the least and the most tokens that each workspace can have been served.

    They differ by what engines sent of an answer that was cut.
    """
    least: Counter[str] = Counter()
    most: Counter[str] = Counter()
    for one in evidence.tries:
        runs = evidence.runs.get(one.request)
        if runs and one.prompt and one.length.events:
            sent = max(run.sent for run in runs)
            least[one.workspace] += one.prompt + EVENT_TOKENS * len(one.events)
            most[one.workspace] += one.prompt + EVENT_TOKENS * sent
    return least, most
