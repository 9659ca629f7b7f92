"""How much capacity planned stops leave, also where they overlap."""

from __future__ import annotations

from collections.abc import Iterator
from datetime import datetime

from attrs import frozen

from ebonyhold.document._model import Backend, Document, Stop

ENOUGH = 0.5
"""The part of a route's slots below which what is left is a finding."""


@frozen
class Shortage:
    """A stop that leaves too little for a model or a service.

    Attributes:
        stop: The index of the stop that begins when the capacity falls.
        route: The model or the service.
        at: When it begins.
        left: Slots that stay.
        total: Slots there are without any stop.
    """

    stop: int
    route: str
    at: datetime
    left: int
    total: int


def find_shortages(document: Document, now: datetime | None = None) -> list[Shortage]:
    """Return what the planned stops leave too little of.

    Capacity falls only where a stop begins, so it is enough to look at those
    moments; a stop that already began counts from now.
    """
    stops = [
        (index, stop)
        for index, stop in enumerate(document.stops)
        if stop.starts < stop.ends and (now is None or stop.ends > now)
    ]
    shortages: list[Shortage] = []
    for index, stop in stops:
        at = stop.starts if now is None else max(stop.starts, now)
        active = [other for _, other in stops if other.starts <= at < other.ends]
        shortages.extend(_shortages_at(document, index, stop, at, active))
    return shortages


def is_stopped(backend: Backend, stop: Stop) -> bool:
    """Tell whether a stop is about this backend server."""
    if stop.backend:
        return stop.backend == backend.name
    return bool(stop.domain) and stop.domain == backend.domain


def _shortages_at(
    document: Document, index: int, stop: Stop, at: datetime, active: list[Stop]
) -> Iterator[Shortage]:
    for route, backends in _routes(document):
        if not any(is_stopped(backend, stop) for backend in backends):
            continue
        total = sum(backend.slots for backend in backends)
        left = sum(
            backend.slots
            for backend in backends
            if not any(is_stopped(backend, other) for other in active)
        )
        if left < total * ENOUGH:
            yield Shortage(index, route, at, left, total)


def _routes(document: Document) -> Iterator[tuple[str, list[Backend]]]:
    for model in document.models:
        yield (
            f"model {model.model}",
            [each for each in document.backends if model.model in each.models],
        )
    for service in document.services:
        yield (
            f"service {service.service}",
            [each for each in document.backends if each.service == service.service],
        )
