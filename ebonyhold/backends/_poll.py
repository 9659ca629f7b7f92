"""Polling an engine's load report and its cache events."""

from __future__ import annotations

import anyio
import cattrs
import httpx

from ebonyhold.backends._http import base_url
from ebonyhold.backends._messages import CacheEvents, LoadReport
from ebonyhold.backends._state import BackendState
from ebonyhold.coordination import from_bytes
from ebonyhold.document import Backend
from ebonyhold.types import Seconds

MAX_REPORT_BYTES = 1_048_576
"""The maximum size of a response; a larger one counts as a failed poll."""


async def fetch(client: httpx.AsyncClient, url: str, timeout: Seconds) -> bytes | None:
    """Return the body of a GET response with status 200, or None after any failure.

    A body larger than `MAX_REPORT_BYTES` is a failure too.
    """
    try:
        with anyio.fail_after(timeout):
            async with client.stream("GET", url) as response:
                if response.status_code != httpx.codes.OK:
                    return None
                body = b""
                async for part in response.aiter_bytes():
                    body += part
                    if len(body) > MAX_REPORT_BYTES:
                        return None
                return body
    except (httpx.HTTPError, httpx.StreamError, TimeoutError):
        return None


async def poll_load(
    client: httpx.AsyncClient, backend: Backend, timeout: Seconds
) -> LoadReport | None:
    """Return an engine's load report, or None if it cannot be fetched or is invalid."""
    body = await fetch(client, base_url(backend) + "/v1/load", timeout)
    if body is None:
        return None
    try:
        return from_bytes(body, LoadReport)
    except (ValueError, cattrs.BaseValidationError):
        return None


async def poll_cache(
    client: httpx.AsyncClient, state: BackendState, timeout: Seconds
) -> None:
    """Request an engine's new cache events and apply them to its prefix index.

    A failed request changes nothing.  If events are lost, the index contains prefixes
    that the engine has evicted, or lacks prefixes that it has stored.  Such errors
    affect only which engine is chosen, never an answer; later events and the size limit
    of the index correct them.
    """
    after = state.prefixes.sequence
    url = f"{base_url(state.backend)}/v1/cache/events?after={after}"
    body = await fetch(client, url, timeout)
    if body is None:
        return
    try:
        reported = from_bytes(body, CacheEvents)
    except (ValueError, cattrs.BaseValidationError):
        return
    state.apply_events(reported.events)
