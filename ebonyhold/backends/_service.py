"""Client that sends attempts to plain services."""

from __future__ import annotations

import httpx
from attrs import define

from ebonyhold.backends._http import (
    ATTEMPT_HEADER,
    BOOT_HEADER,
    base_url,
    check_attempt,
    check_end,
    open_response,
    read_bounded,
)
from ebonyhold.backends._messages import Answer, ServiceCall
from ebonyhold.document import Backend

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers that apply to one connection and are never forwarded."""

OWN_REQUEST_HEADERS = frozenset(
    {"host", "content-length", "authorization", "accept-encoding", "expect"}
)
"""Headers of the caller's request that are not forwarded.

Some are set by the router itself; the service must not receive the others.
"""

OWN_ANSWER_HEADERS = frozenset({"content-length", "content-encoding", "date", "server"})
"""Response headers that are not forwarded; the router's listener sets its own."""


@define
class ServiceClient:
    """Sends attempts to plain services.

    Attributes:
        client: The HTTP client.
    """

    client: httpx.AsyncClient

    async def call(self, backend: Backend, call: ServiceCall) -> Answer:
        """Send an attempt and return its complete answer, with any HTTP status.

        Raises:
            UnreachableError: No connection could be opened, so nothing was sent.
            BackendError: There was no complete answer; the attempt may have run.
        """
        request = self.client.build_request(
            call.method,
            base_url(backend) + call.target,
            content=call.body or None,
            headers=[*call.headers, *own_headers(call)],
            timeout=httpx.Timeout(call.timeout, connect=connect_timeout(self.client)),
        )
        async with open_response(self.client, request, call.timeout) as response:
            check_attempt(response, call.attempt)
            body = await read_bounded(response, call.max_body)
            await check_end(response)
            return Answer(
                response.status_code,
                response.headers.get("content-type", ""),
                body,
                response.headers.get(BOOT_HEADER, ""),
                answer_headers(response),
            )


def connect_timeout(client: httpx.AsyncClient) -> float | None:
    """Return the client's timeout for connecting, in seconds, or None without one."""
    return client.timeout.connect


def own_headers(call: ServiceCall) -> list[tuple[str, str]]:
    """Return the request headers that the router adds."""
    headers = [(ATTEMPT_HEADER, call.attempt), ("Accept-Encoding", "identity")]
    if call.key:
        headers.append(("Idempotency-Key", call.key))
    return headers


def request_headers(
    raw: tuple[tuple[str, str], ...],
) -> tuple[tuple[str, str], ...]:
    """Return the caller's headers that are forwarded to the service.

    >>> request_headers((("connection", "x-mine"), ("x-mine", "1"), ("accept", "*")))
    (('accept', '*'),)
    """
    dropped = HOP_BY_HOP | OWN_REQUEST_HEADERS | named_by_connection(raw)
    dropped |= {"idempotency-key", ATTEMPT_HEADER.lower(), "traceparent", "tracestate"}
    return tuple((name, value) for name, value in raw if name.lower() not in dropped)


def answer_headers(response: httpx.Response) -> tuple[tuple[str, str], ...]:
    """Return the service's headers, except Content-Type, that go to the caller.

    Content-Type is in `Answer.content_type` instead.
    """
    raw = tuple(response.headers.multi_items())
    dropped = HOP_BY_HOP | OWN_ANSWER_HEADERS | named_by_connection(raw)
    dropped |= {"content-type", ATTEMPT_HEADER.lower(), BOOT_HEADER.lower()}
    return tuple((name, value) for name, value in raw if name.lower() not in dropped)


def named_by_connection(raw: tuple[tuple[str, str], ...]) -> frozenset[str]:
    """Return the names that Connection headers declare hop-by-hop, in lower case."""
    return frozenset(
        token.strip().lower()
        for name, value in raw
        if name.lower() == "connection"
        for token in value.split(",")
    )
