"""The headers of callers and backend servers, as the forwarding path needs them."""

from __future__ import annotations

from typing import Protocol

from ebonyhold.forwarding._types import (
    AnswerFacts,
    CallerRequest,
    Dispatch,
    Headers,
)


class Dialect(Protocol):
    """Translates header fields to typed messages and back; it decides nothing."""

    def read_request(self, headers: Headers) -> CallerRequest:
        """Decode the headers of a caller's request.

        Raises:
            MalformedRequestError: A field cannot be read.
        """
        ...

    def dispatch_headers(self, headers: Headers, dispatch: Dispatch) -> Headers:
        """Return the caller's end-to-end fields with this dispatch's own ones."""
        ...

    def read_answer(self, status: int, headers: Headers) -> AnswerFacts:
        """Decode the headers of a backend server's answer."""
        ...

    def refusal_headers(self, request_id: str) -> Headers:
        """Return the fields that name the request in an answer of our own."""
        ...
