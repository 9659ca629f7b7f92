"""The registry of all refusal codes."""

from __future__ import annotations

from enum import Enum

from attrs import frozen


class Ran(Enum):
    """Whether a refused request ran: certainly not, or unknown."""

    NO = "not_run"
    UNKNOWN = "unknown"


class Kind(Enum):
    """The error ``type`` of the chat-completions protocol."""

    AUTHENTICATION = "authentication_error"
    PERMISSION = "permission_error"
    INVALID = "invalid_request_error"
    QUOTA = "insufficient_quota"
    RATE = "rate_limit_error"
    SERVER = "server_error"


@frozen
class RefusalCode:
    """One refusal code, as sent to callers and listed in docs/ERRORS.md.

    Attributes:
        code: The name that is sent; never changes.
        status: The HTTP status.
        kind: The error type for clients of the chat-completions protocol.
        ran: The default of `Refusal.ran`.
        meaning: One sentence; the message of a refusal without its own message.
        advice: What the caller should do.
    """

    code: str
    status: int
    kind: Kind
    ran: Ran
    meaning: str
    advice: str


codes: dict[str, RefusalCode] = {}
"""All registered codes by name."""


def register(
    code: str, status: int, kind: Kind, ran: Ran, meaning: str, advice: str
) -> RefusalCode:
    """Add a code to the registry.

    Raises:
        ValueError: A code of this name is registered already.
    """
    if code in codes:
        raise ValueError(f"refusal code {code} is registered twice")
    codes[code] = RefusalCode(code, status, kind, ran, meaning, advice)
    return codes[code]


