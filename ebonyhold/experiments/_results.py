"""Results of runs as JSON lines and latency histograms, byte for byte the same."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator, Sequence
from pathlib import Path

import cattrs
from attrs import field, frozen
from hdrh.histogram import HdrHistogram
from hdrh.log import HistogramLogReader

from ebonyhold.exceptions import EbonyholdError
from ebonyhold.experiments._catalogue import Kind
from ebonyhold.types import Seconds

RESULTS = "results.jsonl"
LATENCIES = "latency.hlog"
LEGEND = (
    '"StartTimestamp","Interval_Length","Interval_Max","Interval_Compressed_Histogram"'
)
MOST_MICROSECONDS = 3_600_000_000
DIGITS = 3
ROUNDED_TO = 6
"""Decimals kept: further ones are noise of the virtual clock's sums."""

MICROSECONDS = 1_000_000


class ResultsError(EbonyholdError):
    """A directory holds no usable results."""

    code = "results_unusable"


@frozen
class Measured:
    """One figure of a run, by its name in `MEASURES`."""

    name: str
    value: float


@frozen
class Sample:
    """What lay in grants at one moment of a money run.

    Attributes:
        at: Seconds from the start.
        idle: Tokens in the grants of all routers.
        stranded: Tokens in grants of dead or cut-off routers.
    """

    at: Seconds
    idle: int
    stranded: int


@frozen
class RunKey:
    """What a run was of."""

    scenario: str
    policy: str
    seed: int

    def __str__(self) -> str:
        """Return the tag of its histogram."""
        return f"{self.scenario}/{self.policy}/{self.seed}"


@frozen
class Result:
    """One line of the results: a scenario, a policy and a seed.

    Attributes:
        key: What it was of.
        kind: What drove it.
        deployment: Whose sizes it had.
        figures: What was measured.
        samples: Grants over time, of money runs.
        broken: Promises that the checker of a live trial found broken.
    """

    key: RunKey
    kind: Kind
    deployment: str
    figures: tuple[Measured, ...]
    samples: tuple[Sample, ...] = ()
    broken: tuple[str, ...] = ()

    def value(self, name: str) -> float | None:
        """Return a figure; None when it was not measured."""
        for each in self.figures:
            if each.name == name:
                return each.value
        return None


@frozen
class Finished:
    """A run's result, and its latencies in seconds."""

    result: Result
    latencies: tuple[Seconds, ...] = field(default=(), repr=False)


def measured(**values: float) -> tuple[Measured, ...]:
    """Return figures, rounded.

    >>> measured(refused=3, goodput=1.00000000004)
    (Measured(name='refused', value=3.0), Measured(name='goodput', value=1.0))
    """
    return tuple(
        Measured(name, round(float(value), ROUNDED_TO))
        for name, value in values.items()
    )


def write_results(folder: Path, runs: Sequence[Finished]) -> None:
    """Write the results of runs into a directory."""
    folder.mkdir(parents=True, exist_ok=True)
    lines = (
        json.dumps(cattrs.unstructure(run.result), sort_keys=True) + "\n"
        for run in runs
    )
    (folder / RESULTS).write_text("".join(lines), encoding="utf-8")
    log = "".join(line + "\n" for line in histogram_lines(runs))
    (folder / LATENCIES).write_text(log, encoding="utf-8")


def histogram_lines(runs: Iterable[Finished]) -> Iterator[str]:
    """Give the lines of an HDR histogram log, one for each run with latencies.

    The library's own writer leaves out the tags, which tell the runs apart.
    """
    yield "#[Histogram log format version 1.2]"
    yield LEGEND
    for run in runs:
        if run.latencies:
            histogram = to_histogram(run.latencies)
            most = histogram.get_max_value() / MICROSECONDS
            encoded = histogram.encode().decode("ascii")
            yield f"Tag={run.result.key},0.000,0.000,{most:.3f},{encoded}"


def to_histogram(latencies: Iterable[Seconds]) -> HdrHistogram:
    """Return the histogram of latencies, in microseconds."""
    histogram = HdrHistogram(1, MOST_MICROSECONDS, DIGITS)
    for each in latencies:
        histogram.record_value(max(1, round(each * MICROSECONDS)))
    return histogram


def read_results(folder: Path) -> list[Result]:
    """Read the results of a directory.

    Raises:
        ResultsError: There are none, or they cannot be read.
    """
    try:
        lines = (folder / RESULTS).read_text(encoding="utf-8").splitlines()
        results = [cattrs.structure(json.loads(line), Result) for line in lines]
    except OSError as error:
        raise ResultsError(f"{folder / RESULTS}: {error.strerror}") from error
    except (ValueError, KeyError, cattrs.BaseValidationError) as error:
        raise ResultsError(f"{folder / RESULTS}: {error}") from error
    if not results:
        raise ResultsError(f"{folder / RESULTS}: no results")
    return results


def read_histograms(folder: Path) -> dict[str, HdrHistogram]:
    """Read the latency histograms of a directory, by the tag of their run."""
    path = folder / LATENCIES
    found: dict[str, HdrHistogram] = {}
    if not path.exists():
        return found
    reader = HistogramLogReader(str(path), HdrHistogram(1, MOST_MICROSECONDS, DIGITS))
    while (histogram := reader.get_next_interval_histogram()) is not None:
        found[histogram.get_tag()] = histogram
    reader.close()
    return found


def group_results(results: Iterable[Result]) -> dict[tuple[str, str], list[Result]]:
    """Gather the seeds of each scenario and policy."""
    groups: dict[tuple[str, str], list[Result]] = {}
    for each in results:
        groups.setdefault((each.key.scenario, each.key.policy), []).append(each)
    return groups
