"""Decode the operator's configuration and the entries of backend servers."""

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

ROUTE_KINDS = {
    "safe": RouteKind.SAFE,
    "unsafe": RouteKind.UNSAFE,
    "streaming": RouteKind.STREAM,
}

DECODE_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)
"""Errors raised by decoding a malformed value: one of a wrong type or form, an infinite
number, or one nested too deeply for the JSON decoder.
"""

SERVER_NAME = re.compile(r"[!-~]+")
"""Form of a server's name: printable ASCII without spaces, as the name is sent in a
request header.
"""

HOST_AND_PORT = re.compile(
    r"(?P<host>[A-Za-z0-9_-]{1,63}(?:\.[A-Za-z0-9_-]{1,63})*):(?P<port>[0-9]{1,5})"
)
"""Form of a server's address: a host, whose labels have at most 63 characters, and a
port.

Connecting to a host with a longer label would raise an error that callers do not handle
as a failed connection.
"""

MAX_PORT = 65_535
"""The highest TCP port."""


EVACUATION_PREFIX = "evacuate/"
"""The start of the keys of evacuations; the name of the failure domain follows."""

DEFAULT_PRIORITY = 5
"""Default priority of a route; engines assume the same for a request without one."""


def seconds(milliseconds: Any) -> float:
    """Convert milliseconds, the platform's unit, to seconds."""
    return float(milliseconds) / 1000


def read_shares(raw: Mapping[str, Any]) -> tuple[ServiceShare, ...]:
    """Decode the services of a route: one, or several with their weights."""
    split = raw.get("traffic-split")
    if not split:
        return (ServiceShare(str(raw["service"]), 1.0),)
    return tuple(
        ServiceShare(str(share["service"]), float(share["weight"])) for share in split
    )


def read_route(raw: Mapping[str, Any]) -> Route:
    """Decode one route; without a target latency, its timeout serves as the target."""
    max_gap = raw.get("target-gap-ms")
    return Route(
        name=str(raw["name"]),
        host=str(raw["host"]).lower(),
        prefix=str(raw["prefix"]),
        shares=read_shares(raw),
        kind=ROUTE_KINDS[raw["kind"]],
        timeout=seconds(raw["timeout-ms"]),
        target=seconds(raw.get("target-latency-ms", raw["timeout-ms"])),
        max_attempts=max(1, int(raw.get("max-attempts", 1))),
        priority=int(raw.get("priority", DEFAULT_PRIORITY)),
        anonymous=bool(raw.get("allow-anonymous", False)),
        resumable=bool(raw.get("resume-streams", False)),
        max_gap=seconds(max_gap) if max_gap else None,
    )


def read_service(raw: Mapping[str, Any]) -> Service:
    """Decode one service; an absent connection limit is 0."""
    engine = raw.get("engine") or {}
    return Service(
        name=str(raw["name"]),
        connections=int(raw.get("connection-limit", 0)),
        # A stride is the largest number of tokens in one event of a stream.
        event_tokens=max(1, int(engine.get("stride", 1))),
        cold_time=float(raw.get("cold-start-s") or 0),
        cold_rate=float(raw.get("cold-per-s") or 0),
        slots=int(engine.get("slots") or 0),
        memory=int(engine.get("kv-cache-tokens") or 0),
    )


def read_workspace(raw: Mapping[str, Any]) -> Workspace:
    """Decode one workspace; an absent priority or prepaid limit is None."""
    priority = raw.get("priority")
    prepaid = raw.get("prepaid")
    return Workspace(
        name=str(raw["name"]),
        keys=tuple(str(key) for key in raw.get("api-keys", ())),
        priority=None if priority is None else int(priority),
        prepaid=None if prepaid is None else int(prepaid),
    )


def read_limits(raw: Mapping[str, Any]) -> CallerLimits:
    """Decode the limits on callers' requests; absent fields get their defaults."""
    defaults = CallerLimits()
    return CallerLimits(
        head_bytes=int(raw.get("header-bytes", defaults.head_bytes)),
        body_bytes=int(raw.get("body-bytes", defaults.body_bytes)),
        head_timeout=seconds(
            raw.get("header-timeout-ms", defaults.head_timeout * 1000)
        ),
        idle_timeout=seconds(raw.get("idle-timeout-ms", defaults.idle_timeout * 1000)),
    )


def index_routes(routes: list[Route]) -> dict[str, dict[str, Route]]:
    """Return the routes by host and then by prefix; of duplicates, the last."""
    index: dict[str, dict[str, Route]] = {}
    for route in routes:
        index.setdefault(route.host, {})[route.prefix] = route
    return index


def read_configuration(value: bytes) -> Ruleset:
    """Decode the operator's configuration.

    Raises:
        ConfigurationError: The value is malformed.
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
    except DECODE_ERRORS as error:
        raise ConfigurationError(f"malformed configuration: {error!r}") from error


def read_evacuation(key: str) -> str | None:
    """Return the failure domain whose evacuation a row of the operator's requests.

    The row's content does not matter. None for any other row.

    >>> read_evacuation("evacuate/serra-a"), read_evacuation("config")
    ('serra-a', None)
    """
    domain = key.removeprefix(EVACUATION_PREFIX)
    return domain if domain and domain != key else None


def typed_field(raw: Mapping[str, Any], name: str, kind: type) -> Any:
    """Return a field of an entry after checking its type.

    A boolean is refused, although Python counts it as an int.

    Raises:
        MalformedEntryError: The field is missing or of another type.
    """
    value = raw.get(name)
    if isinstance(value, bool) or not isinstance(value, kind):
        raise MalformedEntryError(f"{name}: {value!r} is not of type {kind.__name__}")
    return value


def read_address(text: str) -> tuple[str, int]:
    """Split an address into host and port.

    Raises:
        MalformedEntryError: The text is not a host and a port from 1 to `MAX_PORT`.
    """
    match = HOST_AND_PORT.fullmatch(text)
    if match is None or not 0 < int(match["port"]) <= MAX_PORT:
        raise MalformedEntryError(f"address: {text[:80]!r} is not a host and port")
    return match["host"], int(match["port"])


def read_backend(name: str, value: bytes) -> Backend:
    """Decode a server's entry in the list of servers.

    Other programs may write entries, so each field is checked.  A number of
    slots below 1 is raised to 1.

    Raises:
        MalformedEntryError: The entry is malformed.
    """
    if not SERVER_NAME.fullmatch(name):
        raise MalformedEntryError(f"name: {name[:80]!r} is not allowed in a header")
    try:
        raw = json.loads(value)
        state = BackendState(raw["state"])
        cold_for = seconds(raw.get("cold-remaining-ms") or 0)
    except DECODE_ERRORS as error:
        raise MalformedEntryError(f"malformed entry: {error!r}") from error
    slots = typed_field(raw, "slots", int)
    return Backend(
        name=name,
        service=typed_field(raw, "service", str),
        address=read_address(typed_field(raw, "address", str)),
        domain=typed_field(raw, "zone", str),
        slots=max(1, slots),
        state=state,
        # Distinguishes incarnations of a server with the same name; 0 if absent.
        started_at=typed_field(raw, "born", int) if "born" in raw else 0,
        cold_for=cold_for,
        version=typed_field(raw, "version", str) if "version" in raw else "",
        sequence=typed_field(raw, "sequence", int),
    )
