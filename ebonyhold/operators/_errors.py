"""Errors sent to operators as JSON, with one HTTP status for each class."""

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
    """The request is malformed, or lacks a required value."""

    code = "bad_request"


class NotFoundError(EbonyholdError):
    """What the request refers to does not exist, such as a path or a workspace."""

    code = "not_found"


class UnauthorizedError(EbonyholdError):
    """The request has no key of an operator, or an unknown one."""

    code = "unauthorized"


@frozen
class Refusal:
    """An error response to an operator.

    Attributes:
        status: The HTTP status.
        code: The error code for programs.
        message: The error message for people.
        detail: Further data, or None.
    """

    status: int
    code: str
    message: str
    detail: Json = None


HTTP_STATUSES: tuple[tuple[type[EbonyholdError], int], ...] = (
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
"""HTTP status of each error class and its subclasses; the first match applies.

Any other error has status 500.
"""


def refusal_of(error: EbonyholdError) -> Refusal:
    """Return the error response for an exception."""
    status = next(
        (code for kind, code in HTTP_STATUSES if isinstance(error, kind)), 500
    )
    message = str(error)
    if isinstance(error, FindingsError):
        message = f"{len(error.findings)} findings"
    return Refusal(status, error.code, message, detail_of(error))


def detail_of(error: EbonyholdError) -> Json:
    """Return the findings, or the version that won a race; None for other errors."""
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
    """Send an error response as JSON, and discard an unread request body."""
    error: dict[str, Json] = {"code": refusal.code, "message": refusal.message}
    if refusal.detail is not None:
        error["detail"] = refusal.detail
    await send_json(send, refusal.status, {"error": error}, request=request)
