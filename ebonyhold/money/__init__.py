"""The tasks that own a router's budgets, journal, claims and bills."""

from ebonyhold.money._incarnations import Incarnations
from ebonyhold.money._interface import BackendTruth, Money, Order, Permit, Replay
from ebonyhold.money._journal import Place
from ebonyhold.money._operators import refund, rule, top_up
from ebonyhold.money._options import MoneyOptions
from ebonyhold.money._recovery import Recovery, RecoveryReport, Unsettled
from ebonyhold.money._retention import Retention, RetentionReport
from ebonyhold.money._status import GrantStatus, MoneyStatus
from ebonyhold.money._treasury import Treasury
from ebonyhold.money._upkeep import Upkeep
from ebonyhold.money._verify import Discrepancy, verify_bills

__all__ = [
    "BackendTruth",
    "Discrepancy",
    "GrantStatus",
    "Incarnations",
    "Money",
    "MoneyOptions",
    "MoneyStatus",
    "Order",
    "Permit",
    "Place",
    "Recovery",
    "RecoveryReport",
    "Replay",
    "Retention",
    "RetentionReport",
    "Treasury",
    "Unsettled",
    "Upkeep",
    "refund",
    "rule",
    "top_up",
    "verify_bills",
]
