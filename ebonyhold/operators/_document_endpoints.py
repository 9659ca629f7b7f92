"""Endpoints for the whole document: check, apply, history, rollback."""

from __future__ import annotations

from datetime import UTC, datetime

import anyio

from ebonyhold._asgi import Request, Send, send_json
from ebonyhold.coordination import to_json
from ebonyhold.document import (
    CheckResult,
    Document,
    FindingsError,
    check_bytes,
    to_plain,
)
from ebonyhold.operators._context import (
    OperatorsContext,
    endpoints,
    query_number,
)
from ebonyhold.operators._errors import (
    BadRequestError,
    finding_to_json,
)
from ebonyhold.types import Json

MAX_DOCUMENT = 64 * 1024 * 1024
"""Maximum size of a document in bytes."""

DEFAULT_HISTORY = 20
"""Versions in one answer unless the query sets a limit."""

MAX_HISTORY = 1000
"""Maximum number of versions in one answer."""

OPERATOR_SCOPE_KEY = "ebonyhold.operator"
"""Key of the ASGI scope that stores the name of the authenticated operator."""


def operator_of(request: Request) -> str:
    """Return the name of the operator who sent an authenticated request."""
    return str(request.scope[OPERATOR_SCOPE_KEY])


def base_of(request: Request) -> int:
    """Return the version that a change is based on, from the query.

    There is no default, so that a change cannot overwrite a version that its
    author has not named.

    Raises:
        BadRequestError: The parameter is missing or not a number.
    """
    if not request.query("based_on"):
        raise BadRequestError("based_on is missing; 0 stands for no document yet")
    return query_number(request, "based_on", 0)


async def check_in_thread(body: bytes) -> CheckResult:
    """Check a document in a worker thread.

    The check of a large document takes seconds and would block the event loop,
    which also serves the callers' streams.
    """
    return await anyio.to_thread.run_sync(check_bytes, body, datetime.now(UTC))


def require_document(result: CheckResult) -> Document:
    """Return the document of a check result.

    Raises:
        FindingsError: The document has errors and cannot be used.
    """
    if result.document is None:
        raise FindingsError(result.findings)
    return result.document


def findings_of(result: CheckResult) -> list[Json]:
    """Return the findings of a check as JSON."""
    return [finding_to_json(each) for each in result.findings]


@endpoints.add("GET", "/v1/document")
async def show(context: OperatorsContext, request: Request, send: Send) -> None:
    """Send the document in force, or the version that the query names."""
    version = query_number(request, "version", 0) or context.configuration.version
    context.document()
    state = await context.configuration.read_version(version)
    plain = to_plain(state.document())
    await send_json(send, 200, {"version": version, "document": plain})


@endpoints.add("POST", "/v1/check")
async def check(context: OperatorsContext, request: Request, send: Send) -> None:
    """Check the document in the body without applying it; send all findings."""
    result = await check_in_thread(await request.body(MAX_DOCUMENT))
    usable = result.document is not None
    await send_json(send, 200, {"usable": usable, "findings": findings_of(result)})


@endpoints.add("PUT", "/v1/document")
async def apply(context: OperatorsContext, request: Request, send: Send) -> None:
    """Publish the document in the body as a new version, unless nothing differs."""
    based_on = base_of(request)
    result = await check_in_thread(await request.body(MAX_DOCUMENT))
    document = require_document(result)
    version = await context.configuration.publish(
        document, based_on, operator_of(request)
    )
    answer: Json = {"version": version, "findings": findings_of(result)}
    await send_json(send, 200, answer)


@endpoints.add("GET", "/v1/history")
async def history(context: OperatorsContext, request: Request, send: Send) -> None:
    """Send the newest versions, the newest first, without their documents."""
    limit = min(MAX_HISTORY, query_number(request, "limit", DEFAULT_HISTORY))
    heads = await context.configuration.history(limit)
    await send_json(send, 200, {"versions": [to_json(head) for head in heads]})


@endpoints.add("POST", "/v1/rollback")
async def roll_back(context: OperatorsContext, request: Request, send: Send) -> None:
    """Publish the document of an older version as a new version."""
    wanted = query_number(request, "version", 0)
    based_on = base_of(request)
    state = await context.configuration.read_version(wanted)
    version = await context.configuration.publish(
        state.document(), based_on, operator_of(request)
    )
    await send_json(send, 200, {"version": version, "findings": []})
