"""Grants, the journal, claims and bills of one router."""

from ebonyhold.money._grant_manager import GrantManager
from ebonyhold.money._incarnations import Incarnations
from ebonyhold.money._interface import AttemptLookup, Money, Order, Permit, Replay
from ebonyhold.money._journal import JournalTarget
from ebonyhold.money._operators import refund, rule_on_request, top_up
from ebonyhold.money._options import MoneyOptions
from ebonyhold.money._recovery import Recovery, RecoveryReport, UnsettledRun
from ebonyhold.money._retention import Retention, RetentionReport
from ebonyhold.money._status import GrantStatus, MoneyStatus
from ebonyhold.money._upkeep import Upkeep
from ebonyhold.money._verify import Discrepancy, verify_bills

__all__ = [
    "AttemptLookup",
    "Discrepancy",
    "GrantManager",
    "GrantStatus",
    "Incarnations",
    "JournalTarget",
    "Money",
    "MoneyOptions",
    "MoneyStatus",
    "Order",
    "Permit",
    "Recovery",
    "RecoveryReport",
    "Replay",
    "Retention",
    "RetentionReport",
    "UnsettledRun",
    "Upkeep",
    "refund",
    "rule_on_request",
    "top_up",
    "verify_bills",
]
