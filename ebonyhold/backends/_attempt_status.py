"""Closes an attempt at an engine and parses the status that the engine returns."""

from __future__ import annotations

import json

import anyio
import httpx

from ebonyhold.backends._http import base_url
from ebonyhold.coordination import AttemptState, AttemptStatus
from ebonyhold.document import Backend, BackendKind
from ebonyhold.exceptions import UnavailableError
from ebonyhold.types import AttemptId, Seconds

UNKNOWN = AttemptStatus(AttemptState.UNKNOWN)


async def close_at_engine(
    client: httpx.AsyncClient, backend: Backend, attempt: AttemptId, timeout: Seconds
) -> AttemptStatus:
    """Close an attempt and return its status, or `UNKNOWN` for a plain service.

    The engine cancels the attempt if it runs, and refuses it if it arrives later.
    Plain services cannot close an attempt.

    Raises:
        UnavailableError: The engine did not return a valid status in time.
    """
    if backend.kind is not BackendKind.ENGINE:
        return UNKNOWN
    url = f"{base_url(backend)}/v1/attempts/{attempt}/close"
    try:
        with anyio.fail_after(timeout):
            response = await client.post(url)
            response.raise_for_status()
            return parse_status(response.content)
    except (httpx.HTTPError, TimeoutError, ValueError) as error:
        raise UnavailableError(
            f"{backend.name} did not close the attempt: {error!r}"
        ) from error


def parse_status(body: bytes) -> AttemptStatus:
    """Parse the response to a request that closes an attempt.

    Raises:
        ValueError: The body is not a JSON object, or one of its values is invalid.
        KeyError: The body has no ``state``.
    """
    value = json.loads(body)
    if not isinstance(value, dict):
        raise ValueError("the attempt status is not an object")
    tokens = (value.get("prompt_tokens", 0), value.get("completion_tokens", 0))
    if any(type(number) is not int or number < 0 for number in tokens):
        raise ValueError("a number of tokens is not a nonnegative integer")
    return AttemptStatus(
        AttemptState(value["state"]), *tokens, str(value.get("boot", ""))
    )
