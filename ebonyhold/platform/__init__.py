"""Adapter to the users' platform: converts its formats to and from our types."""

from ebonyhold.platform._documents import (
    read_backend,
    read_configuration,
    read_evacuation,
)
from ebonyhold.platform._headers import PlatformDialect
from ebonyhold.platform._reports import read_report, read_start
from ebonyhold.platform._settings import load_platform_settings
from ebonyhold.platform._store import StoreClient
from ebonyhold.platform._wiring import platform_adapter

__all__ = [
    "PlatformDialect",
    "StoreClient",
    "load_platform_settings",
    "platform_adapter",
    "read_backend",
    "read_configuration",
    "read_evacuation",
    "read_report",
    "read_start",
]
