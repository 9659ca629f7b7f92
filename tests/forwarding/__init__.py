"""Tests of the forwarding of opaque requests."""
