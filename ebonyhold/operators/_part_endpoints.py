"""Endpoints that change one part of the document, such as a workspace or a stop.

The client sends only this part. The router puts it into the document in force, checks
the result and publishes it as a new version.
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
from ebonyhold.operators._context import MAX_REQUEST, OperatorsContext, endpoints
from ebonyhold.operators._document_endpoints import (
    base_of,
    findings_of,
    operator_of,
    require_document,
)
from ebonyhold.operators._errors import BadRequestError, NotFoundError
from ebonyhold.types import Json

MAX_ATTEMPTS = 5
"""Maximum attempts to publish one change without ``based_on``."""

STOPS = "stops"
"""The section of the document that lists planned stops of backend servers."""


@frozen
class PartChange:
    """A change of one part of the document.

    Attributes:
        section: The list of the document that has the part.
        name: The name of the part in this list.
        part: The new part, or None to remove the old one.
    """

    section: str
    name: str
    part: Any

    def apply(self, document: Document) -> Document:
        """Return the document with this change.

        A new part is added at the end of its list; an existing one keeps its place.

        Raises:
            NotFoundError: The part to remove does not exist.
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
    """Send the planned stops, and which routers still use each backend server."""
    fleet = await context.status.fleet()
    stops = [to_plain(stop) for stop in context.document().stops]
    backends = [to_json(backend) for backend in fleet.backends]
    await send_json(send, 200, {"stops": stops, "backends": backends})


@endpoints.add("PUT", "/v1/stops/{name}")
async def plan_stop(context: OperatorsContext, request: Request, send: Send) -> None:
    """Add a planned stop, or replace the one with this name."""
    await put(context, request, STOPS, send)


@endpoints.add("DELETE", "/v1/stops/{name}")
async def cancel_stop(context: OperatorsContext, request: Request, send: Send) -> None:
    """Remove a planned stop from the document."""
    change = PartChange(STOPS, request.parameters["name"], None)
    await send_json(send, 200, await publish(context, request, change))


@endpoints.add("PUT", "/v1/parts/{section}/{name...}")
async def put_part(context: OperatorsContext, request: Request, send: Send) -> None:
    """Add or replace one part of the section in the path."""
    await put(context, request, section_of(request), send)


@endpoints.add("DELETE", "/v1/parts/{section}/{name...}")
async def delete_part(context: OperatorsContext, request: Request, send: Send) -> None:
    """Remove one part of the section in the path."""
    change = PartChange(section_of(request), request.parameters["name"], None)
    await send_json(send, 200, await publish(context, request, change))


def section_of(request: Request) -> str:
    """Return the section of the document that the path names.

    Raises:
        NotFoundError: The document has no such section.
    """
    section = request.parameters["section"]
    if section not in LIST_PARTS:
        raise NotFoundError(f"the sections are {', '.join(LIST_PARTS)}")
    return section


async def put(
    context: OperatorsContext, request: Request, section: str, send: Send
) -> None:
    """Publish the part in the request's body, and answer with the new version.

    Raises:
        BadRequestError: The body is not UTF-8.
        BodyTooLargeError: The body exceeds `MAX_REQUEST` bytes.
        FindingsError: The part has findings, or the changed document has errors.
        NotFoundError: This router has no document yet.
        LostRaceError: Another version was accepted; see `publish`.
    """
    body = await request.body(MAX_REQUEST)
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
    """Publish one change, and return the new version and the findings as JSON.

    If the query has no ``based_on`` and another version was accepted meanwhile, the
    change is published again on top of that version, since it affects only one part.
    With ``based_on`` there is only one attempt.

    Raises:
        LostRaceError: Another version was accepted since ``based_on``, or during
            each of `MAX_ATTEMPTS` attempts.
    """
    if request.query("based_on"):
        return await publish_once(context, request, change, base_of(request))
    for _ in range(MAX_ATTEMPTS - 1):
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
    """Publish the document in force with one change, based on version `base`.

    Raises:
        NotFoundError: The part to remove does not exist, or there is no document
            yet.
        FindingsError: The changed document has errors.
        LostRaceError: Another version was accepted since `base`.
    """
    changed = change.apply(context.document())
    # The check of a large document would block the event loop, which also serves
    # the callers' streams, so it runs in a worker thread.
    result = await anyio.to_thread.run_sync(check_document, changed, datetime.now(UTC))
    checked = require_document(result)
    operator = operator_of(request)
    version = await context.configuration.publish(checked, base, operator)
    return {"version": version, "findings": findings_of(result)}
