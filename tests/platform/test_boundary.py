"""Only the adapter package contains names of the platform's formats."""

from __future__ import annotations

import re
from pathlib import Path

PACKAGE = Path(__file__).parent.parent.parent / "ebonyhold"
PLATFORM_NAMES = re.compile(
    r"x-ebonyhold-|rows-(tx|get|feed|parts)|blob-(put|get|drop|list)"
    r"|EBONYHOLD_NODE_FILE|cold-remaining-ms|configuration-ms|allow-anonymous",
    re.IGNORECASE,
)


def test_platform_names_occur_only_in_the_adapter() -> None:
    found = [
        str(path.relative_to(PACKAGE))
        for path in PACKAGE.rglob("*.py")
        if path.parent.name != "platform" and PLATFORM_NAMES.search(path.read_text())
    ]
    assert found == []
