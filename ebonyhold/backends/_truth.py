"""Asking a backend server what became of an attempt."""

from __future__ import annotations

import json

import anyio
import httpx

from ebonyhold.backends._http import base_url
from ebonyhold.coordination import AttemptState, AttemptTruth
from ebonyhold.document import Backend, BackendKind
from ebonyhold.exceptions import UnavailableError
from ebonyhold.types import AttemptId, Seconds

UNKNOWN = AttemptTruth(AttemptState.UNKNOWN)


async def ask_to_close(
    client: httpx.AsyncClient, backend: Backend, attempt: AttemptId, timeout: Seconds
) -> AttemptTruth:
    """Close an attempt at an engine: cancel it, and let it never start later.

    Raises:
        UnavailableError: There was no answer.
    """
    if backend.kind is not BackendKind.ENGINE:
        return UNKNOWN
    url = f"{base_url(backend)}/v1/attempts/{attempt}/close"
    try:
        with anyio.fail_after(timeout):
            response = await client.post(url)
            response.raise_for_status()
            return read_truth(response.content)
    except (httpx.HTTPError, TimeoutError, ValueError) as error:
        raise UnavailableError(f"{backend.name} did not close: {error!r}") from error


def read_truth(body: bytes) -> AttemptTruth:
    """Read the answer to a close.

    Raises:
        ValueError: It is not what an engine should say.
    """
    value = json.loads(body)
    if not isinstance(value, dict):
        raise ValueError("the answer is no object")
    tokens = (value.get("prompt_tokens", 0), value.get("completion_tokens", 0))
    if any(type(number) is not int or number < 0 for number in tokens):
        raise ValueError("the answer counts no tokens")
    return AttemptTruth(
        AttemptState(value["state"]), *tokens, str(value.get("boot", ""))
    )
