"""Tests of the gateway process."""
