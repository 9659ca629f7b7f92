"""The platform: table service, object store, membership list, weight store."""

from ebonyhold.platform._classified import ClassifiedObjects, ClassifiedTable
from ebonyhold.platform._guard import Counters, Guard, GuardPolicy
from ebonyhold.platform._guarded import GuardedObjects, GuardedTable
from ebonyhold.platform._members import (
    Member,
    MemberRole,
    MembersClient,
    MemberState,
    WeightsClient,
)
from ebonyhold.platform._objects import ObjectClient
from ebonyhold.platform._table import TableClient
from ebonyhold.platform._turnstile import Priority, RefusedHereError

__all__ = [
    "ClassifiedObjects",
    "ClassifiedTable",
    "Counters",
    "Guard",
    "GuardPolicy",
    "GuardedObjects",
    "GuardedTable",
    "Member",
    "MemberRole",
    "MemberState",
    "MembersClient",
    "ObjectClient",
    "Priority",
    "RefusedHereError",
    "TableClient",
    "WeightsClient",
]
