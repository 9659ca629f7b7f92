"""Explaining a request from log lines of real code, not from made-up ones."""

from __future__ import annotations

import logging
import os
import re
from collections.abc import Iterator
from pathlib import Path

import pytest
from typer.testing import CliRunner

from ebonyhold.command import app
from ebonyhold.exceptions import BudgetUnreachableError
from ebonyhold.gateway import configure_output, explain
from ebonyhold.standins import RowHistory
from tests.forwarding.kit import Server, request, rig
from tests.forwarding.test_attempts import broken_stream, declines
from tests.gateway.silences import NOT_SENT, SILENCES, Silence
from tests.prepaid.kit import Router

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    """Use asyncio: sockets have no virtual clock."""
    return "asyncio"


@pytest.fixture
def lines() -> Iterator[list[str]]:
    """Return the log lines; each iteration includes those written before it."""
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    root = logging.getLogger()
    before = (root.handlers[:], root.level)
    configure_output("INFO", "vm-1", writer)
    found: list[str] = []

    class Reader(list[str]):
        def __iter__(self) -> Iterator[str]:
            found.extend(os.read(reader, 1_000_000).decode().splitlines())
            return iter(found)

    yield Reader()
    root.handlers[:], level = before
    root.setLevel(level)
    os.close(reader)
    os.close(writer)


async def test_explains_stream_cut_by_backend(lines: list[str]) -> None:
    async with rig(Server("engine-1", broken_stream)) as router:
        await router.ask(request("/once/x"))
    text = "\n".join(explain("r1", lines))
    assert "dispatched: backend=engine-1 attempt=1" in text
    assert "outcome=cut: server_lost" in text
    assert "engine-1: the answer ended early" in text or "engine-1: no answer" in text


async def test_explains_refusal_under_overload(lines: list[str]) -> None:
    async with rig(Server("engine-1", declines)) as router:
        await router.ask(request("/unsafe/x"))
    text = "\n".join(explain("r1", lines))
    assert "refused: code=servers_full" in text
    assert "engine-1: declined with 503" in text


async def test_explains_refusal_while_store_unreachable(lines: list[str]) -> None:
    history = RowHistory()
    one = Router(history, "vm-1", "vm-1.a", [100_000])
    await one.renewals.step()
    await one.grant.hold(100, "r0")
    one.grant.reachable = False
    with pytest.raises(BudgetUnreachableError):
        await one.grant.hold(90_000, "r1")
    text = explain("r1", lines)
    assert "grant changed" in text[0]
    assert "tokens refused: workspace=acme amount=90000" in text[-1]
    assert "store_reachable=False" in text[-1]


@pytest.mark.parametrize("silence", SILENCES, ids=str)
async def test_explains_silence(silence: Silence, lines: list[str]) -> None:
    """Guards against answers late for a silence of which the logs tell nothing."""
    async with silence.rig() as router:
        await silence.ask(router)
    text = "\n".join(explain("r1", lines))
    asked = re.findall(r"dispatched: backend=(\S+) attempt=\d", text)
    first, other = (*asked, "none")[:2]
    assert re.findall(r"server silent: backend=(\S+) .*silent_ms=\d+", text) == [first]
    kept = re.findall(r"silent server kept: backend=(\S+) why=(\S+)", text)
    assert set(kept) == {(first, why) for why in silence.results & NOT_SENT}
    ended = re.findall(r"silence ended: backend=(\S+) outcome=(\S+) to=(\S*) ", text)
    to = other if silence.outcome in ("moved", "left") else ""
    assert ended == [(first, silence.outcome, to)]
    request_ended = text.splitlines()[-1]
    assert str(asked) in request_ended
    reason = silence.reason.format(first=first, other=other)
    assert re.search(
        rf"reasons=\[['\"]{reason}" if reason else r"reasons=\[\]", request_ended
    )


async def test_explains_that_all_servers_were_silent(lines: list[str]) -> None:
    """Guards against a common silence that looks like a fault of one server."""
    (silence,) = (each for each in SILENCES if "common_silence" in each.results)
    async with silence.rig() as router:
        await silence.ask(router)
    text = "\n".join(explain("r1", lines))
    others = "others_heard=0 others_returned=0 others_silent=1 others_idle=0"
    assert f" {others}" in text


def test_explain_command(tmp_path: Path) -> None:
    log = tmp_path / "log"
    log.write_text(
        'noise\n7.1 vm-1 {"time": "t1", "router": "vm-1", "message": "refused",'
        ' "request": "r9", "code": "no_route"}\n{"broken\n'
    )
    result = CliRunner().invoke(app, ["explain", "r9", str(log)])
    assert result.exit_code == 0
    assert result.stdout == "t1 vm-1 refused: code=no_route\n"
    unknown = CliRunner().invoke(app, ["explain", "r8", str(log)])
    assert unknown.exit_code == 1