KEY_MISSING = register(
    "key_missing",
    401,
    Kind.AUTHENTICATION,
    Ran.NO,
    "The request carries no API key.",
    "Send `Authorization: Bearer KEY`.",
)
KEY_UNKNOWN = register(
    "key_unknown",
    401,
    Kind.AUTHENTICATION,
    Ran.NO,
    "No workspace has this API key.",
    "Check the key with your operator.",
)
NOT_FOUND = register(
    "not_found",
    404,
    Kind.INVALID,
    Ran.NO,
    "There is no such path.",
    "Check the path.",
)
METHOD_NOT_ALLOWED = register(
    "method_not_allowed",
    405,
    Kind.INVALID,
    Ran.NO,
    "The path does not take this method.",
    "Use a method named in `Allow`.",
)
MODEL_UNKNOWN = register(
    "model_unknown",
    404,
    Kind.INVALID,
    Ran.NO,
    "The fleet has no route for this model.",
    "Ask `GET /v1/models` for those there are.",
)
SERVICE_UNKNOWN = register(
    "service_unknown",
    404,
    Kind.INVALID,
    Ran.NO,
    "The fleet has no route for this service.",
    "Check the service's name.",
)
BODY_TOO_LARGE = register(
    "body_too_large",
    413,
    Kind.INVALID,
    Ran.NO,
    "The request's body is larger than allowed.",
    "Send less.",
)
BODY_TIMEOUT = register(
    "body_timeout",
    408,
    Kind.INVALID,
    Ran.NO,
    "The request's body did not come in time.",
    "Send the request again, faster.",
)
BODY_MALFORMED = register(
    "body_malformed",
    400,
    Kind.INVALID,
    Ran.NO,
    "The request's body is not the JSON object that is wanted here.",
    "Correct the body.",
)
PARAMETER_INVALID = register(
    "parameter_invalid",
    400,
    Kind.INVALID,
    Ran.NO,
    "A parameter has a value that is not allowed.",
    "Correct the parameter named in `param`.",
)
KEY_INVALID = register(
    "idempotency_key_invalid",
    400,
    Kind.INVALID,
    Ran.NO,
    "The idempotency key has a form that is not allowed.",
    "Use 1 to 128 letters, digits and `. _ : ~ -`.",
)
KEY_REUSED = register(
    "idempotency_key_reused",
    422,
    Kind.INVALID,
    Ran.NO,
    "This idempotency key came before with another body.",
    "Use a new key for a new request.",
)
BUDGET_EXHAUSTED = register(
    "budget_exhausted",
    402,
    Kind.QUOTA,
    Ran.NO,
    "The workspace's prepaid tokens do not cover this request.",
    "Top the budget up, or ask for fewer tokens.",
)
BUDGET_UNREACHABLE = register(
    "budget_unreachable",
    503,
    Kind.SERVER,
    Ran.NO,
    "The budget may have tokens, but this router cannot get at them now.",
    "Try again after `Retry-After`; another router may have some.",
)
PLATFORM_UNAVAILABLE = register(
    "platform_unavailable",
    503,
    Kind.SERVER,
    Ran.NO,
    "The request could not be recorded before it would have run.",
    "Try again after `Retry-After`.",
)
CLAIM_UNAVAILABLE = register(
    "claim_unavailable",
    503,
    Kind.SERVER,
    Ran.NO,
    "A call that may run only once could not be claimed.",
    "Try again after `Retry-After` with the same idempotency key.",
)
ROUTER_SEALED = register(
    "router_sealed",
    503,
    Kind.SERVER,
    Ran.NO,
    "This router was taken for dead and is starting afresh.",
    "Try again after `Retry-After`.",
)
ROUTER_STOPPING = register(
    "router_stopping",
    503,
    Kind.SERVER,
    Ran.NO,
    "This router is stopping and takes no new requests.",
    "Try again at once; the balancer knows of others.",
)
NOT_READY = register(
    "not_ready",
    503,
    Kind.SERVER,
    Ran.NO,
    "This router has no configuration that it may serve.",
    "Try again after `Retry-After`.",
)
OVERLOADED = register(
    "overloaded",
    503,
    Kind.SERVER,
    Ran.NO,
    "The backend servers cannot begin this request in time.",
    "Try again after `Retry-After`.",
)
DEADLINE_UNREACHABLE = register(
    "deadline_unreachable",
    503,
    Kind.SERVER,
    Ran.NO,
    "The request waited as long as its deadline allowed and did not begin.",
    "Try again after `Retry-After`, or allow more time.",
)
WORKSPACE_LIMIT = register(
    "workspace_limit",
    429,
    Kind.RATE,
    Ran.NO,
    "The workspace has as many requests waiting as it may have.",
    "Try again after `Retry-After`, or send fewer at once.",
)
NO_BACKEND = register(
    "no_backend",
    503,
    Kind.SERVER,
    Ran.NO,
    "No backend server can take the request now.",
    "Try again after `Retry-After`.",
)
BACKEND_REJECTED = register(
    "backend_rejected",
    400,
    Kind.INVALID,
    Ran.NO,
    "The backend server calls the request wrong; it did not run.",
    "Read the message and correct the request.",
)
BACKEND_FAILED = register(
    "backend_failed",
    502,
    Kind.SERVER,
    Ran.UNKNOWN,
    "A backend server began, or may have begun, and gave no whole answer.",
    "A chat may be sent again, best with its idempotency key.",
)
ANSWER_INCOMPLETE = register(
    "answer_incomplete",
    502,
    Kind.SERVER,
    Ran.UNKNOWN,
    "The stream could not be completed; what came of it is correct but cut.",
    "Send the request again, best with its idempotency key.",
)
CALLER_TOO_SLOW = register(
    "caller_too_slow",
    502,
    Kind.SERVER,
    Ran.UNKNOWN,
    "The caller reads so slowly that the stream was ended.",
    "Read faster, or ask for the answer whole.",
)
OUTCOME_UNKNOWN = register(
    "outcome_unknown",
    502,
    Kind.SERVER,
    Ran.UNKNOWN,
    "A call that may run only once may have run; nobody can say yet.",
    "Ask the service what it did, or send the same idempotency key again later.",
)
INTERNAL = register(
    "internal",
    500,
    Kind.SERVER,
    Ran.UNKNOWN,
    "The router failed.",
    "Report the request id to your operator.",
)
