"""The interface to the header fields that callers and backend servers use."""

from __future__ import annotations

from typing import Protocol

from ebonyhold.forwarding._types import (
    AnswerFacts,
    CallerRequest,
    Dispatch,
    Headers,
)


class Dialect(Protocol):
    """Converts header fields to typed messages and back."""

    def read_request(self, headers: Headers) -> CallerRequest:
        """Decode the headers of a caller's request.

        Raises:
            MalformedRequestError: A field cannot be read.
        """
        ...

    def dispatch_headers(self, headers: Headers, dispatch: Dispatch) -> Headers:
        """Return the fields of a request to a backend server.

        Args:
            headers: The caller's end-to-end fields; those that only the router may set
                are left out.
            dispatch: The values of the fields that the router sets.
        """
        ...

    def read_answer(self, status: int, headers: Headers) -> AnswerFacts:
        """Decode the headers of a backend server's answer."""
        ...

    def refusal_headers(self, request_id: str) -> Headers:
        """Return the fields that identify the request in the router's own answer."""
        ...
