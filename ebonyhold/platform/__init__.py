"""The platform: table service, object store, membership list, weight store."""

from ebonyhold.platform._members import (
    Member,
    MemberRole,
    MembersClient,
    MemberState,
    WeightsClient,
)
from ebonyhold.platform._objects import ObjectClient
from ebonyhold.platform._table import TableClient

__all__ = [
    "Member",
    "MemberRole",
    "MemberState",
    "MembersClient",
    "ObjectClient",
    "TableClient",
    "WeightsClient",
]
