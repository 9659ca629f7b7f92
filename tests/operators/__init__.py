"""Tests of the operators' interface."""
