"""The HTTP interface for operators of a router, and its client."""

from ebonyhold.operators._app import OperatorsApp
from ebonyhold.operators._billing_table import BillingTable
from ebonyhold.operators._client import (
    OperatorsClient,
    RemoteError,
    UnansweredError,
    UnreachableError,
)
from ebonyhold.operators._context import OperatorsContext
from ebonyhold.operators._interface import (
    BackendStatus,
    Bill,
    BillPage,
    BillSource,
    Budget,
    BudgetSource,
    Discrepancy,
    FleetStatus,
    GrantStatus,
    OpenRun,
    Readiness,
    RecoverySource,
    RouterStatus,
    StatusSource,
    Verification,
)
from ebonyhold.operators._keys import OperatorKey, OperatorKeys, parse_keys

__all__ = [
    "BackendStatus",
    "Bill",
    "BillPage",
    "BillSource",
    "BillingTable",
    "Budget",
    "BudgetSource",
    "Discrepancy",
    "FleetStatus",
    "GrantStatus",
    "OpenRun",
    "OperatorKey",
    "OperatorKeys",
    "OperatorsApp",
    "OperatorsClient",
    "OperatorsContext",
    "Readiness",
    "RecoverySource",
    "RemoteError",
    "RouterStatus",
    "StatusSource",
    "UnansweredError",
    "UnreachableError",
    "Verification",
    "parse_keys",
]
