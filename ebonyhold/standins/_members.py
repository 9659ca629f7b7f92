"""The membership list, which lags, and the weight store, which is rate-limited."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Any

import anyio
import cattrs
from attrs import define, field, frozen

from ebonyhold.standins._asgi import (
    App,
    HttpError,
    Reply,
    Request,
    StreamReply,
    json_reply,
)
from ebonyhold.standins._kinds import standin
from ebonyhold.types import Seconds

ROLES = ("entry", "backend")
STATES = ("live", "leaving")
CHUNK = 65_536
OCTETS = "application/octet-stream"


@frozen
class MembersProfile:
    """Options of the membership list: how late its readers see a change."""

    lag: Seconds = 1.0


@frozen
class MemberRow:
    """One VM in the list."""

    name: str
    address: str
    domain: str
    role: str
    state: str = "live"


@frozen
class Change:
    """One change: from `at` on, `name` is `row`, or absent when that is None."""

    at: Seconds
    name: str
    row: MemberRow | None


@define
class MemberList:
    """The list, with all its changes."""

    lag: Seconds = 1.0
    changes: list[Change] = field(factory=list)

    def set(self, name: str, row: MemberRow | None) -> None:
        """Change one entry now."""
        self.changes.append(Change(anyio.current_time(), name, row))

    def visible(self) -> list[MemberRow]:
        """Return the list as the lag lets it be seen."""
        seen_at = anyio.current_time() - self.lag
        rows = {
            change.name: change.row for change in self.changes if change.at <= seen_at
        }
        return [row for row in rows.values() if row is not None]


def members_app(members: MemberList) -> App:
    """Make the application of a membership list."""
    app = App()

    @app.route("GET", "/members")
    async def listing(request: Request) -> Reply:
        rows = cattrs.unstructure(members.visible())
        return json_reply({"members": rows})

    @app.route("PUT", "/members/{name}")
    async def put(request: Request) -> Reply:
        name = request.params["name"]
        members.set(name, parse_member(name, request.json()))
        return json_reply({})

    @app.route("DELETE", "/members/{name}")
    async def delete(request: Request) -> Reply:
        members.set(request.params["name"], None)
        return json_reply({})

    @app.route("GET", "/records")
    async def records(request: Request) -> Reply:
        return json_reply({"changes": cattrs.unstructure(members.changes)})

    return app


def parse_member(name: str, raw: Any) -> MemberRow:
    """Read one entry.

    Raises:
        HttpError: It does not have that form.
    """
    try:
        row = cattrs.structure({**raw, "name": name}, MemberRow)
    except (TypeError, ValueError, cattrs.BaseValidationError) as error:
        raise HttpError(400, "not a member") from error
    if row.role not in ROLES or row.state not in STATES:
        raise HttpError(400, "unknown role or state")
    return row


@standin("members", MembersProfile)
def build_members(profile: MembersProfile) -> App:
    """Make a membership list."""
    return members_app(MemberList(profile.lag))


@frozen
class WeightsProfile:
    """Options of the weight store.

    Attributes:
        models: What it holds.
        size: The bytes of each model.
        rate: Bytes a second, over all readers together.
    """

    models: tuple[str, ...] = ("assistant",)
    size: int = 1_000_000
    rate: float = 10_000_000.0


@define
class Shelf:
    """The weights; one reader at a time gets the next chunk.

    Attributes:
        started: Downloads begun, for each model.
    """

    profile: WeightsProfile
    started: dict[str, int] = field(factory=dict)
    line: anyio.Lock = field(factory=anyio.Lock)

    async def chunks(self, size: int) -> AsyncIterator[bytes]:
        """Give out a model's bytes at the rate."""
        left = size
        while left:
            length = min(left, CHUNK)
            async with self.line:
                await anyio.sleep(length / self.profile.rate)
            yield b"w" * length
            left -= length


@standin("weights", WeightsProfile)
def build_weights(profile: WeightsProfile) -> App:
    """Make a weight store."""
    app = App()
    shelf = Shelf(profile)

    @app.route("HEAD", "/weights/{model}")
    async def exists(request: Request) -> Reply:
        status = 200 if request.params["model"] in profile.models else 404
        return Reply(status, b"", OCTETS)

    @app.route("GET", "/weights/{model}")
    async def weights(request: Request) -> StreamReply:
        model = request.params["model"]
        if model not in profile.models:
            raise HttpError(404, "no such model")
        shelf.started[model] = shelf.started.get(model, 0) + 1
        headers = {"content-length": str(profile.size)}
        chunks = shelf.chunks(profile.size)
        return StreamReply(chunks, lambda: None, OCTETS, headers)

    @app.route("GET", "/records")
    async def records(request: Request) -> Reply:
        return json_reply({"started": shelf.started})

    return app
