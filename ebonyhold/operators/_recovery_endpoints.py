"""Endpoints for what recovery could not settle by itself."""

from __future__ import annotations

from ebonyhold._asgi import Request, Send, send_json
from ebonyhold.coordination import to_json
from ebonyhold.operators._context import OperatorsContext, endpoints, read_object
from ebonyhold.operators._errors import BadRequestError, NotFoundError
from ebonyhold.operators._interface import RecoverySource
from ebonyhold.types import Json, Tokens


def source(context: OperatorsContext) -> RecoverySource:
    """Return what knows of recoveries.

    Raises:
        NotFoundError: This daemon recovers nobody.
    """
    if context.recoveries is None:
        raise NotFoundError("this router recovers nobody")
    return context.recoveries


def take_charge(value: dict[str, Json]) -> Tokens | None:
    """Return what a run cost; None, said as null, when it did not run.

    Raises:
        BadRequestError: It is missing or no amount.
    """
    found = value.get("charge", "")
    if found is None:
        return None
    if not isinstance(found, int) or isinstance(found, bool) or found < 0:
        raise BadRequestError("charge must be a whole number, or null for not run")
    return found


def take_ran(value: dict[str, Json]) -> bool:
    """Return whether a request ran.

    Raises:
        BadRequestError: It is missing.
    """
    found = value.get("ran")
    if not isinstance(found, bool):
        raise BadRequestError("ran must be true or false")
    return found


@endpoints.add("GET", "/v1/recoveries")
async def list_open(context: OperatorsContext, request: Request, send: Send) -> None:
    """Answer with the runs that wait for evidence or for an operator."""
    runs = await source(context).open_runs()
    await send_json(send, 200, {"runs": [to_json(each) for each in runs]})


@endpoints.add("POST", "/v1/recoveries/{router}/{attempt}")
async def settle(context: OperatorsContext, request: Request, send: Send) -> None:
    """Settle one run on the operator's word."""
    charge = take_charge(await read_object(request))
    parameters = request.parameters
    recoveries = source(context)
    await recoveries.settle(parameters["router"], parameters["attempt"], charge)
    await send_json(send, 200, {"attempt": parameters["attempt"], "charge": charge})


@endpoints.add("POST", "/v1/bills/{workspace}/{request}/ruling")
async def rule_bill(context: OperatorsContext, request: Request, send: Send) -> None:
    """Settle a bill whose outcome is unknown, on the operator's word."""
    ran = take_ran(await read_object(request))
    parameters = request.parameters
    await context.bills.rule(parameters["workspace"], parameters["request"], ran=ran)
    await send_json(send, 200, {"request": parameters["request"], "ran": ran})
