"""Tests of the configuration's versions."""
