"""The clients of the membership list and of the weight store."""

from __future__ import annotations

from enum import Enum
from urllib.parse import quote

import cattrs
from attrs import define, frozen

from ebonyhold.exceptions import UnavailableError
from ebonyhold.stores._http import Call, HttpClient


class MemberRole(Enum):
    """What runs on a VM."""

    ENTRY = "entry"
    BACKEND = "backend"


class MemberState(Enum):
    """What the list knows of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


@frozen
class Member:
    """One VM of the list, which lags.

    Attributes:
        name: The VM's name.
        address: ``ip:port``.
        domain: Its failure domain.
        role: What runs on it.
        state: Whether it is leaving.
    """

    name: str
    address: str
    domain: str
    role: MemberRole
    state: MemberState = MemberState.LIVE


@frozen
class MemberList:
    """The list as the service sends it."""

    members: tuple[Member, ...]


@define
class MembersClient(HttpClient):
    """The membership list over HTTP."""

    async def members(self) -> tuple[Member, ...]:
        """Read the list.

        Raises:
            UnavailableError: It cannot be reached, or its answer is malformed.
        """
        call = Call("GET", "/members", is_write=False)
        answer = await self.connection().call(call)
        try:
            return cattrs.structure(answer.json(), MemberList).members
        except (ValueError, TypeError, cattrs.BaseValidationError) as error:
            raise UnavailableError(f"malformed members: {error!r}") from error


@define
class WeightsClient(HttpClient):
    """The weight store over HTTP; the timeout covers a whole model."""

    async def has(self, model: str) -> bool:
        """Tell whether the store holds a model, without reading its weights.

        Raises:
            UnavailableError: The store cannot be reached.
        """
        path = f"/weights/{quote(model, safe='')}"
        call = Call("HEAD", path, is_write=False, expected=(200, 404))
        answer = await self.connection().call(call)
        return answer.status == 200

    async def fetch(self, model: str, most: int) -> bytes:
        """Read a model's weights.

        Args:
            model: Which one.
            most: The most bytes to read.

        Raises:
            UnavailableError: The store cannot be reached, has no such model, or
                sends more than `most`.
        """
        peer = self.connection()
        peer.most_reply = most
        path = f"/weights/{quote(model, safe='')}"
        answer = await peer.call(Call("GET", path, is_write=False))
        return answer.body
