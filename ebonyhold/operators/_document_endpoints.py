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

MOST_DOCUMENT = 64 * 1024 * 1024
"""The largest document that is accepted, in bytes."""

DEFAULT_HISTORY = 20
MOST_HISTORY = 1000

OPERATOR = "ebonyhold.operator"
"""Where the scope keeps the name of the operator who asks."""


def operator_of(request: Request) -> str:
    """Return the operator who asks."""
    return str(request.scope[OPERATOR])


def base_of(request: Request) -> int:
    """Return the version that a change is based on.

    There is no default: an operator who has not looked at a version must not
    overwrite it.

    Raises:
        BadRequestError: It is missing.
    """
    if not request.query("based_on"):
        raise BadRequestError("based_on is missing; 0 stands for no document yet")
    return query_number(request, "based_on", 0)


async def check_aside(body: bytes) -> CheckResult:
    """Check a document in a thread of its own.

    The check of a large document takes seconds, which the streams of callers
    must not wait for.
    """
    return await anyio.to_thread.run_sync(check_bytes, body, datetime.now(UTC))


def require_document(result: CheckResult) -> Document:
    """Return a checked document.

    Raises:
        FindingsError: It has findings that forbid its use.
    """
    if result.document is None:
        raise FindingsError(result.findings)
    return result.document


def findings_of(result: CheckResult) -> list[Json]:
    """Return findings as JSON."""
    return [finding_to_json(each) for each in result.findings]


@endpoints.add("GET", "/v1/document")
async def show(context: OperatorsContext, request: Request, send: Send) -> None:
    """Answer with the document in force, or with an older version."""
    version = query_number(request, "version", 0) or context.configuration.version
    context.document()
    state = await context.configuration.read_version(version)
    plain = to_plain(state.document())
    await send_json(send, 200, {"version": version, "document": plain})


@endpoints.add("POST", "/v1/check")
async def check(context: OperatorsContext, request: Request, send: Send) -> None:
    """Answer with all findings of a document."""
    result = await check_aside(await request.body(MOST_DOCUMENT))
    usable = result.document is not None
    await send_json(send, 200, {"usable": usable, "findings": findings_of(result)})


@endpoints.add("PUT", "/v1/document")
async def apply(context: OperatorsContext, request: Request, send: Send) -> None:
    """Put a document into force."""
    based_on = base_of(request)
    result = await check_aside(await request.body(MOST_DOCUMENT))
    document = require_document(result)
    version = await context.configuration.publish(
        document, based_on, operator_of(request)
    )
    answer: Json = {"version": version, "findings": findings_of(result)}
    await send_json(send, 200, answer)


@endpoints.add("GET", "/v1/history")
async def history(context: OperatorsContext, request: Request, send: Send) -> None:
    """Answer with the newest versions."""
    limit = min(MOST_HISTORY, query_number(request, "limit", DEFAULT_HISTORY))
    heads = await context.configuration.history(limit)
    await send_json(send, 200, {"versions": [to_json(head) for head in heads]})


@endpoints.add("POST", "/v1/rollback")
async def roll_back(context: OperatorsContext, request: Request, send: Send) -> None:
    """Put an old content into force again, as a new version."""
    wanted = query_number(request, "version", 0)
    based_on = base_of(request)
    state = await context.configuration.read_version(wanted)
    version = await context.configuration.publish(
        state.document(), based_on, operator_of(request)
    )
    await send_json(send, 200, {"version": version, "findings": []})
