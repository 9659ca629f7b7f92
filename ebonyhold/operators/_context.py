"""The context passed to every endpoint, and helpers that read requests."""

from __future__ import annotations

import json
from collections.abc import Callable

from attrs import define, field

from ebonyhold._asgi import Endpoints, Request
from ebonyhold.configuration import ConfigurationKeeper
from ebonyhold.document import Document
from ebonyhold.operators._errors import BadRequestError, NotFoundError
from ebonyhold.operators._interface import (
    BillSource,
    BudgetSource,
    RecoverySource,
    StatusSource,
)
from ebonyhold.operators._keys import OperatorKeys
from ebonyhold.types import Json

MAX_REQUEST = 65_536
"""Maximum body size in bytes, except for whole documents."""


def no_metrics() -> bytes:
    """Return an empty body; used if no other source of metrics is set."""
    return b""


@define
class OperatorsContext:
    """The parts of the daemon that the endpoints use.

    Attributes:
        keys: The operators' keys.
        configuration: The document in force at this router, and its older versions.
        status: Source of the fleet's status.
        budgets: Access to the budgets in the table.
        bills: Access to the bills in the table.
        metrics: Returns the metrics in the Prometheus text format.
        recoveries: Access to requests that recovery could not settle, or None if
            this router runs no recovery.
    """

    keys: OperatorKeys
    configuration: ConfigurationKeeper
    status: StatusSource
    budgets: BudgetSource
    bills: BillSource
    metrics: Callable[[], bytes] = field(default=no_metrics)
    recoveries: RecoverySource | None = None

    def document(self) -> Document:
        """Return the document in force.

        Raises:
            NotFoundError: This router has no document yet.
        """
        if self.configuration.document is None:
            raise NotFoundError("no document has been applied yet")
        return self.configuration.document

    def workspaces(self, name: str = "") -> tuple[str, ...]:
        """Return the given name if it is a workspace; without a name, all names.

        Raises:
            NotFoundError: There is no such workspace, or no document yet.
        """
        names = tuple(each.name for each in self.document().workspaces)
        if not name:
            return names
        if name not in names:
            raise NotFoundError(f"there is no workspace {name!r}")
        return (name,)


endpoints: Endpoints[OperatorsContext] = Endpoints()
"""Registry of all endpoints; importing an endpoint module adds its own."""


async def read_object(request: Request) -> dict[str, Json]:
    """Return the JSON object in a request's body.

    Raises:
        BadRequestError: The body is not a JSON object.
        BodyTooLargeError: The body exceeds `MAX_REQUEST` bytes.
        CallerGoneError: The connection closed before the body was complete.
    """
    body = await request.body(MAX_REQUEST)
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise BadRequestError("the body is not JSON") from error
    if not isinstance(value, dict):
        raise BadRequestError("the body is not a JSON object")
    return value


def get_text(value: dict[str, Json], name: str, default: str | None = None) -> str:
    """Return a string member of a JSON object, or the default if it is missing.

    Raises:
        BadRequestError: The value is not a string, or is missing without a default.
    """
    found = value.get(name, default)
    if not isinstance(found, str):
        raise BadRequestError(f"{name} must be a text")
    return found


def get_amount(value: dict[str, Json], name: str) -> int:
    """Return a member of a JSON object that must be an integer above 0.

    Raises:
        BadRequestError: The value is missing or anything else.
    """
    found = value.get(name)
    if not isinstance(found, int) or isinstance(found, bool) or found <= 0:
        raise BadRequestError(f"{name} must be a whole number above 0")
    return found


def query_number(request: Request, name: str, default: int) -> int:
    """Return an integer parameter of the query, or the default if it is missing.

    Raises:
        BadRequestError: The value is not made of 1 to 15 decimal digits.
    """
    text = request.query(name, str(default))
    if not (text.isascii() and text.isdigit() and len(text) < 16):
        raise BadRequestError(f"{name} must be a whole number")
    return int(text)
