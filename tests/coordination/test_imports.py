"""The coordination package imports no other package and no network library."""

from __future__ import annotations

import ast
import subprocess
import sys
from pathlib import Path

import pytest

import ebonyhold.coordination

MODULES = sorted(Path(ebonyhold.coordination.__file__).parent.glob("*.py"))
ALLOWED = ("ebonyhold.coordination", "ebonyhold.exceptions", "ebonyhold.types")
HEAVY = ("pynng", "hypercorn", "httpx", "anyio", "asyncio", "trio")


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.stem)
def test_no_module_imports_another_package(path: Path) -> None:
    """Embedding the package must not require other packages, such as the web server."""
    tree = ast.parse(path.read_text(encoding="utf-8"))
    names = [
        node.module or "" for node in ast.walk(tree) if isinstance(node, ast.ImportFrom)
    ]
    ours = [name for name in names if name.split(".")[0] == "ebonyhold"]
    assert [name for name in ours if not name.startswith(ALLOWED)] == []


def test_importing_it_loads_no_network_library() -> None:
    code = "import sys, ebonyhold.coordination; print(*sys.modules)"
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    loaded = {name.split(".")[0] for name in done.stdout.split()}
    assert loaded.isdisjoint(HEAVY)
