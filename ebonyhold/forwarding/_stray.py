"""Tells the answer to a request from late answers to others on its connection."""

from __future__ import annotations

import logging
from collections.abc import Callable
from enum import Enum

from attrs import define

from ebonyhold.exceptions import BackendLostError
from ebonyhold.forwarding._entry import BackendEntry
from ebonyhold.forwarding._types import AnswerFacts, ServiceName

log = logging.getLogger(__name__)


class StrayAnswer(Enum):
    """What an answer states that does not name the request which waits for it.

    Attributes:
        NOT_RUN: That the request that it names did not run.
        ANSWERED: Anything else about the request that it names.
        UNNAMED: It names no request.
    """

    NOT_RUN = "not_run"
    ANSWERED = "answered"
    UNNAMED = "unnamed"


def kind_of(facts: AnswerFacts) -> StrayAnswer:
    """Return the kind of an answer that does not name the request which waits."""
    if not facts.request_id:
        return StrayAnswer.UNNAMED
    return StrayAnswer.NOT_RUN if facts.not_run else StrayAnswer.ANSWERED


@define(eq=False)
class StrayFilter:
    """Finds the answers that are not for the request which waits; logs and counts them.

    Attributes:
        on_stray: Called with the service of the server, and the kind of the answer.
    """

    on_stray: Callable[[ServiceName, StrayAnswer], None] = lambda service, kind: None

    def is_answer(
        self, entry: BackendEntry, facts: AnswerFacts, request: str, earlier: int
    ) -> bool:
        """Return whether an answer is the one to a request; if not, record it.

        A rejection that names no request is the answer if its connection has carried
        no other one.

        Args:
            entry: The server.
            facts: The answer.
            request: The identifier of the request that waits.
            earlier: Number of requests that the connection has carried before it.

        Raises:
            BackendLostError: A rejection names no request, and may be that of another.
        """
        if facts.request_id == request:
            return True
        kind = kind_of(facts)
        is_unnamed_rejection = facts.not_run and kind is StrayAnswer.UNNAMED
        if is_unnamed_rejection and not earlier:
            return True
        self.on_stray(entry.backend.service, kind)
        log.warning(
            "skipping an answer to another request",
            extra={
                "request": request,
                "backend": entry.backend.name,
                "answer_to": facts.request_id,
                "states": kind.value,
                "earlier_requests": earlier,
            },
        )
        if is_unnamed_rejection:
            raise BackendLostError("a rejection that names no request")
        return False
