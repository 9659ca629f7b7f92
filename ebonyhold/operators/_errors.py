"""How errors look to operators: one JSON shape, one status for each class."""

from __future__ import annotations

import attrs
from attrs import frozen

from ebonyhold._asgi import BodyTooLargeError, Request, Send, send_json
from ebonyhold.document import Finding, FindingsError
from ebonyhold.exceptions import (
    BudgetError,
    ConfigurationError,
    EbonyholdError,
    LostRaceError,
    UnavailableError,
    UnknownOutcomeError,
)
from ebonyhold.types import Json


class BadRequestError(EbonyholdError):
    """The request cannot be understood."""

    code = "bad_request"


class NotFoundError(EbonyholdError):
    """There is no such thing."""

    code = "not_found"


class UnauthorizedError(EbonyholdError):
    """The request carries no operator's key."""

    code = "unauthorized"


@frozen
class Refusal:
    """What an operator's client receives for an error."""

    status: int
    code: str
    message: str
    detail: Json = None


STATUSES: tuple[tuple[type[EbonyholdError], int], ...] = (
    (BadRequestError, 400),
    (UnauthorizedError, 401),
    (NotFoundError, 404),
    (ConfigurationError, 404),
    (LostRaceError, 409),
    (BudgetError, 409),
    (BodyTooLargeError, 413),
    (FindingsError, 422),
    (UnavailableError, 503),
    (UnknownOutcomeError, 504),
)
"""The HTTP status of each error; any other is 500."""


def refusal_of(error: EbonyholdError) -> Refusal:
    """Return what the client receives for an error."""
    status = next((code for kind, code in STATUSES if isinstance(error, kind)), 500)
    message = str(error)
    if isinstance(error, FindingsError):
        message = f"{len(error.findings)} findings"
    return Refusal(status, error.code, message, detail_of(error))


def detail_of(error: EbonyholdError) -> Json:
    """Return what is known beyond code and message."""
    if isinstance(error, FindingsError):
        return {"findings": [finding_to_json(each) for each in error.findings]}
    if isinstance(error, LostRaceError):
        return {
            "version": error.version,
            "author": error.author,
            "changed": list(error.changed),
        }
    return None


def finding_to_json(finding: Finding) -> Json:
    """Return a finding as JSON."""
    value: dict[str, Json] = attrs.asdict(finding)
    value["severity"] = finding.severity.value
    return value


async def send_refusal(request: Request, send: Send, refusal: Refusal) -> None:
    """Send a refusal."""
    error: dict[str, Json] = {"code": refusal.code, "message": refusal.message}
    if refusal.detail is not None:
        error["detail"] = refusal.detail
    await send_json(send, refusal.status, {"error": error}, request=request)
