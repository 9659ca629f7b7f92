"""Rules that types, bounds and patterns of single fields cannot express."""

from __future__ import annotations

import ipaddress
from collections.abc import Callable, Iterable
from datetime import datetime
from typing import TypeAlias

from attrs import frozen

from ebonyhold.coordination import choice_policies, grant_policies
from ebonyhold.document._capacity import find_shortages
from ebonyhold.document._findings import (
    FindingCode,
    Path,
    Place,
    Report,
    Severity,
    render_path,
)
from ebonyhold.document._model import BackendKind, Document


@frozen
class CheckContext:
    """A document that is being checked, and the report of the check.

    Attributes:
        document: The document, with placeholders for missing and wrong values.
        places: The place of each value in the text, by path; empty without text.
        report: Receives the findings.
        now: Planned stops that have ended by this time are left out of the check
            of the capacity; None to include all stops.
    """

    document: Document
    places: dict[Path, Place]
    report: Report
    now: datetime | None = None

    def intact(self, *paths: Path) -> bool:
        """Return whether none of the values at these paths is a placeholder."""
        return self.report.placeholders.isdisjoint(paths)

    def place(self, path: Path) -> Place:
        """Return the place of a value, or else of the innermost value around it."""
        while path and path not in self.places:
            path = path[:-1]
        return self.places.get(path, Place())

    def add(
        self,
        code: FindingCode,
        path: Path,
        message: str,
        severity: Severity = Severity.ERROR,
    ) -> None:
        """Add a finding, unless the value at its path is a placeholder."""
        if self.intact(path):
            self.report.add(code, self.place(path), path, message, severity)


Rule: TypeAlias = Callable[[CheckContext], None]

RULES: list[Rule] = []


def rule(function: Rule) -> Rule:
    """Register a function that `apply_rules` calls; used as a decorator."""
    RULES.append(function)
    return function


def apply_rules(context: CheckContext) -> None:
    """Call every registered rule, which adds its findings to the report."""
    for each in RULES:
        each(context)


def _find_duplicates(context: CheckContext, named: Iterable[tuple[Path, str]]) -> None:
    first: dict[str, Path] = {}
    for path, name in named:
        if not context.intact(path):
            continue
        if name in first:
            message = f"{name!r} is taken by {render_path(first[name])}"
            context.add(FindingCode.DUPLICATE_NAME, path, message)
        first.setdefault(name, path)


@rule
def _names_are_unique(context: CheckContext) -> None:
    document = context.document
    lists: dict[tuple[str, str], list[str]] = {
        ("workspaces", "name"): [each.name for each in document.workspaces],
        ("models", "model"): [each.model for each in document.models],
        ("services", "service"): [each.service for each in document.services],
        ("backends", "name"): [each.name for each in document.backends],
        ("backends", "address"): [each.address for each in document.backends],
        ("stops", "name"): [each.name for each in document.stops],
    }
    for (part, attribute), names in lists.items():
        _find_duplicates(
            context,
            (((part, index, attribute), name) for index, name in enumerate(names)),
        )
    _find_duplicates(
        context,
        ((("domains", index), name) for index, name in enumerate(document.domains)),
    )


@rule
def _keys_belong_to_one_workspace(context: CheckContext) -> None:
    hashes: list[tuple[Path, str]] = []
    for index, workspace in enumerate(context.document.workspaces):
        keys: Path = ("workspaces", index, "keys")
        hashes.extend(
            ((*keys, number, "sha256"), key.sha256)
            for number, key in enumerate(workspace.keys)
        )
        ids = [((*keys, n, "id"), key.id) for n, key in enumerate(workspace.keys)]
        _find_duplicates(context, ids)
        if not workspace.keys:
            message = "without an API key nobody can use this workspace"
            context.add(FindingCode.UNUSED, keys, message, Severity.WARNING)
    _find_duplicates(context, hashes)


@rule
def _addresses_can_be_reached(context: CheckContext) -> None:
    for index, backend in enumerate(context.document.backends):
        path: Path = ("backends", index, "address")
        if context.intact(path) and not _is_address(backend.address):
            message = "expected ip:port with a port from 1 to 65535"
            context.add(FindingCode.BAD_VALUE, path, message)


