"""The scenarios that ship as YAML files, and what each may compare."""

from __future__ import annotations

from collections.abc import Iterator
from enum import Enum
from importlib import resources
from importlib.resources.abc import Traversable
from pathlib import Path

from attrs import field, frozen

from ebonyhold.document import (
    NAME,
    Finding,
    FindingCode,
    FindingsError,
    Severity,
    bounded,
    check_part,
    duration,
)
from ebonyhold.exceptions import EbonyholdError
from ebonyhold.types import Seconds, WorkspaceName

SUFFIX = ".yaml"
LONGEST: Seconds = 86_400.0
MOST_RATE = 1000.0


class UnknownScenarioError(EbonyholdError):
    """No scenario has this name."""

    code = "unknown_scenario"


class UnknownPolicyError(EbonyholdError):
    """A scenario cannot be run with this policy."""

    code = "unknown_policy"


class Kind(Enum):
    """What drives a scenario."""

    MONEY = "money"
    CHOICE = "choice"
    LIVE = "live"


class DeploymentName(Enum):
    """The two deployments of the brief."""

    LENHA = "lenha-serrana"
    BAGMATI = "bagmati-dhoka"


@frozen
class Share:
    """A workspace's share of the requests."""

    name: WorkspaceName = field(metadata=NAME)
    share: float = field(metadata=bounded(0.001, 1000))


@frozen
class Stretch:
    """Requests of one stretch of time, a Poisson process.

    Attributes:
        start: When it begins, in seconds.
        end: When it ends, in seconds.
        rate: Requests a second.
        routers: How the routers share them; evenly when empty.
    """

    start: Seconds = field(metadata=duration(0, LONGEST))
    end: Seconds = field(metadata=duration(0, LONGEST))
    rate: float = field(metadata=bounded(0.001, MOST_RATE))
    routers: tuple[float, ...] = field(default=(), metadata=bounded(0, 1000))


@frozen
class LoadSpec:
    """What is asked; each kind of scenario reads its own part.

    Attributes:
        workspaces: Who asks (money).
        plenty: Prepaid tokens for each token that all requests cost (money).
        stretches: When they ask (money).
        factor: Requests as a part of the engines' capacity (choice).
        length: The length of the run, in seconds (choice).
        requests: How many requests are sent (live).
    """

    workspaces: tuple[Share, ...] = ()
    plenty: float = field(default=1.0, metadata=bounded(0.01, 100))
    stretches: tuple[Stretch, ...] = ()
    factor: float = field(default=0.7, metadata=bounded(0.01, 10))
    length: Seconds = field(default=40.0, metadata=duration(1, 3600))
    requests: int = field(default=300, metadata=bounded(1, 100_000))


@frozen
class Fault:
    """Something that happens.

    Attributes:
        what: Its name, as the kind of scenario knows it.
        at: When, in seconds (money); troubles of a live trial strike again and
            again, and the choice bench has times of its own.
        router: Which router, where it is one.
        part: A top-up of all workspaces, as a part of what they prepaid.
    """

    what: str = field(metadata=NAME)
    at: Seconds = field(default=0.0, metadata=duration(0, LONGEST))
    router: int = field(default=0, metadata=bounded(0, 1000))
    part: float = field(default=0.0, metadata=bounded(0, 100))


@frozen
class ScenarioSpec:
    """One scenario as its file describes it."""

    name: str = field(metadata=NAME)
    kind: Kind
    summary: str
    deployment: DeploymentName = DeploymentName.LENHA
    load: LoadSpec = field(factory=LoadSpec)
    faults: tuple[Fault, ...] = ()


MONEY_FAULTS = (
    "table_down", "table_up", "split", "heal", "top_up", "kill", "replace",
)  # fmt: skip
UNDISTURBED = "normal"
"""The choice bench's word for no fault."""

MONEY_ROUTERS = 6
"""The money bench has as many routers as the smaller deployment."""


def catalogue() -> list[ScenarioSpec]:
    """Return all scenarios that ship with the package, by name."""
    return [read_file(file) for file in packaged()]


def packaged() -> Iterator[Traversable]:
    """Give the files that ship with the package."""
    folder = resources.files("ebonyhold.experiments").joinpath("scenarios")
    files = (file for file in folder.iterdir() if file.name.endswith(SUFFIX))
    yield from sorted(files, key=lambda file: file.name)


