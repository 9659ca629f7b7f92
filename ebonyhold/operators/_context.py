"""What every endpoint of the operators' interface can reach."""

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

MOST_REQUEST = 65_536
"""The largest request that is not a document, in bytes."""


def no_metrics() -> bytes:
    """Return no metrics."""
    return b""


@define
class OperatorsContext:
    """The parts of the daemon behind the operators' interface.

    Attributes:
        keys: Who is an operator.
        configuration: The document in force and its versions.
        status: How the fleet is.
        budgets: The budgets in the table.
        bills: The bills in the table.
        recoveries: What recovery could not settle, or None.
        metrics: Renders metrics in the Prometheus text format.
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
            NotFoundError: No document was applied yet.
        """
        if self.configuration.document is None:
            raise NotFoundError("no document has been applied yet")
        return self.configuration.document

    def workspaces(self, name: str = "") -> tuple[str, ...]:
        """Return the named workspace, or all of them.

        Raises:
            NotFoundError: There is no such workspace.
        """
        names = tuple(each.name for each in self.document().workspaces)
        if not name:
            return names
        if name not in names:
            raise NotFoundError(f"there is no workspace {name!r}")
        return (name,)


endpoints: Endpoints[OperatorsContext] = Endpoints()
"""All endpoints; the modules that define them fill it."""


async def read_object(request: Request) -> dict[str, Json]:
    """Read a JSON object from a request's body.

    Raises:
        BadRequestError: It is none.
    """
    body = await request.body(MOST_REQUEST)
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise BadRequestError("the body is not JSON") from error
    if not isinstance(value, dict):
        raise BadRequestError("the body is not a JSON object")
    return value


def take_text(value: dict[str, Json], name: str, default: str | None = None) -> str:
    """Return a text from a request.

    Raises:
        BadRequestError: It is missing, or not a text.
    """
    found = value.get(name, default)
    if not isinstance(found, str):
        raise BadRequestError(f"{name} must be a text")
    return found


def take_amount(value: dict[str, Json], name: str) -> int:
    """Return a positive whole number from a request.

    Raises:
        BadRequestError: It is something else.
    """
    found = value.get(name)
    if not isinstance(found, int) or isinstance(found, bool) or found <= 0:
        raise BadRequestError(f"{name} must be a whole number above 0")
    return found


def query_number(request: Request, name: str, default: int) -> int:
    """Return a number of the query.

    Raises:
        BadRequestError: It is no number.
    """
    text = request.query(name, str(default))
    if not (text.isascii() and text.isdigit() and len(text) < 16):
        raise BadRequestError(f"{name} must be a whole number")
    return int(text)
