"""A client of the operators' interface, for the command-line tool."""

from __future__ import annotations

from types import TracebackType
from typing import Any

import httpx
from attrs import define, field

from ebonyhold.exceptions import EbonyholdError
from ebonyhold.types import Json, Seconds

DEFAULT_TIMEOUT: Seconds = 60.0
"""Longer than a publication that meets lost answers takes."""


class UnreachableError(EbonyholdError):
    """The router's operators' interface cannot be reached."""

    code = "unreachable"


class UnansweredError(EbonyholdError):
    """The router may have done what was asked, but did not say so."""

    code = "unanswered"


class RemoteError(EbonyholdError):
    """The router refused.

    Attributes:
        status: The HTTP status.
        remote_code: The router's code for the error.
        detail: What it told beyond code and message.
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
    """Return an HTTP client."""
    return httpx.Client(timeout=DEFAULT_TIMEOUT)


@define
class OperatorsClient:
    """Calls one router's operators' interface.

    Attributes:
        server: Its base URL.
        key: The operator's key.
        http: The HTTP client.
    """

    server: str
    key: str
    http: httpx.Client = field(factory=lambda: open_http())

    def __enter__(self) -> OperatorsClient:
        """Return the client."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close the connections."""
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
        """Call an endpoint and return its JSON answer.

        Args:
            method: The HTTP method.
            path: The path behind the base URL.
            query: The query's parameters.
            value: A JSON body, or
            body: a body as it is.

        Raises:
            UnreachableError: The call had no effect.
            UnansweredError: It may have had one.
            RemoteError: The router refused.
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
            raise classify(error, method)(f"{self.server}: {error}") from error
        return read_answer(response)


def classify(error: Exception, method: str) -> type[EbonyholdError]:
    """Tell a call that had no effect from one that may have had one.

    A connection that breaks after the request went out shows as a timeout or a
    reset, whether the router has acted or not; only a read is harmless then.
    """
    never_sent = (httpx.ConnectError, httpx.ConnectTimeout, httpx.UnsupportedProtocol)
    if method == "GET" or isinstance(error, (*never_sent, httpx.InvalidURL)):
        return UnreachableError
    return UnansweredError


def read_answer(response: httpx.Response) -> dict[str, Any]:
    """Return a response's JSON object.

    Raises:
        RemoteError: It is a refusal, or no JSON object.
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
