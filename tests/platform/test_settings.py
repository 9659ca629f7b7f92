"""Decoding of the settings file, with and without optional or malformed settings."""

from __future__ import annotations

import math
from pathlib import Path

import pytest

from ebonyhold.exceptions import SettingsError
from ebonyhold.platform import load_platform_settings

SETTINGS = """
node-name = "vm-1"
zone = "a"
ip-address = "10.1.0.40"
[listen-addresses]
frontend = "10.1.0.40:8227"
readiness = "10.1.0.40:8220"
[bounds]
grace-s = 8
retry-budget-ratio = 0.2
budget-extra-retries = 58
budget-window-s = 10
[platform]
address = "10.200.1.7:8223"
"""


def write_settings(tmp_path: Path, text: str, monkeypatch: pytest.MonkeyPatch) -> None:
    path = tmp_path / "boot.toml"
    path.write_text(text)
    monkeypatch.setenv("EBONYHOLD_NODE_FILE", str(path))


def test_settings(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    write_settings(tmp_path, SETTINGS, monkeypatch)
    settings = load_platform_settings()
    assert settings.callers == ("10.1.0.40", 8227)
    assert settings.store == ("10.200.1.7", 8223)
    assert settings.retry_rules.extra == 58


PORTS = [
    ("", 0),
    ("internal-ports = []", 0),
    ("internal-ports = [7340,7355]", 7340),
]


@pytest.mark.parametrize(("line", "port"), PORTS)
def test_internal_ports(
    line: str, port: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    write_settings(tmp_path, f"{line}\n{SETTINGS}", monkeypatch)
    assert load_platform_settings().peers_port == port


PRESSURE = [
    ("", False, math.inf),
    ('contracts = ["base","stream"]\n', False, math.inf),
    ('contracts = ["pressure"]\nlimits = {memory-mb = 200}\n', True, 200e6),
]


@pytest.mark.parametrize(("lines", "pressure", "memory"), PRESSURE)
def test_memory_settings(
    lines: str,
    pressure: bool,
    memory: float,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    write_settings(tmp_path, lines + SETTINGS, monkeypatch)
    settings = load_platform_settings()
    assert (settings.memory_pressure, settings.memory_bytes) == (pressure, memory)


MALFORMED = [
    "node-name = ",
    "",
    SETTINGS.replace("grace-s = 8", ""),
    SETTINGS.replace(":8227", ""),
    'internal-ports = "x"\n' + SETTINGS,
]


@pytest.mark.parametrize("text", MALFORMED)
def test_malformed_settings(
    text: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    write_settings(tmp_path, text, monkeypatch)
    with pytest.raises(SettingsError):
        load_platform_settings()


def test_missing_settings(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.delenv("EBONYHOLD_NODE_FILE", raising=False)
    with pytest.raises(SettingsError):
        load_platform_settings()
