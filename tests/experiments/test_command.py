"""The commands of `ebonyhold experiment`, and what their files hold."""

from __future__ import annotations

import os
import random
import re
import subprocess
import sys
from pathlib import Path
from textwrap import dedent

import pytest
from attrs import evolve
from typer.testing import CliRunner

from ebonyhold.command import ExitCode, app
from ebonyhold.document import FindingsError
from ebonyhold.experiments import _runs
from ebonyhold.experiments._catalogue import Kind, catalogue, read_scenario
from ebonyhold.experiments._compare import compare_results, describe_difference
from ebonyhold.experiments._money_scenarios import scenarios
from ebonyhold.experiments._results import (
    Finished,
    Result,
    RunKey,
    measured,
    read_histograms,
    read_results,
    write_results,
)
from ebonyhold.experiments._runs import Wish, money_scenario, run_wish
from ebonyhold.experiments.checker import Broken, Evidence, Promise
from ebonyhold.experiments.trial import Verdict

SMALL = """
kind: money
summary: A split of one minute, with a top-up.
load:
  plenty: 0.6
  workspaces: [{name: a, share: 2}, {name: b, share: 1}]
  stretches: [{start: 0s, end: 2m, rate: 0.3}]
faults:
  - {at: 30s, what: split}
  - {at: 45s, what: top_up, part: 0.5}
  - {at: 90s, what: heal}
"""

SMALL_CHOICE = """
kind: choice
summary: A short run.
load: {factor: 0.4, length: 1s}
"""


def invoke(*arguments: str | Path) -> str:
    result = CliRunner().invoke(app, ["experiment", *map(str, arguments)])
    assert result.exit_code == 0, result.output
    return result.output


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    (tmp_path / "small.yaml").write_text(SMALL)
    (tmp_path / "short.yaml").write_text(SMALL_CHOICE)
    return tmp_path


def test_page_shows_a_usable_file() -> None:
    page = (Path(__file__).parents[2] / "docs" / "EXPERIMENTS.md").read_text()
    found = re.search(r"(?m)(^    kind: (.*\n)+?)\n", page)
    assert found
    spec = read_scenario("page", dedent(found.group(1)))
    assert [fault.what for fault in spec.faults] == ["split", "top_up", "heal"]


def test_list_names_each_scenario_and_its_policies() -> None:
    shown = invoke("list", "--output", "json")
    for spec in catalogue():
        assert f'"{spec.name}"' in shown
    assert '"adaptive_transfer"' in shown
    assert '"prefix_aware"' in shown


@pytest.mark.parametrize("name", sorted(scenarios))
def test_file_describes_the_registered_scenario(name: str) -> None:
    (spec,) = (each for each in catalogue() if each.name == name)
    assert spec.kind is Kind.MONEY
    assert money_scenario(spec, 4) == scenarios[name](random.Random(f"{name}/4"))


def test_the_same_seed_gives_the_same_bytes(folder: Path) -> None:
    """Two runs of one seed must not differ by a byte.

    A reader repeats a published run in a process of their own and gets other
    figures.  The hash of strings, and with it the order of sets, and the order
    of tasks that are ready at the same moment differ in each process.
    """
    written = []
    for hash_seed in ("1", "2"):
        out = folder / f"out-{hash_seed}"
        command = [
            sys.executable, "-m", "ebonyhold.command", "experiment", "run",
            str(folder / "small.yaml"), str(folder / "short.yaml"),
            "--policy", "adaptive_transfer", "--policy", "two_choices",
            "--seed", "3", "--out", str(out),
        ]  # fmt: skip
        environment = {**os.environ, "PYTHONHASHSEED": hash_seed}
        subprocess.run(command, check=True, env=environment, capture_output=True)
        written.append({path.name: path.read_bytes() for path in out.iterdir()})
    assert set(written[0]) == {"results.jsonl", "latency.hlog"}
    assert written[0] == written[1]
    assert written[0]["results.jsonl"].count(b"\n") == 2


def test_another_seed_gives_another_run() -> None:
    spec = read_scenario("small", SMALL)
    first = run_wish(Wish(spec, "adaptive", 1)).result.figures
    assert run_wish(Wish(spec, "adaptive", 2)).result.figures != first


def test_report_is_one_page_without_links(folder: Path) -> None:
    out = folder / "out"
    policies = ("--policy", "adaptive", "--policy", "table_call", "--policy", "random")
    files = (folder / "small.yaml", folder / "short.yaml")
    invoke("run", *files, *policies, "--seed", "1", "--out", out)
    invoke("report", out)
    page = (out / "report.html").read_text()
    plots = {path.stem for path in out.glob("*.png")}
    assert {"refusals", "latency", "goodput", "first_token_percentiles"} <= plots
    assert page.count("data:image/png;base64,") == len(plots)
    assert re.search(r"https?://|(src|href)=\"(?!data:)", page) is None
    assert "No workspace overspent" in page