def find_scenario(wanted: str) -> ScenarioSpec:
    """Return the scenario of a name, or the one in a file.

    Raises:
        UnknownScenarioError: There is none.
        FindingsError: Its file has findings.
    """
    path = Path(wanted)
    if path.suffix == SUFFIX and path.is_file():
        return read_file(path)
    for file in packaged():
        if file.name == wanted + SUFFIX:
            return read_file(file)
    known = ", ".join(file.name.removesuffix(SUFFIX) for file in packaged())
    raise UnknownScenarioError(f"no scenario {wanted!r}; known are {known}")


def read_file(file: Path | Traversable) -> ScenarioSpec:
    """Read a scenario's file.

    Raises:
        FindingsError: It has findings; it holds all of them.
    """
    return read_scenario(file.name.removesuffix(SUFFIX), file.read_text("utf-8"))


def read_scenario(name: str, text: str) -> ScenarioSpec:
    """Read a scenario.

    Raises:
        FindingsError: It has findings; it holds all of them.
    """
    spec = check_part(text, ScenarioSpec, "name", name)
    findings = tuple(find_contradictions(spec))
    if findings:
        raise FindingsError(findings, f"scenario {name}")
    return spec


def find_contradictions(spec: ScenarioSpec) -> Iterator[Finding]:
    """Find values that do not fit each other."""
    known = known_faults(spec.kind)
    for index, fault in enumerate(spec.faults):
        if fault.what not in known:
            words = ", ".join(known) or "none"
            yield finding(f"faults.{index}.what", f"{spec.kind.value} knows: {words}")
        if spec.kind is Kind.MONEY and fault.router >= MONEY_ROUTERS:
            message = f"routers are numbered from 0 to {MONEY_ROUTERS - 1}"
            yield finding(f"faults.{index}.router", message)
    if spec.kind is Kind.CHOICE and len(spec.faults) > 1:
        yield finding("faults", "the choice bench plays one fault in a run")
    if spec.kind is not Kind.MONEY:
        for index, fault in enumerate(spec.faults):
            if fault.at:
                message = f"a {spec.kind.value} scenario chooses its own times"
                yield finding(f"faults.{index}.at", message)
    if spec.kind is Kind.MONEY:
        yield from find_money_contradictions(spec)


def find_money_contradictions(spec: ScenarioSpec) -> Iterator[Finding]:
    """Find what a money scenario lacks."""
    load = spec.load
    if spec.deployment is not DeploymentName.LENHA:
        yield finding("deployment", "the money bench has lenha-serrana's six routers")
    if not load.workspaces:
        yield finding("load.workspaces", "a money scenario needs workspaces")
    if not load.stretches:
        yield finding("load.stretches", "a money scenario needs stretches of requests")
    for index, stretch in enumerate(load.stretches):
        if stretch.start >= stretch.end:
            yield finding(f"load.stretches.{index}.end", "must be after its start")
        if stretch.routers and (
            len(stretch.routers) != MONEY_ROUTERS or not sum(stretch.routers)
        ):
            message = f"needs {MONEY_ROUTERS} shares, not all of them 0"
            yield finding(f"load.stretches.{index}.routers", message)


def finding(path: str, message: str) -> Finding:
    """Return a finding that has a path but no line."""
    return Finding(FindingCode.BAD_VALUE.value, 1, 1, path, message, Severity.ERROR)


def known_faults(kind: Kind) -> tuple[str, ...]:
    """Return the faults that a kind of scenario knows."""
    if kind is Kind.MONEY:
        return MONEY_FAULTS
    if kind is Kind.CHOICE:
        from ebonyhold.experiments.choice import scenarios

        return tuple(name for name in scenarios if name != UNDISTURBED)
    from ebonyhold.experiments._troubles import TROUBLES

    return tuple(TROUBLES)


def policies_of(kind: Kind) -> tuple[str, ...]:
    """Return the policies that a kind of scenario compares."""
    if kind is Kind.MONEY:
        from ebonyhold.experiments.money_policies import POLICIES

        return POLICIES
    if kind is Kind.CHOICE:
        from ebonyhold.coordination import choice_policies

        return tuple(choice_policies)
    return (LIVE_POLICY,)


LIVE_POLICY = "default"
"""Live trials run the document's own policies."""
