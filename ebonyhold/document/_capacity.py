"""Finds models and services for which planned stops leave too little capacity."""

from __future__ import annotations

from collections.abc import Iterator
from datetime import datetime

from attrs import frozen

from ebonyhold.document._model import Backend, Document, Stop

MIN_CAPACITY_SHARE = 0.5
"""A stop that leaves less than this fraction of a route's slots is a finding."""


@frozen
class Shortage:
    """A planned stop that leaves too few slots for a model or a service.

    Attributes:
        stop: Index of the stop in the document.
        route: The model or service, such as ``model small``.
        at: Start of the stop, or the time of the check if the stop began earlier.
        left: Slots left by all stops that are active at this time.
        total: Slots without any stop.
    """

    stop: int
    route: str
    at: datetime
    left: int
    total: int


def find_shortages(document: Document, now: datetime | None = None) -> list[Shortage]:
    """Return a shortage for each route that a stop leaves with too few slots.

    Capacity falls only when a stop begins, so each stop is checked at its start,
    or at `now` if it began earlier, together with the other stops active then.
    Stops that have ended by `now`, if it is given, are ignored, and so are stops
    that do not end after their start.
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
    """Return whether a stop names this backend server or its domain, at any time."""
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
        if left < total * MIN_CAPACITY_SHARE:
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
