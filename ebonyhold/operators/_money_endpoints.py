"""Endpoints for budgets and bills."""

from __future__ import annotations

from ebonyhold._asgi import Request, Send, send_json
from ebonyhold.coordination import to_json
from ebonyhold.operators._context import (
    OperatorsContext,
    endpoints,
    get_amount,
    get_text,
    query_number,
    read_object,
)
from ebonyhold.operators._document_endpoints import operator_of
from ebonyhold.operators._errors import BadRequestError
from ebonyhold.operators._interface import Bill, Budget
from ebonyhold.types import Json

DEFAULT_BILLS = 100
"""Bills in one page unless the query sets a limit."""

MAX_BILLS = 1000
"""Maximum number of bills in one page."""

MAX_KEY_LENGTH = 128
"""Maximum length of an idempotency key in characters."""


def budget_to_json(budget: Budget) -> Json:
    """Return a budget as JSON."""
    return {
        "workspace": budget.workspace,
        "prepaid": budget.prepaid,
        "outstanding": budget.outstanding,
        "spent": budget.spent,
        "remaining": budget.remaining,
    }


def bill_to_json(bill: Bill) -> Json:
    """Return a bill as JSON, without the answer that may be stored with it."""
    row = bill.row
    return {
        "workspace": bill.workspace,
        "request": bill.request,
        "state": row.state.value,
        "kind": row.kind.value,
        "owner": row.owner,
        "attempt": row.attempt,
        "backend": row.backend,
        "charge": row.charge,
        "prompt_tokens": row.prompt_tokens,
        "completion_tokens": row.completion_tokens,
        "overshoot": row.overshoot,
        "refunded": row.refunded,
        "filed_at": row.filed_at,
    }


def get_key(value: dict[str, Json]) -> str:
    """Return the idempotency key in a JSON object.

    The key becomes a part of a row's key, where ``/`` separates the parts.

    Raises:
        BadRequestError: The key is missing, empty or too long, or has a ``/`` or an
            unprintable character.
    """
    key = get_text(value, "key")
    if not key or len(key) > MAX_KEY_LENGTH or "/" in key or not key.isprintable():
        raise BadRequestError("key must be 1 to 128 printable characters without /")
    return key


@endpoints.add("GET", "/v1/budgets")
async def show_budgets(context: OperatorsContext, request: Request, send: Send) -> None:
    """Send the budget of the workspace in the query, or all budgets."""
    workspaces = context.workspaces(request.query("workspace"))
    budgets = await context.budgets.budgets(workspaces)
    await send_json(send, 200, {"budgets": [budget_to_json(each) for each in budgets]})


@endpoints.add("POST", "/v1/budgets/{workspace}/top-ups")
async def top_up(context: OperatorsContext, request: Request, send: Send) -> None:
    """Add prepaid tokens to a budget, and send the new budget."""
    (workspace,) = context.workspaces(request.parameters["workspace"])
    value = await read_object(request)
    budget = await context.budgets.top_up(
        workspace, get_key(value), get_amount(value, "amount"), operator_of(request)
    )
    await send_json(send, 200, budget_to_json(budget))


@endpoints.add("POST", "/v1/budgets/{workspace}/refunds")
async def refund(context: OperatorsContext, request: Request, send: Send) -> None:
    """Refund a part of a request's charge, and send the new budget.

    The workspace need not be in the document in force.
    """
    workspace = request.parameters["workspace"]
    value = await read_object(request)
    budget = await context.budgets.refund(
        workspace,
        get_key(value),
        get_text(value, "request"),
        get_amount(value, "amount"),
        operator_of(request),
    )
    await send_json(send, 200, budget_to_json(budget))


@endpoints.add("GET", "/v1/bills")
async def list_bills(context: OperatorsContext, request: Request, send: Send) -> None:
    """Send a page of a workspace's bills and claims."""
    workspace = request.query("workspace")
    if not workspace:
        raise BadRequestError("workspace is missing")
    limit = min(MAX_BILLS, query_number(request, "limit", DEFAULT_BILLS))
    page = await context.bills.bills(workspace, request.query("after"), limit)
    bills = [bill_to_json(each) for each in page.bills]
    await send_json(send, 200, {"bills": bills, "next_after": page.next_after})


@endpoints.add("GET", "/v1/bills/verify")
async def verify_bills(context: OperatorsContext, request: Request, send: Send) -> None:
    """Check budgets against their top-ups, grants, bills and refunds.

    The answer lists the discrepancies and has status 200 even if there are some.
    """
    # Without a name all rows are checked: a workspace that was removed from the
    # document keeps its rows, and discrepancies in them must be reported too.
    named = request.query("workspace")
    found = await context.bills.verify(context.workspaces(named) if named else ())
    discrepancies = [to_json(each) for each in found.discrepancies]
    answer: Json = {"workspaces": found.workspaces, "discrepancies": discrepancies}
    await send_json(send, 200, answer)
