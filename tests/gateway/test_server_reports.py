"""Reports of servers, read by the collector of their failure domain."""

from __future__ import annotations

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream

from ebonyhold.exceptions import MalformedEntryError
from ebonyhold.forwarding import Backend, BackendState, BackendTable, Service
from ebonyhold.gateway import ServerReport
from ebonyhold.gateway import _server_reports as module
from ebonyhold.gateway._server_reports import ServerReports

pytestmark = pytest.mark.anyio

ANSWERS = {"good": b"7", "malformed": b"x", "silent": None, "plain": b"7", "far": b"7"}


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def decode(body: bytes) -> ServerReport:
    if not body.isdigit():
        raise MalformedEntryError("no number")
    return ServerReport(0, int(body))


async def test_reports_are_read_only_while_wanted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A server that does not answer or answers nonsense delays no other's report."""
    monkeypatch.setattr(module, "READ_INTERVAL", 0.05)
    monkeypatch.setattr(module, "TIMEOUT", 0.05)
    table, asked, found, wanted = BackendTable(), [], [], False
    table.services = {
        "text": Service("text", 9, memory=1),
        "plain": Service("plain", 9),
    }
    async with anyio.create_task_group() as tasks:
        for name, body in ANSWERS.items():

            async def answer(
                stream: SocketStream, name: str = name, body: bytes | None = body
            ) -> None:
                async with stream:
                    async for _ in stream:
                        asked.append(name)
                        if body is not None:
                            await stream.send(
                                b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n" + body
                            )

            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            tasks.start_soon(listener.serve, answer)
            port = listener.extra(SocketAttribute.local_port)
            service = "plain" if name == "plain" else "text"
            domain = "b" if name == "far" else "a"
            address = ("127.0.0.1", port)
            ready = BackendState.READY
            table.update(Backend(name, service, address, domain, 8, ready, 5))
        reports = ServerReports(
            table,
            "a",
            b"/report",
            decode,
            lambda entry, report: found.append((entry.backend.name, report.requests)),
            lambda: wanted,
            tasks,
        )
        started = anyio.Event()
        tasks.start_soon(reports.run, started)
        started.set()
        await anyio.sleep(0.2)
        assert asked == []
        wanted = True
        with anyio.fail_after(5):
            while len(found) < 3:  # noqa: ASYNC110 - there is no event to wait for
                await anyio.sleep(0.02)
        tasks.cancel_scope.cancel()
    assert set(found) == {("good", 7)}
    assert set(asked) == {"good", "malformed", "silent"}