def _is_address(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return 1 <= int(port) <= 65535


@rule
def _references_exist(context: CheckContext) -> None:
    document = context.document
    domains = set(document.domains)
    models = {each.model for each in document.models}
    services = {each.service for each in document.services}
    backends = {each.name for each in document.backends}
    for index, backend in enumerate(document.backends):
        path: Path = ("backends", index)
        _find_reference(context, (*path, "domain"), backend.domain, domains)
        for number, model in enumerate(backend.models):
            _find_reference(context, (*path, "models", number), model, models)
        if backend.service:
            _find_reference(context, (*path, "service"), backend.service, services)
    for index, stop in enumerate(document.stops):
        if stop.backend:
            _find_reference(
                context, ("stops", index, "backend"), stop.backend, backends
            )
        if stop.domain:
            _find_reference(context, ("stops", index, "domain"), stop.domain, domains)


def _find_reference(
    context: CheckContext, path: Path, name: str, known: set[str]
) -> None:
    if name not in known:
        message = f"there is no {name!r} in this document"
        context.add(FindingCode.BAD_REFERENCE, path, message)


@rule
def _backends_serve_their_kind(context: CheckContext) -> None:
    for index, backend in enumerate(context.document.backends):
        path: Path = ("backends", index)
        if not context.intact((*path, "kind")):
            continue
        engine = backend.kind is BackendKind.ENGINE
        missing = "models" if engine else "service"
        excess = "service" if engine else "models"
        if not getattr(backend, missing):
            message = f"a backend server of kind {backend.kind.value} needs {missing}"
            context.add(FindingCode.MISSING_KEY, (*path, missing), message)
        if getattr(backend, excess):
            message = f"a backend server of kind {backend.kind.value} has no {excess}"
            context.add(FindingCode.UNKNOWN_KEY, (*path, excess), message)


@rule
def _policies_are_registered(context: CheckContext) -> None:
    policy = context.document.policy
    named = {
        "grants": (policy.grants, sorted(grant_policies)),
        "choice": (policy.choice, sorted(choice_policies)),
    }
    for attribute, (name, known) in named.items():
        if name not in known:
            message = f"there is no policy {name!r}; known are {', '.join(known)}"
            context.add(FindingCode.BAD_REFERENCE, ("policy", attribute), message)


@rule
def _bounds_agree(context: CheckContext) -> None:
    for index, route in enumerate(context.document.models):
        path: Path = ("models", index)
        bounds = ((*path, "default_tokens"), (*path, "most_tokens"))
        if context.intact(*bounds) and route.default_tokens > route.most_tokens:
            message = "default_tokens is larger than most_tokens"
            context.add(FindingCode.OUT_OF_RANGE, bounds[0], message)


@rule
def _stops_are_whole(context: CheckContext) -> None:
    for index, stop in enumerate(context.document.stops):
        path: Path = ("stops", index)
        times = ((*path, "starts"), (*path, "ends"))
        if context.intact(*times) and stop.ends <= stop.starts:
            message = "the stop ends before it begins"
            context.add(FindingCode.STOP_REVERSED, times[1], message)
        targets = ((*path, "backend"), (*path, "domain"))
        if context.intact(*targets) and bool(stop.backend) == bool(stop.domain):
            message = "a stop names either a backend server or a failure domain"
            context.add(FindingCode.MISSING_KEY, path, message)


@rule
def _capacity_is_left(context: CheckContext) -> None:
    for shortage in find_shortages(context.document, context.now):
        path: Path = ("stops", shortage.stop)
        if not context.intact((*path, "starts"), (*path, "ends")):
            continue
        code = FindingCode.LOW_CAPACITY
        severity = Severity.WARNING
        if shortage.left == 0:
            code = FindingCode.NO_CAPACITY
            severity = Severity.ERROR
        message = (
            f"leaves {shortage.left} of {shortage.total} slots for"
            f" {shortage.route} from {shortage.at.isoformat()}"
        )
        context.add(code, path, message, severity)


@rule
def _routes_have_backends(context: CheckContext) -> None:
    document = context.document
    served = {model for backend in document.backends for model in backend.models}
    served |= {backend.service for backend in document.backends}
    routes = [(("models", i, "model"), r.model) for i, r in enumerate(document.models)]
    routes += [
        (("services", i, "service"), route.service)
        for i, route in enumerate(document.services)
    ]
    for path, name in routes:
        if name and name not in served:
            message = f"no backend server serves {name!r}"
            context.add(FindingCode.UNUSED, path, message, Severity.WARNING)
