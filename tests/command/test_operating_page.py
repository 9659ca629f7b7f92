"""docs/OPERATIONS.md lists all exit codes, commands and settings."""

from __future__ import annotations

import re
from pathlib import Path

import attrs
import pytest
import typer

from ebonyhold.command import ExitCode, app
from ebonyhold.settings import Settings

PAGE = (Path(__file__).parents[2] / "docs" / "OPERATIONS.md").read_text()


def commands(root: typer.Typer, prefix: str = "ebonyhold") -> list[str]:
    found = [
        f"{prefix} {each.name or (each.callback.__name__ if each.callback else '')}"
        for each in root.registered_commands
    ]
    for group in root.registered_groups:
        if group.typer_instance:
            found += commands(group.typer_instance, f"{prefix} {group.name}")
    return found


def test_the_page_lists_all_exit_codes() -> None:
    table = PAGE.partition("## Exit codes")[2].partition("## ")[0]
    listed = {int(code) for code in re.findall(r"^\| (\d) \|", table, re.MULTILINE)}
    assert listed == {code.value for code in ExitCode}


@pytest.mark.parametrize("command", commands(app))
def test_the_page_names_each_command(command: str) -> None:
    short = command.removeprefix("ebonyhold ")
    assert f"`{command}" in PAGE or f"`{short}" in PAGE


@pytest.mark.parametrize("setting", [each.name for each in attrs.fields(Settings)])
def test_the_page_lists_each_setting(setting: str) -> None:
    table = PAGE.partition("## Settings")[2].partition("## ")[0]
    assert re.search(rf"`{setting}[`.]", table)
