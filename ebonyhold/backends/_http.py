"""The HTTP client for backend servers, and the errors that it raises."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import httpx

from ebonyhold.backends._messages import Timeouts
from ebonyhold.backends._transport import PooledByServer
from ebonyhold.document import Backend
from ebonyhold.exceptions import BackendError
from ebonyhold.types import AttemptId, Seconds

ATTEMPT_HEADER = "X-Attempt-Id"
BOOT_HEADER = "X-Boot-Id"
RESUME_HEADER = "X-Resume-Tokens"
PRIORITY_HEADER = "X-Priority"
EXPECT_BOOT_HEADER = "X-Expect-Boot-Id"

RETRYABLE_STATUSES = (404, 409, 429, 503)
"""Statuses that mean that the attempt did not run, but may run at another engine.

404: the model is not loaded; 409: the attempt was closed before it arrived; 429: the
queue is full; 503: the server is leaving.
"""

BODILESS = (204, 304)
"""Statuses whose responses have no body."""

DEFAULT_PORTS = {"http": 80, "https": 443}

END_CHECK_TIMEOUT: Seconds = 0.25
"""Maximum time to wait for a server to prove that it runs on."""


class RefusedError(BackendError):
    """The server refused the attempt without running it.

    Attributes:
        status: The HTTP status.
        body: The body of the server's response.
        permanent: Whether other servers are expected to refuse the attempt too.
    """

    code = "backend_refused"

    def __init__(self, status: int, body: bytes, *, permanent: bool) -> None:
        super().__init__(f"the backend server answered {status}", ran=False)
        self.status = status
        self.body = body
        self.permanent = permanent


class UnreachableError(BackendError):
    """No connection could be opened, so nothing was sent."""

    code = "backend_unreachable"

    def __init__(self, message: str) -> None:
        super().__init__(message, ran=False)


def make_client(
    timeouts: Timeouts, transport: httpx.AsyncBaseTransport | None = None
) -> httpx.AsyncClient:
    """Return a client for HTTP/1.1 without proxies, redirects or cookies.

    With HTTP/1.1 no two attempts use a connection at the same time.  A connection
    returns to the pool only after its response was read to the end, and closing a
    response early closes its connection, so no request can read an earlier response.

    Args:
        timeouts: The timeouts; `connect` and `stall` are used, the latter for reads and
            writes.
        transport: Replaces the transport over TCP, in tests.
    """
    return httpx.AsyncClient(
        timeout=httpx.Timeout(
            timeouts.stall, connect=timeouts.connect, pool=timeouts.connect
        ),
        transport=transport or PooledByServer(),
        trust_env=False,
        follow_redirects=False,
    )


def base_url(backend: Backend) -> str:
    """Return the URL of a backend server, without a path."""
    scheme = "https" if backend.tls else "http"
    return f"{scheme}://{backend.address}"


@asynccontextmanager
async def open_response(
    client: httpx.AsyncClient, request: httpx.Request, timeout: float
) -> AsyncIterator[httpx.Response]:
    """Send a request and yield its response once all headers have arrived.

    The response is closed when the context is left.

    Args:
        client: The client.
        request: The request.
        timeout: The time from the start of the request until all headers must have
            arrived, in seconds; a server that sends them slowly cannot extend it.

    Raises:
        UnreachableError: No connection could be opened, so nothing ran.
        BackendError: Any other failure; the request may have run.
    """
    try:
        with anyio.fail_after(timeout):
            response = await client.send(request, stream=True)
    except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
        raise UnreachableError(f"no connection: {error}") from error
    except (httpx.HTTPError, httpx.StreamError, TimeoutError, ValueError) as error:
        raise BackendError(f"no answer: {error!r}", ran=True) from error
    try:
        yield response
    finally:
        with anyio.CancelScope(shield=True):
            await response.aclose()


def check_attempt(response: httpx.Response, attempt: AttemptId) -> None:
    """Raise an error for a response that belongs to another attempt.

    Such a response has another attempt's identifier in ``X-Attempt-Id``; a response
    without this header is accepted.  The error makes `open_response` close the response
    and its connection, so that none of the body is used.

    Raises:
        BackendError: The response names another attempt; this one may have run.
    """
    named = response.headers.get(ATTEMPT_HEADER)
    if named is not None and named != attempt:
        raise BackendError("the answer belongs to another attempt", ran=True)


def states_end(response: httpx.Response) -> bool:
    """Return whether a response states its own end, by a length or by chunks.

    >>> states_end(httpx.Response(200, content=b"a")), states_end(httpx.Response(204))
    (True, True)
    >>> states_end(httpx.Response(200))
    False
    """
    framed = {"content-length", "transfer-encoding"} & set(response.headers)
    return bool(framed) or response.status_code in BODILESS


async def check_end(response: httpx.Response) -> None:
    """Check that a response that was read to its end is complete.

    One that ends with its connection is, if its server still accepts connections: a
    server that crashes closes its connections just like one that has finished.

    Raises:
        BackendError: The response may be incomplete.
    """
    if states_end(response) or response.request.method == "HEAD":
        return
    url = response.request.url
    port = url.port or DEFAULT_PORTS[url.scheme]
    try:
        with anyio.fail_after(END_CHECK_TIMEOUT):
            stream = await anyio.connect_tcp(url.host, port)
    except (OSError, TimeoutError) as error:
        raise BackendError(f"half an answer: {error!r}", ran=True) from error
    await stream.aclose()


async def read_bounded(response: httpx.Response, max_bytes: int) -> bytes:
    """Return the complete body of a response.

    Raises:
        BackendError: The body is larger than `max_bytes`, or ends early.
    """
    parts: list[bytes] = []
    size = 0
    try:
        async for part in response.aiter_bytes():
            size += len(part)
            if size > max_bytes:
                raise BackendError("the answer is too large", ran=True)
            parts.append(part)
    except (httpx.HTTPError, httpx.StreamError) as error:
        raise BackendError(f"half an answer: {error!r}", ran=True) from error
    return b"".join(parts)
