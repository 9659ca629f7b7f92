"""Clients of the platform's table, object store, membership list and weight store.

Calls to the table and the object store pass a guard: rate limits, circuit breaker
and retries.
"""

from ebonyhold.stores._call_queue import Priority, RefusedHereError
from ebonyhold.stores._classified import ClassifiedObjects, ClassifiedTable
from ebonyhold.stores._guard import Counters, Guard, GuardPolicy
from ebonyhold.stores._guarded import GuardedObjects, GuardedTable
from ebonyhold.stores._members import (
    Member,
    MemberRole,
    MembersClient,
    MemberState,
    WeightsClient,
)
from ebonyhold.stores._objects import ObjectClient
from ebonyhold.stores._table import TableClient

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
