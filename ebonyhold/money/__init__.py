"""The tasks that own a router's budgets, journal, claims and bills."""

from ebonyhold.money._interface import Money, Order, Permit, Replay

__all__ = ["Money", "Order", "Permit", "Replay"]
