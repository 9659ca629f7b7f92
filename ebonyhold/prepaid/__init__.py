"""Prepaid budgets: tokens drawn ahead by each router, spent without a call."""

from ebonyhold.prepaid._account import Account
from ebonyhold.prepaid._demand import Demand
from ebonyhold.prepaid._treasury import Treasury
from ebonyhold.prepaid._types import (
    Change,
    Known,
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
    "Demand",
    "Known",
    "PrepaidOptions",
    "PrepaidRow",
    "PrepaidStore",
    "Treasury",
    "budget_row_key",
    "grant_row_key",
    "grant_rows_prefix",
]
