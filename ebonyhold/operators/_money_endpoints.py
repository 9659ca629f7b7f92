"""Endpoints for budgets and bills."""

from __future__ import annotations

from ebonyhold._asgi import Request, Send, send_json
from ebonyhold.coordination import to_json
from ebonyhold.operators._context import (
    OperatorsContext,
    endpoints,
    query_number,
    read_object,
    take_amount,
    take_text,
)
from ebonyhold.operators._document_endpoints import operator_of
from ebonyhold.operators._errors import BadRequestError
from ebonyhold.operators._interface import Bill, Budget
from ebonyhold.types import Json

DEFAULT_BILLS = 100
MOST_BILLS = 1000
LONGEST_KEY = 128


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
    """Return a bill as JSON, without the answer it may keep."""
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


def take_key(value: dict[str, Json]) -> str:
    """Return a request's idempotency key.

    Raises:
        BadRequestError: It is missing, too long, or would not fit into a row's key.
    """
    key = take_text(value, "key")
    if not key or len(key) > LONGEST_KEY or "/" in key or not key.isprintable():
        raise BadRequestError("key must be 1 to 128 printable characters without /")
    return key


@endpoints.add("GET", "/v1/budgets")
async def show_budgets(context: OperatorsContext, request: Request, send: Send) -> None:
    """Answer with one workspace's budget, or with all."""
    workspaces = context.workspaces(request.query("workspace"))
    budgets = await context.budgets.budgets(workspaces)
    await send_json(send, 200, {"budgets": [budget_to_json(each) for each in budgets]})


@endpoints.add("POST", "/v1/budgets/{workspace}/top-ups")
async def top_up(context: OperatorsContext, request: Request, send: Send) -> None:
    """Add prepaid tokens."""
    (workspace,) = context.workspaces(request.parameters["workspace"])
    value = await read_object(request)
    budget = await context.budgets.top_up(
        workspace, take_key(value), take_amount(value, "amount"), operator_of(request)
    )
    await send_json(send, 200, budget_to_json(budget))


@endpoints.add("POST", "/v1/budgets/{workspace}/refunds")
async def refund(context: OperatorsContext, request: Request, send: Send) -> None:
    """Give billed tokens back."""
    workspace = request.parameters["workspace"]
    value = await read_object(request)
    budget = await context.budgets.refund(
        workspace,
        take_key(value),
        take_text(value, "request"),
        take_amount(value, "amount"),
        operator_of(request),
    )
    await send_json(send, 200, budget_to_json(budget))


@endpoints.add("GET", "/v1/bills")
async def list_bills(context: OperatorsContext, request: Request, send: Send) -> None:
    """Answer with a page of a workspace's bills."""
    workspace = request.query("workspace")
    if not workspace:
        raise BadRequestError("workspace is missing")
    limit = min(MOST_BILLS, query_number(request, "limit", DEFAULT_BILLS))
    page = await context.bills.bills(workspace, request.query("after"), limit)
    bills = [bill_to_json(each) for each in page.bills]
    await send_json(send, 200, {"bills": bills, "next_after": page.next_after})


@endpoints.add("GET", "/v1/bills/verify")
async def verify_bills(context: OperatorsContext, request: Request, send: Send) -> None:
    """Check that bills add up to budgets."""
    # Without a name every row counts: a workspace that was taken out of the
    # document keeps its rows, and a fault in them must not go unseen.
    named = request.query("workspace")
    found = await context.bills.verify(context.workspaces(named) if named else ())
    discrepancies = [to_json(each) for each in found.discrepancies]
    answer: Json = {"workspaces": found.workspaces, "discrepancies": discrepancies}
    await send_json(send, 200, answer)
