"""Decode the settings file that the platform gives each process."""

from __future__ import annotations

import math
import os
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from ebonyhold.exceptions import SettingsError
from ebonyhold.gateway import GatewaySettings

SETTINGS_VARIABLE = "EBONYHOLD_NODE_FILE"
CALLERS = "frontend"
READINESS = "readiness"
NO_PORT = 0
MEMORY_PRESSURE = "pressure"


def read_address(text: str) -> tuple[str, int]:
    """Split an address into host and port.

    Raises:
        ValueError: The port is missing or not a number.
    """
    host, _, port = text.rpartition(":")
    return host, int(port)


def read_link_rate(limits: Mapping[str, Any]) -> float:
    """Return what the VM's link carries, in bytes per second; infinite if not stated.

    >>> read_link_rate({"link-mbps": 8.0}), read_link_rate({})
    (1000000.0, inf)
    """
    megabits = float(limits.get("link-mbps") or 0)
    return megabits * 1e6 / 8 if megabits > 0 else math.inf


RESERVED = 200
"""File descriptors that the platform reserves for files."""


def read_memory(limits: Mapping[str, Any]) -> float:
    """Return the memory of this process in bytes; infinite if not stated.

    >>> read_memory({"memory-mb": 2}), read_memory({})
    (2000000.0, inf)
    """
    megabytes = float(limits.get("memory-mb") or 0)
    return megabytes * 1e6 if megabytes > 0 else math.inf


def read_sockets(limits: Mapping[str, Any]) -> float:
    """Return how many sockets this process may open; infinite if not stated.

    >>> read_sockets({"file-descriptors": 700}), read_sockets({})
    (500.0, inf)
    """
    descriptors = float(limits.get("file-descriptors") or 0)
    return max(1.0, descriptors - RESERVED) if descriptors > 0 else math.inf


def decode_settings(raw: Mapping[str, Any]) -> GatewaySettings:
    """Decode the parsed settings file.

    Raises:
        SettingsError: A setting is missing or malformed.
    """
    try:
        listen = raw["listen-addresses"]
        bounds = raw["bounds"]
        return GatewaySettings(
            name=str(raw["node-name"]),
            domain=str(raw["zone"]),
            callers=read_address(listen[CALLERS]),
            # The platform sends callers to this process while its readiness checks at
            # this address succeed.
            readiness=read_address(listen[READINESS]),
            host=str(raw["ip-address"]),
            store=read_address(raw["platform"]["address"]),
            # First and last port of the range for internal use.  Only the first is
            # used; an absent or empty range gives `NO_PORT`.
            peers_port=int((raw.get("internal-ports") or [NO_PORT])[0]),
            # Seconds from SIGTERM until the platform kills the process.
            grace=float(bounds["grace-s"]),
            retry_ratio=float(bounds["retry-budget-ratio"]),
            retry_extra=float(bounds["budget-extra-retries"]),
            retry_window=float(bounds["budget-window-s"]),
            link_rate=read_link_rate(raw.get("limits") or {}),
            memory_bytes=read_memory(raw.get("limits") or {}),
            sockets=read_sockets(raw.get("limits") or {}),
            memory_pressure=MEMORY_PRESSURE in (raw.get("contracts") or ()),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise SettingsError(f"missing or malformed setting: {error!r}") from error


def load_platform_settings() -> GatewaySettings:
    """Read the settings file named by the environment variable.

    Raises:
        SettingsError: The variable is not set, or the file is missing or malformed.
    """
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        raise SettingsError(f"{SETTINGS_VARIABLE} is not set")
    try:
        raw = tomllib.loads(Path(path).read_text())
    except (OSError, ValueError) as error:
        raise SettingsError(f"cannot read settings file {path}: {error}") from error
    return decode_settings(raw)
