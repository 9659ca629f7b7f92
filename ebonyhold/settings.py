"""A daemon's settings: a YAML file that is read once, when the daemon starts."""

from __future__ import annotations

from pathlib import Path

import cattrs
import yaml
from attrs import field, frozen

from ebonyhold.exceptions import SettingsError
from ebonyhold.types import Seconds


@frozen
class TlsSettings:
    """Certificate files of a listener, which it reloads when they change.

    Attributes:
        certificate: File of the certificate and its chain.
        key: File of the certificate's private key.
        authority: File of the authorities that must have issued the client's
            certificate; empty if clients need none.
    """

    certificate: str
    key: str
    authority: str = ""


@frozen
class Listener:
    """The address and TLS files of a listener.

    Attributes:
        bind: The address, ``ip:port``.
        tls: The certificate files, or None for plain text.
    """

    bind: str
    tls: TlsSettings | None = None


@frozen
class PlatformSettings:
    """Base URLs of the platform's services, and the timeout of calls to them.

    Attributes:
        table: The transactional table service.
        objects: The object store.
        members: The membership list; empty if there is none.
        weights: The store of model weights; empty if there is none.
        timeout: The timeout of one call, in seconds.
    """

    table: str
    objects: str
    members: str = ""
    weights: str = ""
    timeout: Seconds = 2.0


@frozen
class TracingSettings:
    """How spans are exported.

    Attributes:
        exporter: ``none``, ``log`` or ``otlp``.
        endpoint: The collector's URL for ``otlp``; empty for the exporter's default.
        ratio: The share of the traces started here that is sampled, from 0 to 1. A
            trace that a caller started keeps the caller's sampling decision.
    """

    exporter: str = "none"
    endpoint: str = ""
    ratio: float = 1.0


@frozen
class Settings:
    """What a daemon needs to know before it can read the fleet document.

    Attributes:
        name: The VM's name, the first part of its router identifiers.
        domain: The VM's failure domain.
        callers: The listener for callers.
        operators: The listener for operators, metrics and health checks.
        peers: The address for other routers, ``ip:port``.
        platform: The platform's services.
        peer_keys: File of the keys that the routers share, newest first, one per line
            as ``id:hexadecimal``.
        operator_keys: File of SHA-256 hashes of the operators' keys, one per line as
            ``name:hexadecimal``.
        log_level: The minimum severity that is logged.
        tracing: How spans are exported.
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
        SettingsError: The file cannot be read, or values in it are invalid; the
            message lists all of these.
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
