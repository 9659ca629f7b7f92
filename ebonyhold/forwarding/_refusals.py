"""Answers of the router's own, each true and with its reason."""

from __future__ import annotations

import json
from enum import Enum

from attrs import frozen

from ebonyhold.forwarding._types import Headers
from ebonyhold.types import Seconds


class Refusal(Enum):
    """Why the router answers itself: a status and a code.

    408, 429 and 503 promise that the request has not run and will not.
    """

    MALFORMED = (400, "malformed_request")
    UNKNOWN_KEY = (401, "unknown_key")
    BUDGET_EXHAUSTED = (402, "budget_exhausted")
    NO_ROUTE = (404, "no_route")
    SLOW_REQUEST = (408, "request_too_slow")
    BODY_TOO_LARGE = (413, "body_too_large")
    BUDGET_UNREACHABLE = (429, "budget_unreachable")
    HEAD_TOO_LARGE = (431, "head_too_large")
    FAULT = (500, "internal_fault")
    SERVER_LOST = (502, "server_lost")
    NO_RULES = (503, "no_configuration")
    NO_SERVER = (503, "no_server")
    SERVERS_FULL = (503, "servers_full")
    NOT_STARTED = (503, "not_started_in_time")
    STOPPING = (503, "router_stopping")
    NO_ANSWER = (504, "no_answer_in_time")

    @property
    def status(self) -> int:
        """Return the status."""
        return self.value[0]

    @property
    def code(self) -> str:
        """Return the code."""
        return self.value[1]


RETRY_AFTER: dict[Refusal, Seconds] = {
    # Until a restarted router has read the configuration, usually.
    Refusal.NO_RULES: 0.3,
    # A server that was lost is replaced or back within a second, usually.
    Refusal.NO_SERVER: 0.5,
    # The time in which a few slots become free.
    Refusal.SERVERS_FULL: 0.2,
    Refusal.NOT_STARTED: 0.2,
    # Tokens lie with other routers, and the next try reaches another one.
    Refusal.BUDGET_UNREACHABLE: 0.05,
    Refusal.SLOW_REQUEST: 0.1,
    # The next try reaches another router.  After 0.8 s, when neighbours that stop as
    # well might be back, callers are served no better, and later.
    Refusal.STOPPING: 0.05,
}
"""When a caller should come back, in seconds."""


@frozen
class OwnAnswer:
    """An answer of the router's own, ready to be written."""

    status: int
    headers: Headers
    body: bytes


def own_answer(refusal: Refusal, identity: Headers) -> OwnAnswer:
    """Return the answer that tells of a refusal.

    Args:
        refusal: Why the request is refused.
        identity: The fields that name the request.
    """
    headers = [(b"content-type", b"application/json"), *identity]
    wait = RETRY_AFTER.get(refusal)
    if wait is not None:
        headers.append((b"retry-after", b"%g" % wait))
    return OwnAnswer(
        refusal.status, headers, json.dumps({"error": refusal.code}).encode()
    )
