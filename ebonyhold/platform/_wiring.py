"""Build the platform adapter of a gateway."""

from __future__ import annotations

from ebonyhold.gateway import PlatformAdapter
from ebonyhold.platform._documents import (
    read_backend,
    read_configuration,
    read_evacuation,
)
from ebonyhold.platform._headers import PlatformDialect
from ebonyhold.platform._reports import REPORT_TARGET, read_report, read_start
from ebonyhold.platform._settings import load_platform_settings
from ebonyhold.platform._store import StoreClient

# Tables of the platform's store, and the key of the configuration's row.
RULES_TABLE = "op"
RULES_KEY = "config"
SERVERS_TABLE = "servers"


def platform_adapter() -> PlatformAdapter:
    """Return the platform adapter, configured by the process's settings file.

    Raises:
        SettingsError: The settings file is missing or malformed.
    """
    settings = load_platform_settings()
    return PlatformAdapter(
        settings=settings,
        dialect=PlatformDialect(),
        store=StoreClient(settings.store),
        rules_table=RULES_TABLE,
        rules_key=RULES_KEY,
        servers_table=SERVERS_TABLE,
        read_rules=read_configuration,
        read_backend=read_backend,
        read_evacuation=read_evacuation,
        report_target=REPORT_TARGET,
        read_report=read_report,
        read_start=read_start,
    )
