"""The registry of the kinds of stand-in that run as a process."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

from attrs import frozen

from ebonyhold.standins._asgi import App

P = TypeVar("P")


@frozen
class Kind:
    """One kind of stand-in: its options, and how to make its application."""

    profile: type[Any]
    build: Callable[[Any], App]


KINDS: dict[str, Kind] = {}


def standin(
    name: str, profile: type[P]
) -> Callable[[Callable[[P], App]], Callable[[P], App]]:
    """Register the function that builds the application of a kind."""

    def register(build: Callable[[P], App]) -> Callable[[P], App]:
        KINDS[name] = Kind(profile, build)
        return build

    return register
