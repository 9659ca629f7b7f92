"""Rules that tie several values of a document together."""

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
class Draft:
    """A document under check: some of its values may be placeholders.

    Attributes:
        document: The document as far as it could be read.
        places: Where each value stands, by its path.
        report: Where findings go.
        now: The time of the check: what ended before it does not matter.
    """

    document: Document
    places: dict[Path, Place]
    report: Report
    now: datetime | None = None

    def intact(self, *paths: Path) -> bool:
        """Tell whether none of these values is a placeholder."""
        return self.report.broken.isdisjoint(paths)

    def place(self, path: Path) -> Place:
        """Return where a value stands, or else what is around it."""
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
        """Record a finding, unless it is about a placeholder."""
        if self.intact(path):
            self.report.add(code, self.place(path), path, message, severity)


Rule: TypeAlias = Callable[[Draft], None]

RULES: list[Rule] = []


def rule(function: Rule) -> Rule:
    """Register a rule."""
    RULES.append(function)
    return function


def apply_rules(draft: Draft) -> None:
    """Apply every rule."""
    for each in RULES:
        each(draft)


def _find_duplicates(draft: Draft, named: Iterable[tuple[Path, str]]) -> None:
    first: dict[str, Path] = {}
    for path, name in named:
        if not draft.intact(path):
            continue
        if name in first:
            message = f"{name!r} is taken by {render_path(first[name])}"
            draft.add(FindingCode.DUPLICATE_NAME, path, message)
        first.setdefault(name, path)


@rule
def _names_are_unique(draft: Draft) -> None:
    document = draft.document
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
            draft,
            (((part, index, attribute), name) for index, name in enumerate(names)),
        )
    _find_duplicates(
        draft,
        ((("domains", index), name) for index, name in enumerate(document.domains)),
    )


@rule
def _keys_belong_to_one_workspace(draft: Draft) -> None:
    hashes: list[tuple[Path, str]] = []
    for index, workspace in enumerate(draft.document.workspaces):
        keys: Path = ("workspaces", index, "keys")
        hashes.extend(
            ((*keys, number, "sha256"), key.sha256)
            for number, key in enumerate(workspace.keys)
        )
        ids = [((*keys, n, "id"), key.id) for n, key in enumerate(workspace.keys)]
        _find_duplicates(draft, ids)
        if not workspace.keys:
            message = "without an API key nobody can use this workspace"
            draft.add(FindingCode.UNUSED, keys, message, Severity.WARNING)
    _find_duplicates(draft, hashes)


@rule
def _addresses_can_be_reached(draft: Draft) -> None:
    for index, backend in enumerate(draft.document.backends):
        path: Path = ("backends", index, "address")
        if draft.intact(path) and not _is_address(backend.address):
            message = "expected ip:port with a port from 1 to 65535"
            draft.add(FindingCode.BAD_VALUE, path, message)


def _is_address(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return 1 <= int(port) <= 65535


@rule
def _references_exist(draft: Draft) -> None:
    document = draft.document
    domains = set(document.domains)
    models = {each.model for each in document.models}
    services = {each.service for each in document.services}
    backends = {each.name for each in document.backends}
    for index, backend in enumerate(document.backends):
        path: Path = ("backends", index)
        _find_reference(draft, (*path, "domain"), backend.domain, domains)
        for number, model in enumerate(backend.models):
            _find_reference(draft, (*path, "models", number), model, models)
        if backend.service:
            _find_reference(draft, (*path, "service"), backend.service, services)
    for index, stop in enumerate(document.stops):
        if stop.backend:
            _find_reference(draft, ("stops", index, "backend"), stop.backend, backends)
        if stop.domain:
            _find_reference(draft, ("stops", index, "domain"), stop.domain, domains)


def _find_reference(draft: Draft, path: Path, name: str, known: set[str]) -> None:
    if name not in known:
        message = f"there is no {name!r} in this document"
        draft.add(FindingCode.BAD_REFERENCE, path, message)


@rule
def _backends_serve_their_kind(draft: Draft) -> None:
    for index, backend in enumerate(draft.document.backends):
        path: Path = ("backends", index)
        if not draft.intact((*path, "kind")):
            continue
        engine = backend.kind is BackendKind.ENGINE
        missing = "models" if engine else "service"
        excess = "service" if engine else "models"
        if not getattr(backend, missing):
            message = f"a backend server of kind {backend.kind.value} needs {missing}"
            draft.add(FindingCode.MISSING_KEY, (*path, missing), message)
        if getattr(backend, excess):
            message = f"a backend server of kind {backend.kind.value} has no {excess}"
            draft.add(FindingCode.UNKNOWN_KEY, (*path, excess), message)


@rule
def _policies_are_registered(draft: Draft) -> None:
    policy = draft.document.policy
    named = {
        "grants": (policy.grants, sorted(grant_policies)),
        "choice": (policy.choice, sorted(choice_policies)),
    }
    for attribute, (name, known) in named.items():
        if name not in known:
            message = f"there is no policy {name!r}; known are {', '.join(known)}"
            draft.add(FindingCode.BAD_REFERENCE, ("policy", attribute), message)


@rule
def _bounds_agree(draft: Draft) -> None:
    for index, route in enumerate(draft.document.models):
        path: Path = ("models", index)
        bounds = ((*path, "default_tokens"), (*path, "most_tokens"))
        if draft.intact(*bounds) and route.default_tokens > route.most_tokens:
            message = "default_tokens is larger than most_tokens"
            draft.add(FindingCode.OUT_OF_RANGE, bounds[0], message)


@rule
def _stops_are_whole(draft: Draft) -> None:
    for index, stop in enumerate(draft.document.stops):
        path: Path = ("stops", index)
        times = ((*path, "starts"), (*path, "ends"))
        if draft.intact(*times) and stop.ends <= stop.starts:
            message = "the stop ends before it begins"
            draft.add(FindingCode.STOP_REVERSED, times[1], message)
        targets = ((*path, "backend"), (*path, "domain"))
        if draft.intact(*targets) and bool(stop.backend) == bool(stop.domain):
            message = "a stop names either a backend server or a failure domain"
            draft.add(FindingCode.MISSING_KEY, path, message)


@rule
def _capacity_is_left(draft: Draft) -> None:
    for shortage in find_shortages(draft.document, draft.now):
        path: Path = ("stops", shortage.stop)
        if not draft.intact((*path, "starts"), (*path, "ends")):
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
        draft.add(code, path, message, severity)


@rule
def _routes_have_backends(draft: Draft) -> None:
    document = draft.document
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
            draft.add(FindingCode.UNUSED, path, message, Severity.WARNING)
