"""The HTTP client towards backend servers, and its errors in our terms."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import httpx

from ebonyhold.backends._messages import Timeouts
from ebonyhold.backends._transport import PooledByServer
from ebonyhold.document import Backend
from ebonyhold.exceptions import BackendError
from ebonyhold.types import AttemptId

ATTEMPT_HEADER = "X-Attempt-Id"
BOOT_HEADER = "X-Boot-Id"
RESUME_HEADER = "X-Resume-Tokens"
PRIORITY_HEADER = "X-Priority"
EXPECT_BOOT_HEADER = "X-Expect-Boot-Id"

ELSEWHERE = (404, 409, 429, 503)
"""Statuses by which an engine says that it did not begin and another one may.

They are for a model it has not loaded, an attempt that was closed before it came,
a full queue, and a server that leaves.
"""


class RefusedError(BackendError):
    """The server answered that it does not take the work; it did not run.

    Attributes:
        status: The HTTP status.
        body: The server's own words.
        final: Whether another server would say the same.
    """

    code = "backend_refused"

    def __init__(self, status: int, body: bytes, *, final: bool) -> None:
        super().__init__(f"the backend server answered {status}", ran=False)
        self.status = status
        self.body = body
        self.final = final


class UnreachableError(BackendError):
    """No connection could be made, so nothing was sent."""

    code = "backend_unreachable"

    def __init__(self, message: str) -> None:
        super().__init__(message, ran=False)


def make_client(
    timeouts: Timeouts, transport: httpx.AsyncBaseTransport | None = None
) -> httpx.AsyncClient:
    """Return a client for HTTP/1.1 without proxies, redirects or cookies.

    HTTP/1.1 gives each attempt a connection of its own.  A connection goes back
    to the pool only after its answer was read to the end; leaving a response
    early closes it, so that no later request can read an earlier answer.

    Args:
        timeouts: How long to wait.
        transport: What carries the requests, where that is not TCP.
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
    """Return where a backend server answers."""
    scheme = "https" if backend.tls else "http"
    return f"{scheme}://{backend.address}"


@asynccontextmanager
async def opened(
    client: httpx.AsyncClient, request: httpx.Request, first: float
) -> AsyncIterator[httpx.Response]:
    """Send a request and give its response once the headers are whole.

    Args:
        client: The client.
        request: What to send.
        first: The longest wait for the whole headers, in seconds; it counts
            from the start, so a server that trickles its header cannot stretch it.

    Raises:
        UnreachableError: There was no connection, so nothing ran.
        BackendError: Anything else; it may have run.
    """
    try:
        with anyio.fail_after(first):
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
    """Refuse an answer that belongs to another attempt.

    A crossed answer shows as an ``X-Attempt-Id`` that is not ours.  Leaving the
    response then closes its connection, so the answer is dropped whole.

    Raises:
        BackendError: It names another attempt; our own may have run.
    """
    named = response.headers.get(ATTEMPT_HEADER)
    if named is not None and named != attempt:
        raise BackendError("the answer belongs to another attempt", ran=True)


async def read_bounded(response: httpx.Response, most: int) -> bytes:
    """Read a whole body.

    Raises:
        BackendError: It is larger than allowed, or ends early.
    """
    parts: list[bytes] = []
    size = 0
    try:
        async for part in response.aiter_bytes():
            size += len(part)
            if size > most:
                raise BackendError("the answer is too large", ran=True)
            parts.append(part)
    except (httpx.HTTPError, httpx.StreamError) as error:
        raise BackendError(f"half an answer: {error!r}", ran=True) from error
    return b"".join(parts)
