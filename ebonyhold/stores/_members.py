"""The clients of the membership list and of the weight store."""

from __future__ import annotations

from enum import Enum
from urllib.parse import quote

import cattrs
from attrs import define, frozen

from ebonyhold.exceptions import UnavailableError
from ebonyhold.stores._http import Call, HttpClient


class MemberRole(Enum):
    """The kind of process that runs on a VM."""

    ENTRY = "entry"
    BACKEND = "backend"


class MemberState(Enum):
    """The state of a VM in the membership list."""

    LIVE = "live"
    LEAVING = "leaving"


@frozen
class Member:
    """One VM in the membership list, which may be outdated.

    Attributes:
        name: The VM's name.
        address: ``ip:port``.
        domain: The failure domain of the VM.
        role: The kind of process that runs on the VM.
        state: Whether the VM is being removed.
    """

    name: str
    address: str
    domain: str
    role: MemberRole
    state: MemberState = MemberState.LIVE


@frozen
class MemberList:
    """The body of the service's answer."""

    members: tuple[Member, ...]


@define
class MembersClient(HttpClient):
    """The HTTP client of the membership list."""

    async def members(self) -> tuple[Member, ...]:
        """Read the membership list.

        Raises:
            UnavailableError: The service cannot be reached, or its answer is
                malformed.
        """
        call = Call("GET", "/members", is_write=False)
        answer = await self.connection().call(call)
        try:
            return cattrs.structure(answer.json(), MemberList).members
        except (ValueError, TypeError, cattrs.BaseValidationError) as error:
            raise UnavailableError(f"malformed members: {error!r}") from error


@define
class WeightsClient(HttpClient):
    """The HTTP client of the weight store; one timeout covers a whole download."""

    async def has(self, model: str) -> bool:
        """Return whether the store has the weights of a model, without reading them.

        Raises:
            UnavailableError: The store cannot be reached.
        """
        path = f"/weights/{quote(model, safe='')}"
        call = Call("HEAD", path, is_write=False, expected=(200, 404))
        answer = await self.connection().call(call)
        return answer.status == 200

    async def fetch(self, model: str, max_bytes: int) -> bytes:
        """Read a model's weights.

        Args:
            model: The name of the model.
            max_bytes: The maximum size of the weights.

        Raises:
            UnavailableError: The store cannot be reached, has no such model, or
                sends more than `max_bytes`.
        """
        peer = self.connection()
        peer.max_reply = max_bytes
        path = f"/weights/{quote(model, safe='')}"
        answer = await peer.call(Call("GET", path, is_write=False))
        return answer.body
