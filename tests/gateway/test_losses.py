"""The report on lost requests, from log lines in the format of routers."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from typer.testing import CliRunner

from ebonyhold.command import app
from ebonyhold.gateway import find_losses, report_losses

DEFAULTS = {"available": 0, "room": 0, "remaining": 0, "prepaid": 9_000}


def line(message: str, second: int = 0, router: str = "vm-1", **fields: Any) -> str:
    """Return a log line as a router writes it, after another program's timestamp."""
    time = f"2026-01-01T00:00:{second:02}.000000+00:00"
    raw = {"time": time, "router": router, "message": message, **fields}
    return f"{second} {router} {json.dumps(raw)}"


def grant(router: str, available: int, second: int = 0) -> str:
    """Return the line of a router's change of its grant of "acme"."""
    row: dict[str, Any] = {"workspace": "acme", "spent": 0, "remaining": 0}
    return line("grant changed", second, router, available=available, **row)


def reclaim(granted: int, returned: int, filed: int) -> str:
    """Return the line of a reclaim of a grant of "acme"."""
    values: dict[str, Any] = {"granted": granted, "returned": returned, "filed": filed}
    return line("grant reclaimed", workspace="acme", **values)


def refusal(reachable: bool, **fields: int) -> list[str]:
    """Return the lines of a request for 500 tokens that was refused."""
    values: dict[str, Any] = {**DEFAULTS, **fields, "amount": 500, "workspace": "acme"}
    values["store_reachable"] = reachable
    return [
        line("tokens refused", 5, request="r", **values),
        line("refused", 5, request="r", code="budget_unreachable", route="chat"),
    ]


@pytest.mark.parametrize(
    ("lines", "cause"),
    [
        (refusal(True, available=800, kept=400), "tokens kept for small requests"),
        (refusal(True, available=800, kept=200), "tokens here, above the limit"),
        (refusal(True, available=800, room=100), "tokens here, above the limit"),
        (refusal(False, remaining=800), "tokens in the budget, store away"),
        ([grant("vm-2", 800), *refusal(False)], "tokens with other routers"),
        ([grant("vm-1", 800), *refusal(False)], "tokens spent or held"),
        (
            [grant("vm-2", 800), line("starting", 1, "vm-2"), *refusal(False)],
            "tokens spent or held",
        ),
        ([reclaim(2_000, 900, 300), *refusal(True)], "tokens stranded by dead routers"),
        ([reclaim(2_000, 900, 800), *refusal(True)], "tokens spent or held"),
        ([line("refused", request="r", code="servers_full")], "servers_full"),
        ([line("request ended", outcome="cut: server_lost")], "cut: server_lost"),
    ],
)
def test_a_lost_request_has_a_cause(lines: list[str], cause: str) -> None:
    assert find_losses(lines).causes == {cause: 1}


@pytest.mark.parametrize("outcome", ["delivered", "servers_full"])
def test_delivered_or_refused_end_is_not_counted(outcome: str) -> None:
    """Delivered requests are not lost, and refused ones are counted at "refused"."""
    assert not find_losses([line("request ended", outcome=outcome)]).causes


def test_lines_are_sorted_by_time() -> None:
    """Each router has its own log, and the logs are read one after another.

    Without sorting, tokens that another router got only after the refusal would seem
    available.
    """
    late = [grant("vm-2", 800, second=7), *refusal(False)]
    assert find_losses(late).causes == {"tokens spent or held": 1}


def test_command_prints_all_tables(tmp_path: Path) -> None:
    log = tmp_path / "vm-1.log"
    log.write_text("\n".join(["no line of ours", grant("vm-2", 800), *refusal(False)]))
    result = CliRunner().invoke(app, ["losses", str(log)])
    assert result.exit_code == 0
    for text in (
        "tokens with other routers  1",
        "tokens with other routers  chat",
        "4 s   tokens with other routers",
        "acme       9000",
    ):
        assert text in result.output


def test_report_without_losses() -> None:
    assert any("Lost, by cause" in one for one in report_losses(find_losses([])))


def test_tokens_of_a_budget_are_told_apart(tmp_path: Path) -> None:
    """Guards against a report that hides what a power cut leaves in no account."""
    row: dict[str, Any] = {"workspace": "acme", "spent": 700, "remaining": 2_000}
    renewed: dict[str, Any] = {"granted": 1_500, "limit": 1_200, "used": 900}
    log = tmp_path / "all.log"
    lines = [
        refusal(True)[0].replace("00:05", "00:00"),
        line("request ended", 1, workspace="acme", charge=600, outcome="delivered"),
        line("grant changed", 2, "vm-1", available=500, held=100, **row),
        line("grant changed", 2, "vm-2", available=300, held=20, **row),
        line("starting", 3, "vm-1"),
        line(
            "grant reclaimed",
            5,
            workspace="acme",
            returned=300,
            held=200,
            filed=400,
            **renewed,
        ),
    ]
    log.write_text("\n".join(lines))
    fixed = [9_000, 700, 600, 2_000]
    for seconds, expected in [
        ("2", [*fixed, 800, 120, 0, 0, 0, 8_400]),
        ("4", [*fixed, 300, 20, 600, 0, 0, 8_400]),
        # Of 800 tokens, 300 were charged and not filed at the last renewal.
        ("9", [*fixed, 300, 20, 0, 800, 500, 8_400]),
    ]:
        result = CliRunner().invoke(app, ["losses", "--at", seconds, str(log)])
        assert result.output.split("acme")[-1].split() == [str(n) for n in expected]
