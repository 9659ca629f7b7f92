"""The operator's configuration and the servers' entries, decoded to our types."""

from __future__ import annotations

import json
import re
from collections.abc import Mapping
from typing import Any

from ebonyhold.exceptions import ConfigurationError, MalformedEntryError
from ebonyhold.forwarding import (
    Backend,
    BackendState,
    CallerLimits,
    Route,
    RouteKind,
    Ruleset,
    Service,
    ServiceShare,
    Workspace,
)

KINDS = {
    "safe": RouteKind.SAFE,
    "unsafe": RouteKind.UNSAFE,
    "streaming": RouteKind.STREAM,
}

UNREADABLE = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)
"""What decoding raises of a value that does not hold what it must: of another type or
form, of a number without end, or nested deeper than the decoder goes."""

NAME = re.compile(r"[!-~]+")
"""A server's name, which goes into a header of each of its requests."""

ADDRESS = re.compile(
    r"(?P<host>[A-Za-z0-9_-]{1,63}(?:\.[A-Za-z0-9_-]{1,63})*):(?P<port>[0-9]{1,5})"
)
"""A host, whose labels have at most 63 characters, and a port.

What the system cannot connect to raises errors beside those of a lost connection.
"""

MOST_PORT = 65_535

NO_PRIORITY = 5
"""The rank that engines give a request without one."""


def seconds(milliseconds: Any) -> float:
    """Return seconds for the platform's milliseconds."""
    return float(milliseconds) / 1000


def read_shares(raw: Mapping[str, Any]) -> tuple[ServiceShare, ...]:
    """Read the services of a route, split or not."""
    split = raw.get("traffic-split")
    if not split:
        return (ServiceShare(str(raw["service"]), 1.0),)
    return tuple(ServiceShare(str(s["service"]), float(s["weight"])) for s in split)


def read_route(raw: Mapping[str, Any]) -> Route:
    """Read one route."""
    return Route(
        name=str(raw["name"]),
        host=str(raw["host"]).lower(),
        prefix=str(raw["prefix"]),
        shares=read_shares(raw),
        kind=KINDS[raw["kind"]],
        timeout=seconds(raw["timeout-ms"]),
        target=seconds(raw.get("target-latency-ms", raw["timeout-ms"])),
        most_attempts=max(1, int(raw.get("max-attempts", 1))),
        priority=int(raw.get("priority", NO_PRIORITY)),
        anonymous=bool(raw.get("allow-anonymous", False)),
        resumable=bool(raw.get("resume-streams", False)),
    )


def read_service(raw: Mapping[str, Any]) -> Service:
    """Read one service."""
    engine = raw.get("engine") or {}
    return Service(
        name=str(raw["name"]),
        connections=int(raw.get("connection-limit", 0)),
        # A stride is how many tokens one event of a stream holds at most.
        event_tokens=max(1, int(engine.get("stride", 1))),
    )


def read_workspace(raw: Mapping[str, Any]) -> Workspace:
    """Read one workspace."""
    priority = raw.get("priority")
    prepaid = raw.get("prepaid")
    return Workspace(
        name=str(raw["name"]),
        keys=tuple(str(key) for key in raw.get("api-keys", ())),
        priority=None if priority is None else int(priority),
        prepaid=None if prepaid is None else int(prepaid),
    )


def read_limits(raw: Mapping[str, Any]) -> CallerLimits:
    """Read what callers are held to."""
    known = CallerLimits()
    return CallerLimits(
        head_bytes=int(raw.get("header-bytes", known.head_bytes)),
        body_bytes=int(raw.get("body-bytes", known.body_bytes)),
        head_timeout=seconds(raw.get("header-timeout-ms", known.head_timeout * 1000)),
        idle_timeout=seconds(raw.get("idle-timeout-ms", known.idle_timeout * 1000)),
    )


def index_routes(routes: list[Route]) -> dict[str, dict[str, Route]]:
    """Return routes by host and then by prefix."""
    index: dict[str, dict[str, Route]] = {}
    for route in routes:
        index.setdefault(route.host, {})[route.prefix] = route
    return index


def read_configuration(value: bytes) -> Ruleset:
    """Decode the operator's configuration.

    Raises:
        ConfigurationError: It cannot be read.
    """
    try:
        raw = json.loads(value)
        routes = [read_route(item) for item in raw.get("routes", ())]
        services = [read_service(item) for item in raw.get("services", ())]
        workspaces = [read_workspace(item) for item in raw.get("tenants", ())]
        return Ruleset(
            version=int(raw["version"]),
            routes=index_routes(routes),
            services={item.name: item for item in services},
            workspaces={item.name: item for item in workspaces},
            owners={key: item for item in workspaces for key in item.keys},
            limits=read_limits(raw.get("limits") or {}),
        )
    except UNREADABLE as error:
        raise ConfigurationError(f"unreadable configuration: {error!r}") from error


def member(raw: Mapping[str, Any], name: str, kind: type) -> Any:
    """Return a member of an entry, checked to have its type.

    Raises:
        MalformedEntryError: It is missing or of another type.
    """
    value = raw.get(name)
    if isinstance(value, bool) or not isinstance(value, kind):
        raise MalformedEntryError(f"{name}: {value!r} is no {kind.__name__}")
    return value


def read_address(text: str) -> tuple[str, int]:
    """Read a host and a port.

    Raises:
        MalformedEntryError: It is neither.
    """
    found = ADDRESS.fullmatch(text)
    if found is None or not 0 < int(found["port"]) <= MOST_PORT:
        raise MalformedEntryError(f"address: {text[:80]!r} is no host and port")
    return found["host"], int(found["port"])


def read_backend(name: str, value: bytes) -> Backend:
    """Decode a server's entry in the list of servers.

    Entries may come from another writer; one that does not hold what it must
    names no server to use.

    Raises:
        MalformedEntryError: It cannot be read.
    """
    if not NAME.fullmatch(name):
        raise MalformedEntryError(f"name: {name[:80]!r} fits into no header")
    try:
        raw = json.loads(value)
        state = BackendState(raw["state"])
        cold_for = seconds(raw.get("cold-remaining-ms") or 0)
    except UNREADABLE as error:
        raise MalformedEntryError(f"unreadable entry: {error!r}") from error
    slots = member(raw, "slots", int)
    member(raw, "sequence", int)
    return Backend(
        name=name,
        service=member(raw, "service", str),
        address=read_address(member(raw, "address", str)),
        domain=member(raw, "zone", str),
        slots=max(1, slots),
        state=state,
        # The moment of its start, which alone tells two lives under one name apart.
        started_at=member(raw, "born", int) if "born" in raw else 0,
        cold_for=cold_for,
    )
