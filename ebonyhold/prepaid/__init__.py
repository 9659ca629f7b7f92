"""Prepaid budgets: routers draw tokens in advance and spend them without a call."""

from ebonyhold.prepaid._account import Account
from ebonyhold.prepaid._demand import Demand
from ebonyhold.prepaid._grant import Grant
from ebonyhold.prepaid._holders import Fleet, HolderTable, choose_holders
from ebonyhold.prepaid._lent import LentHolds
from ebonyhold.prepaid._limits import LimitBook, Limits, Renewal, SpendingLimit
from ebonyhold.prepaid._purse import (
    HolderPeers,
    HoldOutcome,
    RequestPurse,
    WantedHold,
)
from ebonyhold.prepaid._reclaim import Predecessor
from ebonyhold.prepaid._transfers import Offer, TransferPeers, choose_givers
from ebonyhold.prepaid._treasury import Treasury
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

__all__ = [
    "Account",
    "Change",
    "Committed",
    "Demand",
    "Fleet",
    "Grant",
    "GrantRows",
    "HoldOutcome",
    "HolderPeers",
    "HolderTable",
    "LentHolds",
    "LimitBook",
    "Limits",
    "Offer",
    "Predecessor",
    "PrepaidOptions",
    "PrepaidRow",
    "PrepaidStore",
    "Renewal",
    "RequestPurse",
    "SpendingLimit",
    "TransferPeers",
    "Treasury",
    "WantedHold",
    "budget_row_key",
    "choose_givers",
    "choose_holders",
    "grant_row_key",
    "grant_rows_prefix",
]
