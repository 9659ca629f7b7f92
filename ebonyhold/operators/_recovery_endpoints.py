"""Endpoints for requests whose outcome an operator has to decide."""

from __future__ import annotations

from ebonyhold._asgi import Request, Send, send_json
from ebonyhold.coordination import to_json
from ebonyhold.operators._context import OperatorsContext, endpoints, read_object
from ebonyhold.operators._errors import BadRequestError, NotFoundError
from ebonyhold.operators._interface import RecoverySource
from ebonyhold.types import Json, Tokens


def recovery_source(context: OperatorsContext) -> RecoverySource:
    """Return the `RecoverySource` of this router.

    Raises:
        NotFoundError: This router runs no recovery.
    """
    if context.recoveries is None:
        raise NotFoundError("this router recovers nobody")
    return context.recoveries


def get_charge(value: dict[str, Json]) -> Tokens | None:
    """Return the ``charge`` member of a JSON object in tokens, or None for null.

    Null means that the request did not run.

    Raises:
        BadRequestError: The value is missing, or neither null nor an integer of at
            least 0.
    """
    found = value.get("charge", "")
    if found is None:
        return None
    if not isinstance(found, int) or isinstance(found, bool) or found < 0:
        raise BadRequestError("charge must be a whole number, or null for not run")
    return found


def get_ran(value: dict[str, Json]) -> bool:
    """Return whether a request ran, from the ``ran`` member of a JSON object.

    Raises:
        BadRequestError: The value is missing or not a boolean.
    """
    found = value.get("ran")
    if not isinstance(found, bool):
        raise BadRequestError("ran must be true or false")
    return found


@endpoints.add("GET", "/v1/recoveries")
async def list_open(context: OperatorsContext, request: Request, send: Send) -> None:
    """Try to recover all sealed routers again; send the requests still open."""
    runs = await recovery_source(context).open_runs()
    await send_json(send, 200, {"runs": [to_json(each) for each in runs]})


@endpoints.add("POST", "/v1/recoveries/{router}/{attempt}")
async def settle(context: OperatorsContext, request: Request, send: Send) -> None:
    """Settle one open request with the charge that the operator decided."""
    charge = get_charge(await read_object(request))
    parameters = request.parameters
    recoveries = recovery_source(context)
    await recoveries.settle(parameters["router"], parameters["attempt"], charge)
    await send_json(send, 200, {"attempt": parameters["attempt"], "charge": charge})


@endpoints.add("POST", "/v1/bills/{workspace}/{request}/ruling")
async def rule_bill(context: OperatorsContext, request: Request, send: Send) -> None:
    """Record the operator's decision whether a request with an unknown outcome ran."""
    ran = get_ran(await read_object(request))
    parameters = request.parameters
    await context.bills.rule(parameters["workspace"], parameters["request"], ran=ran)
    await send_json(send, 200, {"request": parameters["request"], "ran": ran})
