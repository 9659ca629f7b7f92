"""The file of shared keys: parsing and reloading."""

from __future__ import annotations

from pathlib import Path

import pytest

from ebonyhold.exceptions import SettingsError
from ebonyhold.routers import KeyRing, parse_keys

ONE, TWO = "k1:" + "01" * 32, "k2:" + "02" * 32


@pytest.mark.parametrize(
    ("text", "names"),
    [
        (ONE, ("k1",)),
        (f"# newest first\n{TWO}\n\n{ONE}  # old\n", ("k2", "k1")),
    ],
)
def test_valid_files(text: str, names: tuple[str, ...]) -> None:
    assert tuple(key.identifier for key in parse_keys(text)) == names


@pytest.mark.parametrize(
    "text",
    [
        "",
        "k1",
        "k1:zz",
        "k1:" + "01" * 31,
        ":" + "01" * 32,
        "k" * 33 + ":" + "01" * 32,
        f"{ONE}\n{ONE}",
        "\n".join(f"k{n}:" + "01" * 32 for n in range(5)),
    ],
)
def test_invalid_files(text: str) -> None:
    with pytest.raises(SettingsError):
        parse_keys(text)


def test_secrets_stay_out_of_logs() -> None:
    (key,) = parse_keys(ONE)
    assert "01" not in repr(key)


def test_a_missing_file_is_an_error_at_startup(tmp_path: Path) -> None:
    with pytest.raises(SettingsError):
        KeyRing.load(tmp_path / "none")


def test_the_file_is_read_again_when_it_changes(tmp_path: Path) -> None:
    """Operators add a key to the file while the router runs.

    While the file is incomplete or missing, the router must keep the old keys.
    """
    path = tmp_path / "keys"
    path.write_text(ONE, encoding="ascii")
    ring = KeyRing.load(path)
    assert not ring.refresh()
    path.write_text(TWO[:20], encoding="ascii")
    assert not ring.refresh()
    path.unlink()
    assert not ring.refresh()
    assert ring.identifiers == ("k1",)
    path.write_text(f"{TWO}\n{ONE}", encoding="ascii")
    assert ring.refresh()
    assert ",".join(ring.identifiers) == "k2,k1"
    assert ring.find("k1") is not None
    assert ring.find("k3") is None
