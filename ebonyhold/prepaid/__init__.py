"""Prepaid budgets: routers draw tokens in advance and spend them without a call."""

from ebonyhold.prepaid._demand import Demand
from ebonyhold.prepaid._grant_manager import GrantManager
from ebonyhold.prepaid._grant_state import GrantState
from ebonyhold.prepaid._holders import Fleet, HolderTable, choose_holders
from ebonyhold.prepaid._limits import Limits, LimitTracker, Renewal, SpendingLimit
from ebonyhold.prepaid._reclaim import Predecessor
from ebonyhold.prepaid._remote_holds import RemoteHolds
from ebonyhold.prepaid._request_hold import (
    HolderPeers,
    HoldOutcome,
    RequestHold,
    WantedHold,
)
from ebonyhold.prepaid._transfers import Offer, TransferPeers, choose_givers
from ebonyhold.prepaid._types import (
    Change,
    Committed,
    GrantRows,
    PrepaidOptions,
    PrepaidRow,
    PrepaidStore,
    budget_row_key,
    grant_row_key,
    grant_rows_prefix,
)
from ebonyhold.prepaid._workspace_grant import WorkspaceGrant

__all__ = [
    "Change",
    "Committed",
    "Demand",
    "Fleet",
    "GrantManager",
    "GrantRows",
    "GrantState",
    "HoldOutcome",
    "HolderPeers",
    "HolderTable",
    "LimitTracker",
    "Limits",
    "Offer",
    "Predecessor",
    "PrepaidOptions",
    "PrepaidRow",
    "PrepaidStore",
    "RemoteHolds",
    "Renewal",
    "RequestHold",
    "SpendingLimit",
    "TransferPeers",
    "WantedHold",
    "WorkspaceGrant",
    "budget_row_key",
    "choose_givers",
    "choose_holders",
    "grant_row_key",
    "grant_rows_prefix",
]
