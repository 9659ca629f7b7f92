"""The router's own answers to requests that it refuses."""

from __future__ import annotations

import json
import random
from enum import Enum

from attrs import frozen

from ebonyhold.forwarding._types import Headers
from ebonyhold.types import Seconds


class Refusal(Enum):
    """The reason for a refusal, with its HTTP status and error code.

    Statuses 408, 429 and 503 mean that the request has not run and will not run.
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
    CRASHES_SERVERS = (400, "crashes_servers")
    SERVERS_LIMITED = (503, "servers_limited")
    VERSION_UNKNOWN = (503, "version_unknown")
    VERSION_GONE = (503, "version_gone")
    MEMORY_FULL = (503, "servers_memory_full")
    MEMORY_TOO_SMALL = (503, "server_memory_too_small")
    SERVERS_BUSY = (503, "servers_busy")

    @property
    def status(self) -> int:
        """The HTTP status."""
        return self.value[0]

    @property
    def code(self) -> str:
        """The error code."""
        return self.value[1]


RETRY_AFTER: dict[Refusal, Seconds] = {
    # The usual time until a restarted router has read the configuration.
    Refusal.NO_RULES: 0.3,
    # A lost server is usually replaced or back within a second.
    Refusal.NO_SERVER: 0.5,
    # Servers usually finish a few requests in this time.
    Refusal.SERVERS_FULL: 0.2,
    Refusal.NOT_STARTED: 0.2,
    # Requests that are being answered free memory at all times.
    Refusal.MEMORY_FULL: 0.2,
    # The tokens are in other routers' grants, and the caller's retry reaches another
    # router.
    Refusal.BUDGET_UNREACHABLE: 0.05,
    Refusal.SLOW_REQUEST: 0.1,
    # Routers learn of a stream some milliseconds after its first event.
    Refusal.VERSION_UNKNOWN: 0.1,
    # The caller's retry reaches another router. Waiting 0.8 s, until other stopping
    # routers may be back, would only delay the answer.
    Refusal.STOPPING: 0.05,
}
"""The Retry-After of each refusal, in seconds; the others have none."""

RETRY_SPREAD = 0.25
"""By up to this share each Retry-After is made longer.

Callers that were refused together then do not return together.
"""


@frozen
class OwnAnswer:
    """An answer of the router's own, ready to be written."""

    status: int
    headers: Headers
    body: bytes


def own_answer(
    refusal: Refusal, identity: Headers, retry_after: Seconds | None = None
) -> OwnAnswer:
    """Return the answer that reports a refusal.

    Args:
        refusal: The reason for the refusal.
        identity: The fields that identify the request.
        retry_after: The time after which the caller may return, in seconds; None for
            the refusal's usual one. The answer states up to RETRY_SPREAD more.
    """
    headers = [(b"content-type", b"application/json"), *identity]
    wait = RETRY_AFTER.get(refusal) if retry_after is None else retry_after
    if wait is not None:
        spread = random.uniform(1.0, 1.0 + RETRY_SPREAD)
        headers.append((b"retry-after", b"%g" % (wait * spread)))
    return OwnAnswer(
        refusal.status, headers, json.dumps({"error": refusal.code}).encode()
    )
