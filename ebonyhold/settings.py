"""A daemon's own settings: a small YAML file, read once at the start."""

from __future__ import annotations

from pathlib import Path

import cattrs
import yaml
from attrs import field, frozen

from ebonyhold.exceptions import SettingsError
from ebonyhold.types import Seconds


@frozen
class TlsSettings:
    """Files of a listener's certificate; they are read again when they change.

    Attributes:
        certificate: The certificate and its chain.
        key: The certificate's key.
        authority: Whose certificates those who connect must show; empty if they
            need none.
    """

    certificate: str
    key: str
    authority: str = ""


@frozen
class Listener:
    """Where a listener binds.

    Attributes:
        bind: ``ip:port``.
        tls: The certificate files, or None for plain text.
    """

    bind: str
    tls: TlsSettings | None = None


@frozen
class PlatformSettings:
    """Where the platform's services answer, as base URLs.

    Attributes:
        table: The transactional table service.
        objects: The object store.
        members: The membership list.
        weights: The weight store; empty when there is none.
        timeout: The longest wait for one call, in seconds.
    """

    table: str
    objects: str
    members: str = ""
    weights: str = ""
    timeout: Seconds = 2.0


@frozen
class TracingSettings:
    """Where spans go.

    Attributes:
        exporter: ``none``, ``log`` or ``otlp``.
        endpoint: The collector's URL for ``otlp``.
        ratio: The part of the traces that is kept, from 0 to 1.
    """

    exporter: str = "none"
    endpoint: str = ""
    ratio: float = 1.0


@frozen
class Settings:
    """Everything a daemon must know before it can read the document.

    Attributes:
        name: This VM's name; each start adds a boot identifier to it.
        domain: Its failure domain.
        callers: Where callers connect.
        operators: Where operators, metrics and health checks connect.
        peers: Where the other routers connect, ``ip:port``.
        platform: Where the platform's services answer.
        peer_keys: File of the routers' shared keys, newest first, one a line as
            ``id:hexadecimal``.
        operator_keys: File of SHA-256 hashes of the operators' keys, as
            ``name:hexadecimal``.
        log_level: The least severity that is logged.
        tracing: Where spans go.
    """

    name: str
    domain: str
    callers: Listener
    operators: Listener
    peers: str
    platform: PlatformSettings
    peer_keys: str
    operator_keys: str
    log_level: str = "INFO"
    tracing: TracingSettings = field(factory=TracingSettings)


def load_settings(path: Path) -> Settings:
    """Read a settings file.

    Raises:
        SettingsError: The file cannot be read or has findings; all are named.
    """
    try:
        raw = yaml.safe_load(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        raise SettingsError(f"{path}: {error}") from error
    converter = cattrs.Converter(forbid_extra_keys=True)
    try:
        return converter.structure(raw, Settings)
    except (cattrs.BaseValidationError, TypeError, AttributeError) as error:
        findings = cattrs.transform_error(error)
        raise SettingsError(f"{path}: " + "; ".join(findings)) from error
