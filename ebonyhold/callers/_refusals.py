"""Refusals as JSON bodies and error events, and the mapping of errors to them."""

from __future__ import annotations

import json
import math

from attrs import frozen

from ebonyhold.callers._codes import (
    BACKEND_FAILED,
    BUDGET_EXHAUSTED,
    BUDGET_UNREACHABLE,
    CLAIM_UNAVAILABLE,
    INTERNAL,
    KEY_REUSED,
    OUTCOME_UNKNOWN,
    PLATFORM_UNAVAILABLE,
    ROUTER_SEALED,
    Ran,
    RefusalCode,
)
from ebonyhold.exceptions import (
    BackendError,
    BudgetExhaustedError,
    BudgetUnreachableError,
    ClaimUnavailableError,
    EbonyholdError,
    KeyReusedError,
    OutcomeUnknownError,
    SealedError,
    UnavailableError,
    UnknownOutcomeError,
)
from ebonyhold.types import Json, RequestId, Seconds


class Refusal(EbonyholdError):
    """Ends a request with one of the registered codes.

    Attributes:
        reason: The refusal code with its status, type and default message.
        retry_after: After how many seconds to try again, or None.
        param: The invalid parameter, or empty.
        ran: Whether the request ran; by default as in `reason`.
    """

    code = "refusal"

    def __init__(
        self,
        reason: RefusalCode,
        message: str = "",
        *,
        retry_after: Seconds | None = None,
        param: str = "",
        ran: Ran | None = None,
    ) -> None:
        super().__init__(message or reason.meaning)
        self.reason = reason
        self.retry_after = retry_after
        self.param = param
        self.ran = ran or reason.ran

    def value(self, request: RequestId) -> Json:
        """Return the JSON body of the refusal."""
        error: dict[str, Json] = {
            "message": str(self),
            "type": self.reason.kind.value,
            "code": self.reason.code,
            "param": self.param or None,
            "request_id": request,
        }
        if self.ran is Ran.NO:
            error["not_run"] = True
        else:
            error["outcome"] = "unknown"
        if self.retry_after is not None:
            error["retry_after"] = round(self.retry_after, 3)
        return {"error": error}

    def headers(self) -> list[tuple[bytes, bytes]]:
        """Return the Retry-After header, if any, rounded up to whole seconds."""
        if self.retry_after is None:
            return []
        seconds = max(1, math.ceil(self.retry_after))
        return [(b"retry-after", str(seconds).encode())]

    def event(self, request: RequestId) -> bytes:
        """Return the error event that ends a stream which cannot be completed."""
        body = json.dumps(self.value(request), separators=(",", ":"))
        return f"event: error\ndata: {body}\n\n".encode()


SOON: Seconds = 1.0
"""After how many seconds to try again if there is no better estimate."""


@frozen
class Mapping:
    """The refusal code and retry time for one class of errors."""

    error: type[EbonyholdError]
    reason: RefusalCode
    retry_after: Seconds | None = None


MAPPINGS = (
    Mapping(BudgetExhaustedError, BUDGET_EXHAUSTED),
    Mapping(BudgetUnreachableError, BUDGET_UNREACHABLE, 2.0),
    Mapping(KeyReusedError, KEY_REUSED),
    Mapping(ClaimUnavailableError, CLAIM_UNAVAILABLE, SOON),
    Mapping(OutcomeUnknownError, OUTCOME_UNKNOWN, SOON),
    Mapping(UnavailableError, PLATFORM_UNAVAILABLE, SOON),
    Mapping(SealedError, ROUTER_SEALED, SOON),
    Mapping(UnknownOutcomeError, INTERNAL, SOON),
    Mapping(BackendError, BACKEND_FAILED, SOON),
)
"""The mappings of errors; the first one whose class matches is used."""


def refusal_for(error: Exception) -> Refusal:
    """Return the refusal for an error; `INTERNAL` without its text if none matches."""
    if isinstance(error, Refusal):
        return error
    for mapping in MAPPINGS:
        if isinstance(error, mapping.error):
            return Refusal(mapping.reason, str(error), retry_after=mapping.retry_after)
    return Refusal(INTERNAL)
