"""The command line of a stand-in's process."""

from __future__ import annotations

import argparse
import json
import signal
import sys
from collections.abc import Sequence
from typing import Any

import anyio
import attrs
import cattrs

from ebonyhold.standins import _engine_app, _members, _service, _stores_app
from ebonyhold.standins._asgi import App
from ebonyhold.standins._kinds import KINDS, Kind
from ebonyhold.standins._server import address_of, bind, serve_app

REGISTERING = (_engine_app, _members, _service, _stores_app)
"""The modules whose import fills the registry."""

TRUE_WORDS = ("1", "true", "yes", "on")


def parse(arguments: Sequence[str]) -> argparse.Namespace:
    """Read the command line; each kind has the options of its profile."""
    parser = argparse.ArgumentParser(prog="python -m ebonyhold.standins")
    kinds = parser.add_subparsers(dest="kind", required=True)
    for name, kind in KINDS.items():
        options = kinds.add_parser(name)
        options.add_argument("--bind", default="127.0.0.1:0", help="ip:port")
        for option in attrs.fields(kind.profile):
            flag = f"--{option.name.replace('_', '-')}"
            # A switch may stand alone: its bare flag means yes.
            options.add_argument(flag, dest=option.name, nargs="?", const="yes")
    return parser.parse_args(arguments)


def profile_of(kind: Kind, options: argparse.Namespace) -> Any:
    """Make the profile that the options ask for."""
    given: dict[str, object] = {}
    for option in attrs.fields(kind.profile):
        text = getattr(options, option.name)
        if text is not None:
            given[option.name] = read_value(text, option.default)
    return cattrs.structure(given, kind.profile)


def read_value(text: str, default: object) -> object:
    """Read an option's text as a value of its default's form."""
    if isinstance(default, bool):
        return text.lower() in TRUE_WORDS
    if isinstance(default, tuple):
        return tuple(part for part in text.split(",") if part)
    return text


async def run(kind: str, app: App, address: str) -> None:
    """Serve until a signal comes; print one line once it listens."""
    bound = bind(address)
    line = {"listening": address_of(bound), "kind": kind}
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            await tasks.start(serve_app, app, bound, stop)
            print(json.dumps(line), flush=True)
            async for _ in signals:
                stop.set()
                return


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one stand-in; return the exit status."""
    options = parse(sys.argv[1:] if arguments is None else arguments)
    kind = KINDS[options.kind]
    app = kind.build(profile_of(kind, options))
    anyio.run(run, options.kind, app, options.bind)
    return 0
