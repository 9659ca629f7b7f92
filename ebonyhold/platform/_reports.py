"""Decode the reports that backend servers give of their load."""

from __future__ import annotations

import json

from ebonyhold.exceptions import MalformedEntryError
from ebonyhold.gateway import ServerReport
from ebonyhold.platform._documents import DECODE_ERRORS

REPORT_TARGET = b"/ebonyhold/report"


def read_report(body: bytes) -> ServerReport:
    """Decode a server's report.

    Raises:
        MalformedEntryError: It is no JSON object with the numbers of requests.
    """
    try:
        raw = json.loads(body)
        waiting, running = raw["waiting-count"], raw["running-count"]
        if type(waiting) is not int or type(running) is not int:
            raise MalformedEntryError("a number of requests is no integer")
    except DECODE_ERRORS as error:
        raise MalformedEntryError(f"{body[:80]!r}: {error!r}") from error
    if min(waiting, running) < 0:
        raise MalformedEntryError(f"{waiting} and {running} requests")
    return ServerReport(waiting, running)


def read_start(body: bytes) -> int:
    """Decode when a server has started, by its report.

    Returns:
        The start in milliseconds since the epoch, as the server's entry states it; 0 if
        the report states none.

    Raises:
        MalformedEntryError: The report is no JSON object.
    """
    try:
        started_at = json.loads(body).get("born", 0)
    except DECODE_ERRORS as error:
        raise MalformedEntryError(f"{body[:80]!r}: {error!r}") from error
    return started_at if type(started_at) is int and started_at > 0 else 0
