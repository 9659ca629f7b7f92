"""Check budgets and grants after stops against the tokens that were served."""

from __future__ import annotations

from collections import Counter

from ebonyhold.coordination import BudgetRow, GrantRow
from tests.platform.kit import EVENT_TOKENS
from tests.platform.stops._cases import Case, Disturbance
from tests.platform.stops._findings import Evidence, Guarantee, Violation

TABLE = "prepaid"


def check_money(evidence: Evidence, case: Case) -> list[Violation]:
    """Return the violations in budgets and grants after all processes have exited.

    If the store could not be reached, charges may be missing and grants outstanding;
    then only too large charges are violations.
    """
    min_served, max_served = count_served(evidence)
    reachable = case.disturbance is not Disturbance.SILENT
    faults = []
    budgets = set()
    for key, value in evidence.rows.items():
        table, workspace, *rest = key.split("/")
        if table == TABLE and rest == ["budget"]:
            budgets.add(workspace)
            low = min_served[workspace] if reachable else 0
            budget = BudgetRow(**value.get("budget", {}))
            if not low <= budget.spent <= max_served[workspace]:
                expected = f"served {min_served[workspace]} to {max_served[workspace]}"
                faults.append(f"{workspace} spent {budget.spent}, was {expected}")
            if reachable and budget.outstanding:
                faults.append(f"{workspace} has {budget.outstanding} tokens out")
        elif table == TABLE and reachable:
            held = GrantRow(**value).held
            faults += [f"{key} holds {held} tokens"] if held else []
    missing = (
        {name for name in min_served if min_served[name]} - budgets
        if reachable
        else set()
    )
    faults += [f"{name} has no budget" for name in missing]
    return [Violation(Guarantee.MONEY, fault) for fault in faults]


def count_served(evidence: Evidence) -> tuple[Counter[str], Counter[str]]:
    """Return the minimum and the maximum number of tokens served to each workspace.

    The minimum counts the events that callers received, and the maximum all events that
    engines sent; they differ for answers that were cut.
    """
    min_served: Counter[str] = Counter()
    max_served: Counter[str] = Counter()
    for request in evidence.requests:
        runs = evidence.runs.get(request.request_id)
        if runs and request.prompt and request.length.events:
            sent = max(run.sent for run in runs)
            min_served[request.workspace] += request.prompt + EVENT_TOKENS * len(
                request.events
            )
            max_served[request.workspace] += request.prompt + EVENT_TOKENS * sent
    return min_served, max_served
