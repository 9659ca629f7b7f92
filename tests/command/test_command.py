"""The commands: output as tables and as JSON, and exit codes."""

from __future__ import annotations

import json
from collections.abc import Iterator
from pathlib import Path

import httpx
import pytest
from anyio.from_thread import BlockingPortal, start_blocking_portal
from attrs import define
from typer.testing import CliRunner, Result

from ebonyhold.command import app
from ebonyhold.exceptions import UnavailableError, UnknownOutcomeError
from ebonyhold.operators import (
    BackendStatus,
    Discrepancy,
    FleetStatus,
    GrantStatus,
    OperatorsApp,
    RouterStatus,
    _client,
)
from tests.document.test_check import BASE, FEBRUARY, JANUARY
from tests.operators.fakes import KEY, Bench, make_bench

PLAN = ["stop", "plan", "x", "--starts", JANUARY, "--ends", FEBRUARY]


@define
class PortalTransport(httpx.BaseTransport):
    """Sends a synchronous client's requests to an ASGI application.

    If `error` is set, it is raised after the application has answered, as when the
    answer is lost.
    """

    portal: BlockingPortal
    inner: httpx.ASGITransport
    error: httpx.TransportError | None = None

    def handle_request(self, request: httpx.Request) -> httpx.Response:
        response = self.portal.call(self.exchange, request)
        if self.error:
            raise self.error
        return response

    async def exchange(self, request: httpx.Request) -> httpx.Response:
        request.read()
        response = await self.inner.handle_async_request(
            httpx.Request(
                request.method,
                request.url,
                headers=request.headers,
                content=request.content,
            )
        )
        body = await response.aread()
        return httpx.Response(response.status_code, content=body)


@define
class Tool:
    """Runs commands against the operators' interface of a router made of fakes."""

    bench: Bench
    transport: PortalTransport
    folder: Path

    def run(self, *arguments: str) -> Result:
        env = {"EBONYHOLD_KEY": KEY, "EBONYHOLD_SERVER": "http://router"}
        return CliRunner().invoke(app, list(arguments), env=env)

    def file(self, text: str = BASE) -> str:
        path = self.folder / "document.yaml"
        path.write_text(text)
        return str(path)


