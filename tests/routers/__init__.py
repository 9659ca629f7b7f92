"""Tests of `ebonyhold.routers`."""
