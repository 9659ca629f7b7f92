"""Tests of the prepaid budgets."""
