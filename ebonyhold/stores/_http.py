"""HTTP calls to the platform, and the errors that their failures map to."""

from __future__ import annotations

import json
import ssl
from collections.abc import Mapping
from typing import Any

import anyio
import httpx
from attrs import define, field, frozen

from ebonyhold.exceptions import (
    PlatformError,
    ThrottledError,
    UnavailableError,
    UnknownOutcomeError,
)
from ebonyhold.tracing import context_headers, hop_in_trace
from ebonyhold.types import Seconds

DEFAULT_TIMEOUT = 2.0
"""Timeout of a whole call, in seconds."""

CONNECT_SHARE = 0.5
"""The fraction of the timeout that a call may wait for a place in the pool.

Connecting may take the same time again, in all attempts together, and so may the TLS
handshakes.  The fraction must be less than 1: a pool or connect timeout proves that
nothing was sent, whereas after a timeout of the whole call a write may have taken
effect.
"""

CONNECT_TRIES = 2
"""Maximum number of attempts to open a connection; each has an equal time limit.

An attempt can time out because a packet is lost or this process is paused.  The
next one usually succeeds, and is safe since no request was sent.
"""

KEEP_ALIVE = 4.0
"""Seconds for which an idle connection is kept.

Servers must keep idle connections longer, so that they don't close one just as a
request is sent.
"""

CONNECTIONS = 32
"""Maximum number of connections to one service."""

MAX_REPLY = 8 * 1024 * 1024
"""Default maximum size of a reply body, in bytes."""

NOT_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
"""Errors that prove that no part of the request was sent."""

REFUSALS = (503,)
"""Server error statuses that mean that the call had no effect."""

THROTTLED = 429


@frozen
class Answer:
    """A complete reply of the platform.

    Attributes:
        status: The HTTP status.
        body: The whole body.
    """

    status: int
    body: bytes

    def json(self) -> Any:
        """Decode the body.

        Raises:
            ValueError: The body is not JSON.
        """
        return json.loads(self.body)


@frozen
class Call:
    """One HTTP call.

    Attributes:
        method: The HTTP method.
        path: The URL path, with its keys quoted.
        is_write: Whether the call can change data.  If there is no answer, the
            outcome of a write is unknown, whereas a read can simply be repeated.
        body: The request body, or None.
        params: The query parameters.
        headers: Request headers, besides those of tracing.
        expected: Statuses that `HttpPeer.call` returns; all others are errors.
    """

    method: str
    path: str
    is_write: bool
    body: bytes | None = None
    params: Mapping[str, str] = field(factory=dict)
    headers: Mapping[str, str] = field(factory=dict)
    expected: tuple[int, ...] = (200,)

    @property
    def name(self) -> str:
        """The method and first path segment, without keys; names the tracing span."""
        first = self.path.removeprefix("/").partition("/")[0]
        return f"{self.method} {first}"


@define
class HttpPeer:
    """A connection pool to one of the platform's services.

    Attributes:
        timeout: The timeout of a whole call, in seconds.
        client: The HTTP client that holds the connections.
        max_reply: The maximum size of a reply body, in bytes.
    """

    timeout: Seconds
    client: httpx.AsyncClient
    max_reply: int = MAX_REPLY

    @classmethod
    def connect(cls, base_url: str, timeout: Seconds) -> HttpPeer:
        """Make a pool for a service; connections are opened by the first calls."""
        limits = httpx.Limits(
            max_connections=CONNECTIONS,
            max_keepalive_connections=CONNECTIONS,
            keepalive_expiry=KEEP_ALIVE,
        )
        transport = httpx.AsyncHTTPTransport(
            limits=limits,
            verify=tls_context(base_url),
            trust_env=False,
            retries=CONNECT_TRIES - 1,
        )
        share = timeout * CONNECT_SHARE
        bounds = httpx.Timeout(timeout, connect=share / CONNECT_TRIES, pool=share)
        client = httpx.AsyncClient(
            base_url=base_url, transport=transport, timeout=bounds, trust_env=False
        )
        return cls(timeout, client)

    async def aclose(self) -> None:
        """Close all connections; the pool cannot be used again."""
        await self.client.aclose()

    async def call(self, call: Call) -> Answer:
        """Make a call and return its answer, if the status is an expected one.

        Raises:
            ThrottledError: The service's rate limit is exceeded; the call had no
                effect.
            UnavailableError: The call had no effect, or is a read.
            UnknownOutcomeError: The call is a write and may have taken effect.
        """
        try:
            with hop_in_trace(f"platform {call.name}"), anyio.fail_after(self.timeout):
                answer = await self.exchange(call)
        except NOT_SENT as error:
            raise UnavailableError(f"no connection: {error!r}") from error
        except (httpx.HTTPError, httpx.StreamError, TimeoutError) as error:
            raise unanswered_error(call, repr(error)) from error
        if answer.status in call.expected:
            return answer
        raise status_error(call, answer)

    async def exchange(self, call: Call) -> Answer:
        """Send a request and read the whole reply.

        Raises:
            httpx.HTTPError: The exchange failed.
            httpx.StreamError: The body is larger than `max_reply`.
        """
        async with self.client.stream(
            call.method,
            call.path,
            content=call.body,
            params=call.params or None,
            headers={**call.headers, **context_headers()},
        ) as response:
            body = bytearray()
            async for chunk in response.aiter_bytes():
                body += chunk
                if len(body) > self.max_reply:
                    # An endless reply would use up the memory of this process.
                    # Leaving the `async with` block closes the connection.
                    raise httpx.StreamError("the reply is too large")
            return Answer(response.status_code, bytes(body))


def tls_context(base_url: str) -> ssl.SSLContext:
    """Return the TLS context for a service, with the machine's CA certificates.

    Loading the certificates takes tens of milliseconds, so it is skipped for plain
    HTTP.  That is safe: redirects to HTTPS are not followed, and a context without
    CA certificates rejects every server.
    """
    if base_url.startswith("https:"):
        return ssl.create_default_context()
    return ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)


@define
class HttpClient:
    """The base class of the clients of the platform's services.

    Attributes:
        base_url: The URL of the service.
        timeout: The timeout of a whole call, in seconds.
        peer: The connection pool; None before the first call and after closing.
    """

    base_url: str
    timeout: Seconds = DEFAULT_TIMEOUT
    peer: HttpPeer | None = None

    def connection(self) -> HttpPeer:
        """Return the connection pool, made at the first use."""
        if self.peer is None:
            self.peer = HttpPeer.connect(self.base_url, self.timeout)
        return self.peer

    async def aclose(self) -> None:
        """Close all connections; a later call opens new ones."""
        if self.peer is not None:
            await self.peer.aclose()
            self.peer = None


def unanswered_error(call: Call, reason: str) -> PlatformError:
    """Return the error for a call whose answer is missing or unreadable.

    A write may have taken effect nevertheless, so its outcome is unknown.
    """
    text = f"{call.method} {call.path}: {reason}"
    return UnknownOutcomeError(text) if call.is_write else UnavailableError(text)


def status_error(call: Call, answer: Answer) -> PlatformError:
    """Return the error for an unexpected HTTP status.

    429, 503 and other 4xx statuses mean that the call had no effect.  After any
    other status, the outcome of a write is unknown.
    """
    text = f"{call.method} {call.path}: status {answer.status}"
    if answer.status == THROTTLED:
        return ThrottledError(text)
    if answer.status in REFUSALS:
        return UnavailableError(text)
    if 400 <= answer.status < 500:
        # The platform rejected the call as invalid, so the call had no effect.
        return UnavailableError(text)
    return unanswered_error(call, f"status {answer.status}")
