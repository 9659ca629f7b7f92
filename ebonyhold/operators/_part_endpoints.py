"""Endpoints for one part of the document: a workspace, a stop, a route.

A form that changes one part sends that part.  The version in force is then
changed and checked without anybody writing or reading the rest of it.
"""

from __future__ import annotations

from datetime import UTC, datetime
from typing import Any

import anyio
import attrs
from attrs import frozen

from ebonyhold._asgi import Request, Send, send_json
from ebonyhold.configuration import LIST_PARTS
from ebonyhold.coordination import to_json
from ebonyhold.document import Document, check_document, check_part, to_plain
from ebonyhold.exceptions import LostRaceError
from ebonyhold.operators._context import MOST_REQUEST, OperatorsContext, endpoints
from ebonyhold.operators._document_endpoints import (
    base_of,
    findings_of,
    operator_of,
    require_document,
)
from ebonyhold.operators._errors import BadRequestError, NotFoundError
from ebonyhold.types import Json

MOST_ATTEMPTS = 5
"""Publications of one part that follow whoever was faster."""

STOPS = "stops"


@frozen
class PartChange:
    """What is to become of one part.

    Attributes:
        section: The document's list that it belongs to.
        name: Its name in that list.
        part: What it becomes, or None when it goes.
    """

    section: str
    name: str
    part: Any

    def apply(self, document: Document) -> Document:
        """Return the document with this change.

        Raises:
            NotFoundError: There is no such part that could go.
        """
        attribute = LIST_PARTS[self.section].name
        parts = list(getattr(document, self.section))
        names = [getattr(part, attribute) for part in parts]
        found = names.index(self.name) if self.name in names else len(parts)
        if self.part is None and found == len(parts):
            raise NotFoundError(f"there is no {self.name!r} in {self.section}")
        parts[found : found + 1] = [] if self.part is None else [self.part]
        changes: dict[str, Any] = {self.section: tuple(parts)}
        return attrs.evolve(document, **changes)


@endpoints.add("GET", "/v1/stops")
async def list_stops(context: OperatorsContext, request: Request, send: Send) -> None:
    """Answer with the planned stops and what still holds their servers."""
    fleet = await context.status.fleet()
    stops = [to_plain(stop) for stop in context.document().stops]
    backends = [to_json(backend) for backend in fleet.backends]
    await send_json(send, 200, {"stops": stops, "backends": backends})


@endpoints.add("PUT", "/v1/stops/{name}")
async def plan_stop(context: OperatorsContext, request: Request, send: Send) -> None:
    """Plan a stop, or move the one of that name."""
    await put(context, request, STOPS, send)


@endpoints.add("DELETE", "/v1/stops/{name}")
async def cancel_stop(context: OperatorsContext, request: Request, send: Send) -> None:
    """Cancel a planned stop."""
    change = PartChange(STOPS, request.parameters["name"], None)
    await send_json(send, 200, await publish(context, request, change))


@endpoints.add("PUT", "/v1/parts/{section}/{name...}")
async def put_part(context: OperatorsContext, request: Request, send: Send) -> None:
    """Add or replace one part."""
    await put(context, request, section_of(request), send)


@endpoints.add("DELETE", "/v1/parts/{section}/{name...}")
async def delete_part(context: OperatorsContext, request: Request, send: Send) -> None:
    """Remove one part."""
    change = PartChange(section_of(request), request.parameters["name"], None)
    await send_json(send, 200, await publish(context, request, change))


def section_of(request: Request) -> str:
    """Return the list that a part belongs to.

    Raises:
        NotFoundError: The document has no such list.
    """
    section = request.parameters["section"]
    if section not in LIST_PARTS:
        raise NotFoundError(f"the sections are {', '.join(LIST_PARTS)}")
    return section


async def put(
    context: OperatorsContext, request: Request, section: str, send: Send
) -> None:
    """Add or replace a part with the one in the request's body.

    Raises:
        BadRequestError: The body is not text.
        FindingsError: The part has findings.
    """
    body = await request.body(MOST_REQUEST)
    try:
        text = body.decode()
    except UnicodeDecodeError as error:
        raise BadRequestError("the body is not UTF-8") from error
    name, kind = request.parameters["name"], LIST_PARTS[section]
    part = check_part(text, kind.item, kind.name, name)
    answer = await publish(context, request, PartChange(section, name, part))
    await send_json(send, 200, answer)


async def publish(
    context: OperatorsContext, request: Request, change: PartChange
) -> Json:
    """Publish one change.

    Without a version to be based on it follows whoever was faster, since it
    touches nothing else; with one, the loser of a race is refused as ever.
    """
    if request.query("based_on"):
        return await publish_once(context, request, change, base_of(request))
    for _ in range(MOST_ATTEMPTS - 1):
        try:
            base = context.configuration.version
            return await publish_once(context, request, change, base)
        except LostRaceError:
            continue
    base = context.configuration.version
    return await publish_once(context, request, change, base)


async def publish_once(
    context: OperatorsContext, request: Request, change: PartChange, base: int
) -> Json:
    """Publish the document in force with one change.

    Raises:
        NotFoundError: There is no such part that could go.
        FindingsError: The document does not allow it.
        LostRaceError: Another version was accepted meanwhile.
    """
    changed = change.apply(context.document())
    # Aside of the event loop: a large document takes long enough to be noticed
    # by the streams of callers.
    result = await anyio.to_thread.run_sync(check_document, changed, datetime.now(UTC))
    checked = require_document(result)
    operator = operator_of(request)
    version = await context.configuration.publish(checked, base, operator)
    return {"version": version, "findings": findings_of(result)}
