"""The HTTP client of the object store."""

from __future__ import annotations

from urllib.parse import quote

from attrs import define

from ebonyhold.exceptions import ConflictError, UnavailableError
from ebonyhold.stores._http import Call, HttpClient
from ebonyhold.stores._table import check_acknowledged

NOT_FOUND = 404
EXISTS = 412
STATUS_OK = 200


def path_of(key: str) -> str:
    """Return the URL path of an object."""
    return f"/o/{quote(key, safe='/')}"


@define
class ObjectClient(HttpClient):
    """An `Objects` that sends its calls over HTTP."""

    async def get(self, key: str) -> bytes | None:
        """Return the body of an object, or None if there is no such object.

        Raises:
            UnavailableError: The store cannot be reached, refuses the call, or sends an
                invalid reply.
        """
        expected = (STATUS_OK, NOT_FOUND)
        call = Call("GET", path_of(key), is_write=False, expected=expected)
        answer = await self.connection().call(call)
        return None if answer.status == NOT_FOUND else answer.body

    async def put(self, key: str, body: bytes, *, if_absent: bool = False) -> None:
        """Write an object, replacing it unless `if_absent` is set.

        Raises:
            ConflictError: The object exists, and `if_absent` is set.
            UnavailableError: The call had no effect.
            UnknownOutcomeError: The call may have taken effect.
        """
        headers = {"If-None-Match": "*"} if if_absent else {}
        expected = (STATUS_OK, EXISTS)
        call = Call(
            "PUT",
            path_of(key),
            is_write=True,
            body=body,
            headers=headers,
            expected=expected,
        )
        answer = await self.connection().call(call)
        if answer.status == EXISTS:
            raise ConflictError("the object exists", (key,))
        check_acknowledged(call, answer)

    async def delete(self, key: str) -> None:
        """Delete an object; do nothing if there is none.

        Raises:
            UnavailableError: The call had no effect.
            UnknownOutcomeError: The object may have been deleted; a retry is safe.
        """
        expected = (STATUS_OK, NOT_FOUND)
        call = Call("DELETE", path_of(key), is_write=True, expected=expected)
        await self.connection().call(call)

    async def keys(self, prefix: str, after: str = "", limit: int = 1000) -> list[str]:
        """Return at most `limit` keys with a prefix, in order after `after`.

        Raises:
            UnavailableError: The store cannot be reached, refuses the call, or sends an
                invalid reply.
        """
        params = {"prefix": prefix, "after": after, "limit": str(limit)}
        call = Call("GET", "/list", is_write=False, params=params)
        answer = await self.connection().call(call)
        try:
            found = [str(key) for key in answer.json()["keys"]]
        except (ValueError, KeyError, TypeError) as error:
            raise UnavailableError(f"malformed keys: {error!r}") from error
        if any(not key.startswith(prefix) for key in found):
            raise UnavailableError("keys that were not asked for")
        return found
