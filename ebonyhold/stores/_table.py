"""The HTTP client of the transactional table."""

from __future__ import annotations

import json
from typing import Any

from attrs import define

from ebonyhold.coordination import Absent, Check, Put, Row, Transaction, Write
from ebonyhold.exceptions import ConflictError, UnavailableError
from ebonyhold.stores._http import Answer, Call, HttpClient, unanswered_error
from ebonyhold.types import Json

CONFLICT = 409


def encode_check(check: Check) -> dict[str, Json]:
    """Return a check as JSON of the service's protocol."""
    if isinstance(check, Absent):
        return {"key": check.key, "absent": True}
    return {"key": check.key, "version": check.version}


def encode_write(write: Write) -> dict[str, Json]:
    """Return a write as JSON of the service's protocol."""
    if isinstance(write, Put):
        return {"key": write.key, "value": write.value}
    return {"key": write.key, "delete": True}


def encode_transaction(transaction: Transaction) -> bytes:
    """Encode the request body of a commit."""
    body = {
        "checks": [encode_check(check) for check in transaction.checks],
        "writes": [encode_write(write) for write in transaction.writes],
    }
    return dump(body)


def dump(value: object) -> bytes:
    """Encode a value as JSON without white space."""
    return json.dumps(value, separators=(",", ":")).encode()


def decode_row(raw: Any) -> Row | None:
    """Decode a row; None stays None.

    Raises:
        KeyError: A field is missing.
        TypeError: The value is not a JSON object, or the version not a number.
        ValueError: The version is not a number.
    """
    if raw is None:
        return None
    return Row(str(raw["key"]), int(raw["version"]), raw["value"])


def decode_rows(answer: Answer) -> list[Row | None]:
    """Decode the rows in a reply.

    Raises:
        UnavailableError: The reply is malformed.
    """
    try:
        return [decode_row(raw) for raw in answer.json()["rows"]]
    except (ValueError, KeyError, TypeError) as error:
        raise UnavailableError(f"malformed rows: {error!r}") from error


def decode_keys(answer: Answer) -> tuple[str, ...]:
    """Return the conflicting keys in a reply; empty if they cannot be decoded."""
    try:
        return tuple(str(key) for key in answer.json()["keys"])
    except (ValueError, KeyError, TypeError):
        return ()


@define
class TableClient(HttpClient):
    """A `Table` that sends its calls over HTTP."""

    async def read(self, keys: tuple[str, ...]) -> tuple[Row | None, ...]:
        """Return the rows of keys, in the order given; None for a missing row.

        Raises:
            UnavailableError: The table cannot be reached, refuses the call, or sends an
                invalid reply.
        """
        call = Call("POST", "/read", is_write=False, body=dump({"keys": list(keys)}))
        rows = decode_rows(await self.connection().call(call))
        check_keys(keys, rows)
        return tuple(rows)

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        """Return at most `limit` rows with a key prefix, in key order after `after`.

        Raises:
            UnavailableError: The table cannot be reached, refuses the call, or sends an
                invalid reply.
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
            UnavailableError: The call had no effect.
            UnknownOutcomeError: The call may have taken effect.
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
    """Check that each row has the requested key.

    A faulty proxy may return the answer to another call, with other rows.

    Raises:
        UnavailableError: The number of rows or a key differs from the request.
    """
    matches = len(keys) == len(rows) and all(
        row is None or row.key == key for key, row in zip(keys, rows, strict=True)
    )
    if not matches:
        raise UnavailableError("rows that were not asked for")


def check_acknowledged(call: Call, answer: Answer) -> None:
    """Check that the reply to a write is a JSON object, as the service sends it.

    Raises:
        UnknownOutcomeError: It is not, so the write may or may not have taken effect.
    """
    try:
        is_acknowledged = isinstance(answer.json(), dict)
    except ValueError:
        is_acknowledged = False
    if not is_acknowledged:
        raise unanswered_error(call, "malformed reply")
