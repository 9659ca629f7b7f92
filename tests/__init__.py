"""Tests, mirroring the packages of ebonyhold."""