@pytest.fixture
def tool(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[Tool]:
    bench = make_bench(tmp_path)
    with start_blocking_portal() as portal:
        inner = httpx.ASGITransport(OperatorsApp(bench.context))
        transport = PortalTransport(portal, inner)
        monkeypatch.setattr(
            _client, "open_http", lambda: httpx.Client(transport=transport)
        )
        yield Tool(bench, transport, tmp_path)


@pytest.mark.parametrize(
    ("text", "code", "shown"),
    [
        (BASE, 0, "no findings"),
        (BASE.replace("fleet: f", "fleet: 1"), 1, "wrong_type"),
        ("[", 1, "syntax"),
    ],
)
def test_check_shows_findings(tool: Tool, text: str, code: int, shown: str) -> None:
    result = tool.run("check", tool.file(text))
    assert (result.exit_code, shown in result.output) == (code, True)
    as_json = json.loads(tool.run("check", tool.file(text), "--output", "json").stdout)
    assert as_json["usable"] is (code == 0)


@pytest.mark.parametrize(
    "arguments",
    [
        ["check", "/no/such/file"],
        ["apply"],
        ["status", "--output", "xml"],
        ["budget", "top-up", "w", "0"],
    ],
)
def test_usage_errors_exit_with_2(tool: Tool, arguments: list[str]) -> None:
    assert tool.run(*arguments).exit_code == 2


def test_schema_is_json(tool: Tool) -> None:
    assert json.loads(tool.run("schema").stdout)["title"] == "ebonyhold fleet document"


def test_apply_show_history_rollback(tool: Tool) -> None:
    assert "version 1 is accepted" in tool.run("apply", tool.file()).output
    assert tool.run("show").stdout.startswith("# version 1\nfleet: f\n")
    changed = tool.file(BASE.replace("fleet: f", "fleet: g"))
    assert tool.run("apply", changed, "--based-on", "1").exit_code == 0
    assert "version 3" in tool.run("rollback", "1").output
    versions = json.loads(tool.run("history", "--output", "json").stdout)["versions"]
    assert [each["version"] for each in versions] == [3, 2, 1]
    assert "ana" in tool.run("history").stdout


def test_the_loser_of_a_race_exits_with_3(tool: Tool) -> None:
    tool.run("apply", tool.file())
    result = tool.run("apply", tool.file(BASE.replace("fleet: f", "fleet: g")),
                      "--based-on", "0")  # fmt: skip
    assert result.exit_code == 3
    assert "changed meanwhile: workspaces.w (added)" in result.stderr


def test_a_repeated_apply_is_no_lost_race(tool: Tool) -> None:
    """Guards against a repeated apply that fails or makes a second version.

    The answer to the first apply is lost, and the operator repeats the command with
    the same base version. The document is in force already, so the repeat succeeds.
    """
    tool.transport.error = httpx.ReadTimeout("no answer")
    lost = tool.run("apply", tool.file(), "--based-on", "0")
    assert (lost.exit_code, "unanswered" in lost.stderr) == (5, True)
    tool.transport.error = None
    again = tool.run("apply", tool.file(), "--based-on", "0")
    assert (again.exit_code, "version 1" in again.output) == (0, True)


@pytest.mark.parametrize(
    ("error", "arguments", "code"),
    [
        (httpx.ConnectError("refused"), ["budget", "top-up", "w", "5"], 4),
        (httpx.ReadError("reset"), ["budget", "top-up", "w", "5"], 5),
        (httpx.ReadError("reset"), ["status"], 4),
    ],
)
def test_connection_errors_set_the_exit_code(
    tool: Tool, error: httpx.TransportError, arguments: list[str], code: int
) -> None:
    tool.run("apply", tool.file())
    tool.transport.error = error
    assert tool.run(*arguments).exit_code == code


@pytest.mark.parametrize(
    ("error", "code"),
    [(UnavailableError("down"), 4), (UnknownOutcomeError("lost"), 5)],
)
def test_platform_errors_set_the_exit_code(
    tool: Tool, error: UnavailableError | UnknownOutcomeError, code: int
) -> None:
    tool.run("apply", tool.file())
    tool.bench.accounts.error = error
    assert tool.run("budget", "show").exit_code == code


def test_a_wrong_key_fails(tool: Tool) -> None:
    result = tool.run("status", "--key", "wrong")
    assert (result.exit_code, "unauthorized" in result.stderr) == (1, True)


def test_wait_names_the_routers_that_lack_the_version(tool: Tool) -> None:
    routers = (
        RouterStatus("a.1", "a", 1, "alive"),
        RouterStatus("b.1", "b", 0, "suspect"),
        RouterStatus("c.1", "c", 0, "gone"),
    )
    tool.bench.status.status = FleetStatus(routers)
    result = tool.run("apply", tool.file(), "--wait", "0.01")
    assert result.exit_code == 1
    assert "not yet in force at b.1 (has 0, suspect)" in result.output
    assert "c.1" not in result.output


def test_status_and_stops_show_requests_in_flight_at_a_server(tool: Tool) -> None:
    tool.run("apply", tool.file())
    router = RouterStatus("a.1", "a", 1, "alive", 2, (GrantStatus("w", 70, 30),), 1.0)
    backends = (
        BackendStatus("e1", "a", "leaving", 2, ("a.1",)),
        BackendStatus("e2", "b", "serving"),
    )
    tool.bench.status.status = FleetStatus((router,), backends)
    shown = tool.run("status").output
    assert "100" in shown
    assert "1s ago" in shown
    assert tool.run(*PLAN, "--backend", "e1").exit_code == 0
    assert "2 in flight at a.1" in tool.run("stop", "list").output
    assert tool.run("stop", "cancel", "x").exit_code == 0
    assert "no planned stops" in tool.run("stop", "list").output


def test_a_stop_with_findings_fails(tool: Tool) -> None:
    tool.run("apply", tool.file())
    result = tool.run(*PLAN, "--backend", "e9")
    assert (result.exit_code, "bad_reference" in result.stderr) == (1, True)


def test_a_part_is_put_and_deleted(tool: Tool) -> None:
    tool.run("apply", tool.file())
    file = tool.file("priority: 3\n")
    assert tool.run("part", "put", "models", "a/b", file).exit_code == 0
    assert "model: a/b" in tool.run("show").stdout
    lost = tool.run("part", "delete", "models", "a/b", "--based-on", "1")
    assert lost.exit_code == 3
    assert "version 3" in tool.run("part", "delete", "models", "a/b").output
    assert tool.run("part", "delete", "models", "a/b").exit_code == 1
    assert tool.run("part", "put", "odd", "a?b", file).exit_code == 1


def test_a_top_up_prints_its_key_before_it_is_sent(tool: Tool) -> None:
    """Guards against tokens that are added twice when a top-up is repeated.

    The answer is lost after the tokens were added, so the command exits with 5. The
    key was printed before the call, and repeating the command with it adds nothing.
    """
    tool.run("apply", tool.file())
    tool.transport.error = httpx.ReadTimeout("no answer")
    lost = tool.run("budget", "top-up", "w", "500")
    assert lost.exit_code == 5
    key = lost.stderr.partition("--repeat-key ")[2].split()[0]
    tool.transport.error = None
    tool.run("budget", "top-up", "w", "500", "--repeat-key", key)
    shown = json.loads(tool.run("budget", "show", "w", "--output", "json").stdout)
    assert shown["budgets"][0]["prepaid"] == 500


def test_bills_are_listed_and_verified(tool: Tool) -> None:
    tool.run("apply", tool.file())
    assert "q1" in tool.run("bill", "list", "w").output
    assert "budgets of 1 workspaces add up" in tool.run("bill", "verify").output
    tool.bench.accounts.discrepancies = (Discrepancy("w", "overspent", 0, -5),)
    result = tool.run("bill", "verify")
    assert (result.exit_code, "overspent" in result.output) == (1, True)
