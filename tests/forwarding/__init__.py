"""Tests of request forwarding."""
