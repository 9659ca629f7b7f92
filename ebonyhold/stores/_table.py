"""The client of the transactional table service."""

from __future__ import annotations

import json
from typing import Any

from attrs import define

from ebonyhold.coordination import Absent, Check, Put, Row, Transaction, Write
from ebonyhold.exceptions import ConflictError, UnavailableError
from ebonyhold.stores._http import Answer, Call, HttpClient, lost
from ebonyhold.types import Json

CONFLICT = 409


def encode_check(check: Check) -> dict[str, Json]:
    """Return a check in the service's form."""
    if isinstance(check, Absent):
        return {"key": check.key, "absent": True}
    return {"key": check.key, "version": check.version}


def encode_write(write: Write) -> dict[str, Json]:
    """Return a write in the service's form."""
    if isinstance(write, Put):
        return {"key": write.key, "value": write.value}
    return {"key": write.key, "delete": True}


def encode_transaction(transaction: Transaction) -> bytes:
    """Return a transaction in the service's form."""
    body = {
        "checks": [encode_check(check) for check in transaction.checks],
        "writes": [encode_write(write) for write in transaction.writes],
    }
    return dump(body)


def dump(value: object) -> bytes:
    """Return compact JSON."""
    return json.dumps(value, separators=(",", ":")).encode()


def decode_row(raw: Any) -> Row | None:
    """Read a row.

    Raises:
        KeyError: A member is missing.
        TypeError: It is not an object.
        ValueError: The version is not a number.
    """
    if raw is None:
        return None
    return Row(str(raw["key"]), int(raw["version"]), raw["value"])


def decode_rows(answer: Answer) -> list[Row | None]:
    """Read the rows of a reply.

    Raises:
        UnavailableError: The reply is not what the protocol says.
    """
    try:
        return [decode_row(raw) for raw in answer.json()["rows"]]
    except (ValueError, KeyError, TypeError) as error:
        raise UnavailableError(f"malformed rows: {error!r}") from error


def decode_keys(answer: Answer) -> tuple[str, ...]:
    """Read the keys of a conflict; none when the reply does not name them."""
    try:
        return tuple(str(key) for key in answer.json()["keys"])
    except (ValueError, KeyError, TypeError):
        return ()


@define
class TableClient(HttpClient):
    """A `Table` over HTTP."""

    async def read(self, keys: tuple[str, ...]) -> tuple[Row | None, ...]:
        """Read rows, in the order of the keys.

        Raises:
            UnavailableError: The table cannot be reached.
        """
        call = Call("POST", "/read", is_write=False, body=dump({"keys": list(keys)}))
        rows = decode_rows(await self.connection().call(call))
        check_keys(keys, rows)
        return tuple(rows)

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        """Read rows whose key starts with a prefix, in the order of their keys.

        Raises:
            UnavailableError: The table cannot be reached.
        """
        body = dump({"prefix": prefix, "after": after, "limit": limit})
        call = Call("POST", "/scan", is_write=False, body=body)
        rows = decode_rows(await self.connection().call(call))
        found = [row for row in rows if row is not None]
        if any(not row.key.startswith(prefix) for row in found):
            raise UnavailableError("rows that were not asked for")
        return found

    async def commit(self, transaction: Transaction) -> None:
        """Commit a transaction.

        Raises:
            ConflictError: A check failed; nothing was written.
            UnavailableError: It certainly had no effect.
            UnknownOutcomeError: It may have taken effect.
        """
        call = Call(
            "POST",
            "/commit",
            is_write=True,
            body=encode_transaction(transaction),
            expected=(200, CONFLICT),
        )
        answer = await self.connection().call(call)
        if answer.status == CONFLICT:
            raise ConflictError("a check failed", decode_keys(answer))
        check_acknowledged(call, answer)


def check_keys(keys: tuple[str, ...], rows: list[Row | None]) -> None:
    """Make sure that each row is the one that was asked for.

    An answer to another call, crossed by a proxy, would else be taken for the
    state of these rows.

    Raises:
        UnavailableError: It is not.
    """
    matches = len(keys) == len(rows) and all(
        row is None or row.key == key for key, row in zip(keys, rows, strict=True)
    )
    if not matches:
        raise UnavailableError("rows that were not asked for")


def check_acknowledged(call: Call, answer: Answer) -> None:
    """Make sure that a write's reply is one of this service.

    Raises:
        UnknownOutcomeError: It is not, so nobody knows what happened.
    """
    try:
        is_acknowledged = isinstance(answer.json(), dict)
    except ValueError:
        is_acknowledged = False
    if not is_acknowledged:
        raise lost(call, "malformed reply")
