"""Tests, in folders named like the packages of ebonyhold."""
