"""Everything a gateway talks to on this platform."""

from __future__ import annotations

from ebonyhold.gateway import Peers
from ebonyhold.platform._documents import read_backend, read_configuration
from ebonyhold.platform._headers import PlatformDialect
from ebonyhold.platform._settings import load_platform_settings
from ebonyhold.platform._store import StoreClient

# The operator's table and row, and the servers' table.
RULES_TABLE = "op"
RULES_KEY = "config"
SERVERS_TABLE = "servers"


def platform_peers() -> Peers:
    """Return what a gateway talks to, by the settings file of this process.

    Raises:
        SettingsError: The settings cannot be used.
    """
    settings = load_platform_settings()
    return Peers(
        settings=settings,
        dialect=PlatformDialect(),
        store=StoreClient(settings.store),
        rules_table=RULES_TABLE,
        rules_key=RULES_KEY,
        servers_table=SERVERS_TABLE,
        read_rules=read_configuration,
        read_backend=read_backend,
    )