def test_an_interrupted_run_keeps_what_it_finished(
    folder: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    run = _runs.run_wish

    def run_first(wish: Wish) -> Finished:
        if wish.seed == 2:
            raise KeyboardInterrupt
        return run(wish)

    monkeypatch.setattr(_runs, "run_wish", run_first)
    small = str(folder / "small.yaml")
    wanted = ["--policy", "adaptive", "--seed", "1", "--seed", "2"]
    arguments = ["run", small, *wanted, "--out", str(folder / "out")]
    result = CliRunner().invoke(app, ["experiment", *arguments])
    assert result.exit_code != 0
    assert [each.key.seed for each in read_results(folder / "out")] == [1]


def test_a_live_run_that_breaks_a_promise_fails(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    asked = []

    async def run_trial(requests: int, troubles: list[str], seed: int) -> Verdict:
        asked.append((requests, troubles, seed))
        broken = Broken(Promise.BILL, "two bills", "oak", "r1")
        return Verdict(Evidence(), (), (broken,))

    monkeypatch.setattr(_runs, "run_trial", run_trial)
    arguments = ["run", "live_kill", "--live", "--seed", "7", "--out", str(tmp_path)]
    result = CliRunner().invoke(app, ["experiment", *arguments])
    assert asked == [(300, ["objects", "table", "kill"], 7)]
    assert result.exit_code == ExitCode.FAILED
    assert "broken promise:" in result.output
    assert "two bills" in result.output
    invoke("report", tmp_path)
    assert "two bills" in (tmp_path / "report.html").read_text()


def test_report_without_matplotlib_says_what_to_install(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setitem(sys.modules, "matplotlib", None)
    for name in ("_report", "_plots", "_panels"):
        monkeypatch.delitem(sys.modules, f"ebonyhold.experiments.{name}", False)
    result = CliRunner().invoke(app, ["experiment", "report", str(tmp_path)])
    assert result.exit_code == ExitCode.FAILED
    assert "pip install matplotlib" in result.output


@pytest.mark.parametrize(
    ("text", "findings"),
    [
        ("kind: money\nsummary: x\n", ["load.workspaces", "load.stretches"]),
        ("kind: many\nlod: 1\n", ["kind", "lod", "summary"]),
        (
            SMALL.replace("split", "flood").replace("end: 2m", "end: 0s"),
            ["faults.0.what", "load.stretches.0.end"],
        ),
        (
            SMALL.replace("rate: 0.3", "rate: 0.3, routers: [1, 2]"),
            ["load.stretches.0.routers"],
        ),
        (
            SMALL.replace("part: 0.5", "part: 0.5, router: 6"),
            ["faults.1.router"],
        ),
        (SMALL + "deployment: bagmati-dhoka\n", ["deployment"]),
        (SMALL_CHOICE + "faults: [{what: kill}]\n", ["faults.0.what"]),
        (
            SMALL_CHOICE + "faults: [{what: engine_dead, at: 1s}, {what: engine_dead}]",
            ["faults", "faults.0.at"],
        ),
        (
            SMALL.replace("at: 30s", "at: 30").replace("plenty: 0.6", "plenty: -1"),
            ["load.plenty", "faults[0].at"],
        ),
    ],
)
def test_all_findings_of_a_file_come_together(text: str, findings: list[str]) -> None:
    with pytest.raises(FindingsError) as raised:
        read_scenario("small", text)
    assert sorted(each.path for each in raised.value.findings) == sorted(findings)


@pytest.mark.parametrize(
    ("arguments", "code", "words"),
    [
        (["run", "nowhere"], ExitCode.FAILED, "unknown_scenario"),
        (["run", "dawn", "--policy", "magic"], ExitCode.FAILED, "unknown_policy"),
        (
            ["run", "dawn", "usual_lenha", "--policy", "random"],
            ExitCode.FAILED,
            "dawn compares static_split",
        ),
        (["run", "dawn", "live_calm"], ExitCode.USAGE, "live_calm: add --live"),
        (["run", "dawn", "--out", "/dev/null"], ExitCode.USAGE, "File exists"),
        (["report", "nowhere"], ExitCode.FAILED, "results_unusable"),
        (["compare", "nowhere", "nowhere"], ExitCode.FAILED, "results_unusable"),
    ],
)
def test_misuse(
    arguments: list[str],
    code: ExitCode,
    words: str,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.chdir(tmp_path)
    result = CliRunner().invoke(app, ["experiment", *arguments])
    assert result.exit_code == code
    assert words in result.output
    assert not list(tmp_path.iterdir())


def result_of(seed: int, **figures: float) -> Result:
    return Result(RunKey("s", "p", seed), Kind.MONEY, "d", measured(**figures))


@pytest.mark.parametrize(
    ("before", "after", "mark"),
    [
        ((1.0, 2.0, 3.0), (1.5, 2.5, 3.5), ""),
        ((1.0, 2.0, 3.0), (5.0, 5.1, 5.2), "worse"),
        ((5.0, 5.1, 5.2), (1.0, 2.0, 3.0), "better"),
        ((1.0,), (9.0,), "one seed only"),
        ((1.0, 2.0), (1.0, 2.0), None),
    ],
)
def test_compare_marks_what_exceeds_the_spread(
    before: tuple[float, ...], after: tuple[float, ...], mark: str | None
) -> None:
    first = [result_of(seed, overspend=value) for seed, value in enumerate(before)]
    second = [result_of(seed, overspend=value) for seed, value in enumerate(after)]
    rows = [describe_difference(each) for each in compare_results(first, second)]
    assert [row["mark"] for row in rows] == ([] if mark is None else [mark])


def test_compare_takes_the_seeds_that_both_have() -> None:
    first = [result_of(seed, overspend=seed) for seed in (1, 2)]
    second = [result_of(seed, overspend=seed) for seed in (2, 3)]
    assert compare_results(first, second) == []
    assert len(compare_results(first, second[1:])) == 1


def test_results_come_back_as_they_were_written(tmp_path: Path) -> None:
    result = evolve(result_of(1, refused=0.25), broken=("a <promise>",))
    write_results(tmp_path, [Finished(result, (0.004, 0.1))])
    assert read_results(tmp_path) == [result]
    histogram = read_histograms(tmp_path)["s/p/1"]
    assert histogram.get_total_count() == 2
    assert histogram.get_value_at_percentile(50) == pytest.approx(4000, rel=0.001)
