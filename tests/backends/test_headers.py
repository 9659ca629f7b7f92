"""Request headers of attempts at engines."""

from __future__ import annotations

import pytest

from ebonyhold.backends import EngineCall
from ebonyhold.backends._engine import call_headers

TRACE = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"


@pytest.mark.parametrize(
    ("call", "name", "value"),
    [
        (EngineCall("r.1~1~1", b"", True), "X-Attempt-Id", "r.1~1~1"),
        (EngineCall("a", b"", True, priority=5), "X-Priority", "5"),
        (EngineCall("a", b"", True, resume=7), "X-Resume-Tokens", "7"),
        (EngineCall("a", b"", True), "X-Resume-Tokens", None),
        (EngineCall("a", b"", True, traceparent=TRACE), "traceparent", TRACE),
        (EngineCall("a", b"", True, boot="b1"), "X-Expect-Boot-Id", "b1"),
        (EngineCall("a", b"", True), "X-Expect-Boot-Id", None),
    ],
)
def test_headers(call: EngineCall, name: str, value: str | None) -> None:
    assert call_headers(call).get(name) == value
