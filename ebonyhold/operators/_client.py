"""A client of the operators' interface, for the command-line tool."""

from __future__ import annotations

from types import TracebackType
from typing import Any

import httpx
from attrs import define, field

from ebonyhold.exceptions import EbonyholdError
from ebonyhold.types import Json, Seconds

DEFAULT_TIMEOUT: Seconds = 60.0
"""Longer than a publication takes, including its retries after lost responses."""


class UnreachableError(EbonyholdError):
    """The request did not reach the router, or a GET request got no response."""

    code = "unreachable"


class UnansweredError(EbonyholdError):
    """No response arrived; the router may or may not have acted on the request."""

    code = "unanswered"


class RemoteError(EbonyholdError):
    """The router refused the request, or its response is not a JSON object.

    Attributes:
        status: The HTTP status.
        remote_code: The error code in the response, or ``bad_answer``.
        detail: The error's details in the response; empty if there are none.
    """

    code = "refused"

    def __init__(
        self, status: int, remote_code: str, message: str, detail: Any
    ) -> None:
        super().__init__(message)
        self.status = status
        self.remote_code = remote_code
        self.detail: dict[str, Any] = detail if isinstance(detail, dict) else {}


def open_http() -> httpx.Client:
    """Return an HTTP client with `DEFAULT_TIMEOUT`."""
    return httpx.Client(timeout=DEFAULT_TIMEOUT)


@define
class OperatorsClient:
    """Client of one router's operators' interface.

    Attributes:
        server: The base URL of the interface.
        key: The operator's key.
        http: The HTTP client.
    """

    server: str
    key: str
    http: httpx.Client = field(factory=lambda: open_http())

    def __enter__(self) -> OperatorsClient:
        """Return the client itself."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close the HTTP client."""
        self.http.close()

    def call(
        self,
        method: str,
        path: str,
        *,
        query: dict[str, str] | None = None,
        value: Json = None,
        body: bytes | None = None,
    ) -> dict[str, Any]:
        """Call an endpoint and return the JSON object in its response.

        Args:
            method: The HTTP method.
            path: The path below the base URL.
            query: The parameters of the query.
            value: The body, sent as JSON; ignored if `body` is given.
            body: The body, sent unchanged.

        Raises:
            UnreachableError: The call failed and changed nothing.
            UnansweredError: The call got no response and may have had an effect.
            RemoteError: The router refused the request, or its response is not a
                JSON object.
        """
        try:
            response = self.http.request(
                method,
                self.server.rstrip("/") + path,
                params=query,
                json=value if body is None else None,
                content=body,
                headers={"authorization": f"Bearer {self.key}"},
            )
        except (httpx.TransportError, httpx.InvalidURL) as error:
            raise error_class(error, method)(f"{self.server}: {error}") from error
        return read_answer(response)


def error_class(error: Exception, method: str) -> type[EbonyholdError]:
    """Return `UnansweredError` if a failed call may have had an effect.

    The router may have acted on a request that was sent before the connection broke.
    If the request was not sent, or is a GET request, which changes nothing, the
    result is `UnreachableError`.
    """
    never_sent = (httpx.ConnectError, httpx.ConnectTimeout, httpx.UnsupportedProtocol)
    if method == "GET" or isinstance(error, (*never_sent, httpx.InvalidURL)):
        return UnreachableError
    return UnansweredError


def read_answer(response: httpx.Response) -> dict[str, Any]:
    """Return the JSON object in a response.

    Raises:
        RemoteError: The response is a refusal, or not a JSON object.
    """
    try:
        value = response.json()
    except ValueError:
        value = None
    if not isinstance(value, dict):
        message = (
            "the answer is no JSON object; is this a router's operators' interface?"
        )
        raise RemoteError(response.status_code, "bad_answer", message, None)
    if response.is_success:
        return value
    error = value.get("error")
    error = error if isinstance(error, dict) else {}
    raise RemoteError(
        response.status_code,
        str(error.get("code", "bad_answer")),
        str(error.get("message", response.reason_phrase)),
        error.get("detail"),
    )
