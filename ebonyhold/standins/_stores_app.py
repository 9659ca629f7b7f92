"""The table service and the object store over HTTP."""

from __future__ import annotations

from typing import Any

import cattrs
from attrs import frozen

from ebonyhold.coordination import (
    Absent,
    AtVersion,
    Check,
    Delete,
    Put,
    Row,
    Transaction,
    Write,
)
from ebonyhold.exceptions import ConflictError
from ebonyhold.standins._asgi import (
    App,
    HttpError,
    Reply,
    Request,
    json_reply,
)
from ebonyhold.standins._kinds import standin
from ebonyhold.standins._objects import MemoryObjects
from ebonyhold.standins._table import MemoryTable

DEFAULT_LIMIT = 1000
OCTETS = "application/octet-stream"


@frozen
class TableProfile:
    """Options of the table service: its ceilings in rows a second; 0 for none."""

    writes: float = 400.0
    reads: float = 2000.0


@frozen
class ObjectsProfile:
    """Options of the object store: its ceilings in calls a second; 0 for none."""

    writes: float = 400.0
    reads: float = 2000.0


def parse_check(raw: Any) -> Check:
    """Read one check of a transaction."""
    if raw.get("absent"):
        return Absent(str(raw["key"]))
    return AtVersion(str(raw["key"]), int(raw["version"]))


def parse_write(raw: Any) -> Write:
    """Read one write of a transaction."""
    if raw.get("delete"):
        return Delete(str(raw["key"]))
    return Put(str(raw["key"]), raw["value"])


def parse_transaction(raw: Any) -> Transaction:
    """Read a transaction.

    Raises:
        HttpError: It does not have that form.
    """
    try:
        checks = tuple(parse_check(check) for check in raw.get("checks", ()))
        writes = tuple(parse_write(write) for write in raw.get("writes", ()))
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise HttpError(400, "not a transaction") from error
    return Transaction(checks, writes)


def encode_row(row: Row | None) -> object:
    """Return a row as JSON."""
    if row is None:
        return None
    return {"key": row.key, "version": row.version, "value": row.value}


def table_app(table: MemoryTable) -> App:
    """Make the application of a table."""
    app = App(table.faults, wrap=False)

    @app.route("POST", "/commit")
    async def commit(request: Request) -> Reply:
        await table.commit(parse_transaction(request.json()))
        return json_reply({})

    @app.route("POST", "/read")
    async def read(request: Request) -> Reply:
        keys = cattrs.structure(request.json()["keys"], tuple[str, ...])
        rows = await table.read(keys)
        return json_reply({"rows": [encode_row(row) for row in rows]})

    @app.route("POST", "/scan")
    async def scan(request: Request) -> Reply:
        body = request.json()
        limit = body.get("limit", DEFAULT_LIMIT)
        rows = await table.scan(body["prefix"], body.get("after", ""), limit)
        return json_reply({"rows": [encode_row(row) for row in rows]})

    @app.route("GET", "/records")
    async def records(request: Request) -> Reply:
        rows = [encode_row(table.rows[key]) for key in table.order]
        figures = {
            "commits": table.commits,
            "rows_written": table.writes.used,
            "rows_read": table.reads.used,
            "refused": table.writes.refused + table.reads.refused,
        }
        return json_reply({"rows": rows, **figures})

    return app


def objects_app(objects: MemoryObjects) -> App:
    """Make the application of an object store."""
    app = App(objects.faults, wrap=False)

    @app.route("PUT", "/o/{key}")
    async def put(request: Request) -> Reply:
        if_absent = request.headers.get("if-none-match") == "*"
        key = request.params["key"]
        try:
            await objects.put(key, request.body, if_absent=if_absent)
        except ConflictError as error:
            raise HttpError(412, "the object exists", keys=error.keys) from error
        return json_reply({})

    @app.route("GET", "/o/{key}")
    async def get(request: Request) -> Reply:
        body = await objects.get(request.params["key"])
        if body is None:
            raise HttpError(404, "no such object")
        return Reply(200, body, OCTETS)

    @app.route("DELETE", "/o/{key}")
    async def delete(request: Request) -> Reply:
        await objects.delete(request.params["key"])
        return json_reply({})

    @app.route("GET", "/list")
    async def listing(request: Request) -> Reply:
        query = request.query
        limit = int(query.get("limit", DEFAULT_LIMIT))
        keys = await objects.keys(
            query.get("prefix", ""), query.get("after", ""), limit
        )
        return json_reply({"keys": keys})

    @app.route("GET", "/records")
    async def records(request: Request) -> Reply:
        return json_reply({"keys": sorted(objects.objects)})

    return app


@standin("table", TableProfile)
def build_table(profile: TableProfile) -> App:
    """Make a table service."""
    return table_app(MemoryTable.limited(profile.writes, profile.reads))


@standin("objects", ObjectsProfile)
def build_objects(profile: ObjectsProfile) -> App:
    """Make an object store."""
    return objects_app(MemoryObjects.limited(profile.writes, profile.reads))
