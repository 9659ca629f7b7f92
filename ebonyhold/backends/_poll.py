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

MOST_REPORT = 1_048_576
"""The largest report that is read, in bytes."""


async def fetch(client: httpx.AsyncClient, url: str, timeout: Seconds) -> bytes | None:
    """Read a small document, or None when that fails in any way."""
    try:
        with anyio.fail_after(timeout):
            async with client.stream("GET", url) as response:
                if response.status_code != httpx.codes.OK:
                    return None
                body = b""
                async for part in response.aiter_bytes():
                    body += part
                    if len(body) > MOST_REPORT:
                        return None
                return body
    except (httpx.HTTPError, httpx.StreamError, TimeoutError):
        return None


async def poll_load(
    client: httpx.AsyncClient, backend: Backend, timeout: Seconds
) -> LoadReport | None:
    """Return an engine's load report, or None when there is none to be had."""
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
    """Take in an engine's new cache events.

    Events that were lost leave blocks in the index that the engine evicted, or
    the other way round.  Neither can harm an answer: the index only weighs the
    choice, and its bound and the engine's next events correct it.
    """
    after = state.prefixes.sequence
    url = f"{base_url(state.backend)}/v1/cache/events?after={after}"
    body = await fetch(client, url, timeout)
    if body is None:
        return
    try:
        news = from_bytes(body, CacheEvents)
    except (ValueError, cattrs.BaseValidationError):
        return
    state.learn(news.events)
